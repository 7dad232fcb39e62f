//! Settings of an agent.
use std::time::Duration;

use route::hunt;

/// Settings of an agent and its modules.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The flow table.
    pub flows: flow::table::Settings,
    /// The request records.
    pub ledger: flow::ledger::Settings,
    /// The pins of flows that have their home here.
    pub pins: route::pin::Settings,
    /// Admission gate: slots and queue of the backend server.
    pub gate: limit::Settings,
    /// Load estimate of the flows held here, used in bids for bound flows.
    pub load: limit::load::Settings,
    /// Budget for retries inside the system: a share of the requests, and a
    /// burst.
    pub retries: limit::budget::Settings,
    /// Forwarding of single requests between agents.
    pub pass: Pass,
    /// Planned stop and replacement.
    pub leave: Leave,
    /// Time until the deadline above which a request is classed as long-lived
    /// ([`limit::Class::Long`]).
    pub long_deadline: Duration,
    /// Number of chunks of an answer that are sent unrequested; the caller
    /// fetches the others.
    pub initial_chunks: u32,
    /// Shortest interval between two announcements of a changed weight.
    pub announce_interval: Duration,
}

/// Forwarding of single requests between the agents of an independent service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pass {
    /// Expected round trip to another agent of the service, across zones. A
    /// request is forwarded if the expected wait here is long compared to it; see
    /// [`hunt::should_forward`].
    pub round_trip: Duration,
    /// Largest number of agents that one request is forwarded to, one at a time.
    pub max_attempts: usize,
    /// Shortest time until the deadline for another attempt.
    pub min_time_left: Duration,
    /// Largest number of offers from other agents that are recorded.
    pub max_offers: usize,
    /// Memory for recorded answers to offers from other agents, in bytes.
    pub max_offer_bytes: usize,
}

/// Planned stop and replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leave {
    /// Longest time that pending requests may take to finish.
    pub grace_period: Duration,
    /// Longest time for handing the state over to a peer, after which the agent
    /// exits.
    pub handover_timeout: Duration,
    /// Retry delay of refusals that have none of their own, for example while
    /// the holder of a flow is away.
    pub retry_after: Duration,
    /// Longest wait of a starting agent for each part of its predecessor's
    /// state.
    pub claim_timeout: Duration,
    /// Time that a peer stores parked state for a successor.
    pub parked_lifetime: Duration,
    /// Largest number of peers that an agent tries to hand its state over to.
    pub max_peers: usize,
    /// Size limit of a part of the state, in bytes.
    pub max_part_bytes: usize,
    /// Memory for the parked states of other agents, in bytes.
    pub max_parked_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            flows: flow::table::Settings::default(),
            ledger: flow::ledger::Settings::default(),
            pins: route::pin::Settings::default(),
            gate: limit::Settings::default(),
            load: limit::load::Settings::default(),
            retries: limit::budget::Settings::default(),
            pass: Pass::default(),
            leave: Leave::default(),
            long_deadline: Duration::from_secs(30),
            initial_chunks: 256,
            announce_interval: Duration::from_secs(1),
        }
    }
}

impl Default for Pass {
    fn default() -> Self {
        Self {
            round_trip: Duration::from_millis(3),
            max_attempts: hunt::FORWARD_ATTEMPTS,
            min_time_left: Duration::from_millis(20),
            max_offers: 20_000,
            max_offer_bytes: 8 * 1024 * 1024,
        }
    }
}

impl Default for Leave {
    fn default() -> Self {
        Self {
            grace_period: Duration::from_secs(10),
            handover_timeout: Duration::from_secs(5),
            retry_after: Duration::from_secs(1),
            claim_timeout: Duration::from_secs(2),
            parked_lifetime: Duration::from_mins(2),
            max_peers: 4,
            max_part_bytes: 256 * 1024,
            max_parked_bytes: 64 * 1024 * 1024,
        }
    }
}
