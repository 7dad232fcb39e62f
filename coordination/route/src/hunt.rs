//! Relays an open along the first agents of its order until one accepts it.
//!
//! An agent on the path accepts the open if it has a free slot and the load of
//! its held flows is negligible. Otherwise it appends its bid to the frame and
//! forwards the open to the next agent. After the last agent, the open is
//! settled: it goes to the agent with the lowest bid, which accepts or refuses
//! it and does not forward it again. A bid is the expected wait plus the load
//! of the held flows; the load counts only for services whose requests are
//! bound to the flow's holder.
use std::time::Duration;

use wire::Relay;
use wire::frame::MAX_HOPS;

/// Number of agents that an open visits before it is settled.
pub const PATH_LEN: usize = 3;

/// Number of other agents that a holder without a free slot asks in sequence to
/// run a single request of an independent service.
pub const FORWARD_ATTEMPTS: usize = 2;

/// Expected wait above which a holder forwards single requests, in round trips
/// between two agents.
pub const FORWARD_WAIT_ROUND_TRIPS: u32 = 4;

/// Returns true if a holder without a free slot should forward a single request
/// of an independent service to another agent.
///
/// ```
/// use std::time::Duration;
/// use route::hunt::should_forward;
///
/// let round_trip = Duration::from_millis(3);
/// assert!(!should_forward(Duration::from_millis(5), round_trip));
/// assert!(should_forward(Duration::from_millis(20), round_trip));
/// ```
#[must_use]
pub fn should_forward(wait: Duration, round_trip: Duration) -> bool {
    wait > round_trip.saturating_mul(FORWARD_WAIT_ROUND_TRIPS)
}

/// An agent's offer for an open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bid {
    /// Whether the agent has a free slot now.
    pub free: bool,
    /// Expected wait for a slot.
    pub wait: Duration,
    /// Load of the held flows, expressed as a wait; zero if the requests of a
    /// flow may run on other targets.
    pub load: Duration,
}

/// Load below which an agent with a free slot accepts an open immediately.
pub const MAX_IMMEDIATE_LOAD: Duration = Duration::from_millis(1);

impl Bid {
    fn accepts_immediately(self) -> bool {
        self.free && self.load < MAX_IMMEDIATE_LOAD
    }

    fn cost(self) -> Duration {
        self.wait.saturating_add(self.load)
    }
}

/// The action of an agent on an open.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Accept the open and hold the flow here.
    Accept,
    /// Forward the frame to the agent at the frame's position.
    Forward(Relay),
    /// Reply to the caller that no agent accepts the flow.
    Refuse,
}

/// Decides what the agent at the frame's position does with an open.
///
/// Refuses an invalid frame, which no correct process sends: one with a
/// position outside the path, a path that is too long, or a number of bids
/// that does not match the position.
#[must_use]
pub fn step(mut relay: Relay, bid: Bid) -> Step {
    let position = usize::from(relay.position);
    let visited = if relay.is_settled {
        relay.path.len()
    } else {
        position
    };
    let is_valid =
        position < relay.path.len() && relay.path.len() <= MAX_HOPS && relay.bids.len() == visited;
    if !is_valid {
        return Step::Refuse;
    }
    if bid.accepts_immediately() || relay.is_settled {
        return Step::Accept;
    }
    relay.bids.push(to_millis(bid.cost()));
    forward_or_settle(relay)
}

fn forward_or_settle(mut relay: Relay) -> Step {
    let here = relay.position;
    let next = usize::from(here) + 1;
    if next < relay.path.len() {
        relay.position = here + 1;
        return Step::Forward(relay);
    }
    relay.is_settled = true;
    relay.position = index_of_least(&relay.bids);
    if relay.position == here {
        return Step::Accept;
    }
    Step::Forward(relay)
}

/// Returns the index of the lowest bid; the first one wins a tie.
fn index_of_least(bids: &[u32]) -> u8 {
    (0..)
        .zip(bids)
        .min_by_key(|&(_, wait)| wait)
        .map_or(0, |(index, _)| index)
}

fn to_millis(wait: Duration) -> u32 {
    u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)
}
