//! Forwards single requests of independent flows to other agents.
//!
//! The holder remains responsible for the request: it has recorded it,
//! forwards it to one agent at a time, and answers the caller itself.
use std::net::SocketAddr;
use std::time::Duration;

use flow::State;
use flow::record::Refusal;
use route::hunt;
use wire::Target;
use wire::caller::Reason;

use crate::Action;
use crate::Agent;
use crate::Offer;
use crate::Outcome;
use crate::agent::Outbox;
use crate::event::JobId;
use crate::offer;
use crate::retry::Placement;
use crate::status::Counter;
use crate::task::Stage;
use crate::task::Task;
use crate::view::Binding;

/// The agent that a request was forwarded to, and the number of the offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Assignment {
    pub(crate) number: u64,
    /// Control address of the agent.
    pub(crate) to: SocketAddr,
}

impl Agent {
    /// Returns true if a new request should preferably run at another agent:
    /// the wait for a slot here is long compared to the round trip, or this
    /// agent is draining or leaving.
    pub(crate) fn prefers_passing(&self, now: Duration) -> bool {
        let wait = self.gate.expected_wait(now);
        let is_full =
            !self.gate.has_free_slot() && hunt::should_forward(wait, self.settings.pass.round_trip);
        is_full || self.draining || self.leaving.is_some()
    }

    /// Forwards a request to the next agent. Returns false if no candidate is
    /// left, the service is bound, or too little time is left until the
    /// deadline.
    pub(crate) fn pass(&mut self, outbox: &mut Outbox<'_>, job: JobId) -> bool {
        let settings = self.settings.pass;
        let Some(task) = self.tasks.get(&job) else {
            return false;
        };
        let may_pass = self.view.service.binding == Binding::Independent
            && task.is_from_caller()
            && task.tried_targets.len() < settings.max_attempts
            && outbox.now + settings.min_time_left < task.deadline;
        if !may_pass {
            return false;
        }
        let Some(target) = self.next_candidate(task).cloned() else {
            return false;
        };
        self.send_offer(outbox, job, &target);
        true
    }

    /// Returns the first target in the request's own order that it has not been
    /// forwarded to. The order is keyed by flow and request, so that the requests
    /// of one flow spread over the targets.
    fn next_candidate(&self, task: &Task) -> Option<&Target> {
        let key = task.key.flow ^ task.key.request.rotate_left(u64::BITS / 2);
        self.order
            .top_open(key, task.tried_targets.len() + 2)
            .find(|target| {
                target.id != self.identity.id && !task.tried_targets.contains(&target.id)
            })
    }

    fn send_offer(&mut self, outbox: &mut Outbox<'_>, job: JobId, target: &Target) {
        let number = self.next_id();
        let origin = self.token;
        let service = self.identity.service;
        let Some(task) = self.tasks.get_mut(&job) else {
            return;
        };
        let to = target.control;
        task.tried_targets.push(target.id);
        task.stage = Stage::Passed(Assignment { number, to });
        // Returns false if an earlier attempt has already set this state.
        let _ = self.ledger.advance(outbox.now, task.key, State::Running);
        let offer = Offer {
            id: offer::Id { origin, number },
            service,
            flow: task.key.flow,
            request: task.key.request,
            idempotent: task.idempotent,
            remaining: task.deadline.saturating_sub(outbox.now),
            payload: task.payload.clone(),
        };
        self.tasks_by_offer.insert(number, job);
        self.counters.add(Counter::RequestPassed);
        outbox.push(Action::Pass { to, offer });
    }

    pub(crate) fn on_passed(
        &mut self,
        outbox: &mut Outbox<'_>,
        offer: offer::Id,
        outcome: Outcome,
    ) {
        if offer.origin != self.token {
            return;
        }
        let Some(job) = self.tasks_by_offer.remove(&offer.number) else {
            return;
        };
        match outcome {
            Outcome::Answered(bytes) => self.answer(outbox, job, bytes),
            Outcome::Unknown => self.retry_unknown(outbox, job),
            Outcome::NotRun {
                reason,
                retry_after,
            } => {
                let refusal = Refusal {
                    reason: match reason.reason() {
                        Reason::Draining => Reason::Overloaded,
                        reason => reason,
                    },
                    retry_after,
                };
                self.retry_refused(outbox, job, refusal);
            }
        }
    }

    /// Retries a request that another agent did not run: at the gate here if a
    /// slot is free soon, or else at the next agent. If no other agent may run
    /// it, an agent that is leaving refuses it, and any other submits it to its
    /// own gate.
    fn retry_refused(&mut self, outbox: &mut Outbox<'_>, job: JobId, refusal: Refusal) {
        if let Some(task) = self.tasks.get_mut(&job) {
            task.stage = Stage::New;
        }
        if !self.prefers_passing(outbox.now) {
            return self.submit_to_gate(outbox, job);
        }
        if self.leaving.is_some() {
            return self.retry_not_run(outbox, job, refusal, Placement::OtherServers);
        }
        self.pass_again_or_submit(outbox, job);
    }

    /// Forwards a request to the next agent if the retry budget allows it and a
    /// candidate is left; otherwise submits it to the gate here.
    fn pass_again_or_submit(&mut self, outbox: &mut Outbox<'_>, job: JobId) {
        if self.budget.withdraw() {
            self.counters.add(Counter::RetryNotRun);
            if self.pass(outbox, job) {
                return;
            }
        }
        self.submit_to_gate(outbox, job);
    }
}
