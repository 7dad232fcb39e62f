//! Bounded queue of waiting packets.
use std::cmp::Reverse;
use std::collections::BTreeMap;
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

/// Order in which packets are sent: those of the flow that has got furthest, then
/// those of the newest flow, since the callers of older ones are late already; then in
/// the order of their arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    level: Reverse<u32>,
    start: Reverse<u32>,
    number: u64,
}

/// Waiting packets of one class.
#[derive(Debug)]
pub struct Queue<T> {
    entries: BTreeMap<Rank, Entry<T>>,
    /// Packets in the order of their arrival; the first one still waits.
    arrivals: VecDeque<(Duration, Rank)>,
    next_number: u64,
    bytes: usize,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            arrivals: VecDeque::new(),
            next_number: 0,
            bytes: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Returns true if no packet waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
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
    pub fn has_room(&self, bytes: usize) -> bool {
        self.entries.len() < MAX_PACKETS && self.bytes + bytes <= MAX_BYTES
    }

    /// Adds a packet of a flow that has got so far, and returns its rank.
    pub fn push(&mut self, progress: Progress, entry: Entry<T>) -> Rank {
        let rank = Rank {
            level: Reverse(progress.level),
            start: Reverse(progress.start_ms),
            number: self.next_number,
        };
        self.next_number += 1;
        self.bytes += entry.packet.bytes;
        self.arrivals.push_back((entry.queued, rank));
        self.entries.insert(rank, entry);
        rank
    }

    /// Replaces the packet with this rank by its copy, which keeps its place and its
    /// time in the queue.
    pub fn replace(&mut self, rank: Rank, copy: Entry<T>) {
        let Some(held) = self.entries.get_mut(&rank) else {
            return;
        };
        self.bytes = self.bytes - held.packet.bytes + copy.packet.bytes;
        held.packet.bytes = copy.packet.bytes;
        held.item = copy.item;
    }

    /// Removes and returns the next packet.
    pub fn pop(&mut self) -> Option<Entry<T>> {
        let rank = *self.entries.first_key_value()?.0;
        self.remove(rank)
    }

    /// Removes and returns the oldest packet if it was queued at or before a time.
    pub fn pop_older(&mut self, time: Duration) -> Option<Entry<T>> {
        let (_, rank) = *self
            .arrivals
            .front()
            .filter(|(queued, _)| *queued <= time)?;
        self.remove(rank)
    }

    fn remove(&mut self, rank: Rank) -> Option<Entry<T>> {
        let entry = self.entries.remove(&rank)?;
        self.bytes -= entry.packet.bytes;
        while let Some((_, rank)) = self.arrivals.front()
            && !self.entries.contains_key(rank)
        {
            self.arrivals.pop_front();
        }
        Some(entry)
    }
}
