//! Passes single requests of independent flows to other agents.
//!
//! The holder stays the one authority: it has recorded the request, passes it
//! to one agent at a time, and answers the caller itself.
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

/// Which agent has a request, and as which offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Assignment {
    pub(crate) number: u64,
    /// Control address of the agent.
    pub(crate) to: SocketAddr,
}

impl Agent {
    /// Whether a request that comes now is better run elsewhere.
    pub(crate) fn prefers_passing(&self, now: Duration) -> bool {
        let wait = self.gate.expected_wait(now);
        let is_full = !self.gate.free() && hunt::pass_pays(wait, self.settings.pass.round_trip);
        is_full || self.draining || self.leaving.is_some()
    }

    /// Passes a request to the next agent; false where none is left, the
    /// service is bound, or the deadline leaves no room.
    pub(crate) fn pass(&mut self, outbox: &mut Outbox<'_>, job: JobId) -> bool {
        let settings = self.settings.pass;
        let Some(task) = self.tasks.get(&job) else {
            return false;
        };
        let may_pass = self.view.service.binding == Binding::Independent
            && task.is_from_caller()
            && task.tried_targets.len() < settings.tries
            && outbox.now + settings.room < task.deadline;
        if !may_pass {
            return false;
        }
        let Some(target) = self.next_candidate(task).cloned() else {
            return false;
        };
        self.send_offer(outbox, job, &target);
        true
    }

    /// The first agent of the request's own order that was not asked.
    fn next_candidate(&self, task: &Task) -> Option<&Target> {
        let key = task.key.flow ^ task.key.request.rotate_left(u64::BITS / 2);
        self.order
            .open(key, task.tried_targets.len() + 2)
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
        // False where an earlier try has made it so already.
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
        self.counters.add(Counter::Passed);
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

    /// An agent did not run a request: the next one gets it, or the backend
    /// server here, as if the request had just come.
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
        self.retry_not_run_or_queue(outbox, job);
    }

    /// Passes on within the retry budget; otherwise the request queues here.
    fn retry_not_run_or_queue(&mut self, outbox: &mut Outbox<'_>, job: JobId) {
        if self.budget.withdraw() {
            self.counters.add(Counter::RetryNotRun);
            if self.pass(outbox, job) {
                return;
            }
        }
        self.submit_to_gate(outbox, job);
    }
}
