//! State of one flow of a caller.
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use wire::RequestId;
use wire::caller::Reason;

use super::operation::Exchange;
use super::operation::Operation;

/// Lifecycle state of a flow. The token names the flow's holder, the agent that
/// has its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// No holder has confirmed the flow yet.
    Opening,
    /// A holder confirmed the flow; requests can be sent.
    Open(Bytes),
    /// The flow was reported lost and has been replaced; only its requests in
    /// flight remain.
    Broken(Bytes),
    /// The close was sent and is not confirmed yet.
    Closing(Bytes),
}

/// An operation that waits for its flow to open, or for the delay after a
/// refusal.
#[derive(Clone, Debug)]
pub struct Deferred {
    /// The waiting operation.
    pub operation: Operation,
    /// Earliest time at which it may be sent.
    pub not_before: Duration,
}

/// A flow of a caller.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Index of the flow among the caller's flows; a flow that replaces another
    /// takes over its index.
    pub index: usize,
    /// Lifecycle state.
    pub state: State,
    /// Number of transmissions of the open or, later, of the close.
    pub transmissions: u32,
    /// Time at which the open or the close is retransmitted.
    pub retransmit_at: Duration,
    /// Reason of the last refusal of the open, if any.
    pub last_refusal: Option<Reason>,
    /// Operations that wait to be sent.
    pub deferred: Vec<Deferred>,
    /// Requests in flight.
    pub exchanges: HashMap<RequestId, Exchange>,
}

impl Flow {
    /// Creates a flow that has not been opened.
    #[must_use]
    pub fn new(index: usize) -> Self {
        Self {
            index,
            state: State::Opening,
            transmissions: 0,
            retransmit_at: Duration::ZERO,
            last_refusal: None,
            deferred: Vec::new(),
            exchanges: HashMap::new(),
        }
    }

    /// Returns the token of the holder, empty while none is known.
    #[must_use]
    pub fn token(&self) -> Bytes {
        match &self.state {
            State::Opening => Bytes::new(),
            State::Open(token) | State::Broken(token) | State::Closing(token) => token.clone(),
        }
    }

    /// Returns true if requests can be sent on the flow.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        matches!(self.state, State::Open(_))
    }

    /// Returns true if the flow is broken and has no request in flight.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        matches!(self.state, State::Broken(_)) && self.exchanges.is_empty()
    }
}
