//! Work that is offered to a gate, and what becomes of it.
use std::time::Duration;

/// Names a job within its gate; chosen by whoever offers it.
pub type JobId = u64;

/// Work offered to a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Job {
    /// Unique among the jobs in the gate.
    pub id: JobId,
    /// When the caller gives up, from the same origin as `now`.
    pub deadline: Duration,
    /// How long the job keeps a slot.
    pub class: Class,
}

/// How long a job keeps a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// A query.
    Short,
    /// A feed that stays open.
    Long,
}

/// Answer to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The job has a slot; run it now.
    Start,
    /// The job waits; a later [`Release`] is its end.
    Queued,
    /// The job was not taken.
    Refuse {
        /// Why.
        reason: Reason,
        /// How long the caller should wait before it tries again.
        retry_after: Duration,
    },
}

/// Why a job was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The queue is at its limit.
    Full,
    /// The job would not end before its deadline.
    Deadline,
    /// The backend server asked for a pause, or fails, and the pause outlasts
    /// the deadline.
    Paused,
    /// A job of this id is in the gate already.
    Duplicate,
}

/// How a running job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Finish {
    /// The backend server answered.
    Done,
    /// The backend server refused the job and asked for a pause.
    Shed {
        /// The pause asked for.
        retry_after: Duration,
    },
    /// The backend server failed.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// What becomes of a queued job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Release {
    /// The job has a slot; run it now.
    Start(JobId),
    /// The job's deadline has passed, or can no longer be met.
    Expire(JobId),
}
