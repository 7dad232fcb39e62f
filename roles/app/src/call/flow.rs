//! One flow of a caller.
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use wire::RequestId;
use wire::caller::Reason;

use super::operation::Operation;
use super::operation::Try;

/// Where a flow is in its life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// No holder is known yet.
    Opening,
    /// The token names the holder.
    Open(Bytes),
    /// No holder has the flow any more; its requests wait for their endings.
    Broken(Bytes),
    /// The caller wants the flow to end.
    Closing(Bytes),
}

/// An operation that waits for its flow, or to come back after a refusal.
#[derive(Clone, Debug)]
pub struct Held {
    /// What is to be done.
    pub operation: Operation,
    /// When it may be sent.
    pub resume: Duration,
}

/// One flow of a caller.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Which of the caller's flows this is.
    pub index: usize,
    /// Where it is in its life.
    pub state: State,
    /// Transmissions of the open or the close.
    pub attempt: u32,
    /// When the open or the close is repeated.
    pub repeat: Duration,
    /// The last refusal of the open.
    pub refused: Option<Reason>,
    /// Operations that are not in flight.
    pub held: Vec<Held>,
    /// Requests in flight.
    pub tries: HashMap<RequestId, Try>,
}

impl Flow {
    /// Creates a flow that is to be opened.
    #[must_use]
    pub fn new(index: usize) -> Self {
        Self {
            index,
            state: State::Opening,
            attempt: 0,
            repeat: Duration::ZERO,
            refused: None,
            held: Vec::new(),
            tries: HashMap::new(),
        }
    }

    /// The token to send, empty while there is none.
    #[must_use]
    pub fn token(&self) -> Bytes {
        match &self.state {
            State::Opening => Bytes::new(),
            State::Open(token) | State::Broken(token) | State::Closing(token) => token.clone(),
        }
    }

    /// Whether requests can be sent on it.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        matches!(self.state, State::Open(_))
    }

    /// Whether nothing is left to wait for on a broken flow.
    #[must_use]
    pub fn is_spent(&self) -> bool {
        matches!(self.state, State::Broken(_)) && self.tries.is_empty()
    }
}
