//! Takes what the backend server sends, hands back and tells of itself.
use std::time::Duration;

use bytes::Bytes;
use limit::Risk;
use wire::Segment;
use wire::segment::Kind;
use wire::transit::Carry;

use super::Action;
use super::Agent;
use super::Backend;
use super::Drop;
use super::FIRST_SEQUENCE;
use super::State;
use super::backend::Start;
use super::flow::Flow;
use super::flow::Progress;
use super::unknown::Evidence;
use super::unknown::not_here;

impl Agent {
    /// Takes a packet that the backend server handed back.
    pub(super) fn returned(
        &mut self,
        now: Duration,
        segment: Segment,
        packet: Bytes,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.from_caller();
        let probe = self.probes.remove(&flow);
        let held = self.flows.remove(&flow);
        if held.as_ref().is_some_and(|flow| flow.start.is_some()) {
            self.occupancy.release(now);
        }
        if segment.kind == Kind::Open {
            return self.unaccepted(now, flow, segment, held, packet, actions);
        }
        self.absent.insert(now, flow, ());
        actions.push(Action::Returned {
            flow,
            was_held: held.is_some(),
        });
        let asker = probe
            .map(|probe| probe.asker)
            .or(held.and_then(|flow| flow.entry));
        let Some(asker) = asker else {
            return;
        };
        if asker == self.own.address {
            return self.denied_here(now, flow, actions);
        }
        let carry = Carry {
            target: self.own.target,
            entry: asker,
            packet,
        };
        not_here(flow, carry, &segment, self.evidence(now), actions);
    }

    /// Takes a packet that the backend server sent to a caller.
    pub(super) fn sent(
        &mut self,
        now: Duration,
        segment: Segment,
        packet: Bytes,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.from_server();
        let probe = self.probes.remove(&flow);
        let held = self.flows.entry(flow).or_insert_with(|| Flow::found(now));
        match held.server_sent(now, &segment, &mut self.occupancy) {
            Some(Progress::Answered(took)) => {
                self.risk.answered(now);
                actions.push(Action::Answered { took });
            }
            Some(Progress::Failed) => {
                self.risk.failed(now);
                actions.push(Action::Failed { flow });
            }
            Some(Progress::Begun) | None => {}
        }
        actions.push(Action::ToCaller {
            caller: flow.caller,
            packet,
        });
        if let Some(probe) = probe {
            held.entry = Some(probe.entry);
            self.tell(now, flow, probe.entry, actions);
        }
    }

    /// Takes what the backend server tells of itself; what an earlier one said
    /// is no longer true.
    pub(super) fn state(&mut self, now: Duration, backend: Backend, actions: &mut Vec<Action>) {
        let held = self.backend.as_ref();
        if held.is_some_and(|held| backend.is_older_than(held)) {
            return actions.push(Action::Dropped(Drop::OldAnnouncement));
        }
        let is_first = held.is_none();
        if held.is_none_or(|held| held.start != backend.start) {
            if !is_first {
                self.gone(now, actions);
                self.risk = Risk::new(self.settings.risk, now);
            }
            // This process hears of all flows of a start that it saw begin.
            self.has_past &= is_first && backend.sequence > FIRST_SEQUENCE;
            self.first_heard = now;
            // The first announcement is sent with the start.
            let before = backend.sequence.saturating_sub(FIRST_SEQUENCE);
            let before = u32::try_from(before).unwrap_or(u32::MAX);
            self.age_then = self.settings.heartbeat.saturating_mul(before);
        }
        self.heard = now;
        self.unanswered = None;
        self.own.target = backend.target;
        self.occupancy.set_slots(backend.slots);
        self.backend = Some(backend);
    }

    /// Gives up the flows of a backend server that has ended.
    pub(super) fn gone(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some(backend) = &mut self.backend {
            backend.state = State::Gone;
        }
        if !self.flows.is_empty() {
            actions.push(Action::Ended {
                flows: self.flows.len(),
            });
        }
        for (flow, held) in self.flows.drain() {
            if held.start.is_some() {
                self.occupancy.release(now);
            }
            self.dead.insert(now, flow, ());
        }
        self.probes.clear();
    }

    /// What proves that the backend server does not hold a flow.
    pub(super) fn evidence(&self, now: Duration) -> Option<Evidence> {
        let (age, start) = (self.age(now)?, self.start()?);
        Some(Evidence { age, start })
    }

    /// When the backend server started, by its own clock, if it said so.
    pub(super) fn start(&self) -> Option<Start> {
        self.backend.as_ref().map(|backend| backend.start)
    }

    /// Longest time for which the backend server can have run; its announcements
    /// count its time.
    pub(super) fn age(&self, now: Duration) -> Option<Duration> {
        self.backend.as_ref()?;
        Some(self.age_then + now.saturating_sub(self.first_heard))
    }
}
