//! Messages for parking the state of an agent that is replaced beside a running
//! backend server.
//!
//! The agent that stops sends its flows, with their records, to a peer of the
//! service in parts of bounded size. Its next incarnation claims the parts when
//! it starts, and from then on accepts the tokens of the incarnation that it
//! inherits from. An agent that leaves for good uses the same messages to have
//! a peer adopt its flows.
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use wire::FlowKey;
use wire::Incarnation;
use wire::RequestId;
use wire::ServiceAddress;
use wire::TargetId;
use wire::Token;

/// One part of a parked state, of bounded size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The incarnation that parks its state.
    pub owner: Token,
    /// The service of the flows.
    pub service: ServiceAddress,
    /// Purpose that the flows are sent for.
    pub purpose: Purpose,
    /// Index of this part, from 0.
    pub index: u32,
    /// Number of parts of the whole state.
    pub count: u32,
    /// The flows of this part.
    pub flows: Vec<Flow>,
}

/// Purpose that flows are sent to a peer for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Purpose {
    /// The peer stores them for the owner's next incarnation.
    Park,
    /// The peer adopts them, since the owner leaves for good.
    Adopt,
}

/// A parked flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flow {
    /// The flow.
    pub key: FlowKey,
    /// The token that the caller holds.
    pub token: Token,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Whether the flow was closed; a closed flow is handed over so that late
    /// copies of its packets are refused.
    pub closed: bool,
    /// Largest id up to which non-idempotent requests without a record are
    /// refused with an unknown outcome.
    pub floor: RequestId,
    /// Further non-idempotent requests that are refused with an unknown outcome
    /// if they have no record.
    pub seen: Vec<RequestId>,
    /// Outcomes of recent requests.
    pub records: Vec<Record>,
}

/// Record of a request of a parked flow.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub request: RequestId,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Time left until the deadline, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran; this is the whole answer.
    Answered(Bytes),
    /// The request did not run and never will; the number is the
    /// [`wire::caller::Reason`].
    NotRun(i32),
    /// The request may have run, at most once; the number is the
    /// [`wire::caller::Reason`].
    Unknown(i32),
}

/// Claim to one part of the state that a predecessor parked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Target id of the backend server that both incarnations belong to.
    pub target: TargetId,
    /// Incarnation of the claiming agent.
    pub incarnation: Incarnation,
    /// Index of the part, from 0.
    pub index: u32,
}

/// Reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The claimed part.
    Part(Part),
    /// The peer has no complete state for the claiming incarnation.
    Nothing,
    /// The peer could not be reached.
    Unreachable,
    /// The peer did not answer in time; it may hold the state.
    Unanswered,
}

/// Approximate size of an encoded flow without its ids and records, in bytes.
const FLOW_BYTES: usize = 64;

/// Approximate size of an encoded record without its answer, in bytes.
const RECORD_BYTES: usize = 32;

impl Flow {
    /// Returns true if a request of this flow has been recorded.
    pub(crate) const fn is_used(&self) -> bool {
        self.floor > 0 || !self.seen.is_empty() || !self.records.is_empty()
    }
}

impl Part {
    /// Returns the size of the encoded part in bytes, accurate within a small
    /// factor.
    #[must_use]
    pub fn bytes(&self) -> usize {
        FLOW_BYTES + self.flows.iter().map(Flow::bytes).sum::<usize>()
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = FlowKey> {
        self.flows.iter().map(|flow| flow.key)
    }
}

impl Flow {
    /// Returns the size of the encoded flow in bytes, accurate within a small
    /// factor.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let records: usize = self.records.iter().map(Record::bytes).sum();
        FLOW_BYTES + self.seen.len() * size_of::<RequestId>() + records
    }
}

impl Record {
    fn bytes(&self) -> usize {
        match &self.outcome {
            Outcome::Answered(bytes) => RECORD_BYTES + bytes.len(),
            Outcome::NotRun(_) | Outcome::Unknown(_) => RECORD_BYTES,
        }
    }
}
