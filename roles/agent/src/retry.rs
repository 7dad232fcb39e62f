//! Tries requests again: those known not to have run, and idempotent ones
//! whose outcome was lost, within a budget and their deadline.
use std::time::Duration;

use flow::record::Refusal;
use wire::caller::Reason;

use crate::Agent;
use crate::agent::Turn;
use crate::event::JobId;
use crate::status::Counter;
use crate::task::End;

/// Largest number of times that one request is tried again.
const MAX_RETRIES: u8 = 2;

/// Where a request that did not run may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Elsewhere {
    /// Only at another backend server.
    Only,
    /// At another backend server, or else here.
    First,
}

impl Agent {
    /// Tries a request again that is known not to have run, or refuses it.
    pub(crate) fn retry_not_run(
        &mut self,
        turn: &mut Turn<'_>,
        job: JobId,
        refusal: Refusal,
        elsewhere: Elsewhere,
    ) {
        if !self.may_retry(turn.now, job) {
            return self.conclude(turn, job, End::NotRun(refusal));
        }
        self.counters.add(Counter::RetryNotRun);
        match elsewhere {
            _ if self.pass(turn, job) => {}
            Elsewhere::First if self.leaving.is_none() => self.offer_to_gate(turn, job),
            _ => self.conclude(turn, job, End::NotRun(refusal)),
        }
    }

    /// Tries a request again whose outcome was lost, if it is idempotent.
    pub(crate) fn retry_unknown(&mut self, turn: &mut Turn<'_>, job: JobId) {
        let Some(task) = self.tasks.get_mut(&job) else {
            return;
        };
        task.is_uncertain = true;
        if !task.idempotent || !self.may_retry(turn.now, job) {
            return self.end_unknown(turn, job, Reason::BackendFailed);
        }
        self.counters.add(Counter::RetryIdempotent);
        if !self.pass(turn, job) {
            self.offer_to_gate(turn, job);
        }
    }

    /// Whether a request may be tried again: it is the holder's, it was not
    /// tried too often, its deadline leaves room, and the retry budget pays.
    fn may_retry(&mut self, now: Duration, job: JobId) -> bool {
        let latest = now + self.settings.pass.room;
        let Some(task) = self
            .tasks
            .get_mut(&job)
            .filter(|task| task.is_own() && latest < task.deadline)
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
