//! Removal of targets and entries that have been silent or departed for long,
//! and tombstones that keep their old versions from returning.
use std::collections::BTreeSet;
use std::time::Duration;

use wire::Target;
use wire::target::Stamp;
use wire::target::State;

use super::Directory;
use crate::Entry;
use crate::Health;
use crate::Record;
use crate::Refusal;
use crate::record::Key;
use crate::record::Removal;

/// Largest number of tombstones.
const MAX_TOMBSTONES: usize = 50_000;

/// Tombstone of a removed record.
#[derive(Debug)]
pub struct Tombstone {
    stamp: Stamp,
    removed_at: Duration,
}

impl Directory {
    /// Removes targets and entries that have been silent or departed for longer
    /// than `retention`; silent ones in a lost zone are kept. Returns the removals for gossip, since other entries may
    /// have learned of the silence at other times.
    pub fn expire(&mut self, now: Duration, retention: Duration) -> Vec<Record> {
        let gone_entries = self.entry_states.iter().filter(|(_, state)| {
            !state.live && (state.entry.has_left || !self.zones.is_lost(state.entry.zone))
        });
        let gone: BTreeSet<Key> = gone_entries.map(|(key, _)| *key).collect();
        for key in &gone {
            self.gone_since.entry(*key).or_insert(now);
        }
        self.gone_since
            .retain(|key, _| gone.contains(key) || !self.entry_states.contains_key(key));
        let old = self.gone_since.iter();
        let expired: Vec<Key> = old
            .filter(|(_, since)| now.saturating_sub(**since) > retention)
            .map(|(key, _)| *key)
            .collect();
        for key in &expired {
            self.remove_record(now, *key);
        }
        self.tombstones
            .retain(|_, tombstone| now.saturating_sub(tombstone.removed_at) <= retention);
        let removed = expired.into_iter();
        removed.filter_map(|key| self.removal_record(key)).collect()
    }

    /// Restarts all silences at `now`, after a pause of this process.
    pub fn reset_silence(&mut self, now: Duration) {
        for since in self.gone_since.values_mut() {
            *since = now;
        }
    }

    /// Removes a record that another entry removed, unless it counts as running
    /// here.
    pub(super) fn merge_removal(&mut self, removal: &Removal) -> Result<(), Refusal> {
        let key = removal.subject;
        match self.stamp(key) {
            Some(held) if held > removal.stamp || !self.is_gone(key) => Err(Refusal::Stale),
            Some(_) => {
                self.remove_record(self.now, key);
                Ok(())
            }
            None => Err(Refusal::UnknownSubject),
        }
    }

    /// Returns the removal of a record that has a tombstone.
    pub(super) fn removal_record(&self, key: Key) -> Option<Record> {
        let stamp = self.tombstones.get(&key)?.stamp;
        Some(Record::Removal(Removal {
            subject: key,
            stamp,
        }))
    }

    fn stamp(&self, key: Key) -> Option<Stamp> {
        let target = self.target(key).map(Target::stamp);
        target.or_else(|| self.entry(key).map(entry_stamp))
    }

    /// Returns whether a target or entry has left or counts as silent.
    fn is_gone(&self, key: Key) -> bool {
        if let Some(state) = self.entry_states.get(&key) {
            return !state.live;
        }
        let target = self.target(key);
        let view = target.and_then(|target| self.view(&target.service));
        let member = view.and_then(|view| view.targets.get(&key));
        member
            .is_some_and(|member| member.target.state == State::Left || member.health != Health::Up)
    }

    fn remove_record(&mut self, now: Duration, key: Key) {
        self.gone_since.remove(&key);
        let Some(stamp) = self.stamp(key) else {
            return;
        };
        if let Some(address) = self.target(key).map(|target| target.service) {
            self.view_mut(address).remove(key);
            self.changed_services.insert(address);
        }
        self.entry_states.remove(&key);
        self.generation += 1;
        self.forget_statements(key);
        self.unindex_record(key);
        if self.tombstones.len() < MAX_TOMBSTONES {
            let removed_at = now;
            self.tombstones.insert(key, Tombstone { stamp, removed_at });
        }
    }

    /// Refuses a record that is not newer than its tombstone.
    pub(super) fn check_tombstone(&self, key: Key, stamp: Stamp) -> Result<(), Refusal> {
        match self.tombstones.get(&key) {
            Some(tombstone) if tombstone.stamp >= stamp => Err(Refusal::Departed),
            _ => Ok(()),
        }
    }
}

/// Returns the version stamp of an entry, as removals carry it.
pub fn entry_stamp(entry: &Entry) -> Stamp {
    Stamp {
        incarnation: entry.incarnation,
        version: entry.has_left.into(),
    }
}
