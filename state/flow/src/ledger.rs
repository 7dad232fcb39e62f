//! Records each request before it runs, so that no non-idempotent request runs
//! twice.
//!
//! A record is kept after its request's deadline for as long as a duplicate
//! packet may still arrive. After that, the id of a non-idempotent request is
//! kept ([`Seen`]) for as long as its flow is held. At the memory limit,
//! answers are evicted first, then ids are folded into their flow's floor (see
//! [`Seen`]).
//! Tombstones of requests that were refused as "not run" are never evicted
//! before they expire; new requests are refused instead.
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
use crate::seeded::SeededState;
use crate::seen::Seen;

/// Limits of a [`Ledger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum memory for records, answers and ids, in bytes.
    pub max_bytes: usize,
    /// Time after a request's deadline during which a duplicate of the request
    /// may still arrive.
    pub duplicate_window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_bytes: 64 * 1024 * 1024,
            duplicate_window: Duration::from_mins(1),
        }
    }
}

/// Result of admitting a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request was unknown and has been recorded.
    New,
    /// The request is already recorded and has no final state yet.
    Pending,
    /// The request has this final state.
    Final(State),
    /// The request may have been admitted before; its record has expired.
    RecordExpired,
    /// The ledger is at its memory limit; the request was not recorded.
    Full,
}

/// Memory that a record uses in the map, with its control byte, and in the
/// expiry heap, in bytes.
pub const RECORD_BYTES: usize =
    size_of::<Key>() + size_of::<Stored>() + size_of::<Reverse<Expiry>>() + 1;

/// Memory that an answer uses in addition to its payload, in bytes.
const ANSWER_BYTES: usize = size_of::<u64>() + size_of::<Key>();

/// Memory that a flow's ids use in addition to [`Seen::bytes`], in bytes.
const SEEN_BYTES: usize = 2 * (size_of::<u64>() + size_of::<FlowKey>()) + 1;

/// The time at which a record is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    time: Duration,
    key: Key,
}

/// A record and, once it is [`State::Done`], its position in
/// [`Ledger::answers`].
#[derive(Debug)]
struct Stored {
    record: Record,
    answer_position: u64,
}

/// The ids of a flow and their position in [`Ledger::fold_order`].
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
/// // A repeated request waits for the first one and cannot run again.
/// assert_eq!(ledger.admit(key, false, deadline), Admission::Pending);
/// assert!(!ledger.advance(now, key, State::Running));
/// ```
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    records: HashMap<Key, Stored, SeededState>,
    expiries: BinaryHeap<Reverse<Expiry>>,
    /// Requests whose answers are stored, oldest first.
    answers: BTreeMap<u64, Key>,
    seen: HashMap<FlowKey, Ids, SeededState>,
    /// Flows whose ids can be folded into the floor, least recently changed
    /// first.
    fold_order: BTreeMap<u64, FlowKey>,
    next_position: u64,
    answer_bytes: usize,
    seen_bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger. The seed makes the hashes unpredictable to
    /// callers, so that they cannot choose keys that collide.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            records: HashMap::with_hasher(SeededState(seed)),
            expiries: BinaryHeap::new(),
            answers: BTreeMap::new(),
            seen: HashMap::with_hasher(SeededState(seed)),
            fold_order: BTreeMap::new(),
            next_position: 0,
            answer_bytes: 0,
            seen_bytes: 0,
        }
    }

    /// Records an unknown request, or returns the state of a known one.
    pub fn admit(&mut self, key: Key, idempotent: bool, deadline: Duration) -> Admission {
        match self.get(key) {
            Some(state) if state.is_final() => return Admission::Final(state.clone()),
            Some(_) => return Admission::Pending,
            None if !idempotent && self.has_seen(key) => return Admission::RecordExpired,
            None => {}
        }
        self.reclaim();
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

    /// Adds a record in its final state, such as one handed over by another
    /// agent. Returns false if the request is already recorded or the state is
    /// not final.
    #[must_use]
    pub fn restore(&mut self, now: Duration, key: Key, mut record: Record) -> bool {
        if self.records.contains_key(&key) || !record.state.is_final() {
            return false;
        }
        let state = std::mem::replace(&mut record.state, State::Running);
        self.insert(key, record);
        self.advance(now, key, state)
    }

    /// Returns the state of a request.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&State> {
        self.records.get(&key).map(|stored| &stored.record.state)
    }

    /// Moves a request to its next state. Returns false and changes nothing if
    /// the request is unknown or the transition is not allowed.
    #[must_use]
    pub fn advance(&mut self, now: Duration, key: Key, state: State) -> bool {
        let Some(stored) = self.records.get_mut(&key) else {
            return false;
        };
        let record = &mut stored.record;
        if !state.follows(&record.state) {
            return false;
        }
        if state.is_final() {
            record.deadline = record.deadline.max(now);
            let time = record.deadline + self.settings.duplicate_window;
            self.expiries.push(Reverse(Expiry { time, key }));
        }
        if matches!(state, State::Done(_)) {
            stored.answer_position = self.next_position;
            self.answers.insert(stored.answer_position, key);
            self.next_position += 1;
            self.answer_bytes += state.bytes();
        }
        record.state = state;
        self.evict_answers();
        true
    }

    /// Removes the records that have expired.
    pub fn expire(&mut self, now: Duration) {
        while self
            .expiries
            .peek()
            .is_some_and(|Reverse(expiry)| expiry.time <= now)
        {
            if let Some(Reverse(expiry)) = self.expiries.pop() {
                self.remove_expired(expiry.key);
            }
        }
    }

    /// Returns the time at which [`Ledger::expire`] has to be called next.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        self.expiries.peek().map(|Reverse(expiry)| expiry.time)
    }

    /// Removes the ids of a flow that is no longer held.
    pub fn remove_seen(&mut self, flow: FlowKey) {
        if let Some(ids) = self.seen.remove(&flow) {
            self.fold_order.remove(&ids.position);
            self.seen_bytes -= ids.seen.bytes();
        }
    }

    /// Returns the ids kept for a flow.
    #[must_use]
    pub fn seen(&self, flow: FlowKey) -> Option<&Seen> {
        self.seen.get(&flow).map(|ids| &ids.seen)
    }

    /// Adds ids handed over by another agent.
    pub fn restore_seen(&mut self, flow: FlowKey, seen: &Seen) {
        self.update_seen(flow, |own| {
            let ids: Vec<RequestId> = own.ids().chain(seen.ids()).collect();
            *own = Seen::restore(own.floor().max(seen.floor()), ids);
        });
    }

    /// Returns all records, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = Entry<'_>> {
        self.records.iter().map(|(&key, stored)| Entry {
            key,
            record: &stored.record,
        })
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the memory that the ledger uses, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.records.len() * RECORD_BYTES
            + self.answers.len() * ANSWER_BYTES
            + self.answer_bytes
            + self.seen.len() * SEEN_BYTES
            + self.seen_bytes
    }

    fn insert(&mut self, key: Key, record: Record) {
        self.records.insert(
            key,
            Stored {
                record,
                answer_position: 0,
            },
        );
    }

    fn has_seen(&self, key: Key) -> bool {
        self.seen(key.flow)
            .is_some_and(|seen| seen.contains(key.request))
    }

    fn is_full(&self) -> bool {
        self.bytes() + RECORD_BYTES > self.settings.max_bytes
    }

    /// Evicts answers, then folds ids, until a record fits or nothing is left
    /// to evict.
    fn reclaim(&mut self) {
        self.evict_answers();
        while self.is_full() && self.fold_oldest_flow() {}
    }

    /// Evicts answers, oldest first, while the ledger has no room for a record.
    fn evict_answers(&mut self) {
        while self.is_full() {
            let Some((_, key)) = self.answers.pop_first() else {
                return;
            };
            self.evict_answer(key);
        }
    }

    /// Drops the answer of one request and moves the request to
    /// [`State::Unknown`]. The request must not become new again: an idempotent
    /// one could then be refused as "not run" although it has already run.
    fn evict_answer(&mut self, key: Key) {
        let Some(stored) = self.records.get_mut(&key) else {
            return;
        };
        self.answer_bytes -= stored.record.state.bytes();
        stored.record.state = State::Unknown(Refusal {
            reason: Reason::TableFull,
            retry_after: Duration::ZERO,
        });
    }

    /// Folds the ids of the first flow in `fold_order` into its floor. Returns
    /// false if there is no such flow.
    fn fold_oldest_flow(&mut self) -> bool {
        let Some((_, flow)) = self.fold_order.pop_first() else {
            return false;
        };
        if let Some(ids) = self.seen.get_mut(&flow) {
            self.seen_bytes -= ids.seen.bytes();
            ids.seen.fold_all();
            self.seen_bytes += ids.seen.bytes();
        }
        true
    }

    /// Applies a change to a flow's ids and moves the flow to the end of
    /// `fold_order`.
    fn update_seen(&mut self, flow: FlowKey, change: impl FnOnce(&mut Seen)) {
        let mut seen = Seen::default();
        if let Some(ids) = self.seen.remove(&flow) {
            self.fold_order.remove(&ids.position);
            self.seen_bytes -= ids.seen.bytes();
            seen = ids.seen;
        }
        change(&mut seen);
        self.seen_bytes += seen.bytes();
        let position = self.next_position;
        self.next_position += 1;
        self.fold_order.insert(position, flow);
        self.seen.insert(flow, Ids { seen, position });
    }

    /// Removes an expired record and keeps the id of a non-idempotent request.
    fn remove_expired(&mut self, key: Key) {
        let Some(Stored {
            record,
            answer_position,
        }) = self.records.remove(&key)
        else {
            return;
        };
        if matches!(record.state, State::Done(_)) {
            self.answers.remove(&answer_position);
            self.answer_bytes -= record.state.bytes();
        }
        if !record.idempotent {
            self.update_seen(key.flow, |seen| seen.insert(key.request));
        }
    }
}

/// A record and its key.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// Key of the request.
    pub key: Key,
    /// Properties and state of the request.
    pub record: &'a Record,
}
