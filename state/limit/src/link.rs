//! Paces the packets that a host sends over its network link, and orders those that
//! have to wait.
//!
//! Addresses uploads that exceed a slow link: without it, the link's own queue delays
//! openings, resets and membership messages as long as uploads, and drops any of them.
mod class;
mod meter;
mod queue;
mod volume;

use std::collections::HashMap;
use std::time::Duration;

pub use class::Class;
pub use class::Counts;
use meter::Meter;
use queue::Entry;
use queue::Queue;
use queue::Ticket;
use volume::Progress;
use volume::Volumes;

/// Key that a packet and its copies share.
pub type Key = u64;

/// Share of the link's rate that is used, so that packets wait here, where they are
/// ordered, and not in the link.
const USED_SHARE: f64 = 0.95;

/// Time of an idle link that may be made up for by sending at more than its rate. More
/// would delay control packets that come after the burst.
const BURST: Duration = Duration::from_millis(16);

/// The same while packets wait: a process that gets a tenth of a core may not run for
/// that long, and would otherwise use a tenth of the link.
const WAITING_BURST: Duration = Duration::from_millis(100);

/// Size in bytes from which a burst is allowed on any link: two full packets.
const MIN_BURST_BYTES: f64 = 2_600.0;

/// Shortest time between two runs of the sender. Each costs a wake-up, which hosts
/// with a tenth of a core can afford some hundreds of times a second.
const MIN_GAP: Duration = Duration::from_millis(4);

/// Time after which a sender that is due counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(20);

/// Number of packets that may pass an older waiting packet of a lower class.
const MAX_PASSED: u32 = 8;

/// Factor for the learned rate when the link does not accept a packet.
const DECREASE: f64 = 0.8;

/// Shortest time between two decreases, within which earlier packets still arrive.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Growth of the learned rate per second, as a share of the stated rate.
const INCREASE_PER_SECOND: f64 = 0.05;

/// Smallest learned rate, as a share of the stated one.
const MIN_SHARE: f64 = 0.25;

/// Share of the packets received that repeat others, from which the link is expected
/// to lose or delay what is sent. Lossy networks without a full link stay below.
const REPEATED_SHARE: f64 = 0.1;

/// Fewest packets received from which that share is taken.
const MIN_RECEIVED: u64 = 50;

/// Share of the rate that is used from which a link may be the cause of repeats.
const BUSY_SHARE: f64 = 0.5;

/// Time without an empty queue after which the link counts as full. Bursts of a few
/// uploads end sooner.
const FULL_TIME: Duration = Duration::from_millis(500);

/// Time with an empty queue after which the link counts as free again.
const FREE_TIME: Duration = Duration::from_secs(2);

/// Properties of a packet that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Its class; the link itself finds out which data is bulk.
    pub class: Class,
    /// Its size on the link in bytes.
    pub bytes: usize,
    /// What it shares with its copies; `None` where each packet counts.
    pub key: Option<Key>,
    /// Hash of its flow; `None` where its class does not depend on its flow.
    pub flow: Option<u64>,
}

/// Whether a packet is to be sent at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The link has room: it is to be sent by the caller.
    Send,
    /// It is to be queued.
    Wait(Place),
}

/// Place of a packet in the queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    packet: Packet,
    /// How far a bulk flow has got.
    progress: Option<Progress>,
}

/// A packet that is to be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Taken<T> {
    /// Its class.
    pub class: Class,
    /// Time that it waited.
    pub wait: Duration,
    /// The packet itself.
    pub item: T,
}

/// What became of a packet that could not be sent at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is the only one that waits: the sender must be woken.
    First,
    /// It waits.
    Waits,
    /// It took the place of an earlier copy that still waited.
    Replaced,
    /// The queue of its class is full; it was dropped.
    Full,
}

/// Change of the state of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Packets have waited without interruption.
    Full,
    /// No packet has waited for some time.
    Free,
}

/// Token bucket below the rate of a link, with a bounded queue for each class.
///
/// ```
/// use std::time::Duration;
/// use limit::link::{Class, Link, Offer, Packet};
///
/// let now = Duration::ZERO;
/// let mut link: Link<&str> = Link::new(1_250_000.0, now);
/// let packet = Packet { class: Class::Data, bytes: 1_200, key: None, flow: None };
/// assert_eq!(link.offer(now, packet), Offer::Send);
/// assert_eq!(link.due(), None);
/// ```
#[derive(Debug)]
pub struct Link<T> {
    /// Stated rate in bytes per second.
    rate: f64,
    /// Learned share of the stated rate, 1 at most.
    share: f64,
    /// Bytes that may be sent; negative after a larger packet.
    tokens: f64,
    refilled: Duration,
    decreased: Duration,
    queues: [Queue<T>; Class::COUNT],
    copies: HashMap<Key, (Class, Ticket)>,
    volumes: Volumes,
    /// Packets sent while an older one of a lower class waited.
    passed: u32,
    next_run: Duration,
    waiting_since: Option<Duration>,
    last_waited: Duration,
    is_full: bool,
    counts: [Counts; Class::COUNT],
    meter: Meter,
}

impl<T> Link<T> {
    /// Creates an idle link with a rate in bytes per second.
    #[must_use]
    pub fn new(rate: f64, now: Duration) -> Self {
        let mut link = Self {
            rate,
            share: 1.0,
            tokens: 0.0,
            refilled: now,
            decreased: now,
            queues: Class::ALL.map(|_| Queue::default()),
            copies: HashMap::new(),
            volumes: Volumes::default(),
            passed: 0,
            next_run: now,
            waiting_since: None,
            last_waited: now,
            is_full: false,
            counts: Class::ALL.map(|_| Counts::default()),
            meter: Meter::new(now),
        };
        link.tokens = link.burst();
        link
    }

    /// Replaces the stated rate, in bytes per second. What was learned about the
    /// former one is forgotten.
    pub fn set_rate(&mut self, now: Duration, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.share = 1.0;
        self.tokens = self.tokens.min(self.burst());
    }

    /// Returns the rate in bytes per second that is used at most.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate * self.share * USED_SHARE
    }

    /// Returns the bytes per second that were to be sent in the last full window.
    #[must_use]
    pub fn load(&self, now: Duration) -> f64 {
        self.meter.rate(now)
    }

    /// Returns the counters of a class.
    #[must_use]
    pub fn counts(&self, class: Class) -> Counts {
        self.counts[class.index()]
    }

    /// Returns the number of bytes that wait.
    #[must_use]
    pub fn waiting_bytes(&self) -> usize {
        self.queues.iter().map(Queue::bytes).sum()
    }

    /// Decides whether a packet is to be sent at once: the link has room, no other
    /// packet of its class or of a more important one waits, and no copy of it.
    pub fn offer(&mut self, now: Duration, packet: Packet) -> Offer {
        self.refill(now);
        self.meter.add(now, packet.bytes);
        let Place { packet, progress } = self.place(now, packet);
        let class = packet.class;
        let queue = class.index();
        let is_last = self.queues[queue + 1..].iter().all(Queue::is_empty);
        let is_first = self.queues[..=queue].iter().all(Queue::is_empty);
        let is_copy = packet.key.is_some_and(|key| self.copies.contains_key(&key));
        let is_turn = is_last || self.passed < MAX_PASSED;
        if !is_first || is_copy || !is_turn || self.tokens <= self.floor(class) {
            return Offer::Wait(Place { packet, progress });
        }
        self.passed = if is_last { 0 } else { self.passed + 1 };
        self.charge(now, class, packet.flow, packet.bytes);
        Offer::Send
    }

    /// Queues a packet that is not to be sent at once.
    pub fn enqueue(&mut self, now: Duration, place: Place, item: T) -> Outcome {
        let Place { packet, progress } = place;
        let class = packet.class.index();
        let entry = Entry {
            queued: now,
            packet,
            item,
        };
        let held = packet.key.and_then(|key| self.copies.get(&key).copied());
        if let Some((held, ticket)) = held {
            self.queues[held.index()].replace(ticket, entry);
            self.counts[class].copies += 1;
            return Outcome::Replaced;
        }
        if !self.queues[class].has_room(packet.bytes) {
            self.counts[class].full += 1;
            return Outcome::Full;
        }
        let ticket = self.queues[class].push(progress, entry);
        if let Some(key) = packet.key {
            self.copies.insert(key, (packet.class, ticket));
        }
        self.counts[class].queued += 1;
        self.last_waited = now;
        if self.waiting_since.is_some() {
            return Outcome::Waits;
        }
        self.waiting_since = Some(now);
        self.next_run = self.next_run.max(now);
        Outcome::First
    }

    /// Removes and returns the next packet to send; `None` once the rate is used up or
    /// nothing waits. Packets that have waited too long are dropped.
    pub fn take(&mut self, now: Duration) -> Option<Taken<T>> {
        self.refill(now);
        self.drop_late(now);
        self.next_run = now + MIN_GAP;
        let class = self.next_class()?;
        if self.tokens <= self.floor(class) {
            return None;
        }
        let entry = self.queues[class.index()].pop()?;
        self.forget(entry.packet.key);
        let is_last = self.queues[class.index() + 1..].iter().all(Queue::is_empty);
        let is_turn_over = is_last || self.passed >= MAX_PASSED;
        self.passed = if is_turn_over { 0 } else { self.passed + 1 };
        self.charge(now, class, entry.packet.flow, entry.packet.bytes);
        self.note_waiting(now);
        Some(Taken {
            class,
            wait: now.saturating_sub(entry.queued),
            item: entry.item,
        })
    }

    /// Returns the time at which the sender is to call [`Self::take`]; `None` while
    /// nothing waits.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        let class = self.next_class()?;
        let missing = self.floor(class) - self.tokens;
        if missing < 0.0 {
            return Some(self.next_run);
        }
        // One byte more than none may be sent.
        let refill = Duration::from_secs_f64((missing + 1.0) / self.rate());
        Some(self.next_run.max(self.refilled + refill))
    }

    /// Returns true if the sender should have run some time ago, so that another
    /// thread has to send.
    #[must_use]
    pub fn is_stalled(&self, now: Duration) -> bool {
        self.due().is_some_and(|due| now >= due + STALL_TIMEOUT)
    }

    /// Records that the link did not accept a packet: it bears less than stated, or
    /// others share it.
    pub fn record_refusal(&mut self, now: Duration) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
        if now < self.decreased + DECREASE_INTERVAL {
            return;
        }
        self.decreased = now;
        self.share = (self.share * DECREASE).max(MIN_SHARE);
    }

    /// Records how many of the packets received in the last window repeat others. If
    /// they are many while the link is busy, it bears less than stated, unless packets
    /// waited here: then their callers repeat them for that.
    pub fn record_repeats(&mut self, now: Duration, received: u64, repeated: u64) {
        self.refill(now);
        #[expect(clippy::cast_precision_loss, reason = "packets of some seconds")]
        let repeated = repeated as f64 / received.max(1) as f64;
        let is_busy = self.load(now) >= self.rate() * BUSY_SHARE;
        let is_proven = received >= MIN_RECEIVED && repeated >= REPEATED_SHARE;
        if !is_proven || !is_busy || now < self.last_waited + meter::WINDOW {
            return;
        }
        self.share = (self.share * DECREASE).max(MIN_SHARE);
    }

    /// Returns whether the link has become full or free since the last call.
    pub fn take_change(&mut self, now: Duration) -> Option<Change> {
        let waits_long = self
            .waiting_since
            .is_some_and(|since| now >= since + FULL_TIME);
        let is_free = self.waiting_since.is_none() && now >= self.last_waited + FREE_TIME;
        let change = match self.is_full {
            false if waits_long => Change::Full,
            true if is_free => Change::Free,
            _ => return None,
        };
        self.is_full = change == Change::Full;
        Some(change)
    }

    /// Returns true from [`Change::Full`] to [`Change::Free`].
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.is_full
    }

    /// Returns the class of the next packet: the most important one that waits, or
    /// that of the oldest packet after too many have passed it.
    fn next_class(&self) -> Option<Class> {
        let mut waiting = Class::ALL
            .into_iter()
            .filter(|class| !self.queues[class.index()].is_empty());
        if self.passed < MAX_PASSED {
            return waiting.next();
        }
        waiting.min_by_key(|class| self.queues[class.index()].oldest())
    }

    /// Returns the place of a packet, which is in the last class where its flow
    /// carries much.
    fn place(&mut self, now: Duration, packet: Packet) -> Place {
        let progress = match (packet.flow, packet.class) {
            (Some(flow), Class::Urgent | Class::Data) => {
                self.volumes.offer(now, flow, packet.bytes)
            }
            _ => None,
        };
        let class = progress.map_or(packet.class, |_| Class::Bulk);
        Place {
            packet: Packet { class, ..packet },
            progress,
        }
    }

    fn forget(&mut self, key: Option<Key>) {
        if let Some(key) = key {
            self.copies.remove(&key);
        }
    }

    fn drop_late(&mut self, now: Duration) {
        for class in Class::ALL {
            let Some(oldest) = now.checked_sub(class.max_wait()) else {
                continue;
            };
            while let Some(entry) = self.queues[class.index()].pop_older(oldest) {
                self.forget(entry.packet.key);
                self.counts[class.index()].late += 1;
            }
        }
        self.note_waiting(now);
    }

    fn note_waiting(&mut self, now: Duration) {
        if self.queues.iter().all(Queue::is_empty) {
            self.waiting_since = None;
        } else {
            self.last_waited = now;
        }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = now.max(self.refilled);
        let most = match self.waiting_since {
            Some(_) => self.rate() * WAITING_BURST.as_secs_f64(),
            None => 0.0,
        };
        let most = most.max(self.burst());
        self.tokens = (self.tokens + elapsed * self.rate()).min(most);
        self.share = (self.share + elapsed * INCREASE_PER_SECOND).min(1.0);
    }

    #[expect(clippy::cast_precision_loss, reason = "packets are small")]
    fn charge(&mut self, now: Duration, class: Class, flow: Option<u64>, bytes: usize) {
        self.tokens -= bytes as f64;
        self.counts[class.index()].sent += 1;
        if let Some(flow) = flow {
            self.volumes.record_sent(now, flow, bytes);
        }
    }

    /// Returns the tokens that a class leaves. Control packets borrow: they are small,
    /// and need not wake the sender.
    fn floor(&self, class: Class) -> f64 {
        match class {
            Class::Control => -self.burst(),
            _ => 0.0,
        }
    }

    fn burst(&self) -> f64 {
        (self.rate() * BURST.as_secs_f64()).max(MIN_BURST_BYTES)
    }
}
