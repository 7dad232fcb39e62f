//! State of a flow in the flow table of an entry.
use std::time::Duration;

use bytes::Bytes;
use wire::Hop;
use wire::Segment;
use wire::ServiceAddress;
use wire::TargetId;
use wire::segment::Kind;

use super::holder::Claims;
use super::proof::Answers;

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
    /// Agents that have reported to hold the flow before the present holder.
    pub claims: Claims,
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
    /// Returns false if a caller that acknowledges this uses another flow from the same
    /// port than the one whose packets were recorded.
    pub fn is_continued_by(&self, acknowledged: u32) -> bool {
        self.received
            .is_none_or(|received| is_near(received, acknowledged))
    }

    /// Records a packet of the caller. Returns whether it begins a request, and the
    /// bytes that it carries or acknowledges for the first time.
    fn record(&mut self, segment: &Segment) -> (bool, u32) {
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

/// Returns true if two acknowledgements may be of the same flow.
pub const fn is_near(one: u32, other: u32) -> bool {
    let advance = other.wrapping_sub(one);
    advance <= MAX_ADVANCE || advance.wrapping_neg() <= MAX_ADVANCE
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
    /// A search found no holder, or too many flows are being searched for to search
    /// for this one alone. The flow is looked up in batches.
    Undecided(Searching),
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
    /// Sequence number of `packet`.
    pub sequence: u32,
    /// Whether the caller expects an answer: its last packet is not a reset.
    pub wants_reset: bool,
    /// Time at which the first packet of the flow arrived.
    pub first_at: Duration,
    /// Time at which the caller gives up.
    pub gives_up_at: Duration,
    /// Time at which the flow was last part of a batch.
    pub batched_at: Duration,
    /// Number of searches after a batch that left the flow uncertain.
    pub probe_searches: u8,
    /// Time of the last search that allowed probes.
    pub probed_at: Option<Duration>,
    /// Whether it is also searched for at services that its route is not known to have
    /// named.
    pub is_widened: bool,
    /// What agents have answered to batches.
    pub answers: Answers,
    /// Kinds of proof that the denials rest on.
    pub proofs: Proofs,
}

/// Kinds of proof that the denials of a flow rest on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Proofs {
    /// An agent has seen all flows of its server's incarnation.
    pub complete: bool,
    /// A server returned a packet of the flow.
    pub returned: bool,
    /// A server started after a packet of the flow had arrived.
    pub younger: bool,
}

/// What became of a packet of an undecided flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// It is queued for the holder.
    Queued,
    /// It repeats the packet that is kept already.
    Repeated,
    /// The queue is full.
    Full,
}

impl Flow {
    /// Creates a flow whose last packet arrived now.
    pub fn new(now: Duration, phase: Phase) -> Self {
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
            claims: Claims::default(),
        }
    }

    /// Records a packet of the caller, see [`Progress::record`]. An answer that it
    /// acknowledges for the first time shows that the flow is alive.
    pub fn record_packet(&mut self, segment: &Segment) -> (bool, u32) {
        let received = self.progress.received;
        let recorded = self.progress.record(segment);
        if received.is_some() && self.progress.received != received {
            self.claims.forget_restart();
        }
        recorded
    }
}

impl Searching {
    /// Creates the state of a flow of which this is the first packet.
    pub fn new(now: Duration, timeout: Duration, segment: &Segment, packet: Bytes) -> Self {
        Self {
            asked_at: now,
            packet,
            acknowledged: segment.acknowledged,
            tried: Vec::new(),
            rounds: 0,
            denied_by: Vec::new(),
            queued: Vec::new(),
            sequence: segment.sequence,
            wants_reset: segment.kind != Kind::Reset,
            first_at: now,
            gives_up_at: now + timeout,
            batched_at: now,
            probe_searches: 0,
            probed_at: None,
            is_widened: false,
            answers: Answers::default(),
            proofs: Proofs::default(),
        }
    }

    /// Records a later packet of the caller.
    pub fn record_packet(&mut self, segment: &Segment) {
        self.acknowledged = segment.acknowledged;
        self.wants_reset = segment.kind != Kind::Reset;
    }

    /// Queues a packet for the holder unless it repeats the one that is kept.
    pub fn keep(&mut self, segment: &Segment, packet: Bytes) -> Kept {
        let is_repeated = segment.sequence == self.sequence && segment.kind == Kind::Data;
        match is_repeated {
            true => Kept::Repeated,
            false if self.enqueue(packet) => Kept::Queued,
            false => Kept::Full,
        }
    }

    /// Queues a packet for the holder; returns false if the queue is full.
    pub fn enqueue(&mut self, packet: Bytes) -> bool {
        let has_room = self.queued.len() < MAX_QUEUED_PACKETS;
        if has_room {
            self.queued.push(packet);
        }
        has_room
    }
}
