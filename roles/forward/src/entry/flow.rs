//! State of a flow in the flow table of an entry.
use std::time::Duration;

use bytes::Bytes;
use wire::Hop;
use wire::ServiceAddress;
use wire::TargetId;

/// Maximum number of packets of one flow that are queued until its holder is
/// found. Each end of a flow has at most this many packets in flight.
const MAX_QUEUED_PACKETS: usize = 16;

/// State of a flow in the flow table of an entry.
#[derive(Debug)]
pub struct Flow {
    /// Phase of the flow.
    pub phase: Phase,
    /// Time of the last packet.
    pub last_used: Duration,
    /// Time at which the flow entered its phase.
    pub phase_since: Duration,
    /// Start time of the holder's backend server, if it was reported.
    pub server_start: Option<u64>,
    /// Whether the caller has closed or reset the flow.
    pub is_closing: bool,
}

/// Phase of a flow.
#[derive(Debug)]
pub enum Phase {
    /// The opening packet was sent to an agent that has not answered yet.
    Opening(Opening),
    /// The holder is known.
    Held(Hop),
    /// The holder is being searched for.
    Searching(Searching),
    /// A search found no holder.
    Lost,
}

/// Opening packet that has not been answered yet.
#[derive(Debug)]
pub struct Opening {
    /// Agents that it visits; at least one.
    pub path: Vec<Hop>,
    /// Backend servers whose agents did not answer an earlier copy.
    pub tried: Vec<TargetId>,
    /// Time at which it was last sent.
    pub sent_at: Duration,
}

/// Search for the holder of a flow.
#[derive(Debug)]
pub struct Searching {
    /// Time at which agents were last asked to search.
    pub asked_at: Duration,
    /// Packet to search with; the holder delivers it.
    pub packet: Bytes,
    /// Sequence number up to which the caller has received.
    pub acknowledged: u32,
    /// Backend servers whose agents were asked to search or denied holding the
    /// flow.
    pub tried: Vec<TargetId>,
    /// Number of times that agents were asked to search.
    pub rounds: u8,
    /// Services of which no agent holds the flow.
    pub denied_by: Vec<ServiceAddress>,
    /// Packets to send once the holder is known.
    pub queued: Vec<Bytes>,
}

impl Flow {
    /// Creates a flow whose last packet arrived now.
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
    /// Queues a packet for the holder; returns false if the queue is full.
    pub fn enqueue(&mut self, packet: Bytes) -> bool {
        let has_room = self.queued.len() < MAX_QUEUED_PACKETS;
        if has_room {
            self.queued.push(packet);
        }
        has_room
    }
}
