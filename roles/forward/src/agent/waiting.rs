//! Holds new flows back while the backend server has no room for them.
use std::time::Duration;

use wire::Segment;
use wire::transit::Open;

use super::Action;
use super::Agent;
use super::Bid;
use super::Closed;
use super::DropReason;
use super::admission::intended_target;

/// New flow that waits for a slot.
#[derive(Debug)]
pub(super) struct Arrival {
    /// Header of its opening packet.
    segment: Segment,
    open: Open,
}

/// Times between the first opening packet of a flow and its copies.
const COPY_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];

impl Agent {
    /// Holds a new flow back until the backend server has room, and names this
    /// agent to the entry, so that copies of the opening packet come here too.
    pub(super) fn hold_back(
        &mut self,
        now: Duration,
        segment: Segment,
        open: Open,
        bid: Bid,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_caller();
        let (until, entry) = (now + self.patience(&segment), open.entry);
        let arrival = Arrival { segment, open };
        actions.push(Action::Waits {
            flow,
            bid,
            waiting: self.waiting.len(),
        });
        if self.waiting.push(until, arrival).is_some() {
            actions.push(Action::Dropped(DropReason::NoSlotInTime));
        }
        self.announce_holder(now, flow, entry, actions);
    }

    /// Returns how long the caller of an opening packet still waits for its answer.
    pub(super) fn patience(&self, segment: &Segment) -> Duration {
        let copy = usize::try_from(segment.acknowledged).unwrap_or(usize::MAX);
        let waited = COPY_DELAYS[copy.min(COPY_DELAYS.len() - 1)];
        let settings = &self.settings;
        settings
            .opening_timeout
            .saturating_sub(waited + settings.answer_delay)
    }

    /// Returns true if the flow of an opening packet waits for a slot.
    pub(super) fn is_waiting(&self, segment: &Segment) -> bool {
        let flow = segment.flow_from_caller();
        let arrival = self.waiting.find(|arrival| {
            arrival.segment.flow_from_caller() == flow
                && arrival.segment.sequence == segment.sequence
        });
        arrival.is_some()
    }

    /// Admits waiting flows while the backend server has room, passes all on if it
    /// no longer accepts any, and drops those whose callers have given up.
    pub(super) fn admit_waiting(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for _ in self.waiting.expire(now) {
            actions.push(Action::Dropped(DropReason::NoSlotInTime));
        }
        loop {
            let closed = match self.closed_reason(now) {
                None | Some(Closed::Queue) if !self.has_spare_slot() => return,
                None | Some(Closed::Queue) => None,
                Some(closed) => Some(closed),
            };
            let Some(Arrival { segment, open }) = self.waiting.pop() else {
                return;
            };
            let is_own = intended_target(&open) == Some(self.own.target);
            match closed.or((!is_own).then_some(Closed::OtherServer)) {
                None => {
                    let bid = self.bid(now).unwrap_or_default();
                    self.admit(now, &segment, open, bid, actions);
                }
                Some(closed) => self.decide_open(now, segment, open, Err(closed), actions),
            }
        }
    }
}
