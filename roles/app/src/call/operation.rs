//! What a caller wants done, over all its tries.
use std::time::Duration;

use bytes::Bytes;
use wire::caller::Reason;

use super::Answer;

/// Names an operation of one caller.
pub type OperationId = u64;

/// What a caller wants done: one request, sent again under a new id where it
/// was refused as not run.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Names the operation.
    pub id: OperationId,
    /// Index of the flow that it runs on.
    pub flow: usize,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// When it was asked for.
    pub started: Duration,
    /// When the caller gives up.
    pub deadline: Duration,
    /// Requests sent for it, each under an id of its own.
    pub tries: u32,
    /// The last refusal, if any.
    pub refused: Option<Reason>,
}

/// A request in flight.
#[derive(Clone, Debug)]
pub struct Try {
    /// What it is for.
    pub operation: Operation,
    /// What the backend server gets.
    pub payload: Bytes,
    /// Transmissions so far.
    pub attempt: u32,
    /// What has arrived of the answer.
    pub answer: Answer,
    /// When it is repeated, or missing chunks are fetched.
    pub repeat: Duration,
}

/// How an operation ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer arrived and is the right one.
    Answered {
        /// Time since the operation was asked for.
        latency: Duration,
    },
    /// It did not run.
    Refused(Reason),
    /// It may have run.
    Unknown(Reason),
    /// Nothing final arrived before the deadline.
    Lost,
    /// The answer came from another service.
    WrongService,
    /// The answer is not the one to this request.
    Mismatch,
}
