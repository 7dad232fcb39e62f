//! A single request that one agent passes to another.
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use wire::FlowKey;
use wire::RequestId;
use wire::ServiceAddress;
use wire::Token;
use wire::caller::Reason;

/// Names an offer; the same for every repeat of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// The holder that passes the request.
    pub origin: Token,
    /// Counts the offers of the holder.
    pub number: u64,
}

/// A single request that one agent passes to another of the same service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Names the offer.
    pub id: Id,
    /// The service of the flow.
    pub service: ServiceAddress,
    /// The flow that the request belongs to.
    pub flow: FlowKey,
    /// The request.
    pub request: RequestId,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Time left until nobody waits for the answer, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// Passed to the backend server untouched.
    pub payload: Bytes,
}

/// What became of an offer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran; this is the whole answer.
    Answered(Bytes),
    /// It did not run, and a late copy of the offer will not run either.
    NotRun {
        /// Why it was refused.
        reason: Refusal,
        /// Time to wait before the agent is asked again, in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// It may have run, once at most.
    Unknown,
}

/// Why an agent did not run an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// No slot is free.
    Overloaded,
    /// The wait would exceed the deadline.
    Deadline,
    /// The backend server is leaving.
    Draining,
    /// The backend server failed before the request reached it.
    BackendFailed,
    /// The offer was withdrawn by the holder.
    Cancelled,
    /// The agent could not be reached.
    Unreachable,
}

impl Refusal {
    /// Returns the reason that a caller is told.
    #[must_use]
    pub const fn reason(self) -> Reason {
        match self {
            Self::Overloaded => Reason::Overloaded,
            Self::Deadline => Reason::Deadline,
            Self::Draining => Reason::Draining,
            Self::BackendFailed | Self::Unreachable => Reason::BackendFailed,
            Self::Cancelled => Reason::Cancelled,
        }
    }
}
