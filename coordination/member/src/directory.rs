//! Everything an entry knows: services, targets, entries and what is said of
//! them.
//!
//! Each record is versioned. Merging is idempotent and does not depend on the
//! order of arrival, so that directories which exchanged their records agree.
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use wire::Incarnation;
use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;
use wire::ZoneId;
use wire::target::State;

use crate::Entry;
use crate::Health;
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
use crate::record::entry_key;
use crate::record::report_key;
use crate::record::service_key;
use crate::record::suspicion_key;
use crate::statements::Statements;
use crate::tree::Tree;
use crate::zones::Scope;
use crate::zones::Zones;

/// Changes of targets that are remembered for agents.
const MAX_RECENT: usize = 512;

/// Dropped records that are remembered.
const MAX_DROPPED: usize = 50_000;

/// Versioned records and the verdicts that follow from them.
#[derive(Debug, Default)]
pub struct Directory {
    services: BTreeMap<ServiceAddress, View>,
    hosts: BTreeMap<Key, Host>,
    statements: Statements,
    zones: Zones,
    slots: BTreeMap<Key, Slot>,
    tree: Tree,
    dirty: BTreeSet<ServiceAddress>,
    changes: BTreeSet<ServiceAddress>,
    recent: VecDeque<Change>,
    silent_since: BTreeMap<Key, Duration>,
    dropped: BTreeMap<Key, Dropped>,
    stale_hosts: bool,
    generation: u64,
}

/// An entry and whether it is held to be running.
#[derive(Debug)]
struct Host {
    entry: Entry,
    live: bool,
}

/// Where a record is held, and the digest of its version.
#[derive(Debug)]
struct Slot {
    place: Place,
    digest: Digest,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Service(ServiceAddress),
    Target(ServiceAddress),
    Entry,
    Suspicion(SubjectId, SocketAddr),
    Report(ZoneId, SocketAddr),
}

/// A change of a target, or of the configuration where there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Change {
    service: ServiceAddress,
    target: Option<TargetId>,
}

/// A record that was dropped.
#[derive(Debug)]
struct Dropped {
    incarnation: Incarnation,
    at: Duration,
}

impl Directory {
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
                Place::Service(address)
            }
            Record::Target(target) => self.merge_target(target)?,
            Record::Entry(entry) => self.merge_entry(key, entry)?,
            Record::Suspicion(suspicion) => self.merge_suspicion(suspicion)?,
            Record::Report(report) => self.merge_report(report)?,
        };
        self.put_slot(key, place, digest);
        Ok(())
    }

    fn merge_target(&mut self, target: Target) -> Result<Place, Refusal> {
        let (id, address, incarnation) = (target.id, target.service, target.incarnation);
        self.check_dropped(id, incarnation)?;
        let held = self.incarnation(id);
        self.view_mut(address).merge_target(target)?;
        if held.is_some_and(|held| held < incarnation) {
            self.forget_statements(id);
        }
        self.note(address, Some(id));
        self.dirty.insert(address);
        Ok(Place::Target(address))
    }

    fn merge_entry(&mut self, key: Key, entry: Entry) -> Result<Place, Refusal> {
        self.check_dropped(key, entry.incarnation)?;
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
        Ok(Place::Suspicion(subject, observer))
    }

    fn merge_report(&mut self, report: Report) -> Result<Place, Refusal> {
        let (zone, observer) = (report.zone, report.observer);
        for replaced in self.zones.merge(report)? {
            self.clear_slot(report_key(replaced.zone, replaced.observer));
        }
        Ok(Place::Report(zone, observer))
    }

    fn check_dropped(&self, key: Key, incarnation: Incarnation) -> Result<(), Refusal> {
        match self.dropped.get(&key) {
            Some(dropped) if dropped.incarnation >= incarnation => Err(Refusal::Departed),
            _ => Ok(()),
        }
    }

    /// The record under a key.
    #[must_use]
    pub fn record(&self, key: Key) -> Option<Record> {
        Some(match self.slots.get(&key)?.place {
            Place::Service(address) => {
                Record::Service(self.services.get(&address)?.config.clone()?)
            }
            Place::Target(address) => {
                let member = self.services.get(&address)?.targets.get(&key)?;
                Record::Target(member.target.clone())
            }
            Place::Entry => Record::Entry(self.hosts.get(&key)?.entry.clone()),
            Place::Suspicion(subject, observer) => {
                Record::Suspicion(self.statements.get(subject, observer)?.clone())
            }
            Place::Report(zone, observer) => {
                Record::Report(self.zones.get(zone, observer)?.clone())
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
        let Some(view) = self.services.get(&address) else {
            return Vec::new();
        };
        let mut keys: Vec<Key> = view.config.iter().map(|_| service_key(address)).collect();
        keys.extend(view.targets.keys());
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
        match self.slots.get(&subject)?.place {
            Place::Target(_) => self.target(subject).map(|target| target.incarnation),
            Place::Entry => self.hosts.get(&subject).map(|host| host.entry.incarnation),
            _ => None,
        }
    }

    /// The target with this id.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        let Place::Target(address) = self.slots.get(&id)?.place else {
            return None;
        };
        let member = self.services.get(&address)?.targets.get(&id)?;
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

    /// Judges again whatever the records merged since the last call touch.
    pub fn judge(&mut self, now: Duration, scope: &Scope) {
        let hosts = &self.hosts;
        let changed = self.zones.judge(now, scope, |report| {
            let host = hosts.get(&entry_key(report.observer));
            host.is_some_and(|host| host.live && host.entry.incarnation == report.incarnation)
        });
        for zone in &changed {
            self.dirty_zone(*zone);
        }
        if self.stale_hosts || !changed.is_empty() {
            self.judge_hosts();
        }
        for address in std::mem::take(&mut self.dirty) {
            self.judge_service(now, address);
        }
    }

    fn judge_hosts(&mut self) {
        self.stale_hosts = false;
        let mut turned = Vec::new();
        for (key, host) in &self.hosts {
            let live = !host.entry.left
                && !self.zones.is_lost(host.entry.zone)
                && !self
                    .statements
                    .is_silent(*key, |watcher| is_live(&self.hosts, watcher));
            if live != host.live {
                turned.push(*key);
            }
        }
        for key in &turned {
            if let Some(host) = self.hosts.get_mut(key) {
                host.live = !host.live;
            }
        }
        if turned.is_empty() {
            return;
        }
        self.generation += 1;
        // The majority among running watchers may have changed.
        let subjects: Vec<SubjectId> = self.statements.subjects().collect();
        for subject in subjects {
            self.stale_subject(subject);
        }
    }

    fn judge_service(&mut self, now: Duration, address: ServiceAddress) {
        let Some(view) = self.services.get_mut(&address) else {
            return;
        };
        let (statements, zones, hosts) = (&self.statements, &self.zones, &self.hosts);
        let turned = view.judge(|target| {
            target.state != State::Left
                && (zones.is_lost(target.zone)
                    || statements.is_silent(target.id, |watcher| is_live(hosts, watcher)))
        });
        for member in view.targets.values() {
            let id = member.target.id;
            let gone = member.target.state == State::Left
                || (member.health != Health::Up && !zones.is_lost(member.target.zone));
            if gone {
                self.silent_since.entry(id).or_insert(now);
            } else {
                self.silent_since.remove(&id);
            }
        }
        for target in turned {
            self.note(address, Some(target));
        }
    }

    /// Drops what has been silent or departed for longer than `retention`.
    pub fn expire(&mut self, now: Duration, retention: Duration) {
        let hosts = self.hosts.iter().filter(|(_, host)| {
            !host.live && (host.entry.left || !self.zones.is_lost(host.entry.zone))
        });
        let gone: BTreeSet<Key> = hosts.map(|(key, _)| *key).collect();
        for key in &gone {
            self.silent_since.entry(*key).or_insert(now);
        }
        self.silent_since
            .retain(|key, _| gone.contains(key) || !self.hosts.contains_key(key));
        let old = self.silent_since.iter();
        let expired: Vec<Key> = old
            .filter(|(_, since)| now.saturating_sub(**since) > retention)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.drop_record(now, key);
        }
        self.dropped
            .retain(|_, dropped| now.saturating_sub(dropped.at) <= retention);
    }

    fn drop_record(&mut self, now: Duration, key: Key) {
        self.silent_since.remove(&key);
        let Some(incarnation) = self.incarnation(key) else {
            return;
        };
        if let Some(address) = self.target(key).map(|target| target.service) {
            self.view_mut(address).remove(key);
            self.changes.insert(address);
        }
        self.hosts.remove(&key);
        self.generation += 1;
        self.forget_statements(key);
        self.clear_slot(key);
        if self.dropped.len() < MAX_DROPPED {
            let at = now;
            self.dropped.insert(key, Dropped { incarnation, at });
        }
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
        self.services.get(address)
    }

    /// All views.
    pub fn views(&self) -> impl Iterator<Item = &View> {
        self.services.values()
    }

    /// All entries, departed and silent ones included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.hosts.values().map(|host| &host.entry)
    }

    fn view_mut(&mut self, address: ServiceAddress) -> &mut View {
        self.services
            .entry(address)
            .or_insert_with(|| View::new(address))
    }

    fn note(&mut self, service: ServiceAddress, target: Option<TargetId>) {
        self.changes.insert(service);
        self.recent.truncate(MAX_RECENT - 1);
        self.recent.push_front(Change { service, target });
    }

    fn stale_subject(&mut self, subject: SubjectId) {
        match self.slots.get(&subject).map(|slot| slot.place) {
            Some(Place::Target(address)) => {
                self.dirty.insert(address);
            }
            Some(Place::Entry) => self.stale_hosts = true,
            _ => {}
        }
    }

    fn dirty_zone(&mut self, zone: ZoneId) {
        let views = self.services.values();
        let touched = views.filter(|view| {
            let mut members = view.targets.values();
            members.any(|member| member.target.zone == zone)
        });
        self.dirty.extend(touched.map(|view| view.address));
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

fn is_live(hosts: &BTreeMap<Key, Host>, address: SocketAddr) -> bool {
    hosts.get(&entry_key(address)).is_some_and(|host| host.live)
}
