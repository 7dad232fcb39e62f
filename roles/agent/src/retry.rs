//! Tries requests again: those known not to have run, and idempotent ones
//! whose outcome was lost, within a budget and their deadline.
use std::time::Duration;

use flow::record::Refusal;
use wire::caller::Reason;

use crate::Agent;
use crate::agent::Outbox;
use crate::event::JobId;
use crate::status::Counter;
use crate::task::End;

/// Largest number of times that one request is tried again.
const MAX_RETRIES: u8 = 2;

/// Where a request that did not run may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// Only at another backend server.
    OtherServers,
    /// At another backend server, or else here.
    AnyServer,
}

impl Agent {
    /// Tries a request again that is known not to have run, or refuses it.
    pub(crate) fn retry_not_run(
        &mut self,
        outbox: &mut Outbox<'_>,
        job: JobId,
        refusal: Refusal,
        elsewhere: Placement,
    ) {
        if !self.may_retry(outbox.now, job) {
            return self.conclude(outbox, job, End::NotRun(refusal));
        }
        self.counters.add(Counter::RetryNotRun);
        match elsewhere {
            _ if self.pass(outbox, job) => {}
            Placement::AnyServer if self.leaving.is_none() => self.submit_to_gate(outbox, job),
            _ => self.conclude(outbox, job, End::NotRun(refusal)),
        }
    }

    /// Tries a request again whose outcome was lost, if it is idempotent.
    pub(crate) fn retry_unknown(&mut self, outbox: &mut Outbox<'_>, job: JobId) {
        let Some(task) = self.tasks.get_mut(&job) else {
            return;
        };
        task.may_have_run = true;
        if !task.idempotent || !self.may_retry(outbox.now, job) {
            return self.end_unknown(outbox, job, Reason::BackendFailed);
        }
        self.counters.add(Counter::RetryIdempotent);
        if !self.pass(outbox, job) {
            self.submit_to_gate(outbox, job);
        }
    }

    /// Whether a request may be tried again: it is the holder's, it was not
    /// tried too often, its deadline leaves room, and the retry budget pays.
    fn may_retry(&mut self, now: Duration, job: JobId) -> bool {
        let latest = now + self.settings.pass.room;
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
        self.counters.add(Counter::BudgetSpent);
        false
    }
}
