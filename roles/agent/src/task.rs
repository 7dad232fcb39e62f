//! Requests that are underway: queued, running or passed.
use std::time::Duration;

use bytes::Bytes;
use flow::Answer;
use flow::State;
use flow::record;
use flow::record::Refusal;
use limit::Class;
use limit::Finish;
use limit::Release;
use limit::Verdict;
use wire::TargetId;
use wire::caller::Reason;
use wire::caller::Request;

use crate::Action;
use crate::Agent;
use crate::Completion;
use crate::Job;
use crate::Offer;
use crate::Outcome;
use crate::agent::Turn;
use crate::agent::Via;
use crate::event::JobId;
use crate::offer;
use crate::pass::Lent;
use crate::retry::Elsewhere;
use crate::status::Counter;

/// A request that is underway.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) origin: Origin,
    pub(crate) key: record::Key,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Duration,
    pub(crate) payload: Bytes,
    pub(crate) stage: Stage,
    /// Whether it may have run in a try that is over, or may run at another
    /// agent that holds the flow too, since its caller named none.
    pub(crate) is_uncertain: bool,
    /// The agents that it was passed to.
    pub(crate) tried: Vec<TargetId>,
    /// How often it was tried again.
    pub(crate) retries: u8,
}

/// Who waits for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller; the flow is held here.
    Caller(Via),
    /// Another agent, which holds the flow.
    Offer(offer::Id),
}

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Not admitted yet.
    New,
    /// Waits for a slot here.
    Queued,
    /// Runs at the backend server here.
    Running,
    /// Another agent has it.
    Passed(Lent),
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Answered(Answer),
    NotRun(Refusal),
    Unknown(Refusal),
}

/// When a request's caller gives up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Timer {
    pub(crate) at: Duration,
    pub(crate) job: JobId,
}

impl Task {
    pub(crate) fn new(
        origin: Origin,
        key: record::Key,
        request: Request,
        deadline: Duration,
    ) -> Self {
        Self {
            is_uncertain: request.holder.is_empty(),
            origin,
            key,
            idempotent: request.idempotent,
            deadline,
            payload: request.payload,
            stage: Stage::New,
            tried: Vec::new(),
            retries: 0,
        }
    }

    /// Takes a request over that another agent passes.
    pub(crate) fn lent(offer: Offer, now: Duration) -> Self {
        Self {
            origin: Origin::Offer(offer.id),
            key: record::Key {
                flow: offer.flow,
                request: offer.request,
            },
            idempotent: offer.idempotent,
            deadline: now + offer.remaining,
            payload: offer.payload,
            stage: Stage::New,
            is_uncertain: false,
            tried: Vec::new(),
            retries: 0,
        }
    }

    pub(crate) const fn is_own(&self) -> bool {
        matches!(self.origin, Origin::Caller(_))
    }
}

impl Agent {
    /// Takes up a request that has just been recorded.
    pub(crate) fn start(&mut self, turn: &mut Turn<'_>, task: Task) -> JobId {
        let job = self.next_id();
        self.timers.insert(Timer {
            at: task.deadline,
            job,
        });
        if task.is_own() {
            self.by_request.insert(task.key, job);
            if let Some(flow) = self.flows.get_mut(task.key.flow) {
                flow.pending += 1;
            }
        }
        let may_pass = task.is_own();
        let expired = task.deadline <= turn.now;
        self.tasks.insert(job, task);
        if expired {
            let refusal = self.refusal(Reason::Deadline, Duration::ZERO);
            self.conclude(turn, job, End::NotRun(refusal));
            return job;
        }
        if may_pass && self.prefers_passing(turn.now) && self.pass(turn, job) {
            return job;
        }
        if may_pass && self.leaving.is_some() {
            self.refuse_leaving(turn, job);
            return job;
        }
        self.offer_to_gate(turn, job);
        job
    }

    /// Offers a request to the backend server here.
    pub(crate) fn offer_to_gate(&mut self, turn: &mut Turn<'_>, job: JobId) {
        let Some(task) = self.tasks.get(&job) else {
            return;
        };
        let is_own = task.is_own();
        let gate_job = self.gate_job(turn.now, job, task.deadline);
        let verdict = self.admit_job(turn.now, gate_job);
        match verdict {
            Verdict::Start => self.run(turn, job),
            Verdict::Queued => self.queue(turn.now, job),
            Verdict::Refuse { .. } if is_own && self.pass(turn, job) => {}
            Verdict::Refuse {
                reason,
                retry_after,
            } => {
                let reason = match reason {
                    limit::Reason::Deadline => Reason::Deadline,
                    _ => Reason::Overloaded,
                };
                let refusal = Refusal {
                    reason,
                    retry_after,
                };
                self.conclude(turn, job, End::NotRun(refusal));
            }
        }
    }

    /// Offers a job to the gate, unless the expected wait is beyond the
    /// service's limit.
    fn admit_job(&mut self, now: Duration, job: limit::Job) -> Verdict {
        let wait = self.gate.expected_wait(now);
        if !self.gate.free_for(job.class) && wait > self.view.service.queue_limit {
            return Verdict::Refuse {
                reason: limit::Reason::Full,
                retry_after: self.jitter(wait),
            };
        }
        self.gate.offer(now, job)
    }

    fn gate_job(&self, now: Duration, id: JobId, deadline: Duration) -> limit::Job {
        let class = if deadline.saturating_sub(now) > self.settings.long_deadline {
            Class::Long
        } else {
            Class::Short
        };
        limit::Job {
            id,
            deadline,
            class,
        }
    }

    fn queue(&mut self, now: Duration, job: JobId) {
        let Some(task) = self.tasks.get_mut(&job) else {
            return;
        };
        task.stage = Stage::Queued;
        if task.is_own() {
            // A request that comes back from another agent stays as it is.
            let _ = self.ledger.advance(now, task.key, State::Queued);
        }
    }

    /// Hands a request to the backend server.
    fn run(&mut self, turn: &mut Turn<'_>, job: JobId) {
        let Some(task) = self.tasks.get_mut(&job) else {
            return;
        };
        task.stage = Stage::Running;
        if task.is_own() {
            let _ = self.ledger.advance(turn.now, task.key, State::Running);
        }
        turn.push(Action::Run(Job {
            id: job,
            flow: task.key.flow,
            request: task.key.request,
            idempotent: task.idempotent,
            deadline: task.deadline,
            payload: task.payload.clone(),
        }));
    }

    pub(crate) fn on_finished(&mut self, turn: &mut Turn<'_>, job: JobId, result: Completion) {
        let is_running = self
            .tasks
            .get(&job)
            .is_some_and(|task| task.stage == Stage::Running);
        if !is_running {
            return;
        }
        let finish = match result {
            Completion::Completed(_) | Completion::TooLarge => Finish::Done,
            Completion::Shed { retry_after } => Finish::Shed { retry_after },
            Completion::Failed { .. } => Finish::Failed,
        };
        let mut released = Vec::new();
        self.gate.finish(turn.now, job, finish, &mut released);
        self.release(turn, released);
        match result {
            Completion::Completed(bytes) => self.answer(turn, job, bytes),
            Completion::TooLarge => self.end_unknown(turn, job, Reason::TooLarge),
            Completion::Shed { retry_after } => {
                let refusal = self.refusal(Reason::Overloaded, retry_after);
                self.retry_not_run(turn, job, refusal, Elsewhere::Only);
            }
            Completion::Failed { ran: false } => {
                let refusal = self.refusal(Reason::BackendFailed, self.settings.leave.away);
                self.retry_not_run(turn, job, refusal, Elsewhere::First);
            }
            Completion::Failed { ran: true } => self.retry_unknown(turn, job),
        }
    }

    pub(crate) fn answer(&mut self, turn: &mut Turn<'_>, job: JobId, bytes: Bytes) {
        let max_bytes = self.view.service.max_answer_bytes;
        match Answer::new(bytes).filter(|answer| answer.bytes().len() <= max_bytes) {
            Some(answer) => self.conclude(turn, job, End::Answered(answer)),
            None => self.end_unknown(turn, job, Reason::TooLarge),
        }
    }

    pub(crate) fn end_unknown(&mut self, turn: &mut Turn<'_>, job: JobId, reason: Reason) {
        let refusal = self.refusal(reason, self.settings.leave.away);
        self.conclude(turn, job, End::Unknown(refusal));
    }

    pub(crate) fn release(&mut self, turn: &mut Turn<'_>, released: Vec<Release>) {
        for release in released {
            match release {
                Release::Start(job) => self.run(turn, job),
                Release::Expire(job) => {
                    let refusal = self.refusal(Reason::Deadline, Duration::ZERO);
                    self.conclude(turn, job, End::NotRun(refusal));
                }
            }
        }
    }

    /// Ends the requests whose deadline has passed.
    pub(crate) fn expire_tasks(&mut self, turn: &mut Turn<'_>) {
        while self
            .timers
            .first()
            .is_some_and(|timer| timer.at <= turn.now)
        {
            if let Some(timer) = self.timers.pop_first() {
                let refusal = self.refusal(Reason::Deadline, Duration::ZERO);
                self.abandon(turn, timer.job, refusal);
            }
        }
        if self.gate.next_deadline().is_some_and(|at| at <= turn.now) {
            let mut released = Vec::new();
            self.gate.expire(turn.now, &mut released);
            self.release(turn, released);
        }
    }

    /// Takes a request back from where it is; true where it may have run.
    pub(crate) fn withdraw(&mut self, turn: &mut Turn<'_>, job: JobId) -> bool {
        let Some(task) = self.tasks.get_mut(&job) else {
            return false;
        };
        let stage = std::mem::replace(&mut task.stage, Stage::New);
        match stage {
            Stage::New => return false,
            Stage::Passed(lent) => {
                self.by_offer.remove(&lent.number);
                let offer = offer::Id {
                    origin: self.token,
                    number: lent.number,
                };
                turn.push(Action::Withdraw { to: lent.to, offer });
                return true;
            }
            Stage::Queued => {}
            Stage::Running => turn.push(Action::Abort { job }),
        }
        let mut released = Vec::new();
        self.gate.cancel(turn.now, job, &mut released);
        self.release(turn, released);
        stage == Stage::Running
    }

    /// Ends a request: records its final state, then tells who waits for it.
    pub(crate) fn conclude(&mut self, turn: &mut Turn<'_>, job: JobId, end: End) {
        let Some(task) = self.tasks.remove(&job) else {
            return;
        };
        self.timers.remove(&Timer {
            at: task.deadline,
            job,
        });
        let end = match end {
            End::NotRun(refusal) if task.is_uncertain => End::Unknown(refusal),
            end => end,
        };
        match task.origin {
            Origin::Caller(via) => self.conclude_own(turn, via, task.key, end),
            Origin::Offer(id) => self.conclude_offer(turn, id, task.deadline, end),
        }
    }

    fn conclude_own(&mut self, turn: &mut Turn<'_>, via: Via, key: record::Key, end: End) {
        self.by_request.remove(&key);
        if let Some(flow) = self.flows.get_mut(key.flow) {
            flow.pending = flow.pending.saturating_sub(1);
            flow.last_seen = turn.now;
        }
        let state = match end {
            End::Answered(answer) => State::Done(answer),
            End::NotRun(refusal) => State::NotRun(refusal),
            End::Unknown(refusal) => State::Unknown(refusal),
        };
        if self.ledger.advance(turn.now, key, state.clone()) {
            if matches!(state, State::Done(_)) {
                self.counters.add(Counter::Answered);
            }
            self.tell(turn, via, key, &state);
        }
    }
}

impl From<End> for Outcome {
    fn from(end: End) -> Self {
        match end {
            End::Answered(answer) => Self::Answered(answer.bytes().clone()),
            End::NotRun(refusal) => Self::NotRun {
                reason: refusal.reason.into(),
                retry_after: refusal.retry_after,
            },
            End::Unknown(_) => Self::Unknown,
        }
    }
}
