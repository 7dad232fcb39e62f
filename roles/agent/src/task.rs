//! Tracks pending requests: queued, running or forwarded to another agent.
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
use crate::agent::Outbox;
use crate::agent::ReplyPath;
use crate::event::JobId;
use crate::offer;
use crate::pass::Assignment;
use crate::retry::Placement;
use crate::status::Counter;

/// A pending request.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) origin: Origin,
    pub(crate) key: record::Key,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Duration,
    pub(crate) payload: Bytes,
    pub(crate) stage: Stage,
    /// Whether an earlier attempt may have run it, or whether another agent
    /// that holds the flow may run it too, since the request names no holder.
    pub(crate) may_have_run: bool,
    /// Targets that it was forwarded to.
    pub(crate) tried_targets: Vec<TargetId>,
    /// Number of retries.
    pub(crate) retries: u8,
}

/// Source of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller, for a flow that is held here.
    Caller(ReplyPath),
    /// Another agent, which holds the flow.
    Offer(offer::Id),
}

/// Stage of a pending request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Not admitted yet.
    New,
    /// Queued for a slot of the backend server here.
    Queued,
    /// Running at the backend server here.
    Running,
    /// Forwarded to another agent.
    Passed(Assignment),
}

/// Final outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Answered(Answer),
    NotRun(Refusal),
    Unknown(Refusal),
}

/// Deadline of a request.
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
            may_have_run: request.holder.is_empty(),
            origin,
            key,
            idempotent: request.idempotent,
            deadline,
            payload: request.payload,
            stage: Stage::New,
            tried_targets: Vec::new(),
            retries: 0,
        }
    }

    /// Creates the task of a request that another agent forwards to this one.
    pub(crate) fn from_offer(offer: Offer, now: Duration) -> Self {
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
            may_have_run: false,
            tried_targets: Vec::new(),
            retries: 0,
        }
    }

    pub(crate) const fn is_from_caller(&self) -> bool {
        matches!(self.origin, Origin::Caller(_))
    }
}

impl Agent {
    /// Starts a request that has just been recorded: forwards it, queues it, runs
    /// it or refuses it.
    pub(crate) fn start_task(&mut self, outbox: &mut Outbox<'_>, task: Task) -> JobId {
        let job = self.next_id();
        self.timers.insert(Timer {
            at: task.deadline,
            job,
        });
        if task.is_from_caller() {
            self.tasks_by_request.insert(task.key, job);
            if let Some(flow) = self.flows.get_mut(task.key.flow) {
                flow.pending += 1;
            }
        }
        let may_pass = task.is_from_caller();
        let expired = task.deadline <= outbox.now;
        self.tasks.insert(job, task);
        if expired {
            let refusal = self.refusal(Reason::Deadline, Duration::ZERO);
            self.conclude(outbox, job, End::NotRun(refusal));
            return job;
        }
        if may_pass && self.prefers_passing(outbox.now) && self.pass(outbox, job) {
            return job;
        }
        if may_pass && self.leaving.is_some() {
            self.refuse_leaving(outbox, job);
            return job;
        }
        self.submit_to_gate(outbox, job);
        job
    }

    /// Submits a request to the admission gate of the backend server here.
    pub(crate) fn submit_to_gate(&mut self, outbox: &mut Outbox<'_>, job: JobId) {
        let Some(task) = self.tasks.get(&job) else {
            return;
        };
        let is_from_caller = task.is_from_caller();
        let gate_job = self.gate_job(outbox.now, job, task.deadline);
        let verdict = self.admit_job(outbox.now, gate_job);
        match verdict {
            Verdict::Start => self.run(outbox, job),
            Verdict::Queued => self.queue(outbox.now, job),
            Verdict::Refuse { .. } if is_from_caller && self.pass(outbox, job) => {}
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
                self.conclude(outbox, job, End::NotRun(refusal));
            }
        }
    }

    /// Offers a job to the gate, unless no slot is free and the expected wait
    /// exceeds the service's queue limit.
    fn admit_job(&mut self, now: Duration, job: limit::Job) -> Verdict {
        let wait = self.gate.expected_wait(now);
        if !self.gate.has_free_slot_for(job.class) && wait > self.view.service.queue_limit {
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
        if task.is_from_caller() {
            // Returns false for a retried request, whose record stays in the
            // running state.
            let _ = self.ledger.advance(now, task.key, State::Queued);
        }
    }

    /// Runs a request at the backend server.
    fn run(&mut self, outbox: &mut Outbox<'_>, job: JobId) {
        let Some(task) = self.tasks.get_mut(&job) else {
            return;
        };
        task.stage = Stage::Running;
        if task.is_from_caller() {
            let _ = self.ledger.advance(outbox.now, task.key, State::Running);
        }
        outbox.push(Action::Run(Job {
            id: job,
            flow: task.key.flow,
            request: task.key.request,
            idempotent: task.idempotent,
            deadline: task.deadline,
            payload: task.payload.clone(),
        }));
    }

    pub(crate) fn on_finished(&mut self, outbox: &mut Outbox<'_>, job: JobId, result: Completion) {
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
        self.gate.finish(outbox.now, job, finish, &mut released);
        self.apply_releases(outbox, released);
        match result {
            Completion::Completed(bytes) => self.answer(outbox, job, bytes),
            Completion::TooLarge => self.end_unknown(outbox, job, Reason::TooLarge),
            Completion::Shed { retry_after } => {
                let refusal = self.refusal(Reason::Overloaded, retry_after);
                self.retry_not_run(outbox, job, refusal, Placement::OtherServers);
            }
            Completion::Failed {
                may_have_run: false,
            } => {
                let refusal = self.refusal(Reason::BackendFailed, self.settings.leave.retry_after);
                self.retry_not_run(outbox, job, refusal, Placement::AnyServer);
            }
            Completion::Failed { may_have_run: true } => self.retry_unknown(outbox, job),
        }
    }

    pub(crate) fn answer(&mut self, outbox: &mut Outbox<'_>, job: JobId, bytes: Bytes) {
        let max_bytes = self.view.service.max_answer_bytes;
        match Answer::new(bytes).filter(|answer| answer.bytes().len() <= max_bytes) {
            Some(answer) => self.conclude(outbox, job, End::Answered(answer)),
            None => self.end_unknown(outbox, job, Reason::TooLarge),
        }
    }

    pub(crate) fn end_unknown(&mut self, outbox: &mut Outbox<'_>, job: JobId, reason: Reason) {
        let refusal = self.refusal(reason, self.settings.leave.retry_after);
        self.conclude(outbox, job, End::Unknown(refusal));
    }

    /// Runs or refuses the requests that the gate has released from its queue.
    pub(crate) fn apply_releases(&mut self, outbox: &mut Outbox<'_>, released: Vec<Release>) {
        for release in released {
            match release {
                Release::Start(job) => self.run(outbox, job),
                Release::Expire(job) => {
                    let refusal = self.refusal(Reason::Deadline, Duration::ZERO);
                    self.conclude(outbox, job, End::NotRun(refusal));
                }
            }
        }
    }

    /// Ends the requests whose deadline has passed.
    pub(crate) fn expire_tasks(&mut self, outbox: &mut Outbox<'_>) {
        while self
            .timers
            .first()
            .is_some_and(|timer| timer.at <= outbox.now)
        {
            if let Some(timer) = self.timers.pop_first() {
                let refusal = self.refusal(Reason::Deadline, Duration::ZERO);
                self.abandon(outbox, timer.job, refusal);
            }
        }
        if self.gate.next_deadline().is_some_and(|at| at <= outbox.now) {
            let mut released = Vec::new();
            self.gate.expire(outbox.now, &mut released);
            self.apply_releases(outbox, released);
        }
    }

    /// Withdraws a request from the queue, the backend server or the agent that
    /// has it. Returns true if it may have run there.
    pub(crate) fn withdraw(&mut self, outbox: &mut Outbox<'_>, job: JobId) -> bool {
        let Some(task) = self.tasks.get_mut(&job) else {
            return false;
        };
        let stage = std::mem::replace(&mut task.stage, Stage::New);
        match stage {
            Stage::New => return false,
            Stage::Passed(assignment) => {
                self.tasks_by_offer.remove(&assignment.number);
                let offer = offer::Id {
                    origin: self.token,
                    number: assignment.number,
                };
                outbox.push(Action::Withdraw {
                    to: assignment.to,
                    offer,
                });
                return true;
            }
            Stage::Queued => {}
            Stage::Running => outbox.push(Action::Abort { job }),
        }
        let mut released = Vec::new();
        self.gate.cancel(outbox.now, job, &mut released);
        self.apply_releases(outbox, released);
        stage == Stage::Running
    }

    /// Ends a request: records its final state, then notifies its source.
    pub(crate) fn conclude(&mut self, outbox: &mut Outbox<'_>, job: JobId, end: End) {
        let Some(task) = self.tasks.remove(&job) else {
            return;
        };
        self.timers.remove(&Timer {
            at: task.deadline,
            job,
        });
        let end = match end {
            End::NotRun(refusal) if task.may_have_run => End::Unknown(refusal),
            end => end,
        };
        match task.origin {
            Origin::Caller(reply_path) => {
                self.conclude_from_caller(outbox, reply_path, task.key, end);
            }
            Origin::Offer(id) => self.conclude_offer(outbox, id, task.deadline, end),
        }
    }

    fn conclude_from_caller(
        &mut self,
        outbox: &mut Outbox<'_>,
        reply_path: ReplyPath,
        key: record::Key,
        end: End,
    ) {
        self.tasks_by_request.remove(&key);
        if let Some(flow) = self.flows.get_mut(key.flow) {
            flow.pending = flow.pending.saturating_sub(1);
            flow.last_seen = outbox.now;
        }
        let state = match end {
            End::Answered(answer) => State::Done(answer),
            End::NotRun(refusal) => State::NotRun(refusal),
            End::Unknown(refusal) => State::Unknown(refusal),
        };
        if self.ledger.advance(outbox.now, key, state.clone()) {
            if matches!(state, State::Done(_)) {
                self.counters.add(Counter::RequestAnswered);
            }
            self.send_outcome(outbox, reply_path, key, &state);
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
