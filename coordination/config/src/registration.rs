//! Keeps a process registered in the platform's store and discovers its peers.
//!
//! A key held under a lease registers the process. The store may lose the key
//! although the lease can still be renewed, so the registered keys are listed
//! periodically; the same list names the peers.
use std::time::Duration;

use limit::Backoff;
use limit::backoff;

use crate::Fault;
use crate::LeaseId;
use crate::Listing;
use crate::jitter::jitter;

/// Settings of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time to live of the lease, and so the time that a key outlives its
    /// process.
    pub ttl: Duration,
    /// Time between lists of the registered keys.
    pub list_interval: Duration,
    /// Backoff after failed calls.
    pub backoff: backoff::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(30),
            list_interval: Duration::from_secs(2),
            backoff: backoff::Settings {
                base: Duration::from_millis(200),
                max: Duration::from_secs(1),
            },
        }
    }
}

/// Longest random delay of the registration after a restore of the store, so that
/// processes do not all register at once.
const RESTORE_SPREAD: Duration = Duration::from_secs(1);

/// Number of renewals within a lease's time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// The next call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// List the registered keys.
    List,
    /// Grant a lease with this time to live.
    Grant(Duration),
    /// Acquire the key under the lease.
    Acquire(LeaseId),
    /// Renew the lease.
    Renew(LeaseId),
    /// Make no call for this time.
    Sleep(Duration),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Answer to [`Action::List`].
    Listed(Result<Listing, Fault>),
    /// Answer to [`Action::Grant`].
    Granted(Result<LeaseId, Fault>),
    /// Answer to [`Action::Acquire`]: whether the lease holds the key.
    Acquired(Result<bool, Fault>),
    /// Answer to [`Action::Renew`].
    Renewed(Result<(), Fault>),
}

/// State machine that keeps a process registered.
#[derive(Debug)]
pub struct Registration {
    settings: Settings,
    key: String,
    lease: Option<LeaseId>,
    /// Whether the lease holds the key, as far as is known.
    is_registered: bool,
    last_renewal: Duration,
    next_list: Duration,
    paused_until: Duration,
    seed: u64,
    /// Backoff between calls; set while calls fail.
    backoff: Option<Backoff>,
}

impl Registration {
    /// Creates the state machine that registers a process under `key`; `seed`
    /// determines the backoff's jitter.
    #[must_use]
    pub fn new(settings: Settings, key: impl Into<String>, seed: u64, now: Duration) -> Self {
        Self {
            settings,
            key: key.into(),
            lease: None,
            is_registered: false,
            last_renewal: now,
            next_list: now,
            paused_until: now,
            seed,
            backoff: None,
        }
    }

    /// Returns the key that registers the process.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the next call to make.
    #[must_use]
    pub fn next(&self, now: Duration) -> Action {
        let renewal = self.last_renewal + self.settings.ttl / RENEWALS_PER_TTL;
        match &self.lease {
            _ if now < self.paused_until => Action::Sleep(self.paused_until.saturating_sub(now)),
            _ if now >= self.next_list => Action::List,
            None => Action::Grant(self.settings.ttl),
            Some(lease) if !self.is_registered => Action::Acquire(lease.clone()),
            Some(lease) if now >= renewal => Action::Renew(lease.clone()),
            Some(_) => Action::Sleep(self.next_list.min(renewal).saturating_sub(now)),
        }
    }

    /// Registers anew after the store was restored from an older copy, in which
    /// the lease and the key may be missing.
    pub fn on_restored(&mut self, now: Duration) {
        self.lease = None;
        self.is_registered = false;
        self.backoff = None;
        self.paused_until = now + jitter(self.seed, RESTORE_SPREAD);
    }

    /// Handles the answer to a call; returns the registered keys after a list,
    /// otherwise nothing.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<String> {
        let result = match event {
            Event::Listed(listed) => return self.on_listed(now, listed),
            Event::Granted(granted) => granted.map(|lease| {
                self.lease = Some(lease);
                self.is_registered = false;
                self.last_renewal = now;
            }),
            Event::Acquired(acquired) => {
                acquired.map(|is_registered| self.is_registered = is_registered)
            }
            Event::Renewed(renewed) => renewed.map(|()| self.last_renewal = now),
        };
        self.on_result(now, result);
        Vec::new()
    }

    fn on_listed(&mut self, now: Duration, listed: Result<Listing, Fault>) -> Vec<String> {
        let result = listed.map(|listing| {
            self.next_list = now + self.settings.list_interval;
            let keys: Vec<String> = listing.items.into_iter().map(|item| item.key).collect();
            self.is_registered &= keys.contains(&self.key);
            keys
        });
        match result {
            Ok(keys) => {
                self.backoff = None;
                keys
            }
            Err(fault) => {
                self.on_result(now, Err(fault));
                Vec::new()
            }
        }
    }

    /// Updates the lease and the backoff after a call.
    fn on_result(&mut self, now: Duration, result: Result<(), Fault>) {
        match result {
            Ok(()) => self.backoff = None,
            Err(Fault::Expired) => self.lease = None,
            Err(_) => {
                let (settings, seed) = (self.settings.backoff, self.seed);
                let backoff = self
                    .backoff
                    .get_or_insert_with(|| Backoff::new(settings, seed));
                self.paused_until = now + backoff.next_pause();
            }
        }
    }
}
