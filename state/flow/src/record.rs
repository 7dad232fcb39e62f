//! What became of a request.
use std::time::Duration;

use wire::FlowKey;
use wire::RequestId;
use wire::caller::Reason;

use crate::Answer;

/// Names a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The flow.
    pub flow: FlowKey,
    /// The request within the flow.
    pub request: RequestId,
}

/// A request and what became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// When its caller gives up, or when it ended, if that is later.
    pub deadline: Duration,
    /// What became of it.
    pub state: State,
}

/// What became of a request.
///
/// A request moves down this list and never up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Known, and not yet admitted.
    Recorded,
    /// Waits for a slot.
    Queued,
    /// The backend server may have seen it.
    Running,
    /// It ran, and this is its answer.
    Done(Answer),
    /// It did not run and never will.
    NotRun(Refusal),
    /// It may have run, once at most.
    Unknown(Refusal),
}

/// What a caller is told of a request that has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Time to wait before another try; zero where it is to be worked out when
    /// the caller is told.
    pub retry_after: Duration,
}

impl State {
    /// Whether the state is final.
    #[must_use]
    pub const fn is_final(&self) -> bool {
        matches!(self, Self::Done(_) | Self::NotRun(_) | Self::Unknown(_))
    }

    /// Whether the state may follow `previous`.
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

    /// Memory that the state holds beside its record, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Self::Done(answer) => answer.bytes().len(),
            _ => 0,
        }
    }
}
