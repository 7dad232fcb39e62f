//! Remembers which agent holds a flow that its home passed on.
//!
//! The table is soft state: the holder renews its pins in batches, and a pin
//! that is not renewed expires. A pin takes 16 bytes and its place in a bucket
//! of the expiry 8 more; holders are stored once each.
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
    /// Largest number of pins.
    pub capacity: usize,
    /// How long a pin lasts without renewal; it is dropped within a sixteenth
    /// of that time after its end.
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

/// Buckets of the expiry in one lifetime.
const BUCKETS: u32 = 16;

/// Entries in the buckets for each pin of the capacity, at most.
const DUE_FACTOR: usize = 2;

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
    /// The flow is pinned to a newer incarnation of the same target.
    Stale,
}

/// Counts intervals of a sixteenth of the lifetime; wraps.
type Bucket = u16;

#[derive(Clone, Copy, Debug)]
struct Slot {
    holder: holder::Index,
    /// The bucket that the pin expires in.
    expiry: Bucket,
    /// The bucket that lists the flow; earlier than `expiry` after a renewal.
    listed: Bucket,
}

/// The pins of one service.
#[derive(Debug, Default)]
struct Group {
    slots: HashMap<FlowKey, Slot>,
}

#[derive(Clone, Copy, Debug)]
struct Due {
    flow: FlowKey,
    group: u32,
}

/// The pins of the flows that have their home here.
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
/// assert_eq!(table.pin(Duration::ZERO, service, 42, holder), Outcome::Kept);
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
    /// The flows to look at when a bucket ends, by the number of the bucket.
    due: BTreeMap<u64, Vec<Due>>,
    listed: usize,
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
            due: BTreeMap::new(),
            listed: 0,
        }
    }

    /// Records or renews the holder of a flow. The latest holder counts, but
    /// for an older incarnation of the same target.
    pub fn pin(
        &mut self,
        now: Duration,
        service: ServiceAddress,
        flow: FlowKey,
        holder: Holder,
    ) -> Outcome {
        let group = self.group(service);
        let expiry = self.bucket(now + self.settings.lifetime);
        let slot = self.groups[group as usize].slots.get(&flow).copied();
        match slot {
            Some(slot) if is_older(holder.token, self.holders.get(slot.holder).token) => {
                return Outcome::Stale;
            }
            None if self.len >= self.settings.capacity => return Outcome::Full,
            Some(slot) => self.holders.release(slot.holder),
            None => {
                self.len += 1;
                self.list(expiry, Due { flow, group });
            }
        }
        let slot = Slot {
            holder: self.holders.acquire(holder),
            expiry: wrapped(expiry),
            listed: slot.map_or(wrapped(expiry), |slot| slot.listed),
        };
        self.groups[group as usize].slots.insert(flow, slot);
        Outcome::Kept
    }

    /// Forgets a flow, if it is pinned to the given holder.
    pub fn unpin(&mut self, service: ServiceAddress, flow: FlowKey, token: Token) -> bool {
        let Some(&group) = self.services.get(&service) else {
            return false;
        };
        let slots = &mut self.groups[group as usize].slots;
        match slots.get(&flow).copied() {
            Some(slot) if self.holders.get(slot.holder).token == token => {
                slots.remove(&flow);
                self.holders.release(slot.holder);
                self.len -= 1;
                true
            }
            _ => false,
        }
    }

    /// The holder of a flow.
    #[must_use]
    pub fn get(&self, service: ServiceAddress, flow: FlowKey) -> Option<Holder> {
        let group = *self.services.get(&service)?;
        let slot = self.groups[group as usize].slots.get(&flow)?;
        Some(self.holders.get(slot.holder))
    }

    /// Drops the pins that were not renewed in time; returns how many.
    pub fn expire(&mut self, now: Duration) -> usize {
        let before = self.len;
        let current = self.bucket(now);
        while let Some(entry) = self
            .due
            .first_entry()
            .filter(|entry| *entry.key() < current)
        {
            let (bucket, flows) = entry.remove_entry();
            self.listed -= flows.len();
            for due in flows {
                self.settle(bucket, due);
            }
        }
        before - self.len
    }

    /// When [`Table::expire`] next has work.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        let (&bucket, _) = self.due.first_key_value()?;
        let nanos = u128::from(bucket + 1) * self.width();
        Some(Duration::from_nanos_u128(nanos))
    }

    /// Number of pins.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is no pin.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Memory that the table holds, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let slots = self.groups.iter().map(|group| group.slots.capacity());
        let due = self.due.values().map(Vec::capacity);
        // The hash table keeps an eighth of its buckets empty, and a byte each.
        slots.sum::<usize>() * (size_of::<(FlowKey, Slot)>() + 1) * 8 / 7
            + due.sum::<usize>() * size_of::<Due>()
            + self.holders.bytes()
    }

    fn group(&mut self, service: ServiceAddress) -> u32 {
        let groups = &mut self.groups;
        *self.services.entry(service).or_insert_with(|| {
            groups.push(Group::default());
            u32::try_from(groups.len() - 1).unwrap_or(u32::MAX)
        })
    }

    /// Drops a listed flow whose time is over, or lists it anew where it was
    /// renewed. An entry that is not the flow's own any more is passed over.
    fn settle(&mut self, bucket: u64, due: Due) {
        let slots = &mut self.groups[due.group as usize].slots;
        let Some(slot) = slots.get_mut(&due.flow) else {
            return;
        };
        if slot.listed != wrapped(bucket) {
            return;
        }
        let ahead = slot.expiry.wrapping_sub(wrapped(bucket));
        if ahead > 0 {
            slot.listed = slot.expiry;
            self.list(bucket + u64::from(ahead), due);
            return;
        }
        self.holders.release(slot.holder);
        slots.remove(&due.flow);
        self.len -= 1;
    }

    fn list(&mut self, bucket: u64, due: Due) {
        if self.listed >= self.settings.capacity.max(1) * DUE_FACTOR {
            self.compact();
        }
        self.due.entry(bucket).or_default().push(due);
        self.listed += 1;
    }

    /// Drops the listed flows that were unpinned since.
    fn compact(&mut self) {
        let groups = &self.groups;
        self.listed = 0;
        for (&bucket, flows) in &mut self.due {
            flows.retain(|due| {
                let slot = groups[due.group as usize].slots.get(&due.flow);
                slot.is_some_and(|slot| slot.listed == wrapped(bucket))
            });
            flows.sort_unstable_by_key(|due| (due.group, due.flow));
            flows.dedup_by_key(|due| (due.group, due.flow));
            flows.shrink_to_fit();
            self.listed += flows.len();
        }
    }

    fn bucket(&self, time: Duration) -> u64 {
        let bucket = time.as_nanos() / self.width();
        u64::try_from(bucket).unwrap_or(u64::MAX)
    }

    /// Nanoseconds of a bucket.
    fn width(&self) -> u128 {
        (self.settings.lifetime / BUCKETS).as_nanos().max(1)
    }
}

/// Whether the first token is an older incarnation of the second's target.
fn is_older(token: Token, pinned: Token) -> bool {
    token.target == pinned.target && token.incarnation < pinned.incarnation
}

fn wrapped(bucket: u64) -> Bucket {
    let [low, high, ..] = bucket.to_le_bytes();
    Bucket::from_le_bytes([low, high])
}
