//! Settings of an agent.
use std::time::Duration;

use route::hunt;

/// Settings of an agent, with those of its parts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The flow table.
    pub flows: flow::table::Settings,
    /// The request records.
    pub ledger: flow::ledger::Settings,
    /// The pins of flows that have their home here.
    pub pins: route::pin::Settings,
    /// Slots and queue of the backend server.
    pub gate: limit::Settings,
    /// Load of the flows held, which bids for bound flows count.
    pub load: limit::load::Settings,
    /// Share of requests that may be tried again inside the system.
    pub retries: limit::budget::Settings,
    /// Passing of single requests between agents.
    pub pass: Pass,
    /// Planned stop and replacement.
    pub leave: Leave,
    /// A request with more time than this until its deadline counts as a feed.
    pub long_deadline: Duration,
    /// Number of chunks of an answer that are sent unasked; the caller fetches
    /// the others.
    pub burst_chunks: u32,
    /// Smallest time between two announcements of a changed weight.
    pub announce_interval: Duration,
}

/// Passing of single requests between the agents of an independent service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pass {
    /// Round trip to another agent of the service, across zones; a request is
    /// passed where the wait here pays for it, as [`hunt::pass_pays`] says.
    pub round_trip: Duration,
    /// Number of agents that one request is passed to, one at a time.
    pub tries: usize,
    /// Smallest time until the deadline for another try.
    pub room: Duration,
    /// Number of offers of others that are remembered.
    pub max_offers: usize,
    /// Memory for answers to offers of others, in bytes.
    pub max_offer_bytes: usize,
}

/// Planned stop and replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leave {
    /// Longest time that requests which run may take to finish.
    pub grace: Duration,
    /// Longest time for handing state to a peer.
    pub handover: Duration,
    /// Time after which a caller is told to come back.
    pub away: Duration,
    /// Longest time that a starting agent asks for its predecessor's state.
    pub claim: Duration,
    /// Time that a peer keeps state for a successor.
    pub keep: Duration,
    /// Number of peers that are asked.
    pub peers: usize,
    /// Size of a part of the state, in bytes.
    pub part_bytes: usize,
    /// Memory for the states of others, in bytes.
    pub max_kept_bytes: usize,
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
            burst_chunks: 256,
            announce_interval: Duration::from_secs(1),
        }
    }
}

impl Default for Pass {
    fn default() -> Self {
        Self {
            round_trip: Duration::from_millis(3),
            tries: hunt::PASS_WIDTH,
            room: Duration::from_millis(20),
            max_offers: 20_000,
            max_offer_bytes: 8 * 1024 * 1024,
        }
    }
}

impl Default for Leave {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(10),
            handover: Duration::from_secs(5),
            away: Duration::from_secs(1),
            claim: Duration::from_secs(2),
            keep: Duration::from_mins(2),
            peers: 4,
            part_bytes: 256 * 1024,
            max_kept_bytes: 64 * 1024 * 1024,
        }
    }
}
