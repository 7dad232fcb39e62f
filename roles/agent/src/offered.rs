//! Handles requests that other agents forward to this one.
//!
//! Each offer is recorded by its id, so that a repeated offer never runs twice
//! and a refused one never runs.
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use wire::caller::Reason;

use crate::Action;
use crate::Agent;
use crate::Offer;
use crate::Outcome;
use crate::agent::Outbox;
use crate::event::CallId;
use crate::event::JobId;
use crate::offer;
use crate::offer::Refusal;
use crate::status::Counter;
use crate::task::End;
use crate::task::Task;

/// Offers received from other agents.
#[derive(Debug, Default)]
pub(crate) struct Offers {
    by_id: HashMap<offer::Id, OfferState>,
    expiries: BTreeSet<Expiry>,
    answer_bytes: usize,
}

#[derive(Debug)]
enum OfferState {
    /// The request is queued or running; `calls` wait for its outcome.
    Running { job: JobId, calls: Vec<CallId> },
    /// The request has ended with this outcome.
    Ended(Outcome),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Duration,
    id: offer::Id,
}

impl Offers {
    pub(crate) fn next_deadline(&self) -> Option<Duration> {
        self.expiries.first().map(|expiry| expiry.at)
    }

    /// Removes the expired offers.
    pub(crate) fn expire(&mut self, now: Duration) {
        while self.expiries.first().is_some_and(|expiry| expiry.at <= now) {
            if let Some(expiry) = self.expiries.pop_first()
                && let Some(entry) = self.by_id.remove(&expiry.id)
            {
                self.answer_bytes -= entry.bytes();
            }
        }
    }

    fn is_full(&self, max_offers: usize) -> bool {
        self.by_id.len() >= max_offers
    }

    /// Records the outcome of an offer. If an answer does not fit into the
    /// memory limit, the outcome is recorded as unknown.
    fn end(&mut self, id: offer::Id, at: Duration, outcome: Outcome, max_bytes: usize) {
        let mut entry = OfferState::Ended(outcome);
        if self.answer_bytes + entry.bytes() > max_bytes {
            entry = OfferState::Ended(Outcome::Unknown);
        }
        self.answer_bytes += entry.bytes();
        self.by_id.insert(id, entry);
        self.expiries.insert(Expiry { at, id });
    }
}

impl OfferState {
    fn bytes(&self) -> usize {
        match self {
            Self::Ended(Outcome::Answered(bytes)) => bytes.len(),
            _ => 0,
        }
    }
}

impl Agent {
    pub(crate) fn on_offered(&mut self, outbox: &mut Outbox<'_>, call: CallId, offer: Offer) {
        let is_full = self.offers.is_full(self.settings.pass.max_offers);
        match self.offers.by_id.get_mut(&offer.id) {
            Some(OfferState::Running { calls, .. }) => calls.push(call),
            Some(OfferState::Ended(outcome)) => {
                let outcome = outcome.clone();
                outbox.push(Action::AnswerOffer { call, outcome });
            }
            None if is_full => {
                // A refusal promises that the offer will not run later, which
                // cannot be kept without a record.
                let outcome = Outcome::Unknown;
                outbox.push(Action::AnswerOffer { call, outcome });
            }
            None => self.accept_or_refuse_offer(outbox, call, offer),
        }
    }

    fn accept_or_refuse_offer(&mut self, outbox: &mut Outbox<'_>, call: CallId, offer: Offer) {
        let id = offer.id;
        let forget_at = outbox.now + offer.remaining + self.settings.ledger.duplicate_window;
        if let Some(reason) = self.offer_refusal(&offer) {
            self.counters.add(Counter::OfferRefused);
            let retry_after = self.gate.expected_wait(outbox.now);
            let outcome = Outcome::NotRun {
                reason,
                retry_after: self.jitter(retry_after),
            };
            self.end_offer(id, forget_at, outcome.clone());
            outbox.push(Action::AnswerOffer { call, outcome });
            return;
        }
        self.counters.add(Counter::OfferAccepted);
        let entry = OfferState::Running {
            job: self.next_id,
            calls: vec![call],
        };
        self.offers.by_id.insert(id, entry);
        let task = Task::from_offer(offer, outbox.now);
        self.start_task(outbox, task);
    }

    /// Returns why this agent refuses an offer, or `None` if it accepts it.
    fn offer_refusal(&self, offer: &Offer) -> Option<Refusal> {
        if offer.service != self.identity.service {
            return Some(Refusal::Unreachable);
        }
        if !self.accepts_flows() {
            return Some(Refusal::Draining);
        }
        (!self.gate.has_free_slot()).then_some(Refusal::Overloaded)
    }

    pub(crate) fn on_withdrawn(&mut self, outbox: &mut Outbox<'_>, id: offer::Id) {
        match self.offers.by_id.get(&id) {
            Some(&OfferState::Running { job, .. }) => {
                let refusal = self.refusal(Reason::Cancelled, Duration::ZERO);
                self.abandon(outbox, job, refusal);
            }
            Some(OfferState::Ended(_)) => {}
            None if self.offers.is_full(self.settings.pass.max_offers) => {}
            None => {
                // The withdrawal arrived before the offer, which must not run.
                let forget_at =
                    outbox.now + WITHDRAWAL_RETENTION + self.settings.ledger.duplicate_window;
                let outcome = Outcome::NotRun {
                    reason: Refusal::Cancelled,
                    retry_after: Duration::ZERO,
                };
                self.end_offer(id, forget_at, outcome);
            }
        }
    }

    /// Records the outcome of an offer and answers the calls that wait for it.
    pub(crate) fn conclude_offer(
        &mut self,
        outbox: &mut Outbox<'_>,
        id: offer::Id,
        deadline: Duration,
        end: End,
    ) {
        let Some(OfferState::Running { calls, .. }) = self.offers.by_id.remove(&id) else {
            return;
        };
        let outcome = Outcome::from(end);
        let forget_at = deadline.max(outbox.now) + self.settings.ledger.duplicate_window;
        self.end_offer(id, forget_at, outcome.clone());
        for call in calls {
            let outcome = outcome.clone();
            outbox.push(Action::AnswerOffer { call, outcome });
        }
    }

    fn end_offer(&mut self, id: offer::Id, forget_at: Duration, outcome: Outcome) {
        let max_bytes = self.settings.pass.max_offer_bytes;
        self.offers.end(id, forget_at, outcome, max_bytes);
    }
}

/// Time that a withdrawal is recorded whose offer has not arrived, in addition
/// to [`flow::ledger::Settings::duplicate_window`].
const WITHDRAWAL_RETENTION: Duration = Duration::from_mins(1);

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        match reason {
            Reason::Deadline => Self::Deadline,
            Reason::Draining | Reason::HolderAway => Self::Draining,
            Reason::BackendFailed => Self::BackendFailed,
            Reason::Cancelled => Self::Cancelled,
            _ => Self::Overloaded,
        }
    }
}
