//! The flows that an agent holds.
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use thiserror::Error;
use wire::FlowKey;
use wire::Token;

use crate::seeded::Seeded;
use crate::wheel::Wheel;

/// Limits of a [`Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Largest number of flows, closed ones that are still kept included.
    pub capacity: usize,
    /// Time without a packet after which a flow is forgotten.
    pub idle: Duration,
    /// Time after which a flow is forgotten that saw no packet but its open.
    pub half_open: Duration,
    /// Time that a closed flow is kept, so that late copies of its packets do
    /// not open it again.
    pub late_copy: Duration,
    /// Accuracy of the times above.
    pub accuracy: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            capacity: 500_000,
            idle: Duration::from_hours(1),
            half_open: Duration::from_secs(30),
            late_copy: Duration::from_mins(1),
            accuracy: Duration::from_secs(1),
        }
    }
}

/// A flow that the agent holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flow {
    /// Chosen by the caller.
    pub key: FlowKey,
    /// What the caller was told of the holder.
    pub token: Token,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// When the last packet came.
    pub last_seen: Duration,
    /// Where the flow stands.
    pub phase: Phase,
    /// Requests that are queued or running; a busy flow does not expire.
    pub pending: u32,
    /// The incarnation of the home that was last told who holds the flow.
    pub home: Option<Token>,
}

/// Where a flow stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No packet has come since the open.
    HalfOpen,
    /// In use.
    Open,
    /// Closed, and kept for late copies.
    Closed,
}

/// Why a flow was not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Error)]
pub enum Error {
    /// the flow table is at its limit; raise its capacity or add backend servers
    Full,
    /// the flow was closed a short time ago; open another flow key
    Closed,
    /// another caller holds this flow key; open another flow key
    Taken,
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
/// table.expire(settings.idle * 2, &mut expired);
/// assert_eq!(expired[0].key, 42);
/// ```
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    index: HashMap<FlowKey, u32, Seeded>,
    slots: Vec<Option<Flow>>,
    free: Vec<u32>,
    wheel: Wheel,
    due: Vec<u32>,
}

impl Table {
    /// Creates an empty table; the seed keeps callers from choosing keys that
    /// collide.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Duration) -> Self {
        Self {
            index: HashMap::with_hasher(Seeded(seed)),
            slots: Vec::new(),
            free: Vec::new(),
            wheel: Wheel::new(settings.accuracy, now),
            due: Vec::new(),
            settings,
        }
    }

    /// Changes the idle time; flows held follow within a minute.
    pub fn set_idle(&mut self, idle: Duration) {
        self.settings.idle = idle;
    }

    /// Time without a packet after which a flow is forgotten.
    #[must_use]
    pub const fn idle(&self) -> Duration {
        self.settings.idle
    }

    /// Opens a flow, or finds the one that an earlier copy opened.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`]; the open is then to be refused.
    pub fn open(
        &mut self,
        now: Duration,
        key: FlowKey,
        token: Token,
        caller: SocketAddr,
    ) -> Result<Flow, Error> {
        match self.get_mut(key) {
            Some(flow) if flow.caller != caller => Err(Error::Taken),
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

    /// Adds a flow as it is, such as one that another agent held.
    ///
    /// # Errors
    ///
    /// [`Error::Full`] at the table's limit, [`Error::Taken`] where the flow is
    /// held already.
    pub fn insert(&mut self, flow: Flow) -> Result<Flow, Error> {
        if self.index.contains_key(&flow.key) {
            return Err(Error::Taken);
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
        self.wheel.set(self.expiry(&flow), slot);
        Ok(flow)
    }

    /// Adds a flow as it is, in place of one that is half open under the same
    /// key: two opens have met, and the caller uses the flow that is added.
    ///
    /// # Errors
    ///
    /// As of [`Self::insert`].
    pub fn insert_over_half_open(&mut self, flow: Flow) -> Result<Flow, Error> {
        match self.get_mut(flow.key) {
            Some(held) if held.phase == Phase::HalfOpen => {
                *held = flow;
                Ok(flow)
            }
            _ => self.insert(flow),
        }
    }

    /// The flow of a key, closed ones included.
    #[must_use]
    pub fn get(&self, key: FlowKey) -> Option<&Flow> {
        let slot = *self.index.get(&key)?;
        self.slots[slot as usize].as_ref()
    }

    /// The flow of a key, to be changed.
    pub fn get_mut(&mut self, key: FlowKey) -> Option<&mut Flow> {
        let slot = *self.index.get(&key)?;
        self.slots[slot as usize].as_mut()
    }

    /// Notes a packet of a flow other than its open.
    pub fn touch(&mut self, now: Duration, key: FlowKey) {
        if let Some(flow) = self.get_mut(key) {
            flow.last_seen = now;
            flow.phase = match flow.phase {
                Phase::HalfOpen | Phase::Open => Phase::Open,
                Phase::Closed => Phase::Closed,
            };
        }
    }

    /// Ends a flow; it is kept for late copies.
    pub fn close(&mut self, now: Duration, key: FlowKey) {
        if let Some(flow) = self.get_mut(key) {
            flow.phase = Phase::Closed;
            flow.last_seen = now;
        }
    }

    /// Forgets the flows whose time has passed, and adds them to `expired`.
    pub fn expire(&mut self, now: Duration, expired: &mut Vec<Flow>) {
        let mut due = std::mem::take(&mut self.due);
        self.wheel.fire(now, &mut due);
        for slot in due.drain(..) {
            let Some(flow) = self.slots[slot as usize] else {
                continue;
            };
            let expiry = self.expiry(&flow);
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

    /// When [`Table::expire`] next has work.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        self.wheel.next_deadline()
    }

    /// Number of slots, with and without a flow.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots.len()
    }

    /// The flows in the slots from `start` on, `count` slots at most; `None`
    /// past the last slot.
    #[must_use]
    pub fn scan(&self, start: usize, count: usize) -> Option<impl Iterator<Item = &Flow>> {
        let end = self.slots.len().min(start.saturating_add(count));
        (start < end).then(|| self.slots[start..end].iter().flatten())
    }

    /// All flows, in an order that depends on the table's history alone.
    pub fn iter(&self) -> impl Iterator<Item = &Flow> {
        self.slots.iter().flatten()
    }

    /// Number of flows, closed ones that are still kept included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether there is no flow.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Whether the table is at its limit.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.len() >= self.settings.capacity
    }

    /// Memory that the table holds, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        // A hash map keeps a control byte beside each entry.
        self.index.capacity() * (size_of::<FlowKey>() + size_of::<u64>() + 1)
            + self.slots.capacity() * size_of::<Option<Flow>>()
            + self.free.capacity() * size_of::<u32>()
            + self.wheel.bytes()
    }

    fn expiry(&self, flow: &Flow) -> Duration {
        let settings = &self.settings;
        let time = match flow.phase {
            Phase::HalfOpen => settings.half_open.min(settings.idle),
            Phase::Open => settings.idle,
            Phase::Closed => settings.late_copy,
        };
        flow.last_seen + time
    }
}
