//! A single request that one agent forwards to another.
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

/// Identifier of an offer; repeats of an offer have the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// The holder that forwards the request.
    pub origin: Token,
    /// Sequence number among the holder's offers.
    pub number: u64,
}

/// A single request that one agent forwards to another of the same service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Identifier of the offer.
    pub id: Id,
    /// The service of the flow.
    pub service: ServiceAddress,
    /// The flow that the request belongs to.
    pub flow: FlowKey,
    /// The request.
    pub request: RequestId,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Time left until the deadline, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// Opaque payload for the backend server.
    pub payload: Bytes,
}

/// Outcome of an offer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran; this is the whole answer.
    Answered(Bytes),
    /// The request did not run, and late copies of the offer will not run
    /// either.
    NotRun {
        /// Reason of the refusal.
        reason: Refusal,
        /// Delay before the agent is asked again, in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// The request may have run, at most once.
    Unknown,
}

/// Reason why an agent did not run an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// No slot is free.
    Overloaded,
    /// The wait for a slot would exceed the deadline.
    Deadline,
    /// The backend server is leaving.
    Draining,
    /// The backend server failed before the request reached it.
    BackendFailed,
    /// The holder withdrew the offer.
    Cancelled,
    /// The agent could not be reached.
    Unreachable,
}

impl Refusal {
    /// Returns the reason that the caller's refusal states.
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
