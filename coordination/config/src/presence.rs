//! Keeps a process listed in the platform's store, and finds the others.
//!
//! A key under a lease lists the process. Keys may vanish while their lease
//! looks intact, so the list is read now and then, which also tells of others.
use std::time::Duration;

use limit::Backoff;
use limit::backoff;

use crate::Fault;
use crate::LeaseId;
use crate::Listing;

/// Limits of a [`Presence`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time that a key outlives its process.
    pub ttl: Duration,
    /// Time between two readings of the list.
    pub check: Duration,
    /// The pauses after failures.
    pub backoff: backoff::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(30),
            check: Duration::from_secs(2),
            backoff: backoff::Settings {
                base: Duration::from_millis(200),
                max: Duration::from_secs(1),
            },
        }
    }
}

/// Renewals within the time of a lease.
const RENEWALS: u32 = 3;

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the list.
    List,
    /// Start a lease.
    Grant(Duration),
    /// Write the key under the lease.
    Acquire(LeaseId),
    /// Renew the lease.
    Renew(LeaseId),
    /// Do nothing for this time.
    Sleep(Duration),
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The list was read.
    Listed(Result<Listing, Fault>),
    /// A lease was started.
    Granted(Result<LeaseId, Fault>),
    /// The key was written.
    Acquired(Result<bool, Fault>),
    /// The lease was renewed.
    Renewed(Result<(), Fault>),
}

/// Keeps a process listed.
#[derive(Debug)]
pub struct Presence {
    settings: Settings,
    key: String,
    lease: Option<LeaseId>,
    is_listed: bool,
    renewed: Duration,
    next_check: Duration,
    paused_until: Duration,
    seed: u64,
    /// Set while calls fail.
    failing: Option<Backoff>,
}

impl Presence {
    /// Lists the process under `key`; the seed decides the jitter.
    #[must_use]
    pub fn new(settings: Settings, key: impl Into<String>, seed: u64, now: Duration) -> Self {
        Self {
            settings,
            key: key.into(),
            lease: None,
            is_listed: false,
            renewed: now,
            next_check: now,
            paused_until: now,
            seed,
            failing: None,
        }
    }

    /// The key that lists the process.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// The next call.
    #[must_use]
    pub fn next(&self, now: Duration) -> Action {
        let renewal = self.renewed + self.settings.ttl / RENEWALS;
        match &self.lease {
            _ if now < self.paused_until => Action::Sleep(self.paused_until.saturating_sub(now)),
            _ if now >= self.next_check => Action::List,
            None => Action::Grant(self.settings.ttl),
            Some(lease) if !self.is_listed => Action::Acquire(lease.clone()),
            Some(lease) if now >= renewal => Action::Renew(lease.clone()),
            Some(_) => Action::Sleep(self.next_check.min(renewal).saturating_sub(now)),
        }
    }

    /// Takes what came of a call; the listed keys after a reading.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<String> {
        let result = match event {
            Event::Listed(listed) => return self.listed(now, listed),
            Event::Granted(granted) => granted.map(|lease| {
                self.lease = Some(lease);
                self.is_listed = false;
                self.renewed = now;
            }),
            Event::Acquired(acquired) => acquired.map(|is_listed| self.is_listed = is_listed),
            Event::Renewed(renewed) => renewed.map(|()| self.renewed = now),
        };
        self.settle(now, result);
        Vec::new()
    }

    fn listed(&mut self, now: Duration, listed: Result<Listing, Fault>) -> Vec<String> {
        let result = listed.map(|listing| {
            self.next_check = now + self.settings.check;
            let keys: Vec<String> = listing.items.into_iter().map(|item| item.key).collect();
            self.is_listed &= keys.contains(&self.key);
            keys
        });
        match result {
            Ok(keys) => {
                self.failing = None;
                keys
            }
            Err(fault) => {
                self.settle(now, Err(fault));
                Vec::new()
            }
        }
    }

    fn settle(&mut self, now: Duration, result: Result<(), Fault>) {
        match result {
            Ok(()) => self.failing = None,
            Err(Fault::Lapsed) => self.lease = None,
            Err(_) => {
                let (settings, seed) = (self.settings.backoff, self.seed);
                let failing = self
                    .failing
                    .get_or_insert_with(|| Backoff::new(settings, seed));
                self.paused_until = now + failing.next_pause();
            }
        }
    }
}
