//! Drops what has been silent or departed for long, and does not take it back.
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

/// Dropped records that are remembered.
const MAX_DROPPED: usize = 50_000;

/// A record that was dropped.
#[derive(Debug)]
pub struct Dropped {
    stamp: Stamp,
    at: Duration,
}

impl Directory {
    /// Drops what has been silent or departed for longer than `retention`;
    /// what others are to drop too, whenever they learned of it.
    pub fn expire(&mut self, now: Duration, retention: Duration) -> Vec<Record> {
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
        for key in &expired {
            self.drop_record(now, *key);
        }
        self.dropped
            .retain(|_, dropped| now.saturating_sub(dropped.at) <= retention);
        let dropped = expired.into_iter();
        dropped.filter_map(|key| self.dropped_record(key)).collect()
    }

    /// Begins all silences anew, after a pause of this process.
    pub fn restart_silences(&mut self, now: Duration) {
        for since in self.silent_since.values_mut() {
            *since = now;
        }
    }

    /// Drops what another entry dropped, unless it is heard here.
    pub(super) fn merge_removal(&mut self, removal: &Removal) -> Result<(), Refusal> {
        let key = removal.subject;
        match self.stamp(key) {
            Some(held) if held > removal.stamp || !self.is_gone(key) => Err(Refusal::Stale),
            Some(_) => {
                self.drop_record(self.now, key);
                Ok(())
            }
            None => Err(Refusal::UnknownSubject),
        }
    }

    /// The statement that a record was dropped.
    pub(super) fn dropped_record(&self, key: Key) -> Option<Record> {
        let stamp = self.dropped.get(&key)?.stamp;
        Some(Record::Removal(Removal {
            subject: key,
            stamp,
        }))
    }

    fn stamp(&self, key: Key) -> Option<Stamp> {
        let target = self.target(key).map(Target::stamp);
        target.or_else(|| self.entry(key).map(entry_stamp))
    }

    /// True for a target or entry that has left or is held to be silent.
    fn is_gone(&self, key: Key) -> bool {
        if let Some(host) = self.hosts.get(&key) {
            return !host.live;
        }
        let target = self.target(key);
        let view = target.and_then(|target| self.view(&target.service));
        let member = view.and_then(|view| view.targets.get(&key));
        member
            .is_some_and(|member| member.target.state == State::Left || member.health != Health::Up)
    }

    fn drop_record(&mut self, now: Duration, key: Key) {
        self.silent_since.remove(&key);
        let Some(stamp) = self.stamp(key) else {
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
            self.dropped.insert(key, Dropped { stamp, at });
        }
    }

    /// Refuses what was dropped.
    pub(super) fn check_dropped(&self, key: Key, stamp: Stamp) -> Result<(), Refusal> {
        match self.dropped.get(&key) {
            Some(dropped) if dropped.stamp >= stamp => Err(Refusal::Departed),
            _ => Ok(()),
        }
    }
}

/// Position of a statement in the history of an entry.
pub fn entry_stamp(entry: &Entry) -> Stamp {
    Stamp {
        incarnation: entry.incarnation,
        version: entry.left.into(),
    }
}
