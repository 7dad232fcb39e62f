//! Tests of several readers of one zone and one store, in simulated time.
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use config::Fault;
use config::KeyValue;
use config::LeaseId;
use config::Listing;
use config::Reader;
use config::Record;
use config::Service;
use config::feed;
use config::key;
use config::lease;
use config::lease::Answer;
use config::lease::Call;
use config::reader::Action;
use config::reader::Event;
use config::reader::Settings;
use config::reader::rank;
use wire::Revision;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const ZONE: u16 = 1;

/// A store that grants leases.
#[derive(Default)]
struct Store {
    items: BTreeMap<String, KeyValue>,
    /// Expiry of each lease.
    leases: HashMap<LeaseId, Duration>,
    /// Lease that holds each acquired key.
    holders: HashMap<String, LeaseId>,
    granted: u64,
    revision: Revision,
    down: bool,
    /// Time until an answer arrives; a call takes effect at once.
    latency: Duration,
    calls: u64,
}

impl Store {
    fn write(&mut self, name: &str) {
        let address = "192.0.2.1:5000".parse().expect("an address");
        let service = Service {
            name: name.to_owned(),
            operation: name.to_owned(),
            ..Service::new(address)
        };
        let value = Record::create(service).to_json().expect("a record");
        self.revision += 1;
        self.insert(key::service(address), value);
        self.insert(key::change_marker(key::bucket(address)), Vec::new());
    }

    fn insert(&mut self, key: String, value: Vec<u8>) {
        let item = KeyValue {
            key: key.clone(),
            value,
            revision: self.revision,
        };
        self.items.insert(key, item);
    }

    fn expire(&mut self, now: Duration) {
        self.leases.retain(|_, end| *end > now);
        self.holders
            .retain(|_, lease| self.leases.contains_key(lease));
        let held = |key: &String| self.holders.contains_key(key);
        let prefix = key::reader_lock_prefix(ZONE);
        self.items
            .retain(|key, _| !key.starts_with(&prefix) || held(key));
    }

    fn list(&self, prefix: &str) -> Result<Listing, Fault> {
        if self.down {
            return Err(Fault::Unreachable);
        }
        let items: Vec<KeyValue> = self
            .items
            .values()
            .filter(|item| item.key.starts_with(prefix))
            .cloned()
            .collect();
        let index = items.iter().map(|item| item.revision).max();
        Ok(Listing {
            items,
            index: index.unwrap_or(1),
        })
    }

    fn on_lease_call(&mut self, now: Duration, call: Call) -> Option<Answer> {
        self.calls += 1;
        let ttl = lease::Settings::default().ttl;
        let fault = Fault::Unreachable;
        match call {
            Call::List { prefix } => Some(Answer::Listed(self.list(&prefix))),
            Call::Grant { .. } if self.down => Some(Answer::Granted(Err(fault))),
            Call::Acquire { .. } if self.down => Some(Answer::Acquired(Err(fault))),
            Call::Renew { .. } if self.down => Some(Answer::Renewed(Err(fault))),
            Call::Revoke { .. } if self.down => None,
            Call::Grant { .. } => {
                self.granted += 1;
                let lease = format!("lease-{}", self.granted);
                self.leases.insert(lease.clone(), now + ttl);
                Some(Answer::Granted(Ok(lease)))
            }
            Call::Acquire { key, lease } => {
                let free = !self.holders.contains_key(&key);
                if free && self.leases.contains_key(&lease) {
                    self.revision += 1;
                    self.insert(key.clone(), Vec::new());
                    self.holders.insert(key.clone(), lease.clone());
                }
                let held = self.holders.get(&key) == Some(&lease);
                Some(Answer::Acquired(Ok(held)))
            }
            Call::Renew { lease } => match self.leases.get_mut(&lease) {
                Some(end) => {
                    *end = now + ttl;
                    Some(Answer::Renewed(Ok(())))
                }
                None => Some(Answer::Renewed(Err(Fault::Expired))),
            },
            Call::Revoke { lease } => {
                self.leases.remove(&lease);
                self.expire(now);
                None
            }
        }
    }
}

/// An entry with its reader.
struct Entry {
    reader: Reader,
    /// Events for the reader, with their times of arrival.
    events: Vec<(Duration, Event)>,
    paused: bool,
    /// Long poll in flight: its call id, index and end.
    watch: Option<(u64, Revision, Duration)>,
    /// Service name and revision in force.
    in_force: Option<(String, Revision)>,
}

/// A zone's entries and the store, simulated in steps of one millisecond.
struct Zone {
    store: Store,
    entries: Vec<Entry>,
    now: Duration,
}

impl Zone {
    fn new(entries: usize) -> Self {
        let entry = |number| Entry {
            reader: Reader::new(Settings::new(ZONE), number, number as u64),
            events: Vec::new(),
            paused: false,
            watch: None,
            in_force: None,
        };
        Self {
            store: Store::default(),
            entries: (0..entries).map(entry).collect(),
            now: Duration::ZERO,
        }
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += MS;
            self.store.expire(self.now);
            for number in 0..self.entries.len() {
                self.step(number);
            }
        }
    }

    fn step(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        if entry.paused {
            return;
        }
        if entry
            .reader
            .next_deadline()
            .is_some_and(|due| due <= self.now)
        {
            entry.events.push((self.now, Event::Tick));
        }
        let markers = self.store.list(key::MARKER_PREFIX);
        if let Some((id, since, end)) = entry.watch
            && (end <= self.now
                || markers
                    .as_ref()
                    .map_or(true, |markers| markers.index > since))
        {
            entry.watch = None;
            let arrival = self.now + self.store.latency;
            entry.events.push((arrival, Event::Feed(id, markers)));
        }
        let arrived = |(arrival, _): &(Duration, Event)| *arrival <= self.now;
        while let Some(position) = entry.events.iter().position(arrived) {
            let (_, event) = entry.events.remove(position);
            for action in entry.reader.on_event(self.now, event) {
                let answer = carry_out(&mut self.store, entry, self.now, action);
                let arrival = self.now + self.store.latency;
                entry.events.extend(answer.map(|event| (arrival, event)));
            }
        }
    }

    fn reader_count(&self) -> usize {
        let reading = |entry: &&Entry| entry.reader.is_reading(self.now);
        self.entries.iter().filter(reading).count()
    }

    fn in_force(&self, number: usize) -> Option<&str> {
        let in_force = self.entries[number].in_force.as_ref();
        in_force.map(|(name, _)| name.as_str())
    }

    /// Returns the numbers of the entries that read.
    fn reader_numbers(&self) -> Vec<usize> {
        let reads = |number: &usize| self.entries[*number].reader.is_reading(self.now);
        (0..self.entries.len()).filter(reads).collect()
    }
}

/// Carries out an action; returns the answer of a call that does not wait.
fn carry_out(store: &mut Store, entry: &mut Entry, now: Duration, action: Action) -> Option<Event> {
    match action {
        Action::Lease(action) => {
            let answer = store.on_lease_call(now, action.call)?;
            Some(Event::Lease(action.id, answer))
        }
        Action::Feed(feed::Action::List { id, prefix }) => {
            store.calls += 1;
            Some(Event::Feed(id, store.list(&prefix)))
        }
        Action::Feed(feed::Action::Watch {
            id, since, wait, ..
        }) => {
            store.calls += 1;
            entry.watch = Some((id, since, now + wait));
            None
        }
        Action::Feed(feed::Action::Publish(update)) => {
            let before = entry.in_force.as_ref().map(|(_, revision)| *revision);
            assert!(before.is_none_or(|before| before < update.revision));
            entry.in_force = Some((update.service.name, update.revision));
            None
        }
    }
}

#[test]
fn two_entries_of_a_zone_read_the_store_and_its_changes() {
    let mut zone = Zone::new(6);
    zone.store.write("one");
    zone.advance(10 * SECOND);
    assert_eq!(zone.reader_count(), 2);
    zone.store.write("two");
    zone.advance(SECOND);
    for number in zone.reader_numbers() {
        assert_eq!(zone.in_force(number), Some("two"));
    }
    let not_updated = (0..6).filter(|number| zone.in_force(*number).is_none());
    assert_eq!(not_updated.count(), 4);
}

#[test]
fn the_number_of_calls_does_not_grow_with_the_number_of_entries() {
    let calls = [6, 60].map(|entries| {
        let mut zone = Zone::new(entries);
        zone.advance(60 * SECOND);
        zone.store.calls
    });
    assert_eq!(calls[0], calls[1]);
}

/// The paused entry keeps the state of its feed. When it continues after its lease
/// has expired, it must stop watching and leave reading to its replacement.
#[test]
fn a_paused_reader_is_replaced_and_stops_reading() {
    let mut zone = Zone::new(4);
    zone.store.write("one");
    zone.advance(10 * SECOND);
    let paused = zone.reader_numbers()[0];
    zone.entries[paused].paused = true;
    zone.advance(30 * SECOND);
    assert!(!zone.entries[paused].reader.is_reading(zone.now));
    assert_eq!(zone.reader_count(), 2);
    zone.store.write("two");
    zone.advance(SECOND);
    zone.entries[paused].paused = false;
    zone.advance(30 * SECOND);
    assert_eq!(zone.reader_count(), 2);
    assert!(!zone.reader_numbers().contains(&paused));
    assert_eq!(zone.entries[paused].watch, None);
    assert_eq!(zone.in_force(paused), Some("one"));
}

/// During the outage every lease expires, and the candidates must not flood the
/// store with calls.
#[test]
fn reading_resumes_after_an_outage() {
    let mut zone = Zone::new(4);
    zone.store.write("one");
    zone.advance(10 * SECOND);
    zone.store.down = true;
    let before = zone.store.calls;
    zone.advance(600 * SECOND);
    assert_eq!(zone.reader_count(), 0);
    let calls = zone.store.calls - before;
    assert!(calls < 4 * 600, "{calls}");
    zone.store.down = false;
    zone.store.write("two");
    zone.advance(5 * SECOND);
    let updated = (0..4).filter(|number| zone.in_force(*number) == Some("two"));
    assert_eq!(updated.count(), 2);
}

/// Each answer takes 2 s. A lease's time to live counts from when its grant or
/// renewal was sent, so slow answers shorten the time left to renew it.
#[test]
fn a_store_with_slow_answers_is_read() {
    let mut zone = Zone::new(4);
    zone.store.latency = 2 * SECOND;
    zone.store.write("one");
    zone.advance(60 * SECOND);
    assert_eq!(zone.reader_count(), 2);
    zone.store.write("two");
    zone.advance(7 * SECOND);
    assert_eq!(zone.reader_count(), 2);
    for number in zone.reader_numbers() {
        assert_eq!(zone.in_force(number), Some("two"));
    }
}

#[test]
fn a_reader_that_stops_releases_its_lock() {
    let mut zone = Zone::new(4);
    zone.advance(10 * SECOND);
    let stopping = zone.reader_numbers()[0];
    let actions = zone.entries[stopping]
        .reader
        .on_event(zone.now, Event::Stop);
    for action in actions {
        carry_out(
            &mut zone.store,
            &mut zone.entries[stopping],
            zone.now,
            action,
        );
    }
    assert_eq!(zone.store.holders.len(), 1);
    zone.advance(15 * SECOND);
    assert_eq!(zone.reader_count(), 2);
    assert!(!zone.reader_numbers().contains(&stopping));
}

/// The store loses all leases; each reader notices at its next renewal and
/// acquires a lock again.
#[test]
fn a_lease_that_the_store_ended_early_is_replaced() {
    let mut zone = Zone::new(2);
    zone.advance(10 * SECOND);
    zone.store.leases.clear();
    zone.advance(20 * SECOND);
    assert_eq!(zone.reader_count(), 2);
    assert_eq!(zone.store.holders.len(), 2);
}

/// The four candidates are paused; the remaining entries then rank first.
#[test]
fn an_entry_that_becomes_a_candidate_acquires_a_free_lock() {
    let mut zone = Zone::new(6);
    zone.advance(10 * SECOND);
    for entry in &mut zone.entries[..4] {
        entry.paused = true;
    }
    zone.advance(30 * SECOND);
    assert_eq!(zone.reader_count(), 0);
    for (rank, entry) in zone.entries[4..].iter_mut().enumerate() {
        entry.events.push((zone.now, Event::Rank(rank)));
    }
    zone.advance(SECOND);
    assert_eq!(zone.reader_numbers(), [4, 5]);
}

#[test]
fn entries_are_ranked_by_address() {
    let others = ["192.0.2.1:1", "192.0.2.2:1", "192.0.2.9:1"];
    let others = others.map(|text| text.parse().expect("an address"));
    let own = "192.0.2.3:1".parse().expect("an address");
    assert_eq!(rank(own, others), 2);
}
