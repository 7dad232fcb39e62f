//! Retries requests that are known not to have run, and idempotent ones with an
//! unknown outcome, within the retry budget and their deadline.
use std::time::Duration;

use flow::record::Refusal;
use wire::caller::Reason;

use crate::Agent;
use crate::agent::Outbox;
use crate::event::JobId;
use crate::status::Counter;
use crate::task::End;

/// Largest number of retries of one request.
const MAX_RETRIES: u8 = 2;

/// Backend servers at which a request that did not run may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// Only other backend servers.
    OtherServers,
    /// Another backend server or, if the request cannot be forwarded, the one
    /// here.
    AnyServer,
}

impl Agent {
    /// Retries a request that is known not to have run, or refuses it.
    pub(crate) fn retry_not_run(
        &mut self,
        outbox: &mut Outbox<'_>,
        job: JobId,
        refusal: Refusal,
        placement: Placement,
    ) {
        if !self.spend_retry(outbox.now, job) {
            return self.conclude(outbox, job, End::NotRun(refusal));
        }
        self.counters.add(Counter::RetryNotRun);
        match placement {
            _ if self.pass(outbox, job) => {}
            Placement::AnyServer if self.leaving.is_none() => self.submit_to_gate(outbox, job),
            _ => self.conclude(outbox, job, End::NotRun(refusal)),
        }
    }

    /// Retries a request with an unknown outcome if it is idempotent.
    pub(crate) fn retry_unknown(&mut self, outbox: &mut Outbox<'_>, job: JobId) {
        let Some(task) = self.tasks.get_mut(&job) else {
            return;
        };
        task.may_have_run = true;
        if !task.idempotent || !self.spend_retry(outbox.now, job) {
            return self.end_unknown(outbox, job, Reason::BackendFailed);
        }
        self.counters.add(Counter::RetryIdempotent);
        if !self.pass(outbox, job) {
            self.submit_to_gate(outbox, job);
        }
    }

    /// Withdraws a retry of a request from the retry budget. Returns false if
    /// the request must not be retried: another agent holds its flow, it was
    /// retried [`MAX_RETRIES`] times, its deadline is too close, or the budget
    /// is spent.
    fn spend_retry(&mut self, now: Duration, job: JobId) -> bool {
        let latest = now + self.settings.pass.min_time_left;
        let Some(task) = self
            .tasks
            .get_mut(&job)
            .filter(|task| task.is_from_caller() && latest < task.deadline)
            .filter(|task| task.retries < MAX_RETRIES)
        else {
            return false;
        };
        if self.budget.withdraw() {
            task.retries += 1;
            return true;
        }
        self.counters.add(Counter::RetryBudgetSpent);
        false
    }
}
