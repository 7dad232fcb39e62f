//! Everything an entry knows: services, targets, entries and what is said of
//! them.
//!
//! Each record is versioned. Merging is idempotent and does not depend on the
//! order of arrival, so that directories which exchanged their records agree.
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
use crate::choice::Candidate;
use crate::digest;
use crate::digest::Digest;
use crate::record::Key;
use crate::record::Report;
use crate::record::SubjectId;
use crate::record::Suspicion;
use crate::record::report_key;
use crate::record::service_key;
use crate::record::suspicion_key;
use crate::statements::Statements;
use crate::tree::Tree;
use crate::zones::Zones;
use expiry::Dropped;
use expiry::entry_stamp;
use verdict::Contest;

/// Changes of targets that are remembered for agents.
const MAX_RECENT: usize = 512;

/// Versioned records and the verdicts that follow from them.
#[derive(Debug, Default)]
pub struct Directory {
    views: Vec<View>,
    services: BTreeMap<ServiceAddress, ServiceIndex>,
    hosts: BTreeMap<Key, Host>,
    statements: Statements,
    zones: Zones,
    slots: BTreeMap<Key, Slot>,
    tree: Tree,
    dirty: BTreeSet<ServiceAddress>,
    changes: BTreeSet<ServiceAddress>,
    recent: VecDeque<Change>,
    contests: BTreeMap<SubjectId, Contest>,
    silent_since: BTreeMap<Key, Duration>,
    dropped: BTreeMap<Key, Dropped>,
    stale_hosts: bool,
    generation: u64,
    now: Duration,
}

/// An entry and whether it is held to be running.
#[derive(Debug)]
struct Host {
    entry: Entry,
    live: bool,
}

/// A target or an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    /// UDP address.
    pub address: SocketAddr,
    /// Zone of its host.
    pub zone: ZoneId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// True once it announced its departure.
    pub has_left: bool,
}

/// Where a record is held, and the digest of its version.
#[derive(Debug)]
struct Slot {
    place: Place,
    digest: Digest,
}

/// Position of a view among all views.
type ServiceIndex = u32;

/// The place of a record, small since there is one for each target.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Place {
    Service(ServiceIndex),
    Target(ServiceIndex),
    Entry,
    Suspicion(Box<SuspicionPlace>),
    Report(Box<ReportPlace>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct SuspicionPlace {
    subject: SubjectId,
    observer: SocketAddr,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct ReportPlace {
    zone: ZoneId,
    observer: SocketAddr,
}

/// A change of a target, or of the configuration where there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Change {
    service: ServiceAddress,
    target: Option<TargetId>,
}

impl Directory {
    /// Tells the time of the events that follow.
    pub const fn advance(&mut self, now: Duration) {
        self.now = now;
    }

    /// Takes a record where it is newer than the one held.
    ///
    /// # Errors
    ///
    /// The reason why it was not taken.
    pub fn merge(&mut self, record: Record) -> Result<(), Refusal> {
        let key = record.key();
        let digest = digest::item(&record);
        let place = match record {
            Record::Service(service) => {
                let address = service.address;
                self.view_mut(address).merge_config(service)?;
                self.note(address, None);
                Place::Service(self.index(address))
            }
            Record::Target(target) => self.merge_target(target)?,
            Record::Entry(entry) => self.merge_entry(key, entry)?,
            Record::Suspicion(suspicion) => self.merge_suspicion(suspicion)?,
            Record::Report(report) => self.merge_report(report)?,
            Record::Removal(removal) => return self.merge_removal(&removal),
        };
        self.put_slot(key, place, digest);
        Ok(())
    }

    fn merge_target(&mut self, target: Target) -> Result<Place, Refusal> {
        let (id, address, incarnation) = (target.id, target.service, target.incarnation);
        self.check_dropped(id, target.stamp())?;
        let held = self.incarnation(id);
        self.view_mut(address).merge_target(target)?;
        if held.is_some_and(|held| held < incarnation) {
            self.forget_statements(id);
        }
        self.note(address, Some(id));
        self.dirty.insert(address);
        Ok(Place::Target(self.index(address)))
    }

    fn merge_entry(&mut self, key: Key, entry: Entry) -> Result<Place, Refusal> {
        self.check_dropped(key, entry_stamp(&entry))?;
        match self.hosts.get(&key).map(|host| &host.entry) {
            Some(held) if held.incarnation > entry.incarnation => {
                return Err(Refusal::OldIncarnation);
            }
            Some(held) if held.stamp() >= entry.stamp() => return Err(Refusal::Stale),
            Some(held) if held.incarnation < entry.incarnation => self.forget_statements(key),
            _ => {}
        }
        let live = !entry.left;
        self.hosts.insert(key, Host { entry, live });
        self.generation += 1;
        self.stale_hosts = true;
        Ok(Place::Entry)
    }

    fn merge_suspicion(&mut self, suspicion: Suspicion) -> Result<Place, Refusal> {
        let (subject, observer) = (suspicion.subject, suspicion.observer);
        match self.incarnation(subject) {
            None => return Err(Refusal::UnknownSubject),
            Some(held) if held != suspicion.incarnation => return Err(Refusal::OldIncarnation),
            Some(_) => {}
        }
        for replaced in self.statements.merge(suspicion)? {
            self.clear_slot(suspicion_key(replaced.subject, replaced.observer));
        }
        self.stale_subject(subject);
        Ok(Place::Suspicion(Box::new(SuspicionPlace {
            subject,
            observer,
        })))
    }

    fn merge_report(&mut self, report: Report) -> Result<Place, Refusal> {
        let (zone, observer) = (report.zone, report.observer);
        for replaced in self.zones.merge(report)? {
            self.clear_slot(report_key(replaced.zone, replaced.observer));
        }
        Ok(Place::Report(Box::new(ReportPlace { zone, observer })))
    }

    /// The record under a key.
    #[must_use]
    pub fn record(&self, key: Key) -> Option<Record> {
        let Some(slot) = self.slots.get(&key) else {
            return self.dropped_record(key);
        };
        Some(match &slot.place {
            Place::Service(index) => Record::Service(self.view_at(*index)?.config.clone()?),
            Place::Target(index) => {
                let member = self.view_at(*index)?.targets.get(&key)?;
                Record::Target(member.target.clone())
            }
            Place::Entry => Record::Entry(self.entry(key)?.clone()),
            Place::Suspicion(place) => {
                let held = self.statements.get(place.subject, place.observer)?;
                Record::Suspicion(held.clone())
            }
            Place::Report(place) => {
                Record::Report(self.zones.get(place.zone, place.observer)?.clone())
            }
        })
    }

    /// Keys and digests of the records in a range of keys.
    pub fn range(&self, first: Key, last: Key) -> impl Iterator<Item = (Key, Digest)> {
        let slots = self.slots.range(first..=last);
        slots.map(|(key, slot)| (*key, slot.digest))
    }

    /// Keys of everything about a service.
    #[must_use]
    pub fn service_keys(&self, address: ServiceAddress) -> Vec<Key> {
        let Some(view) = self.view(&address) else {
            return Vec::new();
        };
        let mut keys: Vec<Key> = view.config.iter().map(|_| service_key(address)).collect();
        keys.extend(view.targets.values().map(|member| member.target.id));
        keys
    }

    /// The digests of all records.
    #[must_use]
    pub const fn tree(&self) -> &Tree {
        &self.tree
    }

    /// The incarnation of a target or entry.
    #[must_use]
    pub fn incarnation(&self, subject: SubjectId) -> Option<Incarnation> {
        self.process(subject).map(|process| process.incarnation)
    }

    /// What targets and entries have in common.
    #[must_use]
    pub fn process(&self, subject: SubjectId) -> Option<Process> {
        match self.slots.get(&subject)?.place {
            Place::Target(_) => self.target(subject).map(|target| Process {
                address: target.address,
                zone: target.zone,
                incarnation: target.incarnation,
                has_left: target.state == State::Left,
            }),
            Place::Entry => self.entry(subject).map(|entry| Process {
                address: entry.address,
                zone: entry.zone,
                incarnation: entry.incarnation,
                has_left: entry.left,
            }),
            _ => None,
        }
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// At most `count` keys, the first of which is larger than `last`.
    #[must_use]
    pub fn keys_after(&self, last: Key, count: usize) -> Vec<Key> {
        let after = (Bound::Excluded(last), Bound::Unbounded);
        let keys = self.slots.range(after).map(|(key, _)| *key);
        keys.take(count).collect()
    }

    /// The target with this id.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        let Place::Target(index) = self.slots.get(&id)?.place else {
            return None;
        };
        let member = self.view_at(index)?.targets.get(&id)?;
        Some(&member.target)
    }

    /// The entry under this key.
    #[must_use]
    pub fn entry(&self, key: Key) -> Option<&Entry> {
        self.hosts.get(&key).map(|host| &host.entry)
    }

    /// What watchers say.
    #[must_use]
    pub const fn statements(&self) -> &Statements {
        &self.statements
    }

    /// What observers say of zones.
    #[must_use]
    pub const fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Counts the changes of the set of running entries.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// The entries held to be running.
    pub fn live_entries(&self) -> impl Iterator<Item = Candidate> {
        let live = self.hosts.iter().filter(|(_, host)| host.live);
        live.map(|(key, host)| Candidate {
            key: *key,
            address: host.entry.address,
            zone: host.entry.zone,
        })
    }

    /// The targets of a service that changed lately, and `None` for its
    /// configuration.
    pub fn recent(&self, service: ServiceAddress) -> BTreeSet<Option<TargetId>> {
        let changes = self.recent.iter();
        changes
            .filter(|change| change.service == service)
            .map(|change| change.target)
            .collect()
    }

    /// The services whose view changed since the last call.
    pub fn take_changes(&mut self) -> Vec<ServiceAddress> {
        std::mem::take(&mut self.changes).into_iter().collect()
    }

    /// The view of a service.
    #[must_use]
    pub fn view(&self, address: &ServiceAddress) -> Option<&View> {
        self.view_at(*self.services.get(address)?)
    }

    /// All views.
    pub fn views(&self) -> impl Iterator<Item = &View> {
        let indices = self.services.values();
        indices.filter_map(|index| self.view_at(*index))
    }

    /// All entries, departed and silent ones included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.hosts.values().map(|host| &host.entry)
    }

    fn view_at(&self, index: ServiceIndex) -> Option<&View> {
        self.views.get(usize::try_from(index).ok()?)
    }

    fn view_mut(&mut self, address: ServiceAddress) -> &mut View {
        let index = self.index(address);
        &mut self.views[index as usize]
    }

    /// Position of the view of a service, which begins to exist if need be.
    fn index(&mut self, address: ServiceAddress) -> ServiceIndex {
        let views = &mut self.views;
        *self.services.entry(address).or_insert_with(|| {
            views.push(View::new(address));
            ServiceIndex::try_from(views.len() - 1).unwrap_or(ServiceIndex::MAX)
        })
    }

    fn note(&mut self, service: ServiceAddress, target: Option<TargetId>) {
        self.changes.insert(service);
        self.recent.truncate(MAX_RECENT - 1);
        self.recent.push_front(Change { service, target });
    }

    fn forget_statements(&mut self, subject: SubjectId) {
        for statement in self.statements.remove(subject) {
            self.clear_slot(suspicion_key(subject, statement.observer));
        }
        self.stale_subject(subject);
    }

    fn put_slot(&mut self, key: Key, place: Place, digest: Digest) {
        let old = self.slots.insert(key, Slot { place, digest });
        self.tree
            .replace(key, old.map_or(0, |old| old.digest), digest);
    }

    fn clear_slot(&mut self, key: Key) {
        if let Some(old) = self.slots.remove(&key) {
            self.tree.replace(key, old.digest, 0);
        }
    }
}
