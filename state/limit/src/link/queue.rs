//! Bounded queue of waiting packets.
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Packet;
use super::volume::Progress;

/// Largest size of a queue in bytes: 0.4 s of a link of 10 Mbit/s. Five of them fit
/// into the memory of the smallest hosts, 64 MB, on faster links too.
const MAX_BYTES: usize = 512 * 1024;

/// Largest number of packets in a queue.
const MAX_PACKETS: usize = 1024;

/// A waiting packet.
#[derive(Debug)]
pub struct Entry<T> {
    /// Time at which it was queued.
    pub queued: Duration,
    /// Its properties.
    pub packet: Packet,
    /// The packet itself.
    pub item: T,
}

/// Number of a lane, which is the hash of a flow, or 0.
type LaneId = u64;

/// Location of a waiting packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    lane: LaneId,
    /// Number of the packet in the queue; numbers only rise.
    number: u64,
}

/// Order of the lanes: the flow that has got furthest, then the newest one, since the
/// callers of older ones are late already.
type Rank = (Reverse<u32>, Reverse<u32>, LaneId);

/// Waiting packets of one flow, or of all that no flow distinguishes, in the order of
/// their arrival: receivers may drop what comes out of order.
#[derive(Debug)]
struct Lane<T> {
    rank: Rank,
    entries: VecDeque<(u64, Entry<T>)>,
}

/// Waiting packets of one class.
#[derive(Debug)]
pub struct Queue<T> {
    lanes: HashMap<LaneId, Lane<T>>,
    order: BTreeSet<Rank>,
    /// Packets in the order of their arrival; the first one still waits.
    arrivals: VecDeque<(Duration, Ticket)>,
    next_number: u64,
    length: usize,
    bytes: usize,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            lanes: HashMap::new(),
            order: BTreeSet::new(),
            arrivals: VecDeque::new(),
            next_number: 0,
            length: 0,
            bytes: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Returns true if no packet waits.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the size of the waiting packets in bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the time at which the oldest packet was queued.
    pub fn oldest(&self) -> Option<Duration> {
        self.arrivals.front().map(|(queued, _)| *queued)
    }

    /// Returns true if a packet of this size may be added.
    pub const fn has_room(&self, bytes: usize) -> bool {
        self.length < MAX_PACKETS && self.bytes + bytes <= MAX_BYTES
    }

    /// Adds a packet, of a flow that has got so far if its order depends on that.
    pub fn push(&mut self, progress: Option<Progress>, entry: Entry<T>) -> Ticket {
        let lane = progress.and(entry.packet.flow).unwrap_or_default();
        let progress = progress.unwrap_or_default();
        let rank = (Reverse(progress.level), Reverse(progress.start_ms), lane);
        let number = self.next_number;
        self.next_number += 1;
        self.length += 1;
        self.bytes += entry.packet.bytes;
        let ticket = Ticket { lane, number };
        self.arrivals.push_back((entry.queued, ticket));
        let held = self.lanes.entry(lane).or_insert_with(|| Lane {
            rank,
            entries: VecDeque::new(),
        });
        if held.rank != rank {
            self.order.remove(&held.rank);
            held.rank = rank;
        }
        self.order.insert(rank);
        held.entries.push_back((number, entry));
        ticket
    }

    /// Replaces a packet by its copy, which keeps its place and its time in the queue.
    pub fn replace(&mut self, ticket: Ticket, copy: Entry<T>) {
        let lane = self.lanes.get_mut(&ticket.lane);
        let held = lane.and_then(|lane| {
            let found = lane
                .entries
                .binary_search_by_key(&ticket.number, |(number, _)| *number);
            lane.entries.get_mut(found.ok()?)
        });
        let Some((_, held)) = held else {
            return;
        };
        self.bytes = self.bytes - held.packet.bytes + copy.packet.bytes;
        held.packet.bytes = copy.packet.bytes;
        held.item = copy.item;
    }

    /// Removes and returns the next packet.
    pub fn pop(&mut self) -> Option<Entry<T>> {
        let (_, _, lane) = *self.order.first()?;
        self.pop_lane(lane)
    }

    /// Removes and returns the oldest packet if it was queued at or before a time.
    pub fn pop_older(&mut self, time: Duration) -> Option<Entry<T>> {
        let (_, ticket) = *self
            .arrivals
            .front()
            .filter(|(queued, _)| *queued <= time)?;
        // The oldest packet of all is the first of its lane.
        self.pop_lane(ticket.lane)
    }

    fn pop_lane(&mut self, id: LaneId) -> Option<Entry<T>> {
        let lane = self.lanes.get_mut(&id)?;
        let (_, entry) = lane.entries.pop_front()?;
        if lane.entries.is_empty() {
            self.order.remove(&lane.rank);
            self.lanes.remove(&id);
        }
        self.length -= 1;
        self.bytes -= entry.packet.bytes;
        while let Some((_, ticket)) = self.arrivals.front()
            && !self.holds(*ticket)
        {
            self.arrivals.pop_front();
        }
        Some(entry)
    }

    fn holds(&self, ticket: Ticket) -> bool {
        let first = self
            .lanes
            .get(&ticket.lane)
            .and_then(|lane| lane.entries.front());
        first.is_some_and(|(number, _)| *number <= ticket.number)
    }
}
