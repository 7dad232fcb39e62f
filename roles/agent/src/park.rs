//! The state of an agent that is replaced beside a live backend server.
//!
//! The agent that stops parks its flows, with their records, in bounded parts
//! at a peer of the service. Its next incarnation claims the parts at start,
//! and from then on accepts the tokens of the incarnation it inherited from.
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

/// One bounded part of a parked state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The incarnation that parks.
    pub owner: Token,
    /// The service of the flows.
    pub service: ServiceAddress,
    /// What the peer shall do with the flows.
    pub purpose: Purpose,
    /// Position of this part, from 0.
    pub index: u32,
    /// Number of parts of the whole state.
    pub count: u32,
    /// The flows of this part.
    pub flows: Vec<Flow>,
}

/// What a peer shall do with the flows that it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Purpose {
    /// Keep them for the owner's next incarnation.
    Keep,
    /// Hold them from now on; the owner leaves for good.
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
    /// Whether the flow was closed; late copies of its packets are refused.
    pub closed: bool,
    /// Non-idempotent requests up to this one are refused as unknown.
    pub floor: RequestId,
    /// Non-idempotent requests that are refused as unknown.
    pub seen: Vec<RequestId>,
    /// What became of recent requests.
    pub records: Vec<Record>,
}

/// What became of a request of a parked flow.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub request: RequestId,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Time until its caller gives up, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// What became of it.
    pub outcome: Outcome,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran; this is the whole answer.
    Answered(Bytes),
    /// It did not run and never will; for the reason of the callers' schema.
    NotRun(i32),
    /// It may have run, once at most; for the reason of the callers' schema.
    Unknown(i32),
}

/// Asks for one part of what a predecessor parked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The backend server that both stand beside.
    pub target: TargetId,
    /// Incarnation of the agent that asks.
    pub incarnation: Incarnation,
    /// Position of the part, from 0.
    pub index: u32,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The part.
    Part(Part),
    /// Nothing, or not all of it, is parked here.
    Nothing,
    /// The peer could not be asked.
    Unreachable,
}

/// Memory of an encoded flow without its ids and records, in bytes.
const FLOW_BYTES: usize = 64;

/// Memory of an encoded record without its answer, in bytes.
const RECORD_BYTES: usize = 32;

impl Flow {
    /// Whether its caller has sent a request that left a trace.
    pub(crate) const fn is_used(&self) -> bool {
        self.floor > 0 || !self.seen.is_empty() || !self.records.is_empty()
    }
}

impl Part {
    /// Size of the encoded part in bytes, within a small factor.
    #[must_use]
    pub fn bytes(&self) -> usize {
        FLOW_BYTES + self.flows.iter().map(Flow::bytes).sum::<usize>()
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = FlowKey> {
        self.flows.iter().map(|flow| flow.key)
    }
}

impl Flow {
    /// Size of the encoded flow in bytes, within a small factor.
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
