//! Everything an entry knows: services, targets and entries.
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;

use crate::Entry;
use crate::Health;
use crate::Record;
use crate::View;

/// Versioned records; merging is idempotent and independent of order.
#[derive(Debug, Default)]
pub struct Directory {
    services: BTreeMap<ServiceAddress, View>,
    entries: BTreeMap<SocketAddr, Entry>,
    homes: BTreeMap<TargetId, ServiceAddress>,
    changes: BTreeSet<ServiceAddress>,
}

impl Directory {
    /// Takes a record where it is newer than the one held; true where it was.
    pub fn merge(&mut self, record: Record) -> bool {
        match record {
            Record::Service(service) => {
                let address = service.address;
                let merged = self.view_mut(address).merge_config(service);
                self.note(address, merged)
            }
            Record::Target(target) => self.merge_target(target),
            Record::Entry(entry) => self.merge_entry(entry),
        }
    }

    fn merge_target(&mut self, target: Target) -> bool {
        let address = target.service;
        let id = target.id;
        let merged = self.view_mut(address).merge_target(target);
        if merged {
            self.homes.insert(id, address);
        }
        self.note(address, merged)
    }

    fn merge_entry(&mut self, entry: Entry) -> bool {
        let newer = self
            .entries
            .get(&entry.address)
            .is_none_or(|held| (held.incarnation, held.left) < (entry.incarnation, entry.left));
        if newer {
            self.entries.insert(entry.address, entry);
        }
        newer
    }

    /// Sets the health of a target; true where it changed.
    pub fn set_health(&mut self, id: TargetId, health: Health) -> bool {
        let Some(address) = self.homes.get(&id).copied() else {
            return false;
        };
        let changed = self.view_mut(address).set_health(id, health);
        self.note(address, changed)
    }

    /// The services whose view changed since the last call.
    pub fn take_changes(&mut self) -> Vec<ServiceAddress> {
        std::mem::take(&mut self.changes).into_iter().collect()
    }

    /// The view of a service.
    pub fn view(&self, address: &ServiceAddress) -> Option<&View> {
        self.services.get(address)
    }

    /// All views.
    pub fn views(&self) -> impl Iterator<Item = &View> {
        self.services.values()
    }

    /// All entries, departed ones included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Number of targets.
    pub fn target_count(&self) -> usize {
        self.homes.len()
    }

    /// Every record.
    pub fn records(&self) -> impl Iterator<Item = Record> {
        let entries = self.entries.values().cloned().map(Record::Entry);
        let views = self.services.values().flat_map(|view| {
            let config = view.config.iter().cloned().map(Record::Service);
            let members = view.targets.values();
            config.chain(members.map(|member| Record::Target(member.target.clone())))
        });
        entries.chain(views)
    }

    fn view_mut(&mut self, address: ServiceAddress) -> &mut View {
        self.services
            .entry(address)
            .or_insert_with(|| View::new(address))
    }

    fn note(&mut self, address: ServiceAddress, changed: bool) -> bool {
        if changed {
            self.changes.insert(address);
        }
        changed
    }
}
