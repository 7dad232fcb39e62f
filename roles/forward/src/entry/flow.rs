//! What an entry remembers of a flow.
use std::time::Duration;

use bytes::Bytes;
use wire::Hop;
use wire::ServiceAddress;
use wire::TargetId;

/// Packets of one flow that wait for its holder to be found. Each end has at
/// most this many under way.
const MAX_WAITING: usize = 16;

/// What an entry remembers of a flow.
#[derive(Debug)]
pub struct Flow {
    /// Where it is.
    pub phase: Phase,
    /// When its last packet came.
    pub used: Duration,
    /// Since when it is in its phase.
    pub since: Duration,
    /// When the holder's backend server started, if it said so.
    pub start: Option<u64>,
    /// Whether the caller has ended it.
    pub is_closing: bool,
}

/// Where a flow is.
#[derive(Debug)]
pub enum Phase {
    /// Its opening packet went to an agent that has not answered yet.
    Opening(Opening),
    /// An agent holds it.
    Held(Hop),
    /// Agents are asked for it.
    Seeking(Seeking),
    /// No agent holds it.
    Lost,
}

/// An opening packet under way.
#[derive(Debug)]
pub struct Opening {
    /// The agents that it visits; at least one.
    pub path: Vec<Hop>,
    /// Backend servers whose agents did not answer an earlier copy.
    pub tried: Vec<TargetId>,
    /// When it was sent.
    pub sent: Duration,
}

/// A search for the holder of a flow.
#[derive(Debug)]
pub struct Seeking {
    /// When agents were last asked to search.
    pub sent: Duration,
    /// The packet that agents are asked with; the holder delivers it.
    pub packet: Bytes,
    /// Position up to which the caller has received.
    pub acknowledged: u32,
    /// Backend servers whose agents were asked to search, or deny the flow.
    pub tried: Vec<TargetId>,
    /// How often agents were asked to search.
    pub rounds: u8,
    /// Services of which no agent holds the flow.
    pub unheld: Vec<ServiceAddress>,
    /// Packets to be sent once the holder is known.
    pub waiting: Vec<Bytes>,
}

impl Flow {
    /// A flow whose packet came now.
    pub const fn new(now: Duration, phase: Phase) -> Self {
        Self {
            phase,
            used: now,
            since: now,
            start: None,
            is_closing: false,
        }
    }
}

impl Seeking {
    /// Keeps a packet for the holder; false where too many wait.
    pub fn wait(&mut self, packet: Bytes) -> bool {
        let has_room = self.waiting.len() < MAX_WAITING;
        if has_room {
            self.waiting.push(packet);
        }
        has_room
    }
}
