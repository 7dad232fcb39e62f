//! Moves an open along the first agents of its order until one takes it.
//!
//! Each agent on the path takes the open if it has a free slot and its held
//! flows put no load on it, or notes its bid and passes it on. After the last,
//! the open goes to the agent with the least bid, which takes it or refuses it at
//! once. A bid is the expected wait and the load of the held flows; the load
//! counts only where requests are bound to the holder.
use std::time::Duration;

use wire::Relay;
use wire::frame::MAX_HOPS;

/// Number of agents that an open visits before it settles.
pub const WIDTH: usize = 3;

/// Number of other agents that a full holder asks, one after another, to run a
/// single request of an independent service.
pub const PASS_WIDTH: usize = 2;

/// Expected wait above which a holder passes single requests on, in round trips
/// between two agents.
pub const PASS_ROUND_TRIPS: u32 = 4;

/// Whether a holder without a free slot should pass a single request of an
/// independent service on.
///
/// ```
/// use std::time::Duration;
/// use route::hunt::pass_pays;
///
/// let round_trip = Duration::from_millis(3);
/// assert!(!pass_pays(Duration::from_millis(5), round_trip));
/// assert!(pass_pays(Duration::from_millis(20), round_trip));
/// ```
#[must_use]
pub fn pass_pays(wait: Duration, round_trip: Duration) -> bool {
    wait > round_trip.saturating_mul(PASS_ROUND_TRIPS)
}

/// What an agent can offer to an open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bid {
    /// Whether a slot is free now.
    pub free: bool,
    /// Expected wait for a slot.
    pub wait: Duration,
    /// What the load of the held flows adds; zero where the requests of a flow
    /// may run elsewhere.
    pub load: Duration,
}

/// Load below which an agent with a free slot takes an open at once.
pub const LIGHT: Duration = Duration::from_millis(1);

impl Bid {
    fn takes_at_once(self) -> bool {
        self.free && self.load < LIGHT
    }

    fn total(self) -> Duration {
        self.wait.saturating_add(self.load)
    }
}

/// What an agent does with an open.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Hold the flow here.
    Take,
    /// Send the frame on to the agent at its position.
    Forward(Relay),
    /// Answer the caller that nobody takes the flow.
    Refuse,
}

/// Decides what the agent at the frame's position does with an open.
///
/// A frame that no honest process sends (position outside the path, waits that
/// do not match the position) is refused.
#[must_use]
pub fn step(mut relay: Relay, bid: Bid) -> Step {
    let position = usize::from(relay.position);
    let visited = if relay.settle {
        relay.path.len()
    } else {
        position
    };
    let sound =
        position < relay.path.len() && relay.path.len() <= MAX_HOPS && relay.waits.len() == visited;
    if !sound {
        return Step::Refuse;
    }
    if bid.takes_at_once() || relay.settle {
        return Step::Take;
    }
    relay.waits.push(millis(bid.total()));
    advance(relay)
}

fn advance(mut relay: Relay) -> Step {
    let here = relay.position;
    let next = usize::from(here) + 1;
    if next < relay.path.len() {
        relay.position = here + 1;
        return Step::Forward(relay);
    }
    relay.settle = true;
    relay.position = least(&relay.waits);
    if relay.position == here {
        return Step::Take;
    }
    Step::Forward(relay)
}

/// Index of the least bid, the first of equals.
fn least(waits: &[u32]) -> u8 {
    (0..)
        .zip(waits)
        .min_by_key(|&(_, wait)| wait)
        .map_or(0, |(index, _)| index)
}

fn millis(wait: Duration) -> u32 {
    u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)
}
