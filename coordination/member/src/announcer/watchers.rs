//! The entries that watch an agent, and what replaces those that do not answer.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;

use crate::Settings;
use crate::digest::Digest;
use crate::message::Ack;
use crate::message::Sequence;

/// Entries that an agent remembers, beside its seeds.
const MAX_CONTACTS: usize = 16;

/// Entries that are asked at a time where no watcher answers.
const ASKED_CONTACTS: usize = 3;

/// Silences after which an entry that did not answer is tried again.
const FORGIVE_SILENCES: u32 = 10;

/// The watchers of an agent.
#[derive(Debug)]
pub struct Watchers {
    seeds: Vec<SocketAddr>,
    contacts: Vec<SocketAddr>,
    current: Vec<Watcher>,
    asked: Vec<SocketAddr>,
    mute: BTreeMap<SocketAddr, Duration>,
    suggestion: Option<Suggestion>,
    settings: Settings,
    changed: Option<Duration>,
}

#[derive(Debug)]
struct Watcher {
    address: SocketAddr,
    answered: Duration,
    sequence: Sequence,
    digest: Option<Digest>,
}

/// The watchers that an entry would choose.
#[derive(Debug)]
struct Suggestion {
    from: SocketAddr,
    watchers: Vec<SocketAddr>,
}

impl Watchers {
    /// Begins with some of the seeds as watchers, so that no announcement goes
    /// unwatched.
    #[must_use]
    pub fn new(settings: Settings, seeds: Vec<SocketAddr>, now: Duration, rng: &mut Rng) -> Self {
        let mut first = seeds.clone();
        rng.shuffle(&mut first);
        first.truncate(settings.watchers);
        let mut watchers = Self {
            seeds,
            contacts: Vec::new(),
            current: Vec::new(),
            asked: Vec::new(),
            mute: BTreeMap::new(),
            suggestion: None,
            settings,
            changed: None,
        };
        watchers.adopt(now, &first);
        // The first answer may change the watchers at once.
        watchers.changed = None;
        watchers
    }

    /// Takes further seeds; true where no watcher has answered yet.
    pub fn know(&mut self, now: Duration, entries: &[SocketAddr], rng: &mut Rng) -> bool {
        for entry in entries {
            if !self.seeds.contains(entry) {
                self.seeds.push(*entry);
            }
        }
        if self.current.is_empty() {
            let mut first = self.seeds.clone();
            rng.shuffle(&mut first);
            first.truncate(self.settings.watchers);
            self.adopt(now, &first);
        }
        !self.current.iter().any(|held| held.digest.is_some())
    }

    /// The watchers.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.current.iter().map(|held| held.address).collect()
    }

    /// Where the next heartbeat goes.
    #[must_use]
    pub fn receivers(&self) -> Vec<SocketAddr> {
        let mut receivers = self.addresses();
        let asked = self.asked.iter().copied();
        receivers.extend(asked.filter(|asked| !self.is_current(*asked)));
        receivers
    }

    /// Digest of the view that a watcher acknowledged last.
    #[must_use]
    pub fn acknowledged_digest(&self, watcher: SocketAddr) -> Option<Digest> {
        let mut current = self.current.iter();
        current.find(|held| held.address == watcher)?.digest
    }

    /// True where most watchers have acknowledged this heartbeat or a later one.
    #[must_use]
    pub fn most_acknowledged(&self, sequence: Sequence) -> bool {
        let current = self.current.iter();
        let count = current.filter(|held| held.sequence >= sequence).count();
        2 * count > self.current.len()
    }

    /// True where most watchers have answered at least once.
    #[must_use]
    pub fn most_answered(&self) -> bool {
        let answered = self.current.iter().filter(|held| held.digest.is_some());
        2 * answered.count() > self.current.len()
    }

    /// Notes who does not answer, and chooses other entries to ask.
    pub fn check(&mut self, now: Duration, rng: &mut Rng) {
        let silence = self.settings.silence;
        let forgive = silence * FORGIVE_SILENCES;
        self.mute
            .retain(|_, since| now.saturating_sub(*since) < forgive);
        let mut is_answered = false;
        for held in &self.current {
            if now.saturating_sub(held.answered) > silence {
                self.mute.entry(held.address).or_insert(now);
            } else {
                is_answered |= held.digest.is_some();
            }
        }
        self.asked.clear();
        if is_answered {
            return;
        }
        let mut others: Vec<SocketAddr> = self.seeds.clone();
        others.extend(self.contacts.iter().filter(|one| !self.seeds.contains(one)));
        rng.shuffle(&mut others);
        others.sort_by_key(|other| self.mute.contains_key(other));
        others.truncate(ASKED_CONTACTS);
        self.asked = others;
    }

    /// Takes an acknowledgement. Where the watchers change, returns whom to
    /// tell: the new ones and the former ones.
    pub fn acknowledge(&mut self, now: Duration, from: SocketAddr, ack: Ack) -> Vec<SocketAddr> {
        let count = self.settings.watchers;
        self.mute.remove(&from);
        if let Some(held) = self.current.iter_mut().find(|held| held.address == from) {
            held.answered = now;
            held.sequence = held.sequence.max(ack.sequence);
            held.digest = Some(ack.digest);
        }
        self.remember(&ack.watchers);
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
                .any(|held| self.mute.contains_key(held));
        // Entries whose views differ must not make the agent change to and fro.
        let is_early = self
            .changed
            .is_some_and(|changed| now < changed + self.settings.heartbeat);
        if is_early || !(is_agreed || needs_change) {
            self.suggestion = Some(Suggestion {
                from,
                watchers: wanted,
            });
            return Vec::new();
        }
        self.adopt(now, &wanted)
    }

    /// The suggested watchers, without those that do not answer.
    fn wanted(
        &self,
        from: SocketAddr,
        mut suggested: Vec<SocketAddr>,
        count: usize,
    ) -> Vec<SocketAddr> {
        suggested.retain(|one| !self.mute.contains_key(one));
        if suggested.len() < count && !suggested.contains(&from) {
            suggested.push(from);
        }
        suggested.truncate(count);
        suggested
    }

    fn adopt(&mut self, now: Duration, wanted: &[SocketAddr]) -> Vec<SocketAddr> {
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
                    answered: now,
                    sequence: 0,
                    digest: None,
                });
            }
        }
        self.current = kept;
        self.changed = Some(now);
        self.asked.clear();
        receivers
    }

    fn remember(&mut self, entries: &[SocketAddr]) {
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
