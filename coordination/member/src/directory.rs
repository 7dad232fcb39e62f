//! Directory of an entry: services, targets, entries, and the statements about
//! them.
//!
//! Each record is versioned. Merging is idempotent and does not depend on the
//! order of arrival, so directories that have exchanged their records agree.
mod expiry;
mod verdict;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

use wire::Incarnation;
use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;
use wire::ZoneId;
use wire::target::State;

use crate::Entry;
use crate::Record;
use crate::Refusal;
use crate::View;
use crate::digest;
use crate::digest::Digest;
use crate::record::Key;
use crate::record::Report;
use crate::record::Statement;
use crate::record::SubjectId;
use crate::record::report_key;
use crate::record::service_key;
use crate::record::statement_key;
use crate::rendezvous::Candidate;
use crate::statements::Statements;
use crate::tree::Tree;
use crate::zones::Zones;
use expiry::Tombstone;
use expiry::entry_stamp;
use verdict::AnswerWindow;

/// Largest number of recent changes that are kept to be sent to agents.
const MAX_RECENT_CHANGES: usize = 512;

/// Versioned records and the verdicts derived from them.
#[derive(Debug, Default)]
pub struct Directory {
    views: Vec<View>,
    services: BTreeMap<ServiceAddress, ServiceIndex>,
    entry_states: BTreeMap<Key, EntryState>,
    statements: Statements,
    zones: Zones,
    record_index: BTreeMap<Key, IndexedRecord>,
    tree: Tree,
    /// Services whose verdicts are to be updated.
    dirty_services: BTreeSet<ServiceAddress>,
    /// Services whose views changed since [`Self::take_changes`].
    changed_services: BTreeSet<ServiceAddress>,
    /// Recent changes, the last one first.
    recent: VecDeque<Change>,
    answer_windows: BTreeMap<SubjectId, AnswerWindow>,
    /// Start of the silence, or time of the departure, of a target or entry.
    gone_since: BTreeMap<Key, Duration>,
    tombstones: BTreeMap<Key, Tombstone>,
    entries_dirty: bool,
    generation: u64,
    /// Time of the event that is being processed.
    now: Duration,
}

/// Entry and whether it counts as running.
#[derive(Debug)]
struct EntryState {
    entry: Entry,
    live: bool,
}

/// Properties that targets and entries have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    /// UDP address.
    pub address: SocketAddr,
    /// Zone of its host.
    pub zone: ZoneId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// True once it has announced its departure.
    pub has_left: bool,
}

/// Location of a record, and the digest of its version.
#[derive(Debug)]
struct IndexedRecord {
    location: Location,
    digest: Digest,
}

/// Index of a view among all views.
type ServiceIndex = u32;

/// Location of a record; small, since there is one for each target.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Location {
    Service(ServiceIndex),
    Target(ServiceIndex),
    Entry,
    Statement(Box<StatementLocation>),
    Report(Box<ReportLocation>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct StatementLocation {
    subject: SubjectId,
    observer: SocketAddr,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct ReportLocation {
    zone: ZoneId,
    observer: SocketAddr,
}

/// Change of a target, or of the configuration if `target` is `None`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Change {
    service: ServiceAddress,
    target: Option<TargetId>,
}

impl Directory {
    /// Sets the time of the events that follow.
    pub const fn set_now(&mut self, now: Duration) {
        self.now = now;
    }

    /// Merges a record if it is newer than the held one.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the record was refused.
    pub fn merge(&mut self, record: Record) -> Result<(), Refusal> {
        let key = record.key();
        let digest = digest::of(&record);
        let location = match record {
            Record::Service(service) => {
                let address = service.address;
                self.view_mut(address).merge_config(service)?;
                self.add_change(address, None);
                Location::Service(self.index(address))
            }
            Record::Target(target) => self.merge_target(target)?,
            Record::Entry(entry) => self.merge_entry(key, entry)?,
            Record::Statement(statement) => self.merge_statement(statement)?,
            Record::Report(report) => self.merge_report(report)?,
            Record::Removal(removal) => return self.merge_removal(&removal),
        };
        self.index_record(key, location, digest);
        Ok(())
    }

    fn merge_target(&mut self, target: Target) -> Result<Location, Refusal> {
        let (id, address, incarnation) = (target.id, target.service, target.incarnation);
        self.check_tombstone(id, target.stamp())?;
        let held = self.incarnation(id);
        self.view_mut(address).merge_target(target)?;
        if held.is_some_and(|held| held < incarnation) {
            self.forget_statements(id);
        }
        self.add_change(address, Some(id));
        self.dirty_services.insert(address);
        Ok(Location::Target(self.index(address)))
    }

    fn merge_entry(&mut self, key: Key, entry: Entry) -> Result<Location, Refusal> {
        self.check_tombstone(key, entry_stamp(&entry))?;
        match self.entry_states.get(&key).map(|state| &state.entry) {
            Some(held) if held.incarnation > entry.incarnation => {
                return Err(Refusal::OldIncarnation);
            }
            Some(held) if held.position() >= entry.position() => return Err(Refusal::Stale),
            Some(held) if held.incarnation < entry.incarnation => self.forget_statements(key),
            _ => {}
        }
        let live = !entry.has_left;
        self.entry_states.insert(key, EntryState { entry, live });
        self.generation += 1;
        self.entries_dirty = true;
        Ok(Location::Entry)
    }

    fn merge_statement(&mut self, statement: Statement) -> Result<Location, Refusal> {
        let (subject, observer) = (statement.subject, statement.observer);
        match self.incarnation(subject) {
            None => return Err(Refusal::UnknownSubject),
            Some(held) if held != statement.incarnation => return Err(Refusal::OldIncarnation),
            Some(_) => {}
        }
        for replaced in self.statements.merge(statement)? {
            self.unindex_record(statement_key(replaced.subject, replaced.observer));
        }
        self.mark_dirty(subject);
        Ok(Location::Statement(Box::new(StatementLocation {
            subject,
            observer,
        })))
    }

    fn merge_report(&mut self, report: Report) -> Result<Location, Refusal> {
        let (zone, observer) = (report.zone, report.observer);
        for replaced in self.zones.merge(report)? {
            self.unindex_record(report_key(replaced.zone, replaced.observer));
        }
        Ok(Location::Report(Box::new(ReportLocation {
            zone,
            observer,
        })))
    }

    /// Returns the record under a key, or its removal if it was removed.
    #[must_use]
    pub fn record(&self, key: Key) -> Option<Record> {
        let Some(indexed) = self.record_index.get(&key) else {
            return self.removal_record(key);
        };
        Some(match &indexed.location {
            Location::Service(index) => Record::Service(self.view_at(*index)?.config.clone()?),
            Location::Target(index) => {
                let member = self.view_at(*index)?.targets.get(&key)?;
                Record::Target(member.target.clone())
            }
            Location::Entry => Record::Entry(self.entry(key)?.clone()),
            Location::Statement(location) => {
                let held = self.statements.get(location.subject, location.observer)?;
                Record::Statement(held.clone())
            }
            Location::Report(location) => {
                Record::Report(self.zones.get(location.zone, location.observer)?.clone())
            }
        })
    }

    /// Returns the keys and digests of the records in a range of keys.
    pub fn range(&self, first: Key, last: Key) -> impl Iterator<Item = (Key, Digest)> {
        let record_index = self.record_index.range(first..=last);
        record_index.map(|(key, indexed)| (*key, indexed.digest))
    }

    /// Returns the keys of the configuration and the targets of a service.
    #[must_use]
    pub fn service_keys(&self, address: ServiceAddress) -> Vec<Key> {
        let Some(view) = self.view(&address) else {
            return Vec::new();
        };
        let mut keys: Vec<Key> = view.config.iter().map(|_| service_key(address)).collect();
        keys.extend(view.targets.values().map(|member| member.target.id));
        keys
    }

    /// Returns the digest tree of all records.
    #[must_use]
    pub const fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Returns the incarnation of a target or entry.
    #[must_use]
    pub fn incarnation(&self, subject: SubjectId) -> Option<Incarnation> {
        self.process(subject).map(|process| process.incarnation)
    }

    /// Returns the properties that targets and entries have in common.
    #[must_use]
    pub fn process(&self, subject: SubjectId) -> Option<Process> {
        match self.record_index.get(&subject)?.location {
            Location::Target(_) => self.target(subject).map(|target| Process {
                address: target.address,
                zone: target.zone,
                incarnation: target.incarnation,
                has_left: target.state == State::Left,
            }),
            Location::Entry => self.entry(subject).map(|entry| Process {
                address: entry.address,
                zone: entry.zone,
                incarnation: entry.incarnation,
                has_left: entry.has_left,
            }),
            _ => None,
        }
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.record_index.len()
    }

    /// Returns the first `count` keys that are larger than `last`.
    #[must_use]
    pub fn keys_after(&self, last: Key, count: usize) -> Vec<Key> {
        let after = (Bound::Excluded(last), Bound::Unbounded);
        let keys = self.record_index.range(after).map(|(key, _)| *key);
        keys.take(count).collect()
    }

    /// Returns the target with this id.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        let Location::Target(index) = self.record_index.get(&id)?.location else {
            return None;
        };
        let member = self.view_at(index)?.targets.get(&id)?;
        Some(&member.target)
    }

    /// Returns the entry under this key.
    #[must_use]
    pub fn entry(&self, key: Key) -> Option<&Entry> {
        self.entry_states.get(&key).map(|state| &state.entry)
    }

    /// Returns the statements of watchers about processes.
    #[must_use]
    pub const fn statements(&self) -> &Statements {
        &self.statements
    }

    /// Returns the reports of observers on zones, and the lost zones.
    #[must_use]
    pub const fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Returns a counter that rises whenever the entries or their liveness
    /// change.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the running entries.
    pub fn live_entries(&self) -> impl Iterator<Item = Candidate> {
        let live = self.entry_states.iter().filter(|(_, state)| state.live);
        live.map(|(key, state)| Candidate {
            key: *key,
            address: state.entry.address,
            zone: state.entry.zone,
        })
    }

    /// Returns the targets of a service that changed recently; `None` stands for
    /// its configuration.
    pub fn recent(&self, service: ServiceAddress) -> BTreeSet<Option<TargetId>> {
        let changes = self.recent.iter();
        changes
            .filter(|change| change.service == service)
            .map(|change| change.target)
            .collect()
    }

    /// Returns the services whose view changed since the last call.
    pub fn take_changes(&mut self) -> Vec<ServiceAddress> {
        std::mem::take(&mut self.changed_services)
            .into_iter()
            .collect()
    }

    /// Returns the view of a service.
    #[must_use]
    pub fn view(&self, address: &ServiceAddress) -> Option<&View> {
        self.view_at(*self.services.get(address)?)
    }

    /// Returns all views.
    pub fn views(&self) -> impl Iterator<Item = &View> {
        let indices = self.services.values();
        indices.filter_map(|index| self.view_at(*index))
    }

    /// Returns all entries, including departed and silent ones.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entry_states.values().map(|state| &state.entry)
    }

    fn view_at(&self, index: ServiceIndex) -> Option<&View> {
        self.views.get(usize::try_from(index).ok()?)
    }

    fn view_mut(&mut self, address: ServiceAddress) -> &mut View {
        let index = self.index(address);
        &mut self.views[index as usize]
    }

    /// Returns the index of the view of a service, which is created if missing.
    fn index(&mut self, address: ServiceAddress) -> ServiceIndex {
        let views = &mut self.views;
        *self.services.entry(address).or_insert_with(|| {
            views.push(View::new(address));
            ServiceIndex::try_from(views.len() - 1).unwrap_or(ServiceIndex::MAX)
        })
    }

    fn add_change(&mut self, service: ServiceAddress, target: Option<TargetId>) {
        self.changed_services.insert(service);
        self.recent.truncate(MAX_RECENT_CHANGES - 1);
        self.recent.push_front(Change { service, target });
    }

    fn forget_statements(&mut self, subject: SubjectId) {
        for statement in self.statements.remove(subject) {
            self.unindex_record(statement_key(subject, statement.observer));
        }
        self.mark_dirty(subject);
    }

    fn index_record(&mut self, key: Key, location: Location, digest: Digest) {
        let old = self
            .record_index
            .insert(key, IndexedRecord { location, digest });
        self.tree
            .replace(key, old.map_or(0, |old| old.digest), digest);
    }

    fn unindex_record(&mut self, key: Key) {
        if let Some(old) = self.record_index.remove(&key) {
            self.tree.replace(key, old.digest, 0);
        }
    }
}
