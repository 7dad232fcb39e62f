//! Frames about many flows at once whose holder an entry does not know.
//!
//! Questions and answers carry no packets, so that one frame covers hundreds of flows.
//! The entry forwards the packets that it kept once it knows the holder, and before that
//! only to agents that cannot tell without asking their backend server.
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::Hop;
use crate::TargetId;
use crate::segment::FlowId;

/// Maximum number of flows in one frame. Each takes some 15 bytes, and a datagram
/// has 20 KiB.
pub const MAX_FLOWS: usize = 1_000;

/// Maximum size of the packets in one [`Probes`], in bytes. Leaves room for their lengths
/// in a datagram.
pub const MAX_PROBE_BYTES: usize = 16 * 1024;

/// Maximum number of agents in one report. Sets of the largest batch take 125 bytes
/// each, and most agents fill one or two of them.
pub const MAX_FINDINGS: usize = 48;

/// Number of a batch, unique within the entry that sent it for as long as answers
/// can arrive.
pub type Number = u32;

/// Asks one agent to look up flows among all agents of its service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Search {
    /// The backend server whose agent searches.
    pub target: TargetId,
    /// The entry that receives the reports.
    pub entry: SocketAddr,
    /// Number of the batch.
    pub batch: Number,
    /// Address that the callers of the flows send to.
    pub service: SocketAddrV4,
    /// The flows.
    pub flows: Vec<Sought>,
}

/// Asks one agent which of some flows its backend server holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// The agent that searches, and the receiver of the answer.
    pub searcher: SocketAddr,
    /// What is searched for, with the backend server that the frame is addressed to.
    pub search: Search,
}

/// Flow whose holder is unknown to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sought {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Position in its incoming stream up to which the caller has received, which
    /// shows which backend server opened the flow.
    pub acknowledged: u32,
    /// Time in milliseconds since the entry received the first packet of the flow:
    /// the flow is at least that old.
    pub age_ms: u32,
}

/// Packets of flows that an agent could not tell about, to ask its backend server with.
/// The agent says what it learns in answer to the batch that the flows were part of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probes {
    /// The backend server that the frame is addressed to.
    pub target: TargetId,
    /// The entry that received the packets.
    pub entry: SocketAddr,
    /// A packet of each flow.
    pub packets: Vec<Bytes>,
}

/// What one agent knows about the flows of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    /// The backend server and the address of its agent.
    pub agent: Hop,
    /// Upper bound of the time since the backend server started, in milliseconds;
    /// `None` before its first announcement.
    pub age_ms: Option<u32>,
    /// Start time of the backend server in milliseconds since the Unix epoch, by its
    /// own clock; `None` before its first announcement.
    pub start: Option<u64>,
    /// Number of agents of the service that the agent knows, with itself.
    pub known_agents: u16,
    /// Whether the agent knows another one that is marked down and may only be
    /// unreachable.
    pub has_down_agent: bool,
    /// Flows that the backend server holds.
    pub held: Bitmap,
    /// Flows that it does not hold, because the agent has seen all flows of this
    /// incarnation of the server.
    pub complete: Bitmap,
    /// Flows that it does not hold, because it returned one of their packets.
    pub returned: Bitmap,
    /// Flows that it does not hold, because it started after the entry had received
    /// a packet of them.
    pub younger: Bitmap,
}

/// Answer of one agent to the agent that searches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The entry that numbered the batch.
    pub entry: SocketAddr,
    /// Number of the batch.
    pub batch: Number,
    /// What the agent knows.
    pub findings: Findings,
}

/// Answers of agents to the entry: of all that the searching agent has heard from,
/// or of one agent that has learned more since its last answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the batch.
    pub batch: Number,
    /// What each agent knows.
    pub findings: Vec<Findings>,
}

/// Set of small numbers, such as the flows of a batch by their index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bitmap {
    bytes: Vec<u8>,
}

impl Bitmap {
    /// Adds a number.
    pub fn insert(&mut self, index: usize) {
        let (byte, bit) = position(index);
        if byte >= self.bytes.len() {
            self.bytes.resize(byte + 1, 0);
        }
        self.bytes[byte] |= bit;
    }

    /// Removes a number.
    pub fn remove(&mut self, index: usize) {
        let (byte, bit) = position(index);
        if let Some(bits) = self.bytes.get_mut(byte) {
            *bits &= !bit;
        }
    }

    /// Returns true if a number is in the set.
    #[must_use]
    pub fn contains(&self, index: usize) -> bool {
        let (byte, bit) = position(index);
        self.bytes.get(byte).is_some_and(|bits| bits & bit != 0)
    }

    /// Returns true if the set contains all of another one.
    #[must_use]
    pub fn contains_all(&self, others: &Self) -> bool {
        let mut bytes = others.bytes.iter().enumerate();
        bytes.all(|(byte, bits)| bits & !self.bytes.get(byte).copied().unwrap_or_default() == 0)
    }

    /// Returns the numbers that are in both sets.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        let both = self.bytes.iter().zip(&other.bytes);
        Self {
            bytes: both.map(|(one, other)| one & other).collect(),
        }
    }

    /// Returns the numbers that are in any of both sets.
    #[must_use]
    pub fn union(&self, other: &Self) -> Self {
        let count = self.bytes.len().max(other.bytes.len());
        let byte = |set: &Self, index: usize| set.bytes.get(index).copied().unwrap_or_default();
        Self {
            bytes: (0..count)
                .map(|index| byte(self, index) | byte(other, index))
                .collect(),
        }
    }

    /// Returns true if the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.iter().all(|bits| *bits == 0)
    }
}

/// Returns the byte and the bit of an index.
const fn position(index: usize) -> (usize, u8) {
    let bits = u8::BITS as usize;
    (index / bits, 1 << (index % bits))
}

impl Search {
    /// Returns the id of a flow of the batch.
    #[must_use]
    pub const fn flow(&self, sought: &Sought) -> FlowId {
        FlowId {
            caller: sought.caller,
            service: self.service,
        }
    }
}

impl Findings {
    /// Returns true if the backend server is certain not to hold a flow.
    #[must_use]
    pub fn denies(&self, index: usize) -> bool {
        let kinds = [&self.complete, &self.returned, &self.younger];
        kinds.iter().any(|flows| flows.contains(index))
    }
}
