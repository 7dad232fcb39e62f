//! State of a flow in the flow table of an entry.
use std::time::Duration;

use bytes::Bytes;
use wire::Hop;
use wire::Segment;
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
    /// What the caller's packets have shown of the flow's requests.
    pub progress: Progress,
}

/// What the packets of a caller have shown of the requests of its flow.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Acknowledgement of the last packet with content. Content with another one
    /// follows an answer, and begins a request.
    at_content: Option<u32>,
    /// Largest acknowledgement.
    received: Option<u32>,
}

impl Progress {
    /// Records a packet of the caller. Returns whether it begins a request, and the
    /// bytes that it carries or acknowledges for the first time.
    pub fn record(&mut self, segment: &Segment) -> (bool, u32) {
        let acknowledged = segment.acknowledged;
        let is_request = segment.length > 0 && self.at_content != Some(acknowledged);
        if segment.length > 0 {
            self.at_content = Some(acknowledged);
        }
        let advance = acknowledged.wrapping_sub(self.received.unwrap_or(acknowledged));
        // A copy of an earlier packet acknowledges less.
        let answered = if advance <= MAX_ADVANCE { advance } else { 0 };
        if answered > 0 || self.received.is_none() {
            self.received = Some(acknowledged);
        }
        (
            is_request,
            u32::from(segment.length).saturating_add(answered),
        )
    }
}

/// Most bytes that one packet can acknowledge for the first time.
const MAX_ADVANCE: u32 = 1 << 20;

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
            progress: Progress {
                at_content: None,
                received: None,
            },
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
