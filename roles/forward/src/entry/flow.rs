//! What an entry remembers of a flow.
use std::time::Duration;

use bytes::Bytes;
use wire::Hop;
use wire::ServiceAddress;
use wire::TargetId;

/// Packets of one flow that wait for its holder to be found. Each end has at
/// most this many under way.
const MAX_QUEUED_PACKETS: usize = 16;

/// What an entry remembers of a flow.
#[derive(Debug)]
pub struct Flow {
    /// Where it is.
    pub phase: Phase,
    /// When its last packet came.
    pub last_used: Duration,
    /// Since when it is in its phase.
    pub phase_since: Duration,
    /// When the holder's backend server started, if it said so.
    pub server_start: Option<u64>,
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
    Searching(Searching),
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
    pub sent_at: Duration,
}

/// A search for the holder of a flow.
#[derive(Debug)]
pub struct Searching {
    /// When agents were last asked to search.
    pub asked_at: Duration,
    /// The packet that agents are asked with; the holder delivers it.
    pub packet: Bytes,
    /// Position up to which the caller has received.
    pub acknowledged: u32,
    /// Backend servers whose agents were asked to search, or deny the flow.
    pub tried: Vec<TargetId>,
    /// How often agents were asked to search.
    pub rounds: u8,
    /// Services of which no agent holds the flow.
    pub denied_by: Vec<ServiceAddress>,
    /// Packets to be sent once the holder is known.
    pub queued: Vec<Bytes>,
}

impl Flow {
    /// A flow whose packet came now.
    pub const fn new(now: Duration, phase: Phase) -> Self {
        Self {
            phase,
            last_used: now,
            phase_since: now,
            server_start: None,
            is_closing: false,
        }
    }
}

impl Searching {
    /// Keeps a packet for the holder; false where too many wait.
    pub fn enqueue(&mut self, packet: Bytes) -> bool {
        let has_room = self.queued.len() < MAX_QUEUED_PACKETS;
        if has_room {
            self.queued.push(packet);
        }
        has_room
    }
}
