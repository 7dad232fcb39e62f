//! Decides which class of new flows gets the next place at the backend server.
//!
//! Applies only where opening frames state demands of more than one priority. A flow
//! without a demand, from an entry of an earlier version, counts as most urgent.
use std::time::Duration;

use limit::overload;
use limit::waiting::Claim;
use wire::Priority;
use wire::Segment;
use wire::transit::Demand;
use wire::transit::Open;

use super::Action;
use super::Agent;
use super::Bid;
use super::bid;
use super::waiting::waited;

/// Part of the queue, and of the budget of a cold server, that is kept from less
/// urgent flows during overload: half. With 6 places and two slots of 25 ms, the
/// three others delay an urgent request by 50 ms.
const KEPT_SHARE: u16 = 2;

/// Decision on a flow of a class, to be counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The opening packet arrived.
    Arrived,
    /// The flow was admitted after it had waited here for this time.
    Admitted(Duration),
    /// The flow waits for a place.
    Waits,
    /// The flow was refused: it could not be answered before its caller gives up.
    TooLate,
    /// The flow was refused: another server can take it sooner.
    SoonerElsewhere,
    /// The flow waited until its caller gave up.
    Expired,
}

impl Agent {
    /// Records what an opening frame states, and what it shows about other agents.
    pub(super) fn record_demand(&mut self, now: Duration, open: &Open, actions: &mut Vec<Action>) {
        let Some(demand) = open.demand else {
            return;
        };
        self.warm_up.set_rate(demand.cold_rate);
        if !open.is_settled {
            let is_first = open.position == 0;
            self.overload.record_arrival(now, demand.priority, is_first);
            report_step(open, Step::Arrived, actions);
        }
        for (hop, bid_ms) in open.path.iter().zip(&open.bids) {
            if hop.target != self.own.target {
                let wait = bid::wait_with_room(*bid_ms);
                self.vacancy.record(now, hop.target, demand.priority, wait);
            }
        }
    }

    /// Returns the class of a flow; `None` where all flows are of one class.
    pub(super) fn class(&self, now: Duration, open: &Open) -> Option<Priority> {
        if !self.overload.has_classes(now) {
            return None;
        }
        let stated = open.demand.map(|demand| demand.priority);
        stated.or_else(|| self.overload.most_urgent(now))
    }

    /// Returns true if the backend server may be sent the request of a new flow.
    pub(super) fn has_room(&self, now: Duration, class: Option<Priority>) -> bool {
        let slots = self.occupancy.slots();
        let places = slots.saturating_add(self.settings.max_queued);
        let running = self.occupancy.running();
        let preceded = class.filter(|class| self.overload.is_preceded(now, *class));
        let is_restricted = preceded.is_some_and(|class| self.overload.is_restricted(now, class));
        // Requests on open flows cannot be held back, so no more flows are accepted than
        // leave urgent requests what they need.
        let rate = self.occupancy.steady_rate();
        let places = match preceded {
            Some(class) if self.overload.is_used_up(now, class, rate) => 0,
            _ if is_restricted => places - self.settings.max_queued / KEPT_SHARE,
            _ => places,
        };
        if !is_restricted {
            return running < places && self.warm_up.has_room_beside(now, 0);
        }
        let budget = self.warm_up.limit(now).unwrap_or_default();
        let kept = budget / usize::from(KEPT_SHARE);
        running < places && self.warm_up.has_room_beside(now, kept)
    }

    /// Returns true if the backend server may be sent the request of a flow that has
    /// waited: it takes a slot that would be idle otherwise, and does not delay the
    /// requests of callers that can still be answered promptly.
    pub(super) fn has_spare_slot(&self, now: Duration) -> bool {
        let is_spare = self.occupancy.running() <= self.occupancy.slots();
        is_spare && self.warm_up.has_room_beside(now, 0)
    }

    /// Returns true if the backend server may be sent the request of a waiting flow of a
    /// class.
    pub(super) fn has_place_for_waiting(&self, now: Duration, class: Priority) -> bool {
        let mut classes = self.overload.priorities(now);
        let is_least = classes.all(|other| other <= class);
        let may_queue = !is_least && !self.overload.is_restricted(now, class);
        // Arriving flows get any free place: a waiting one that needed several would be
        // overtaken until it is too late for it.
        (may_queue || self.has_spare_slot(now)) && self.has_room(now, Some(class))
    }

    /// Returns the bid for a flow of a class, given that for any flow.
    pub(super) fn class_bid(&self, now: Duration, class: Option<Priority>, bid: Bid) -> Bid {
        let Some(class) = class else {
            return bid;
        };
        Bid {
            wait: self.class_wait(now, class),
            has_room: self.has_room(now, Some(class)),
            ..bid
        }
    }

    /// Returns the expected wait of a new flow of a class. Waiting flows that are less
    /// urgent do not delay it, and more urgent ones that arrive later do.
    pub(super) fn class_wait(&self, now: Duration, class: Priority) -> Duration {
        let ahead = self.waiting.count_up_to(class);
        let load = self.occupancy.load();
        let rate = self.occupancy.steady_rate();
        let share = self.overload.share(now, class, rate);
        let waiting = u32::try_from(ahead).unwrap_or(u32::MAX);
        let turn = load.service_time() / u32::from(load.slots.max(1));
        let by_slots = load.wait() + turn.saturating_mul(waiting).div_f64(share);
        by_slots.max(self.warm_up.wait(now, ahead))
    }

    /// Returns what a flow of a class claims while it waits.
    pub(super) fn claim(&self, now: Duration, segment: &Segment, open: &Open) -> Claim {
        let class = self.class(now, open);
        let until = now + self.class_patience(class, segment, open);
        let Some(demand) = open.demand else {
            return Claim {
                priority: self.overload.most_urgent(now).unwrap_or_default(),
                prompt_until: until,
                until,
            };
        };
        let target = Duration::from_millis(u64::from(demand.latency_target_ms));
        Claim {
            priority: demand.priority,
            prompt_until: now + self.left_of(target, segment),
            until,
        }
    }

    /// Returns how long a flow may wait here for an answer within a time that its
    /// caller began to count with the first opening packet.
    fn left_of(&self, time: Duration, segment: &Segment) -> Duration {
        let needed = waited(segment) + self.occupancy.service_time();
        time.saturating_sub(needed)
    }

    /// Returns how long a flow can wait for its first slot and still be answered before
    /// its caller gives up.
    pub(super) fn class_patience(
        &self,
        class: Option<Priority>,
        segment: &Segment,
        open: &Open,
    ) -> Duration {
        let patience = self.patience(segment);
        if class.is_none() {
            return patience;
        }
        let timeout = Duration::from_millis(u64::from(open.max_wait_ms));
        patience.min(self.left_of(timeout, segment))
    }

    /// Returns true if a flow that finds no room should rather be refused now: it would
    /// be answered after its target latency, and another server can take it sooner.
    pub(super) fn is_sooner_elsewhere(
        &self,
        now: Duration,
        segment: &Segment,
        open: &Open,
    ) -> bool {
        let (Some(class), Some(demand)) = (self.class(now, open), open.demand) else {
            return false;
        };
        let target = Duration::from_millis(u64::from(demand.latency_target_ms));
        let wait = self.class_wait(now, class);
        !segment.is_retransmission()
            && wait > self.left_of(target, segment)
            && self.vacancy.has_sooner(now, class, wait)
    }

    /// Records that a flow has to wait, which is a sign of overload if it is urgent.
    pub(super) fn record_wait(&mut self, now: Duration, open: &Open, actions: &mut Vec<Action>) {
        if let Some(class) = self.class(now, open) {
            self.overload.record_sign(now, class);
            self.report_overload(now, actions);
        }
        report_step(open, Step::Waits, actions);
    }

    /// Records that a flow was admitted.
    pub(super) fn record_admission(&mut self, now: Duration, open: &Open) {
        self.warm_up.record(now);
        if let Some(demand) = open.demand {
            let waiting = self.waiting.priorities();
            self.overload
                .record_admission(now, demand.priority, waiting);
        }
    }

    /// Returns the class whose turn it is, of those that wait.
    pub(super) fn due_class(&mut self) -> Option<Priority> {
        let due = self.overload.due()?;
        if self.waiting.priorities().any(|priority| priority == due) {
            return Some(due);
        }
        self.overload.skip_turn(due);
        None
    }

    /// Returns the lowest priority whose new flows are refused.
    pub(super) fn refused_from(&self, now: Duration) -> Option<Priority> {
        if !self.overload.has_classes(now) {
            return None;
        }
        let patience = self.settings.patience();
        let mut classes = self.overload.priorities(now);
        classes.find(|class| {
            !self.has_room(now, Some(*class)) && self.class_wait(now, *class) > patience
        })
    }

    /// Reports the beginning or end of an overload.
    pub(super) fn report_overload(&mut self, now: Duration, actions: &mut Vec<Action>) {
        match self.overload.take_change(now) {
            Some(overload::Change::Began { priority }) => actions.push(Action::OverloadBegan {
                priority,
                running: self.occupancy.running(),
                waiting: self.waiting.len(),
                held: self.flows.len(),
            }),
            Some(overload::Change::Ended { lasted }) => {
                actions.push(Action::OverloadEnded { lasted });
            }
            None => {}
        }
    }

    /// Returns the number of new flows that the backend server gets at most in any one
    /// second while it is cold; 0 if it is warm or not limited.
    #[must_use]
    pub fn cold_limit(&self, now: Duration) -> u64 {
        let limit = self.warm_up.limit(now).unwrap_or_default();
        u64::try_from(limit).unwrap_or(u64::MAX)
    }

    /// Reports that the new flows of a cold backend server are limited from now on.
    pub(super) fn report_cold(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let limit = self.warm_up.limit(now);
        if let Some(limit) = limit.filter(|_| !self.is_limited) {
            let left = self.warm_up.cold_time(now);
            actions.push(Action::Cold { left, limit });
        }
        self.is_limited = limit.is_some();
    }
}

/// Reports a decision on a flow that has a demand.
pub(super) fn report_step(open: &Open, step: Step, actions: &mut Vec<Action>) {
    if let Some(Demand { priority, .. }) = open.demand {
        actions.push(Action::Class { priority, step });
    }
}
