//! Remembers which agent holds a flow that its home passed on.
//!
//! The table is soft state: the holder renews its pins in batches, and a pin
//! that is not renewed expires.
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use wire::FlowKey;
use wire::ServiceAddress;
use wire::Token;

/// Limits of a [`Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Largest number of pins.
    pub capacity: usize,
    /// How long a pin lasts without renewal.
    pub lifetime: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            capacity: 500_000,
            lifetime: Duration::from_mins(2),
        }
    }
}

/// The agent that holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// The backend server and the incarnation of its agent.
    pub token: Token,
    /// UDP address of the agent.
    pub address: SocketAddr,
}

/// What became of a request to pin a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The pin is kept.
    Kept,
    /// The table is at its limit.
    Full,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Key {
    service: ServiceAddress,
    flow: FlowKey,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    holder: Holder,
    expiry: Duration,
}

/// The pins of the flows that have their home here.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    pins: HashMap<Key, Entry>,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            pins: HashMap::new(),
        }
    }

    /// Records or renews the holder of a flow.
    pub fn pin(
        &mut self,
        now: Duration,
        service: ServiceAddress,
        flow: FlowKey,
        holder: Holder,
    ) -> Outcome {
        let key = Key { service, flow };
        if self.pins.len() >= self.settings.capacity && !self.pins.contains_key(&key) {
            return Outcome::Full;
        }
        let expiry = now + self.settings.lifetime;
        self.pins.insert(key, Entry { holder, expiry });
        Outcome::Kept
    }

    /// Forgets a flow, if it is pinned to the given holder.
    pub fn unpin(&mut self, service: ServiceAddress, flow: FlowKey, token: Token) -> bool {
        let key = Key { service, flow };
        let matches = self
            .pins
            .get(&key)
            .is_some_and(|entry| entry.holder.token == token);
        if matches {
            self.pins.remove(&key);
        }
        matches
    }

    /// The holder of a flow.
    #[must_use]
    pub fn get(&self, service: ServiceAddress, flow: FlowKey) -> Option<Holder> {
        let key = Key { service, flow };
        self.pins.get(&key).map(|entry| entry.holder)
    }

    /// Drops the pins that were not renewed in time; returns how many.
    pub fn expire(&mut self, now: Duration) -> usize {
        let before = self.pins.len();
        self.pins.retain(|_, entry| entry.expiry > now);
        before - self.pins.len()
    }

    /// When [`Table::expire`] next has work.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        self.pins.values().map(|entry| entry.expiry).min()
    }

    /// Number of pins.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pins.len()
    }

    /// Whether there is no pin.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pins.is_empty()
    }

    /// Memory that the table holds, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.pins.capacity() * size_of::<(Key, Entry)>()
    }
}
