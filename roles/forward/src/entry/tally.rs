//! Counts new flows by zone and reason, and notices when a zone overflows.
use std::collections::BTreeMap;
use std::time::Duration;

use wire::ZoneId;

use super::Action;

/// Reason for which a new flow was sent to a server of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The server is in the zone of the entry.
    Home,
    /// The entry's zone has servers, but another one is expected to answer sooner,
    /// the cost of crossing included.
    Overflow,
    /// The entry's zone has no server that accepts new flows.
    HomeHasNone,
}

/// Shares of the new flows of a review that overflow, from which on an overflow begins
/// and below which it may end. Single flows leave a zone that has room.
const BEGIN_SHARE: f64 = 0.1;
const END_SHARE: f64 = 0.05;

/// Number of overflowing flows in a review below which no overflow begins.
const MIN_FLOWS: u32 = 5;

/// Time with few overflowing flows after which an overflow has ended.
const QUIET_TIME: Duration = Duration::from_secs(5);

/// Counts of new flows.
#[derive(Debug, Default)]
pub struct Tally {
    flows: BTreeMap<(ZoneId, Reason), u64>,
    /// New flows since the last review, and those of them that overflowed.
    opened: u32,
    overflowed: u32,
    overflow: Option<Overflow>,
}

/// Overflow that has not ended.
#[derive(Clone, Copy, Debug)]
struct Overflow {
    since: Duration,
    /// Time of the last review with many overflowing flows.
    last: Duration,
    flows: u64,
}

impl Tally {
    /// Records that a new flow was sent to a server of a zone.
    pub fn record(&mut self, zone: ZoneId, reason: Reason) {
        *self.flows.entry((zone, reason)).or_default() += 1;
        self.opened += 1;
        self.overflowed += u32::from(reason == Reason::Overflow);
    }

    /// Returns the number of flows by zone and reason.
    pub fn flows(&self) -> impl Iterator<Item = (ZoneId, Reason, u64)> {
        let flows = self.flows.iter();
        flows.map(|((zone, reason), count)| (*zone, *reason, *count))
    }

    /// Reviews the flows since the last review, about a second ago. Returns the begin
    /// or the end of an overflow.
    pub fn review(&mut self, now: Duration) -> Option<Action> {
        let opened = std::mem::take(&mut self.opened);
        let overflowed = std::mem::take(&mut self.overflowed);
        let share = f64::from(overflowed) / f64::from(opened.max(1));
        match &mut self.overflow {
            None if share >= BEGIN_SHARE && overflowed >= MIN_FLOWS => {
                self.overflow = Some(Overflow {
                    since: now,
                    last: now,
                    flows: u64::from(overflowed),
                });
                Some(Action::OverflowBegan { overflowed, opened })
            }
            None => None,
            Some(overflow) => {
                overflow.flows += u64::from(overflowed);
                if share >= END_SHARE {
                    overflow.last = now;
                }
                let (flows, since) = (overflow.flows, overflow.since);
                let is_over = now >= overflow.last + QUIET_TIME;
                is_over.then(|| {
                    self.overflow = None;
                    let lasted = now.saturating_sub(since);
                    Action::OverflowEnded { flows, lasted }
                })
            }
        }
    }
}
