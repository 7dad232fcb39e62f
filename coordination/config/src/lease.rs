//! Acquires one of several keys under a lease and keeps the lease renewed.
//!
//! A process that was paused cannot tell whether its lease is still valid. So
//! [`Lease`] counts the time to live from the moment at which a renewal was
//! sent, ends it a margin early, and returns a [`Lease::fence`] only before
//! that end. The fence is sent with each write and checked by the store, so that
//! a former holder cannot write even if it was paused after the local check.
//!
//! ```
//! use std::time::Duration;
//!
//! use config::Lease;
//! use config::Listing;
//! use config::lease::Answer;
//! use config::lease::Settings;
//!
//! let now = Duration::from_secs(1);
//! let mut lease = Lease::new(Settings::default(), "job/".into(), vec!["job/0".into()], 1);
//! lease.set_wanted(true);
//! let list = lease.tick(now).remove(0);
//! let grant = lease
//!     .on_answer(now, list.id, Answer::Listed(Ok(Listing::default())))
//!     .remove(0);
//! let acquire = lease
//!     .on_answer(now, grant.id, Answer::Granted(Ok("lease".into())))
//!     .remove(0);
//! lease.on_answer(now, acquire.id, Answer::Acquired(Ok(true)));
//! assert!(lease.fence(now).is_some());
//! // After a pause of one minute the holder may no longer write.
//! assert!(lease.fence(now + Duration::from_mins(1)).is_none());
//! ```
mod call;

use std::time::Duration;

use fastrand::Rng;
use limit::Backoff;
use limit::backoff;

use crate::Fault;
use crate::Listing;
use crate::jitter::jitter;

pub use call::Action;
pub use call::Answer;
pub use call::Call;
pub use call::CallId;
pub use call::Fence;

/// Settings of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time to live, counted from a renewal; the store requires at least 10 s.
    pub ttl: Duration,
    /// Time between renewals.
    pub renew_interval: Duration,
    /// Time before the lease's expiry at which the holder stops using it.
    pub margin: Duration,
    /// Maximum time between searches for a free key; jitter shortens it by up to
    /// half.
    pub search_interval: Duration,
    /// Backoff after failed calls.
    pub backoff: backoff::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(10),
            renew_interval: Duration::from_secs(3),
            margin: Duration::from_secs(1),
            search_interval: Duration::from_secs(10),
            backoff: backoff::Settings {
                base: Duration::from_millis(500),
                max: Duration::from_secs(3),
            },
        }
    }
}

/// State machine that acquires one of several keys and keeps it.
#[derive(Clone, Debug)]
pub struct Lease {
    settings: Settings,
    prefix: String,
    keys: Vec<String>,
    random: Rng,
    backoff: Backoff,
    wanted: bool,
    state: State,
    call_id: CallId,
}

#[derive(Clone, Debug)]
enum State {
    /// No key is held; the next search for a free key is at `due`.
    Idle { due: Duration },
    /// The list of held keys is in flight.
    Searching,
    /// The grant of a lease for a free key, sent at `sent`, is in flight.
    Granting { key: String, sent: Duration },
    /// The acquisition of the key under the lease is in flight.
    Acquiring(Held),
    /// The lease holds the key.
    Held(Held),
}

/// A key and its lease, with their deadlines.
#[derive(Clone, Debug)]
struct Held {
    fence: Fence,
    /// Time at which the holder must stop using the lease.
    valid_until: Duration,
    /// Time of the next renewal.
    renewal_due: Duration,
    /// Time at which the renewal in flight was sent.
    renewal_sent: Option<Duration>,
}

impl Lease {
    /// Creates a lease for one of `keys`, all of which begin with `prefix`. It
    /// acquires a key only while [wanted](Self::set_wanted); `seed` determines its
    /// random choices.
    #[must_use]
    pub fn new(settings: Settings, prefix: String, keys: Vec<String>, seed: u64) -> Self {
        Self {
            backoff: Backoff::new(settings.backoff, seed),
            settings,
            prefix,
            keys,
            random: Rng::with_seed(seed),
            wanted: false,
            state: State::Idle {
                due: Duration::ZERO,
            },
            call_id: 0,
        }
    }

    /// Sets whether to acquire a key. A key already held is kept either way.
    pub fn set_wanted(&mut self, wanted: bool) {
        self.wanted = wanted;
    }

    /// Returns the fence for a write at `now`, or `None` if no key is held or its
    /// lease may have expired.
    #[must_use]
    pub fn fence(&self, now: Duration) -> Option<&Fence> {
        match &self.state {
            State::Held(held) if now < held.valid_until => Some(&held.fence),
            _ => None,
        }
    }

    /// Returns `true` if a key is held and its lease cannot have expired at `now`.
    #[must_use]
    pub fn holds(&self, now: Duration) -> bool {
        self.fence(now).is_some()
    }

    /// Returns the time at which [`Self::tick`] is due.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        match &self.state {
            State::Idle { due } => self.wanted.then_some(*due),
            State::Searching | State::Granting { .. } => None,
            State::Acquiring(held) => Some(held.valid_until),
            State::Held(held) if held.renewal_sent.is_some() => Some(held.valid_until),
            State::Held(held) => Some(held.renewal_due.min(held.valid_until)),
        }
    }

    /// Returns the calls that are due.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        match &mut self.state {
            State::Idle { due } if self.wanted && now >= *due => {
                self.state = State::Searching;
                let prefix = self.prefix.clone();
                vec![self.start_call(Call::List { prefix })]
            }
            State::Acquiring(held) | State::Held(held) if now >= held.valid_until => {
                let lease = held.fence.lease.clone();
                self.set_idle(now);
                vec![self.start_call(Call::Revoke { lease })]
            }
            State::Held(held) if now >= held.renewal_due && held.renewal_sent.is_none() => {
                held.renewal_sent = Some(now);
                let lease = held.fence.lease.clone();
                vec![self.start_call(Call::Renew { lease })]
            }
            _ => Vec::new(),
        }
    }

    /// Releases the key and stops acquiring one.
    pub fn release(&mut self, now: Duration) -> Vec<Action> {
        self.wanted = false;
        match &self.state {
            State::Acquiring(held) | State::Held(held) => {
                let lease = held.fence.lease.clone();
                self.set_idle(now);
                vec![self.start_call(Call::Revoke { lease })]
            }
            _ => {
                self.set_idle(now);
                // Invalidates the call in flight, so that its answer is ignored.
                self.call_id += 1;
                Vec::new()
            }
        }
    }

    /// Handles the answer to call `id`; answers to earlier calls are ignored.
    pub fn on_answer(&mut self, now: Duration, id: CallId, answer: Answer) -> Vec<Action> {
        // Expiry and other due work take precedence over the answer.
        let actions = self.tick(now);
        if id != self.call_id || !actions.is_empty() {
            return actions;
        }
        match (self.state.clone(), answer) {
            (State::Searching, Answer::Listed(Ok(listing))) => self.on_listed(now, &listing),
            (State::Granting { key, sent }, Answer::Granted(Ok(lease))) => {
                self.on_granted(now, sent, Fence { key, lease })
            }
            (State::Acquiring(held), Answer::Acquired(Ok(true))) => {
                self.backoff.reset();
                self.state = State::Held(held);
                Vec::new()
            }
            (State::Acquiring(held), Answer::Acquired(_)) => {
                let pause = self.backoff.next_pause();
                self.set_idle(now + pause);
                let lease = held.fence.lease;
                vec![self.start_call(Call::Revoke { lease })]
            }
            (State::Held(held), Answer::Renewed(renewed)) => {
                self.on_renewed(now, held, renewed);
                Vec::new()
            }
            _ => {
                let pause = self.backoff.next_pause();
                self.set_idle(now + pause);
                Vec::new()
            }
        }
    }

    fn on_listed(&mut self, now: Duration, listing: &Listing) -> Vec<Action> {
        let is_held = |key: &&String| listing.items.iter().any(|item| item.key == **key);
        let free: Vec<&String> = self.keys.iter().filter(|key| !is_held(key)).collect();
        let Some(key) = self.random.choice(free) else {
            self.backoff.reset();
            let min_interval = self.settings.search_interval / 2;
            let due = now + min_interval + jitter(self.random.u64(..), min_interval);
            self.set_idle(due);
            return Vec::new();
        };
        self.state = State::Granting {
            key: key.clone(),
            sent: now,
        };
        let ttl = self.settings.ttl;
        vec![self.start_call(Call::Grant { ttl })]
    }

    fn on_granted(&mut self, now: Duration, sent: Duration, fence: Fence) -> Vec<Action> {
        if now >= self.valid_until(sent) {
            self.set_idle(now);
            let lease = fence.lease;
            return vec![self.start_call(Call::Revoke { lease })];
        }
        let acquire = Call::Acquire {
            key: fence.key.clone(),
            lease: fence.lease.clone(),
        };
        self.state = State::Acquiring(Held {
            fence,
            valid_until: self.valid_until(sent),
            renewal_due: now + self.settings.renew_interval,
            renewal_sent: None,
        });
        vec![self.start_call(acquire)]
    }

    fn on_renewed(&mut self, now: Duration, held: Held, renewed: Result<(), Fault>) {
        match (renewed, held.renewal_sent) {
            (Ok(()), Some(sent)) => {
                self.backoff.reset();
                self.state = State::Held(Held {
                    valid_until: self.valid_until(sent),
                    renewal_due: sent + self.settings.renew_interval,
                    renewal_sent: None,
                    ..held
                });
            }
            (Err(Fault::Expired), _) => self.set_idle(now),
            _ => {
                let renewal_due = now + self.backoff.next_pause();
                self.state = State::Held(Held {
                    renewal_due,
                    renewal_sent: None,
                    ..held
                });
            }
        }
    }

    /// Returns the time until which a lease granted or renewed at `sent` is used.
    fn valid_until(&self, sent: Duration) -> Duration {
        sent + self.settings.ttl.saturating_sub(self.settings.margin)
    }

    fn set_idle(&mut self, due: Duration) {
        self.state = State::Idle { due };
    }

    fn start_call(&mut self, call: Call) -> Action {
        self.call_id += 1;
        Action {
            id: self.call_id,
            call,
        }
    }
}
