//! Table of pins: a pin records which agent holds a flow that has its home here
//! but was accepted by another agent.
//!
//! The table is soft state: holders renew their pins in batches, and a pin that
//! is not renewed expires. A pin takes 16 bytes, and its timer in an expiry
//! bucket 8 more; each holder is stored only once.
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use wire::FlowKey;
use wire::ServiceAddress;
use wire::Token;

use crate::holder;

/// Limits of a [`Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of pins.
    pub capacity: usize,
    /// Time after its last renewal at which a pin expires; it is removed at
    /// most a sixteenth of that time later.
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

/// Number of expiry buckets in one pin lifetime.
const BUCKETS_PER_LIFETIME: u32 = 16;

/// Maximum number of timers for each pin of the capacity. Unpinned flows leave
/// stale timers behind, which are removed when this limit is reached.
const MAX_TIMERS_PER_PIN: usize = 2;

/// The agent that holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Target id of the backend server and incarnation of its agent.
    pub token: Token,
    /// UDP address of the agent.
    pub address: SocketAddr,
}

/// Result of pinning a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The pin was stored or renewed.
    Pinned,
    /// The table is at its capacity.
    Full,
    /// The flow is already pinned to a newer incarnation of the same target.
    Stale,
}

/// Number of an expiry bucket, modulo 2^16.
type Bucket = u16;

#[derive(Clone, Copy, Debug)]
struct Pin {
    holder: holder::Index,
    /// The bucket in which the pin expires.
    expiry: Bucket,
    /// The bucket that contains the pin's timer; earlier than `expiry` after a
    /// renewal.
    scheduled: Bucket,
}

/// The pins of one service.
#[derive(Debug, Default)]
struct Group {
    pins: HashMap<FlowKey, Pin>,
}

/// Reference from an expiry bucket to a pin.
#[derive(Clone, Copy, Debug)]
struct Timer {
    flow: FlowKey,
    group: u32,
}

/// The pins of the flows whose home is this agent.
///
/// ```
/// use std::time::Duration;
/// use route::pin::{Holder, Outcome, Settings, Table};
/// use wire::Token;
///
/// let settings = Settings::default();
/// let service = "192.0.2.1:53".parse().unwrap();
/// let holder = Holder {
///     token: Token { target: 1, incarnation: 1 },
///     address: "198.51.100.1:7000".parse().unwrap(),
/// };
/// let mut table = Table::new(settings);
/// assert_eq!(table.pin(Duration::ZERO, service, 42, holder), Outcome::Pinned);
/// assert_eq!(table.get(service, 42), Some(holder));
///
/// table.expire(settings.lifetime * 2);
/// assert_eq!(table.get(service, 42), None);
/// ```
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    len: usize,
    groups: Vec<Group>,
    services: HashMap<ServiceAddress, u32>,
    holders: holder::Set,
    /// Timers to process when a bucket ends, by bucket number.
    timers: BTreeMap<u64, Vec<Timer>>,
    timer_count: usize,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            len: 0,
            groups: Vec::new(),
            services: HashMap::new(),
            holders: holder::Set::default(),
            timers: BTreeMap::new(),
            timer_count: 0,
        }
    }

    /// Stores or renews the pin of a flow. A new holder replaces the previous
    /// one, except for an older incarnation of the same target.
    pub fn pin(
        &mut self,
        now: Duration,
        service: ServiceAddress,
        flow: FlowKey,
        holder: Holder,
    ) -> Outcome {
        let group = self.group_index(service);
        let expiry = self.bucket_at(now + self.settings.lifetime);
        let pin = self.groups[group as usize].pins.get(&flow).copied();
        match pin {
            Some(pin) if is_older(holder.token, self.holders.get(pin.holder).token) => {
                return Outcome::Stale;
            }
            None if self.len >= self.settings.capacity => return Outcome::Full,
            Some(pin) => self.holders.release(pin.holder),
            None => {
                self.len += 1;
                self.schedule(expiry, Timer { flow, group });
            }
        }
        let pin = Pin {
            holder: self.holders.acquire(holder),
            expiry: wrap(expiry),
            scheduled: pin.map_or(wrap(expiry), |pin| pin.scheduled),
        };
        self.groups[group as usize].pins.insert(flow, pin);
        Outcome::Pinned
    }

    /// Removes the pin of a flow if the flow is pinned to the given holder.
    /// Returns true if a pin was removed.
    pub fn unpin(&mut self, service: ServiceAddress, flow: FlowKey, token: Token) -> bool {
        let Some(&group) = self.services.get(&service) else {
            return false;
        };
        let pins = &mut self.groups[group as usize].pins;
        match pins.get(&flow).copied() {
            Some(pin) if self.holders.get(pin.holder).token == token => {
                pins.remove(&flow);
                self.holders.release(pin.holder);
                self.len -= 1;
                true
            }
            _ => false,
        }
    }

    /// Returns the holder of a flow.
    #[must_use]
    pub fn get(&self, service: ServiceAddress, flow: FlowKey) -> Option<Holder> {
        let group = *self.services.get(&service)?;
        let pin = self.groups[group as usize].pins.get(&flow)?;
        Some(self.holders.get(pin.holder))
    }

    /// Removes the pins that were not renewed within their lifetime and returns
    /// their number.
    pub fn expire(&mut self, now: Duration) -> usize {
        let before = self.len;
        let current = self.bucket_at(now);
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|entry| *entry.key() < current)
        {
            let (bucket, timers) = entry.remove_entry();
            self.timer_count -= timers.len();
            for timer in timers {
                self.expire_or_reschedule(bucket, timer);
            }
        }
        before - self.len
    }

    /// Returns the time at which [`Table::expire`] has to be called next.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        let (&bucket, _) = self.timers.first_key_value()?;
        let nanos = u128::from(bucket + 1) * self.bucket_nanos();
        Some(Duration::from_nanos_u128(nanos))
    }

    /// Returns the number of pins.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns true if there are no pins.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the memory that the table uses, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let pins = self.groups.iter().map(|group| group.pins.capacity());
        let timers = self.timers.values().map(Vec::capacity);
        // A hash table keeps an eighth of its buckets empty and one control
        // byte for each bucket.
        pins.sum::<usize>() * (size_of::<(FlowKey, Pin)>() + 1) * 8 / 7
            + timers.sum::<usize>() * size_of::<Timer>()
            + self.holders.bytes()
    }

    /// Returns the index of a service's group, which is added if there is none.
    fn group_index(&mut self, service: ServiceAddress) -> u32 {
        let groups = &mut self.groups;
        *self.services.entry(service).or_insert_with(|| {
            groups.push(Group::default());
            u32::try_from(groups.len() - 1).unwrap_or(u32::MAX)
        })
    }

    /// Removes the pin of a timer that has fired, or schedules a new timer if
    /// the pin was renewed. Ignores a stale timer, whose flow was unpinned or
    /// has another timer since.
    fn expire_or_reschedule(&mut self, bucket: u64, timer: Timer) {
        let pins = &mut self.groups[timer.group as usize].pins;
        let Some(pin) = pins.get_mut(&timer.flow) else {
            return;
        };
        if pin.scheduled != wrap(bucket) {
            return;
        }
        let ahead = pin.expiry.wrapping_sub(wrap(bucket));
        if ahead > 0 {
            pin.scheduled = pin.expiry;
            self.schedule(bucket + u64::from(ahead), timer);
            return;
        }
        self.holders.release(pin.holder);
        pins.remove(&timer.flow);
        self.len -= 1;
    }

    fn schedule(&mut self, bucket: u64, timer: Timer) {
        if self.timer_count >= self.settings.capacity.max(1) * MAX_TIMERS_PER_PIN {
            self.compact_timers();
        }
        self.timers.entry(bucket).or_default().push(timer);
        self.timer_count += 1;
    }

    /// Removes the timers of flows that were unpinned, and duplicate timers.
    fn compact_timers(&mut self) {
        let groups = &self.groups;
        self.timer_count = 0;
        for (&bucket, timers) in &mut self.timers {
            timers.retain(|timer| {
                let pin = groups[timer.group as usize].pins.get(&timer.flow);
                pin.is_some_and(|pin| pin.scheduled == wrap(bucket))
            });
            timers.sort_unstable_by_key(|timer| (timer.group, timer.flow));
            timers.dedup_by_key(|timer| (timer.group, timer.flow));
            timers.shrink_to_fit();
            self.timer_count += timers.len();
        }
    }

    fn bucket_at(&self, time: Duration) -> u64 {
        let bucket = time.as_nanos() / self.bucket_nanos();
        u64::try_from(bucket).unwrap_or(u64::MAX)
    }

    /// Returns the duration of a bucket in nanoseconds.
    fn bucket_nanos(&self) -> u128 {
        (self.settings.lifetime / BUCKETS_PER_LIFETIME)
            .as_nanos()
            .max(1)
    }
}

/// Returns true if `token` is an older incarnation of the target of `pinned`.
fn is_older(token: Token, pinned: Token) -> bool {
    token.target == pinned.target && token.incarnation < pinned.incarnation
}

fn wrap(bucket: u64) -> Bucket {
    let [low, high, ..] = bucket.to_le_bytes();
    Bucket::from_le_bytes([low, high])
}
