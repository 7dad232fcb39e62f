//! Holds new flows back while the backend server has no room for them.
use std::time::Duration;

use wire::FlowId;
use wire::Segment;
use wire::transit::Open;

use super::Action;
use super::Agent;
use super::Bid;
use super::Closed;
use super::DropReason;
use super::Refusal;
use super::Step;
use super::admission::intended_target;
use super::class;

/// New flow that waits for a slot.
#[derive(Debug)]
pub(super) struct Arrival {
    /// Header of its opening packet.
    segment: Segment,
    open: Open,
    arrived: Duration,
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
        // The other agents on the path have passed the flow back: its later packets
        // would go round between them and this one.
        self.passed_flows.remove(&flow);
        let (claim, entry) = (self.claim(now, &segment, &open), open.entry);
        self.record_wait(now, &open, actions);
        actions.push(Action::Waits {
            flow,
            bid,
            waiting: self.waiting.len(),
        });
        let arrival = Arrival {
            segment,
            open,
            arrived: now,
        };
        if let Some(displaced) = self.waiting.push_claim(claim, arrival) {
            expire_arrival(&displaced, actions);
        }
        self.announce_holder(now, flow, entry, actions);
    }

    /// Returns how long the caller of an opening packet still waits for its answer.
    pub(super) fn patience(&self, segment: &Segment) -> Duration {
        self.settings.patience().saturating_sub(waited(segment))
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
        for expired in self.waiting.expire(now) {
            expire_arrival(&expired, actions);
        }
        self.refuse_waiting(now, actions);
        loop {
            let closed = match self.closed_reason(now) {
                None | Some(Closed::Queue) => None,
                Some(closed) => Some(closed),
            };
            let next = match closed {
                Some(_) => self.waiting.pop(),
                None => self.pop_waiting(now),
            };
            let Some(arrival) = next else {
                return;
            };
            let Arrival { segment, open, .. } = arrival;
            let is_own = intended_target(&open) == Some(self.own.target);
            match closed.or((!is_own).then_some(Closed::OtherServer)) {
                None => {
                    let class = self.class(now, &open);
                    let bid = self.bid(now, class).unwrap_or_default();
                    let waited = now.saturating_sub(arrival.arrived);
                    class::report_step(&open, Step::Admitted(waited), actions);
                    self.admit(now, &segment, open, bid, actions);
                }
                Some(closed) => self.decide_open(now, segment, open, Err(closed), actions),
            }
        }
    }

    /// Removes and returns the waiting flow that the backend server may be sent next,
    /// if it may be sent any.
    fn pop_waiting(&mut self, now: Duration) -> Option<Arrival> {
        if !self.overload.has_classes(now) {
            return self.has_spare_slot(now).then(|| self.waiting.pop())?;
        }
        if let Some(due) = self.due_class() {
            let has_room = self.has_room(now, None);
            return has_room.then(|| self.waiting.pop_urgent(now, Some(due)))?;
        }
        let next = self.waiting.priorities().min()?;
        let has_place = self.has_place_for_waiting(now, next);
        has_place.then(|| self.waiting.pop_urgent(now, None))?
    }

    /// Refuses the flows that would rather be taken by another server, while their
    /// callers cannot have sent a copy of the opening packet, which might be opened
    /// there.
    fn refuse_waiting(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let settings = &self.settings;
        let is_undecided = |arrival: &&Arrival| {
            let age = now.saturating_sub(arrival.arrived);
            age >= settings.prompt_rejection / 2 && age < settings.prompt_rejection
        };
        let undecided = self.waiting.iter().filter(is_undecided);
        let refused: Vec<FlowId> = undecided
            .filter(|Arrival { segment, open, .. }| self.is_sooner_elsewhere(now, segment, open))
            .map(|arrival| arrival.segment.flow_from_caller())
            .collect();
        if refused.is_empty() {
            return;
        }
        let is_refused = |arrival: &Arrival| refused.contains(&arrival.segment.flow_from_caller());
        for Arrival { segment, open, .. } in self.waiting.take(is_refused) {
            self.refuse(now, &segment, open, Refusal::SoonerElsewhere, actions);
        }
    }
}

/// Drops a flow whose caller has given up. It is not reset, because it may have been
/// opened elsewhere through a copy of its opening packet.
fn expire_arrival(arrival: &Arrival, actions: &mut Vec<Action>) {
    class::report_step(&arrival.open, Step::Expired, actions);
    actions.push(Action::Dropped(DropReason::NoSlotInTime));
}

/// Returns how long ago the caller of an opening packet sent the first copy.
pub(super) fn waited(segment: &Segment) -> Duration {
    let copy = usize::try_from(segment.acknowledged).unwrap_or(usize::MAX);
    COPY_DELAYS[copy.min(COPY_DELAYS.len() - 1)]
}
