//! Store that is restored from older copies.
use std::collections::BTreeMap;
use std::time::Duration;

use config::Fault;
use config::KeyValue;
use config::Listing;
use config::era;
use config::era::Era;
use config::registration::Action;
use config::registration::Event;
use wire::Revision;

/// Key of the configuration.
pub const CONFIG: &str = "config";

/// Prefix of the keys of entries.
pub const ENTRIES: &str = "entries/";

/// Store that is restored from older copies.
#[derive(Default)]
pub struct Store {
    contents: Contents,
    /// Contents after each change, with the time of the change.
    copies: Vec<(Duration, Contents)>,
    era: Era,
    /// Time until which it does not answer.
    away_until: Duration,
    /// Time of the copy from which it comes back, if it lost its contents.
    copy: Option<Duration>,
    /// Time until which the answers to writes are lost.
    lossy_until: Duration,
    now: Duration,
}

#[derive(Clone, Default)]
struct Contents {
    number: era::Number,
    /// Version of the configuration and the number of its last change.
    config: Option<(u64, era::Number)>,
    /// Keys of entries, with their leases.
    entries: BTreeMap<String, u64>,
    /// Leases and the times at which they lapse.
    leases: BTreeMap<u64, Duration>,
    granted: u64,
}

/// Returns the version in a value of the configuration.
pub fn version(item: &KeyValue) -> u64 {
    u64::from_le_bytes(item.value.as_slice().try_into().unwrap())
}

impl Store {
    /// Advances to a time; returns whether the store came back from a copy.
    pub fn advance(&mut self, now: Duration) -> bool {
        self.now = now;
        let lapsed = self.contents.leases.iter().filter(|(_, end)| **end <= now);
        let lapsed: Vec<u64> = lapsed.map(|(lease, _)| *lease).collect();
        for lease in lapsed {
            self.change(|contents| {
                contents.leases.remove(&lease);
                contents.entries.retain(|_, holder| *holder != lease);
            });
        }
        if now < self.away_until {
            return false;
        }
        let Some(copy) = self.copy.take() else {
            return false;
        };
        let contents = self.copies.iter().rev().find(|(at, _)| *at <= copy);
        self.contents = contents
            .map(|(_, contents)| contents.clone())
            .unwrap_or_default();
        self.copies.clear();
        self.copies.push((now, self.contents.clone()));
        self.era += 1;
        true
    }

    fn change(&mut self, change: impl FnOnce(&mut Contents)) {
        self.contents.number += 1;
        change(&mut self.contents);
        self.copies.push((self.now, self.contents.clone()));
    }

    /// Stops answering until a time, and then comes back, from a copy if one is
    /// named.
    pub fn go_away(&mut self, until: Duration, copy: Option<Duration>) {
        self.away_until = self.away_until.max(until);
        self.copy = self.copy.or(copy);
    }

    /// Loses the answers to writes until a time.
    pub fn lose_writes(&mut self, until: Duration) {
        self.lossy_until = until;
    }

    pub fn is_serving(&self, now: Duration) -> bool {
        now >= self.away_until
    }

    /// Writes a version of the configuration, as the operator does.
    pub fn write(&mut self, now: Duration, version: u64) {
        self.now = now;
        self.change(|contents| contents.config = Some((version, contents.number)));
    }

    pub fn registered(&self) -> usize {
        self.contents.entries.len()
    }

    fn item(&self) -> Option<KeyValue> {
        let (version, number) = self.contents.config?;
        Some(KeyValue {
            key: CONFIG.to_owned(),
            value: version.to_le_bytes().to_vec(),
            revision: era::revision(self.era, number),
        })
    }

    /// Answers a read of the configuration; `None` if there is no answer.
    pub fn get(&self, latest: &era::Latest) -> Option<Result<Option<KeyValue>, Fault>> {
        if !self.is_serving(self.now) {
            return None;
        }
        Some(latest.observe(self.era).map(|_| self.item()))
    }

    /// Answers a watch of the configuration; `None` if there is no answer yet.
    pub fn watch(
        &self,
        latest: &era::Latest,
        since: Revision,
        is_over: bool,
    ) -> Option<Result<Listing, Fault>> {
        if !self.is_serving(self.now) {
            return None;
        }
        let item = self.item();
        let is_newer = item.as_ref().is_some_and(|item| item.revision > since);
        let is_other_era = era::of(since) != self.era;
        if !is_newer && !is_other_era && !is_over {
            return None;
        }
        let items = item.filter(|_| is_newer || is_other_era);
        Some(latest.observe(self.era).map(|_| Listing {
            items: items.into_iter().collect(),
            index: era::revision(self.era, self.contents.number),
        }))
    }

    /// Answers a call of a registration; `None` if there is no answer.
    pub fn register(
        &mut self,
        now: Duration,
        latest: &era::Latest,
        action: &Action,
        key: &str,
        is_cut: bool,
    ) -> Option<Event> {
        if is_cut || !self.is_serving(now) {
            return None;
        }
        let is_write = !matches!(action, Action::List);
        let event = match action {
            Action::List => {
                let keys = self.contents.entries.keys();
                let items = keys.map(|key| KeyValue {
                    key: key.clone(),
                    value: Vec::new(),
                    revision: 1,
                });
                let items = items.collect();
                let index = era::revision(self.era, self.contents.number);
                Event::Listed(latest.observe(self.era).map(|_| Listing { items, index }))
            }
            Action::Grant(ttl) => Event::Granted(Ok(self.grant(now, *ttl))),
            Action::Renew(lease) => Event::Renewed(self.renew(now, latest, lease)),
            Action::Acquire(lease) => Event::Acquired(self.acquire(latest, lease, key)),
            Action::Sleep(_) => return None,
        };
        // A restore that is first seen in the answer to a write is an older lease's
        // end, not a fault of the call.
        let _ = latest.observe(self.era);
        let is_lost = is_write && now < self.lossy_until;
        (!is_lost).then_some(event)
    }

    fn grant(&mut self, now: Duration, ttl: Duration) -> String {
        self.change(|contents| {
            contents.granted += 1;
            contents.leases.insert(contents.granted, now + ttl);
        });
        format!("{}/{}", self.era, self.contents.granted)
    }

    /// Returns the number of a lease that may still be in use.
    fn current(&self, latest: &era::Latest, lease: &str) -> Result<u64, Fault> {
        let (era, number) = lease.split_once('/').unwrap();
        let is_current = era == latest.get().max(self.era).to_string();
        let number: u64 = number.parse().unwrap();
        let exists = self.contents.leases.contains_key(&number);
        (is_current && exists)
            .then_some(number)
            .ok_or(Fault::Expired)
    }

    fn renew(&mut self, now: Duration, latest: &era::Latest, lease: &str) -> Result<(), Fault> {
        let lease = self.current(latest, lease)?;
        self.contents
            .leases
            .insert(lease, now + Duration::from_secs(30));
        Ok(())
    }

    fn acquire(&mut self, latest: &era::Latest, lease: &str, key: &str) -> Result<bool, Fault> {
        let lease = self.current(latest, lease)?;
        self.change(|contents| {
            contents.entries.insert(key.to_owned(), lease);
        });
        Ok(true)
    }
}
