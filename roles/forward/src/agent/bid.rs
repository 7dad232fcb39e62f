//! Decides which agent admits a new flow.
//!
//! Spreads many short flows over few slots: the first agent with a free slot
//! admits a flow; if all are busy, the agent with the lowest bid does. Where none
//! of them has room, the flow waits at that agent.
use std::time::Duration;

use wire::transit::Open;

/// Bid in milliseconds of an agent that admits no flows.
pub const NO_BID: u32 = u32::MAX;

/// Expected wait up to which an agent admits a flow without asking others:
/// about the time that forwarding the opening packet takes.
const LOW_WAIT: Duration = Duration::from_millis(2);

/// Expected cost of failures up to which an agent admits a flow without asking
/// others; corresponds to one failure in fifty requests.
const LOW_RISK: Duration = Duration::from_millis(20);

/// Added to the bid in milliseconds of an agent where the flow would wait for
/// room, which makes it higher than any bid of an agent with room.
const NO_ROOM: u32 = 1 << 24;

/// Decision on an opening packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Admit the flow here, at once or when there is room for it.
    Admit(Open),
    /// Forward the packet to the agent at its `position`.
    Pass(Open),
    /// Refuse the flow: no agent on its path can serve it in time.
    Refuse(Open),
}

/// Expected cost of serving a new flow at a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bid {
    /// Expected wait of the flow's first request for a slot.
    pub wait: Duration,
    /// Expected later wait caused by the requests of other held flows.
    pub held: Duration,
    /// Expected cost of failures, expressed as a wait.
    pub risk: Duration,
    /// Whether the backend server may be sent the request at once.
    pub has_room: bool,
}

impl Bid {
    /// Returns the total of the bid in milliseconds, above [`NO_ROOM`] if the flow
    /// would wait.
    fn millis(self) -> u32 {
        let sum = self.wait + self.held + self.risk;
        let millis = crate::millis(sum);
        let base = if self.has_room { 0 } else { NO_ROOM };
        base + millis.min(NO_ROOM - 1)
    }
}

/// Returns the expected wait in another agent's bid, or `None` if that agent had no
/// room for the flow.
#[must_use]
pub fn wait_with_room(bid_ms: u32) -> Option<Duration> {
    (bid_ms < NO_ROOM).then(|| Duration::from_millis(u64::from(bid_ms)))
}

/// Decides on an opening packet, given the bid of this agent or `None` if it
/// admits no flows.
#[must_use]
pub fn decide(mut open: Open, bid: Option<Bid>) -> Verdict {
    let bid_ms = bid.map_or(NO_BID, Bid::millis);
    match bid {
        Some(bid)
            if bid.has_room
                && bid.wait <= LOW_WAIT
                && bid.risk <= LOW_RISK
                && !is_better_at_home(&open, bid_ms) =>
        {
            return Verdict::Admit(open);
        }
        Some(bid) if open.is_settled && bid.wait <= max_wait(&open) => return Verdict::Admit(open),
        // The chosen agent can no longer admit the flow: the next best bid is
        // tried.
        _ if open.is_settled => {
            if let Some(own) = open.bids.get_mut(usize::from(open.position)) {
                *own = NO_BID;
            }
        }
        _ => open.bids.push(bid_ms),
    }
    if open.bids.len() < open.path.len() {
        open.position = u8::try_from(open.bids.len()).unwrap_or(u8::MAX);
        return Verdict::Pass(open);
    }
    choose_lowest_bid(open)
}

/// Returns true if an agent in the entry's availability zone has bid less than
/// leaving the zone for the agent at `position` costs.
fn is_better_at_home(open: &Open, bid_ms: u32) -> bool {
    let cost = open.crossing_ms(usize::from(open.position));
    let is_better = |(index, bid): (usize, &u32)| {
        let is_home = *bid != NO_BID && open.crossing_ms(index) == 0;
        is_home && *bid <= bid_ms.saturating_add(cost)
    };
    cost > 0 && !open.is_settled && open.bids.iter().enumerate().any(is_better)
}

/// Chooses the lowest bid, the cost of leaving the entry's availability zone
/// included, once all agents have bid.
fn choose_lowest_bid(mut open: Open) -> Verdict {
    let bids = open.bids.iter().enumerate();
    let lowest = bids.min_by_key(|(index, bid)| bid.saturating_add(open.crossing_ms(*index)));
    match lowest {
        Some((index, bid)) if *bid != NO_BID && *bid % NO_ROOM <= open.max_wait_ms => {
            let is_here = !open.is_settled && index + 1 == open.path.len();
            open.position = u8::try_from(index).unwrap_or(u8::MAX);
            open.is_settled = true;
            if is_here {
                Verdict::Admit(open)
            } else {
                Verdict::Pass(open)
            }
        }
        _ => Verdict::Refuse(open),
    }
}

const fn max_wait(open: &Open) -> Duration {
    Duration::from_millis(open.max_wait_ms as u64)
}
