//! The flows that an agent holds.
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use thiserror::Error;
use wire::FlowKey;
use wire::Token;

use crate::seeded::SeededState;
use crate::wheel::Wheel;

/// Limits of a [`Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of flows, including closed ones that have not expired.
    pub capacity: usize,
    /// Time without a packet after which a flow expires.
    pub idle_timeout: Duration,
    /// Time after its last open at which a flow expires if no other packet was
    /// received.
    pub half_open_timeout: Duration,
    /// Time for which a closed flow is kept, so that delayed duplicates of its
    /// packets do not open it again.
    pub duplicate_window: Duration,
    /// Resolution of the timers for the timeouts above.
    pub timer_resolution: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            capacity: 500_000,
            idle_timeout: Duration::from_hours(1),
            half_open_timeout: Duration::from_secs(30),
            duplicate_window: Duration::from_mins(1),
            timer_resolution: Duration::from_secs(1),
        }
    }
}

/// A flow that the agent holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flow {
    /// Key chosen by the caller.
    pub key: FlowKey,
    /// Token of the holder, as sent to the caller.
    pub token: Token,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Time at which the last packet was received.
    pub last_seen: Duration,
    /// Phase of the flow's life cycle.
    pub phase: Phase,
    /// Number of queued or running requests; a flow with pending requests does
    /// not expire.
    pub pending: u32,
    /// Token of the home that was last notified of the flow's holder.
    pub home: Option<Token>,
}

/// Phase of a flow's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Opened; no further packet has been received.
    HalfOpen,
    /// A packet has been received since the open.
    Open,
    /// Closed, and kept to recognize delayed duplicates.
    Closed,
}

/// Reason why a flow was not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Error)]
pub enum Error {
    /// the flow table is full; raise its capacity or add backend servers
    Full,
    /// the flow was closed recently; open a flow with another key
    Closed,
    /// the flow key is already in use; open a flow with another key
    KeyInUse,
}

/// The flows that an agent holds.
///
/// ```
/// use std::time::Duration;
/// use flow::Table;
/// use flow::table::Settings;
/// use wire::Token;
///
/// let settings = Settings::default();
/// let token = Token { target: 1, incarnation: 1 };
/// let caller = "203.0.113.5:4000".parse().unwrap();
/// let mut table = Table::new(settings, 7, Duration::ZERO);
/// table.open(Duration::ZERO, 42, token, caller).unwrap();
/// table.touch(Duration::from_secs(1), 42);
/// assert_eq!(table.get(42).unwrap().token, token);
///
/// let mut expired = Vec::new();
/// table.expire(settings.idle_timeout * 2, &mut expired);
/// assert_eq!(expired[0].key, 42);
/// ```
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    index: HashMap<FlowKey, u32, SeededState>,
    slots: Vec<Option<Flow>>,
    free: Vec<u32>,
    wheel: Wheel,
    due: Vec<u32>,
}

impl Table {
    /// Creates an empty table. The seed makes the hashes unpredictable to
    /// callers, so that they cannot choose keys that collide.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Duration) -> Self {
        Self {
            index: HashMap::with_hasher(SeededState(seed)),
            slots: Vec::new(),
            free: Vec::new(),
            wheel: Wheel::new(settings.timer_resolution, now),
            due: Vec::new(),
            settings,
        }
    }

    /// Changes the idle timeout. Flows already in the table adopt it when their
    /// current timers fire, within about a minute at a timer resolution of 1 s.
    pub fn set_idle_timeout(&mut self, idle: Duration) {
        self.settings.idle_timeout = idle;
    }

    /// Returns the time without a packet after which a flow expires.
    #[must_use]
    pub const fn idle_timeout(&self) -> Duration {
        self.settings.idle_timeout
    }

    /// Opens a flow, or returns the flow if the caller has already opened it.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`]; the open must then be refused.
    pub fn open(
        &mut self,
        now: Duration,
        key: FlowKey,
        token: Token,
        caller: SocketAddr,
    ) -> Result<Flow, Error> {
        match self.get_mut(key) {
            Some(flow) if flow.caller != caller => Err(Error::KeyInUse),
            Some(flow) if flow.phase == Phase::Closed => Err(Error::Closed),
            Some(flow) => {
                flow.last_seen = now;
                Ok(*flow)
            }
            None => self.insert(Flow {
                key,
                token,
                caller,
                last_seen: now,
                phase: Phase::HalfOpen,
                pending: 0,
                home: None,
            }),
        }
    }

    /// Adds an existing flow, such as one handed over by another agent.
    ///
    /// # Errors
    ///
    /// [`Error::Full`] if the table is at its capacity, [`Error::KeyInUse`] if the
    /// table already contains the flow.
    pub fn insert(&mut self, flow: Flow) -> Result<Flow, Error> {
        if self.index.contains_key(&flow.key) {
            return Err(Error::KeyInUse);
        }
        if self.is_full() {
            return Err(Error::Full);
        }
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            u32::try_from(self.slots.len() - 1).unwrap_or(u32::MAX)
        });
        self.slots[slot as usize] = Some(flow);
        self.index.insert(flow.key, slot);
        self.wheel.set(self.expiry_time(&flow), slot);
        Ok(flow)
    }

    /// Adds an existing flow and replaces a half-open one with the same key:
    /// two agents accepted opens of the flow, and the caller uses the flow that
    /// is added.
    ///
    /// # Errors
    ///
    /// Same as [`Self::insert`].
    pub fn insert_over_half_open(&mut self, flow: Flow) -> Result<Flow, Error> {
        match self.get_mut(flow.key) {
            Some(held) if held.phase == Phase::HalfOpen => {
                *held = flow;
                Ok(flow)
            }
            _ => self.insert(flow),
        }
    }

    /// Returns the flow with the given key, including a closed one.
    #[must_use]
    pub fn get(&self, key: FlowKey) -> Option<&Flow> {
        let slot = *self.index.get(&key)?;
        self.slots[slot as usize].as_ref()
    }

    /// Returns a mutable reference to the flow with the given key.
    pub fn get_mut(&mut self, key: FlowKey) -> Option<&mut Flow> {
        let slot = *self.index.get(&key)?;
        self.slots[slot as usize].as_mut()
    }

    /// Records that a packet of the flow, other than its open, was received.
    pub fn touch(&mut self, now: Duration, key: FlowKey) {
        if let Some(flow) = self.get_mut(key) {
            flow.last_seen = now;
            flow.phase = match flow.phase {
                Phase::HalfOpen | Phase::Open => Phase::Open,
                Phase::Closed => Phase::Closed,
            };
        }
    }

    /// Closes a flow; it is kept to recognize delayed duplicates of its
    /// packets.
    pub fn close(&mut self, now: Duration, key: FlowKey) {
        if let Some(flow) = self.get_mut(key) {
            flow.phase = Phase::Closed;
            flow.last_seen = now;
        }
    }

    /// Removes the flows that have expired and appends them to `expired`.
    pub fn expire(&mut self, now: Duration, expired: &mut Vec<Flow>) {
        let mut due = std::mem::take(&mut self.due);
        self.wheel.fire(now, &mut due);
        for slot in due.drain(..) {
            let Some(flow) = self.slots[slot as usize] else {
                continue;
            };
            let expiry = self.expiry_time(&flow);
            if flow.pending > 0 || expiry > now {
                self.wheel.set(expiry.max(now), slot);
                continue;
            }
            self.slots[slot as usize] = None;
            self.free.push(slot);
            self.index.remove(&flow.key);
            expired.push(flow);
        }
        self.due = due;
    }

    /// Returns the time at which [`Table::expire`] has to be called next.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        self.wheel.next_deadline()
    }

    /// Returns the number of slots, including free ones.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots.len()
    }

    /// Returns the flows in up to `count` slots, starting at slot `start`;
    /// `None` if `start` is past the last slot.
    #[must_use]
    pub fn scan(&self, start: usize, count: usize) -> Option<impl Iterator<Item = &Flow>> {
        let end = self.slots.len().min(start.saturating_add(count));
        (start < end).then(|| self.slots[start..end].iter().flatten())
    }

    /// Returns all flows, in an order that depends only on the sequence of
    /// operations on the table.
    pub fn iter(&self) -> impl Iterator<Item = &Flow> {
        self.slots.iter().flatten()
    }

    /// Returns the number of flows, including closed ones that have not
    /// expired.
    #[must_use]
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns true if there are no flows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns true if the table is at its capacity.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.len() >= self.settings.capacity
    }

    /// Returns the memory that the table uses, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        // A hash map stores one control byte for each entry.
        self.index.capacity() * (size_of::<FlowKey>() + size_of::<u64>() + 1)
            + self.slots.capacity() * size_of::<Option<Flow>>()
            + self.free.capacity() * size_of::<u32>()
            + self.wheel.bytes()
    }

    fn expiry_time(&self, flow: &Flow) -> Duration {
        let settings = &self.settings;
        let timeout = match flow.phase {
            Phase::HalfOpen => settings.half_open_timeout.min(settings.idle_timeout),
            Phase::Open => settings.idle_timeout,
            Phase::Closed => settings.duplicate_window,
        };
        flow.last_seen + timeout
    }
}
