//! Records each request before it runs, so that none runs twice.
//!
//! A record outlives its request's deadline by the time that a late copy may
//! take. After that a non-idempotent request is still known by its id
//! ([`Seen`]) for as long as its flow is held. At the memory limit, answers go
//! first, then the ids; tombstones of requests that were refused as "not run"
//! stay until their time has passed, and new requests are refused instead.
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use wire::FlowKey;
use wire::RequestId;
use wire::caller::Reason;

use crate::record::Key;
use crate::record::Record;
use crate::record::Refusal;
use crate::record::State;
use crate::seeded::Seeded;
use crate::seen::Seen;

/// Limits of a [`Ledger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Memory for records, answers and ids, in bytes.
    pub max_bytes: usize,
    /// Time after its deadline that a copy of a request may still arrive.
    pub late_copy: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_bytes: 64 * 1024 * 1024,
            late_copy: Duration::from_mins(1),
        }
    }
}

/// What a request is to the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It was never here; it is recorded now.
    New,
    /// It is queued or running.
    Pending,
    /// It has this final state.
    Final(State),
    /// It may have been here before; its record is gone.
    Forgotten,
    /// The ledger is at its limit; nothing is recorded.
    Full,
}

/// Memory that a record takes in the map and in the expiry heap, in bytes.
pub const RECORD_BYTES: usize =
    size_of::<Key>() + size_of::<Kept>() + size_of::<Reverse<Expiry>>() + 1;

/// Memory that an answer takes beside its bytes.
const ANSWER_BYTES: usize = size_of::<u64>() + size_of::<Key>();

/// Memory that a flow's ids take beside [`Seen::bytes`].
const SEEN_BYTES: usize = 2 * (size_of::<u64>() + size_of::<FlowKey>()) + 1;

/// When a record is forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Duration,
    key: Key,
}

/// A record with its position among the answers, once it has one.
#[derive(Debug)]
struct Kept {
    record: Record,
    answer: u64,
}

/// The ids of a flow with their position among those of all flows.
#[derive(Debug)]
struct Ids {
    seen: Seen,
    position: u64,
}

/// The requests of the flows that an agent holds.
///
/// ```
/// use std::time::Duration;
/// use flow::Ledger;
/// use flow::State;
/// use flow::ledger::Admission;
/// use flow::ledger::Settings;
/// use flow::record::Key;
///
/// let now = Duration::ZERO;
/// let deadline = Duration::from_secs(2);
/// let key = Key { flow: 42, request: 1 };
/// let mut ledger = Ledger::new(Settings::default(), 7);
/// assert_eq!(ledger.admit(key, false, deadline), Admission::New);
/// assert!(ledger.advance(now, key, State::Running));
///
/// // A repeat waits, and the request cannot run again.
/// assert_eq!(ledger.admit(key, false, deadline), Admission::Pending);
/// assert!(!ledger.advance(now, key, State::Running));
/// ```
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    records: HashMap<Key, Kept, Seeded>,
    expiries: BinaryHeap<Reverse<Expiry>>,
    /// The answers kept, the oldest first.
    answers: BTreeMap<u64, Key>,
    seen: HashMap<FlowKey, Ids, Seeded>,
    /// The flows with ids that can be given up, the oldest first.
    folds: BTreeMap<u64, FlowKey>,
    next_position: u64,
    answer_bytes: usize,
    seen_bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger; the seed keeps callers from choosing keys that
    /// collide.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            records: HashMap::with_hasher(Seeded(seed)),
            expiries: BinaryHeap::new(),
            answers: BTreeMap::new(),
            seen: HashMap::with_hasher(Seeded(seed)),
            folds: BTreeMap::new(),
            next_position: 0,
            answer_bytes: 0,
            seen_bytes: 0,
        }
    }

    /// Records a request that was never here, or tells what is known of it.
    pub fn admit(&mut self, key: Key, idempotent: bool, deadline: Duration) -> Admission {
        match self.get(key) {
            Some(state) if state.is_final() => return Admission::Final(state.clone()),
            Some(_) => return Admission::Pending,
            None if !idempotent && self.has_seen(key) => return Admission::Forgotten,
            None => {}
        }
        self.make_room();
        if self.is_full() {
            return Admission::Full;
        }
        self.insert(
            key,
            Record {
                idempotent,
                deadline,
                state: State::Recorded,
            },
        );
        Admission::New
    }

    /// Adds a record in its final state, such as one that another agent held.
    /// False where the record is known already or the state is not final.
    #[must_use]
    pub fn restore(&mut self, now: Duration, key: Key, mut record: Record) -> bool {
        if self.records.contains_key(&key) || !record.state.is_final() {
            return false;
        }
        let state = std::mem::replace(&mut record.state, State::Running);
        self.insert(key, record);
        self.advance(now, key, state)
    }

    /// The state of a request.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&State> {
        self.records.get(&key).map(|kept| &kept.record.state)
    }

    /// Moves a request to its next state; false where the request is unknown
    /// or the state may not follow, and nothing has changed.
    #[must_use]
    pub fn advance(&mut self, now: Duration, key: Key, state: State) -> bool {
        let Some(kept) = self.records.get_mut(&key) else {
            return false;
        };
        let record = &mut kept.record;
        if !state.follows(&record.state) {
            return false;
        }
        if state.is_final() {
            record.deadline = record.deadline.max(now);
            let at = record.deadline + self.settings.late_copy;
            self.expiries.push(Reverse(Expiry { at, key }));
        }
        if matches!(state, State::Done(_)) {
            kept.answer = self.next_position;
            self.answers.insert(kept.answer, key);
            self.next_position += 1;
            self.answer_bytes += state.bytes();
        }
        record.state = state;
        self.trim();
        true
    }

    /// Drops the records whose time has passed.
    pub fn expire(&mut self, now: Duration) {
        while self
            .expiries
            .peek()
            .is_some_and(|Reverse(expiry)| expiry.at <= now)
        {
            if let Some(Reverse(expiry)) = self.expiries.pop() {
                self.retire(expiry.key);
            }
        }
    }

    /// When [`Ledger::expire`] next has work.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        self.expiries.peek().map(|Reverse(expiry)| expiry.at)
    }

    /// Forgets the ids of a flow that is no longer held.
    pub fn forget(&mut self, flow: FlowKey) {
        if let Some(ids) = self.seen.remove(&flow) {
            self.folds.remove(&ids.position);
            self.seen_bytes -= ids.seen.bytes();
        }
    }

    /// The ids that are remembered of a flow.
    #[must_use]
    pub fn seen(&self, flow: FlowKey) -> Option<&Seen> {
        self.seen.get(&flow).map(|ids| &ids.seen)
    }

    /// Adds ids that another agent remembered.
    pub fn restore_seen(&mut self, flow: FlowKey, seen: &Seen) {
        self.change_seen(flow, |own| {
            let ids: Vec<RequestId> = own.ids().chain(seen.ids()).collect();
            *own = Seen::restore(own.floor().max(seen.floor()), ids);
        });
    }

    /// All records, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = Entry<'_>> {
        self.records.iter().map(|(&key, kept)| Entry {
            key,
            record: &kept.record,
        })
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Memory that the ledger holds, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.records.len() * RECORD_BYTES
            + self.answers.len() * ANSWER_BYTES
            + self.answer_bytes
            + self.seen.len() * SEEN_BYTES
            + self.seen_bytes
    }

    fn insert(&mut self, key: Key, record: Record) {
        self.records.insert(key, Kept { record, answer: 0 });
    }

    fn has_seen(&self, key: Key) -> bool {
        self.seen(key.flow)
            .is_some_and(|seen| seen.contains(key.request))
    }

    fn is_full(&self) -> bool {
        self.bytes() + RECORD_BYTES > self.settings.max_bytes
    }

    fn make_room(&mut self) {
        self.trim();
        while self.is_full() && self.fold() {}
    }

    /// Evicts answers, the oldest first, while the ledger is over its limit.
    fn trim(&mut self) {
        while self.is_full() {
            let Some((_, key)) = self.answers.pop_first() else {
                return;
            };
            self.evict(key);
        }
    }

    /// Gives up one answer. The request has become unknown: if an idempotent
    /// one ran again, a refusal of the second run as "not run" would be false.
    fn evict(&mut self, key: Key) {
        let Some(kept) = self.records.get_mut(&key) else {
            return;
        };
        self.answer_bytes -= kept.record.state.bytes();
        kept.record.state = State::Unknown(Refusal {
            reason: Reason::TableFull,
            retry_after: Duration::ZERO,
        });
    }

    /// Gives up the ids of the flow that has kept some for longest, raising
    /// its floor; false where there is none.
    fn fold(&mut self) -> bool {
        let Some((_, flow)) = self.folds.pop_first() else {
            return false;
        };
        if let Some(ids) = self.seen.get_mut(&flow) {
            self.seen_bytes -= ids.seen.bytes();
            ids.seen.fold_all();
            self.seen_bytes += ids.seen.bytes();
        }
        true
    }

    fn change_seen(&mut self, flow: FlowKey, change: impl FnOnce(&mut Seen)) {
        let mut seen = Seen::default();
        if let Some(ids) = self.seen.remove(&flow) {
            self.folds.remove(&ids.position);
            self.seen_bytes -= ids.seen.bytes();
            seen = ids.seen;
        }
        change(&mut seen);
        self.seen_bytes += seen.bytes();
        let position = self.next_position;
        self.next_position += 1;
        self.folds.insert(position, flow);
        self.seen.insert(flow, Ids { seen, position });
    }

    fn retire(&mut self, key: Key) {
        let Some(Kept { record, answer }) = self.records.remove(&key) else {
            return;
        };
        if matches!(record.state, State::Done(_)) {
            self.answers.remove(&answer);
            self.answer_bytes -= record.state.bytes();
        }
        if !record.idempotent {
            self.change_seen(key.flow, |seen| seen.insert(key.request));
        }
    }
}

/// A record and its key.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// Names the request.
    pub key: Key,
    /// What became of it.
    pub record: &'a Record,
}
