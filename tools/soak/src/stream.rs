//! One end of a flow's reliable stream.
use std::collections::VecDeque;
use std::time::Duration;

use wire::Segment;
use wire::segment::Kind;

/// Largest content of a packet, in bytes.
const MAX_CONTENT: usize = 1_200;

/// Largest number of packets in flight.
const WINDOW: usize = 16;

/// Initial retransmission time-out; it doubles with each retransmission.
const MIN_RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest retransmission time-out.
const MAX_RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Retransmissions without an acknowledgement after which a stream times out.
const MAX_RETRANSMISSIONS: u32 = 8;

/// One end of a flow's reliable stream.
#[derive(Debug)]
pub struct Stream {
    /// Unacknowledged chunks, in order.
    chunks: VecDeque<Chunk>,
    /// Sequence number after everything written.
    end: u32,
    /// Sequence number up to which the peer's stream has been received.
    pub received: u32,
    retransmit_timeout: Duration,
    retransmit_at: Duration,
    retransmissions: u32,
    is_closed_here: bool,
    is_closed_by_peer: bool,
}

#[derive(Debug)]
struct Chunk {
    start: u32,
    content: Vec<u8>,
    is_last: bool,
    is_sent: bool,
}

/// A packet to send.
#[derive(Debug)]
pub struct Packet {
    /// Kind of the packet.
    pub kind: Kind,
    /// Sequence number of its content.
    pub sequence: u32,
    /// Content of the packet.
    pub content: Vec<u8>,
}

impl Stream {
    /// Creates a stream from the initial sequence numbers of both ends.
    #[must_use]
    pub fn new(own: u32, other: u32) -> Self {
        Self {
            chunks: VecDeque::new(),
            end: own.wrapping_add(1),
            received: other.wrapping_add(1),
            retransmit_timeout: MIN_RETRANSMIT_TIMEOUT,
            retransmit_at: Duration::MAX,
            retransmissions: 0,
            is_closed_here: false,
            is_closed_by_peer: false,
        }
    }

    /// Queues content to send.
    pub fn write(&mut self, content: &[u8]) {
        for part in content.chunks(MAX_CONTENT) {
            self.push(part.to_vec(), false);
        }
    }

    /// Queues the end of the stream; has no effect if it is queued already.
    pub fn close(&mut self) {
        if !self.is_closed_here {
            self.is_closed_here = true;
            self.push(Vec::new(), true);
        }
    }

    /// Returns whether both ends have closed and everything sent is
    /// acknowledged.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.is_closed_here && self.is_closed_by_peer && self.chunks.is_empty()
    }

    /// Returns whether the peer has closed its end.
    #[must_use]
    pub const fn is_closed_by_peer(&self) -> bool {
        self.is_closed_by_peer
    }

    /// Returns whether too many retransmissions have gone unacknowledged.
    #[must_use]
    pub const fn has_timed_out(&self) -> bool {
        self.retransmissions > MAX_RETRANSMISSIONS
    }

    /// Returns the sequence number of the first unacknowledged content.
    #[must_use]
    pub fn position(&self) -> u32 {
        let first = self.chunks.front();
        first.map_or(self.end, |chunk| chunk.start)
    }

    /// Processes a packet of the peer, and returns its content if it is next in
    /// order.
    pub fn receive<'a>(&mut self, now: Duration, segment: &Segment, content: &'a [u8]) -> &'a [u8] {
        self.acknowledge(now, segment.acknowledged);
        if segment.sequence != self.received {
            return &[];
        }
        self.received = self.received.wrapping_add(length(content));
        if segment.kind == Kind::Close {
            self.is_closed_by_peer = true;
            self.received = self.received.wrapping_add(1);
        }
        content
    }

    /// Returns the packets to send now: a due retransmission, and new packets
    /// that fit into the window.
    pub fn poll(&mut self, now: Duration) -> Vec<Packet> {
        let mut out = Vec::new();
        if now >= self.retransmit_at
            && let Some(first) = self.chunks.front()
        {
            out.push(first.packet());
            self.retransmissions += 1;
            self.retransmit_timeout = (self.retransmit_timeout * 2).min(MAX_RETRANSMIT_TIMEOUT);
            self.retransmit_at = now + self.retransmit_timeout;
        }
        for chunk in self.chunks.iter_mut().take(WINDOW) {
            if !chunk.is_sent {
                chunk.is_sent = true;
                out.push(chunk.packet());
                if self.retransmit_at == Duration::MAX {
                    self.retransmit_at = now + self.retransmit_timeout;
                }
            }
        }
        out
    }

    fn push(&mut self, content: Vec<u8>, is_last: bool) {
        let start = self.end;
        self.end = start
            .wrapping_add(length(&content))
            .wrapping_add(u32::from(is_last));
        self.chunks.push_back(Chunk {
            start,
            content,
            is_last,
            is_sent: false,
        });
    }

    fn acknowledge(&mut self, now: Duration, position: u32) {
        let before = self.chunks.len();
        while self
            .chunks
            .front()
            .is_some_and(|chunk| chunk.is_sent && is_reached(position, chunk.end()))
        {
            self.chunks.pop_front();
        }
        if self.chunks.len() < before {
            self.retransmissions = 0;
            self.retransmit_timeout = MIN_RETRANSMIT_TIMEOUT;
            self.retransmit_at = if self.chunks.is_empty() {
                Duration::MAX
            } else {
                now + self.retransmit_timeout
            };
        }
    }
}

impl Chunk {
    fn end(&self) -> u32 {
        self.start
            .wrapping_add(length(&self.content))
            .wrapping_add(u32::from(self.is_last))
    }

    fn packet(&self) -> Packet {
        Packet {
            kind: if self.is_last {
                Kind::Close
            } else {
                Kind::Data
            },
            sequence: self.start,
            content: self.content.clone(),
        }
    }
}

/// Returns whether `position` is at or after `end`, modulo 2^32.
const fn is_reached(position: u32, end: u32) -> bool {
    position.wrapping_sub(end) <= u32::MAX / 2
}

fn length(content: &[u8]) -> u32 {
    u32::try_from(content.len()).unwrap_or(u32::MAX)
}
