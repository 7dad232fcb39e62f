//! Operations of a caller and the requests sent for them.
use std::time::Duration;

use bytes::Bytes;
use wire::caller::Reason;

use super::Answer;

/// Identifier of an operation, unique within one caller.
pub type OperationId = u64;

/// One call of a service.
///
/// It is sent as a request, and again under a new request id if a refusal allows
/// a retry.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Identifier of the operation.
    pub id: OperationId,
    /// Index of the flow that carries it.
    pub flow: usize,
    /// Whether the service may run it more than once.
    pub idempotent: bool,
    /// Time at which the operation was started.
    pub started: Duration,
    /// Time at which the operation ends without an answer.
    pub deadline: Duration,
    /// Number of requests sent for it, each under an id of its own.
    pub requests: u32,
    /// Reason of the last refusal that led to a retry, if any.
    pub last_refusal: Option<Reason>,
}

/// A request in flight: one request id, its retransmissions and its answer.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Operation that the request belongs to.
    pub operation: Operation,
    /// Payload for the backend server.
    pub payload: Bytes,
    /// Number of transmissions so far, fetches included.
    pub transmissions: u32,
    /// Chunks of the answer received so far.
    pub answer: Answer,
    /// Time at which the request is retransmitted or missing chunks are fetched;
    /// at most the deadline of the operation.
    pub retransmit_at: Duration,
}

/// Result of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The complete and correct answer arrived.
    Answered {
        /// Time from the start of the operation to its answer.
        latency: Duration,
    },
    /// Refused; the service did not run it.
    Refused(Reason),
    /// Refused; the service may have run it.
    Unknown(Reason),
    /// The deadline passed without a complete answer to the last request or a
    /// refusal of it; or, if no request was sent, without a reply to the open of
    /// the flow.
    Lost,
    /// The answer came from another service.
    WrongService,
    /// The answer is malformed or does not belong to this request.
    Mismatch,
}
