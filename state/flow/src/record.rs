//! Records of requests and their states.
use std::time::Duration;

use wire::FlowKey;
use wire::RequestId;
use wire::caller::Reason;

use crate::Answer;

/// Identity of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// Key of the flow.
    pub flow: FlowKey,
    /// Id of the request within the flow.
    pub request: RequestId,
}

/// A request's properties and state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Deadline of the caller, or the time at which the request reached its
    /// final state if that is later.
    pub deadline: Duration,
    /// Current state.
    pub state: State,
}

/// State of a request.
///
/// A request only moves to a state further down this list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Recorded, but not yet offered for admission.
    Recorded,
    /// Waiting for a slot.
    Queued,
    /// Started; the backend server may have received it.
    Running,
    /// Completed with this answer.
    Done(Answer),
    /// Refused; it did not run and never will.
    NotRun(Refusal),
    /// Ended without an available answer: it may have run, at most once, or its
    /// answer was evicted.
    Unknown(Refusal),
}

/// Response to the caller of a request that has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Time that the caller should wait before a retry; zero if it is computed
    /// when the response is sent.
    pub retry_after: Duration,
}

impl State {
    /// Returns true if the state is final.
    #[must_use]
    pub const fn is_final(&self) -> bool {
        matches!(self, Self::Done(_) | Self::NotRun(_) | Self::Unknown(_))
    }

    /// Returns true if a transition from `previous` to this state is allowed.
    #[must_use]
    pub const fn follows(&self, previous: &Self) -> bool {
        match self {
            Self::Recorded => false,
            Self::Queued => matches!(previous, Self::Recorded),
            Self::Running => matches!(previous, Self::Recorded | Self::Queued),
            Self::Done(_) => matches!(previous, Self::Running),
            Self::NotRun(_) | Self::Unknown(_) => !previous.is_final(),
        }
    }

    /// Returns the memory that the state uses in addition to its record, in
    /// bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Self::Done(answer) => answer.bytes().len(),
            _ => 0,
        }
    }
}
