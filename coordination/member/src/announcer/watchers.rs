//! Entries that watch an agent, and the replacement of those that do not
//! answer.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;

use crate::Settings;
use crate::digest::Digest;
use crate::message::Ack;
use crate::message::Sequence;

/// Largest number of entries that an agent remembers beside its seeds.
const MAX_CONTACTS: usize = 16;

/// Largest number of further entries that receive heartbeats while no watcher
/// answers.
const MAX_FALLBACKS: usize = 3;

/// Multiple of the silence timeout after which an unresponsive entry is tried
/// again.
const RETRY_SILENCES: u32 = 10;

/// Watchers of an agent, and the entries that may replace them.
#[derive(Debug)]
pub struct Watchers {
    seeds: Vec<SocketAddr>,
    contacts: Vec<SocketAddr>,
    current: Vec<Watcher>,
    fallbacks: Vec<SocketAddr>,
    /// Entries that did not answer, and when each was found unresponsive.
    unresponsive: BTreeMap<SocketAddr, Duration>,
    suggestion: Option<Suggestion>,
    settings: Settings,
    last_change: Option<Duration>,
}

#[derive(Debug)]
struct Watcher {
    address: SocketAddr,
    /// Time of the last acknowledgement, or at which the entry became a watcher.
    last_answer: Duration,
    /// Number of the last heartbeat that it has acknowledged.
    sequence: Sequence,
    /// View digest in its last acknowledgement.
    digest: Option<Digest>,
}

/// Watchers that an entry suggested in an acknowledgement.
#[derive(Debug)]
struct Suggestion {
    from: SocketAddr,
    watchers: Vec<SocketAddr>,
}

impl Watchers {
    /// Creates watchers from some of the seeds, so that every announcement is
    /// watched from the start.
    #[must_use]
    pub fn new(settings: Settings, seeds: Vec<SocketAddr>, now: Duration, rng: &mut Rng) -> Self {
        let mut first = seeds.clone();
        rng.shuffle(&mut first);
        first.truncate(settings.watcher_count);
        let mut watchers = Self {
            seeds,
            contacts: Vec::new(),
            current: Vec::new(),
            fallbacks: Vec::new(),
            unresponsive: BTreeMap::new(),
            suggestion: None,
            settings,
            last_change: None,
        };
        watchers.set_watchers(now, &first);
        // The first acknowledgement may change the watchers at once.
        watchers.last_change = None;
        watchers
    }

    /// Adds seeds; returns whether no watcher has answered yet.
    pub fn add_seeds(&mut self, now: Duration, entries: &[SocketAddr], rng: &mut Rng) -> bool {
        for entry in entries {
            if !self.seeds.contains(entry) {
                self.seeds.push(*entry);
            }
        }
        if self.current.is_empty() {
            let mut first = self.seeds.clone();
            rng.shuffle(&mut first);
            first.truncate(self.settings.watcher_count);
            self.set_watchers(now, &first);
        }
        !self.current.iter().any(|held| held.digest.is_some())
    }

    /// Returns the addresses of the watchers.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.current.iter().map(|held| held.address).collect()
    }

    /// Returns the receivers of the next heartbeat.
    #[must_use]
    pub fn receivers(&self) -> Vec<SocketAddr> {
        let mut receivers = self.addresses();
        let fallbacks = self.fallbacks.iter().copied();
        receivers.extend(fallbacks.filter(|fallback| !self.is_current(*fallback)));
        receivers
    }

    /// Returns the view digest in the last acknowledgement of a watcher.
    #[must_use]
    pub fn acknowledged_digest(&self, watcher: SocketAddr) -> Option<Digest> {
        let mut current = self.current.iter();
        current.find(|held| held.address == watcher)?.digest
    }

    /// Returns whether most watchers have acknowledged this heartbeat or a
    /// later one.
    #[must_use]
    pub fn most_acknowledged(&self, sequence: Sequence) -> bool {
        let current = self.current.iter();
        let count = current.filter(|held| held.sequence >= sequence).count();
        2 * count > self.current.len()
    }

    /// Returns whether most watchers have answered at least once.
    #[must_use]
    pub fn most_answered(&self) -> bool {
        let answered = self.current.iter().filter(|held| held.digest.is_some());
        2 * answered.count() > self.current.len()
    }

    /// Marks the watchers that do not answer as unresponsive. If no watcher
    /// answers, chooses other entries that receive heartbeats too.
    pub fn check_answers(&mut self, now: Duration, rng: &mut Rng) {
        let silence = self.settings.silence_timeout;
        let retry_after = silence * RETRY_SILENCES;
        self.unresponsive
            .retain(|_, since| now.saturating_sub(*since) < retry_after);
        let mut is_answered = false;
        for held in &self.current {
            if now.saturating_sub(held.last_answer) > silence {
                self.unresponsive.entry(held.address).or_insert(now);
            } else {
                is_answered |= held.digest.is_some();
            }
        }
        self.fallbacks.clear();
        if is_answered {
            return;
        }
        let mut others: Vec<SocketAddr> = self.seeds.clone();
        others.extend(self.contacts.iter().filter(|one| !self.seeds.contains(one)));
        rng.shuffle(&mut others);
        others.sort_by_key(|other| self.unresponsive.contains_key(other));
        others.truncate(MAX_FALLBACKS);
        self.fallbacks = others;
    }

    /// Processes an acknowledgement. The watchers change to the suggested ones
    /// when two different entries in succession suggest the same, or when some
    /// watchers are missing or unresponsive. Returns the new and the former
    /// watchers if they change, since all of them need a heartbeat.
    pub fn acknowledge(&mut self, now: Duration, from: SocketAddr, ack: Ack) -> Vec<SocketAddr> {
        let count = self.settings.watcher_count;
        self.unresponsive.remove(&from);
        if let Some(held) = self.current.iter_mut().find(|held| held.address == from) {
            held.last_answer = now;
            held.sequence = held.sequence.max(ack.sequence);
            held.digest = Some(ack.digest);
        }
        self.add_contacts(&ack.watchers);
        let wanted = self.wanted(from, ack.watchers, count);
        if self.is_same(&wanted) {
            self.suggestion = None;
            return Vec::new();
        }
        let last = self.suggestion.take();
        let is_agreed = last.is_some_and(|last| last.from != from && last.watchers == wanted);
        let needs_change = self.current.len() < count.min(wanted.len())
            || self
                .addresses()
                .iter()
                .any(|held| self.unresponsive.contains_key(held));
        // Entries whose views differ must not make the agent switch back and
        // forth.
        let is_early = self
            .last_change
            .is_some_and(|changed| now < changed + self.settings.heartbeat_interval);
        if is_early || !(is_agreed || needs_change) {
            self.suggestion = Some(Suggestion {
                from,
                watchers: wanted,
            });
            return Vec::new();
        }
        self.set_watchers(now, &wanted)
    }

    /// Returns the suggested watchers without the unresponsive ones; the entry
    /// that suggested them is added if they are too few.
    fn wanted(
        &self,
        from: SocketAddr,
        mut suggested: Vec<SocketAddr>,
        count: usize,
    ) -> Vec<SocketAddr> {
        suggested.retain(|one| !self.unresponsive.contains_key(one));
        if suggested.len() < count && !suggested.contains(&from) {
            suggested.push(from);
        }
        suggested.truncate(count);
        suggested
    }

    fn set_watchers(&mut self, now: Duration, wanted: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut receivers = wanted.to_vec();
        let mut kept = Vec::new();
        for held in std::mem::take(&mut self.current) {
            if wanted.contains(&held.address) {
                kept.push(held);
            } else {
                receivers.push(held.address);
            }
        }
        for address in wanted.iter().copied() {
            if !kept.iter().any(|held| held.address == address) {
                kept.push(Watcher {
                    address,
                    last_answer: now,
                    sequence: 0,
                    digest: None,
                });
            }
        }
        self.current = kept;
        self.last_change = Some(now);
        self.fallbacks.clear();
        receivers
    }

    fn add_contacts(&mut self, entries: &[SocketAddr]) {
        for entry in entries {
            self.contacts.retain(|held| held != entry);
            self.contacts.insert(0, *entry);
        }
        self.contacts.truncate(MAX_CONTACTS);
    }

    fn is_current(&self, address: SocketAddr) -> bool {
        self.current.iter().any(|held| held.address == address)
    }

    fn is_same(&self, wanted: &[SocketAddr]) -> bool {
        wanted.len() == self.current.len() && wanted.iter().all(|one| self.is_current(*one))
    }
}
