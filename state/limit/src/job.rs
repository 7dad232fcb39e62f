//! Jobs offered to a [`Gate`](crate::Gate) and their outcomes.
use std::time::Duration;

/// Identifier of a job within its gate, chosen by the code that offers the job.
pub type JobId = u64;

/// A unit of work offered to a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Job {
    /// Unique among the jobs in the gate.
    pub id: JobId,
    /// Deadline of the caller, measured from the same origin as `now`.
    pub deadline: Duration,
    /// Class of the job, by how long it occupies a slot.
    pub class: Class,
}

/// Class of a job by how long it occupies a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// A query, which occupies a slot briefly.
    Short,
    /// A long-lived request, which may occupy a slot for hours.
    Long,
}

/// Result of offering a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The job has a slot and must be run now.
    Start,
    /// The job is queued until a [`Release`] starts or expires it, or until it
    /// is cancelled.
    Queued,
    /// The job was not admitted.
    Refuse {
        /// Reason for the refusal.
        reason: Reason,
        /// Time that the caller should wait before a retry.
        retry_after: Duration,
    },
}

/// Reason for refusing a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The queue is full, or the expected wait is above its limit.
    Full,
    /// The job cannot meet its deadline.
    Deadline,
    /// The backend server is paused because it shed load or failed, until after
    /// the job's deadline.
    Paused,
    /// A job with the same id is already running or queued.
    Duplicate,
}

/// Outcome of a running job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Finish {
    /// The backend server answered.
    Done,
    /// The backend server refused the job because of overload.
    Shed {
        /// Requested pause; zero if the backend server requested none.
        retry_after: Duration,
    },
    /// The backend server failed the job.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// Outcome of a queued job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Release {
    /// The job has a slot and must be run now.
    Start(JobId),
    /// The job's deadline has passed, or can no longer be met.
    Expire(JobId),
}
