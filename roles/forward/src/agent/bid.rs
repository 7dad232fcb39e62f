//! Decides where an opening packet ends.
//!
//! Answers the load of many short flows on few slots: the first agent with a
//! free slot takes a flow; where all are busy, the one that will be free first.
use std::time::Duration;

use wire::transit::Open;

/// Bid of an agent that takes no flows.
pub const NO_BID: u32 = u32::MAX;

/// Expected wait up to which an agent takes a flow without asking others.
/// About the time that passing it on takes.
const NEGLIGIBLE_WAIT: Duration = Duration::from_millis(2);

/// Expected loss up to which it does not either: a failure in fifty requests.
const NEGLIGIBLE_RISK: Duration = Duration::from_millis(20);

/// What becomes of an opening packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is taken here.
    Take(Open),
    /// It goes to the agent at its position.
    Pass(Open),
    /// No agent on its path can serve it in time.
    Refuse(Open),
}

/// What a new flow can expect of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bid {
    /// Expected wait of its first request.
    pub wait: Duration,
    /// Expected wait through the requests of other flows, later.
    pub held: Duration,
    /// What the request is expected to lose through failures.
    pub risk: Duration,
}

impl Bid {
    /// The bid as a number of milliseconds.
    fn millis(self) -> u32 {
        let sum = self.wait + self.held + self.risk;
        u32::try_from(sum.as_millis()).unwrap_or(NO_BID - 1)
    }
}

/// Decides where an opening packet goes, given the bid here, or `None` where no
/// flows are taken.
#[must_use]
pub fn decide(mut open: Open, bid: Option<Bid>) -> Verdict {
    let bid_ms = bid.map_or(NO_BID, Bid::millis);
    match bid {
        Some(bid) if bid.wait <= NEGLIGIBLE_WAIT && bid.risk <= NEGLIGIBLE_RISK => {
            return Verdict::Take(open);
        }
        Some(bid) if open.is_settled && bid.wait <= max_wait(&open) => return Verdict::Take(open),
        // The agent that was to take it no longer can: the next best is asked.
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

/// Chooses the least bid once all agents have bid.
fn choose_lowest_bid(mut open: Open) -> Verdict {
    let bids = open.bids.iter().enumerate();
    let least = bids.min_by_key(|(_, bid)| **bid);
    match least {
        Some((place, bid)) if *bid <= open.patience_ms => {
            let is_here = !open.is_settled && place + 1 == open.path.len();
            open.position = u8::try_from(place).unwrap_or(u8::MAX);
            open.is_settled = true;
            if is_here {
                Verdict::Take(open)
            } else {
                Verdict::Pass(open)
            }
        }
        _ => Verdict::Refuse(open),
    }
}

const fn max_wait(open: &Open) -> Duration {
    Duration::from_millis(open.patience_ms as u64)
}
