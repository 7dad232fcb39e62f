//! Drops what has been silent or departed for long, and does not take it back.
use std::collections::BTreeSet;
use std::time::Duration;

use wire::Incarnation;

use super::Directory;
use crate::Refusal;
use crate::record::Key;

/// Dropped records that are remembered.
const MAX_DROPPED: usize = 50_000;

/// A record that was dropped.
#[derive(Debug)]
pub struct Dropped {
    incarnation: Incarnation,
    at: Duration,
}

impl Directory {
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

    /// Refuses what was dropped.
    pub(super) fn check_dropped(&self, key: Key, incarnation: Incarnation) -> Result<(), Refusal> {
        match self.dropped.get(&key) {
            Some(dropped) if dropped.incarnation >= incarnation => Err(Refusal::Departed),
            _ => Ok(()),
        }
    }
}
