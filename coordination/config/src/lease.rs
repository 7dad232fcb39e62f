//! Holds one of a few keys by a lease.
//!
//! A holder that was paused cannot know whether its lease still holds, so
//! [`Lease`] counts the time to live from the moment at which a renewal was
//! sent, ends it a margin early, and answers [`Lease::fence`] only within. A
//! write carries the fence, which the store checks once more: a pause between
//! the two checks cannot let an old holder write.
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
//! lease.want(true);
//! let look = lease.tick(now).remove(0);
//! let grant = lease
//!     .on_answer(now, look.id, Answer::Looked(Ok(Listing::default())))
//!     .remove(0);
//! let acquire = lease
//!     .on_answer(now, grant.id, Answer::Granted(Ok("lease".into())))
//!     .remove(0);
//! lease.on_answer(now, acquire.id, Answer::Acquired(Ok(true)));
//! assert!(lease.fence(now).is_some());
//! // Paused for a minute, the holder may not write.
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
    /// Time to live, counted from a renewal; the store accepts 10 s and more.
    pub ttl: Duration,
    /// Time between renewals.
    pub renew: Duration,
    /// Time by which the holder stops before the lease ends.
    pub margin: Duration,
    /// Longest time between looks for a free key; jittered.
    pub look: Duration,
    /// Pauses after calls that failed.
    pub backoff: backoff::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(10),
            renew: Duration::from_secs(3),
            margin: Duration::from_secs(1),
            look: Duration::from_secs(10),
            backoff: backoff::Settings {
                base: Duration::from_millis(500),
                max: Duration::from_secs(3),
            },
        }
    }
}

/// Acquires one of a few keys and keeps it.
#[derive(Clone, Debug)]
pub struct Lease {
    settings: Settings,
    prefix: String,
    keys: Vec<String>,
    random: Rng,
    backoff: Backoff,
    wanted: bool,
    state: State,
    call: CallId,
}

#[derive(Clone, Debug)]
enum State {
    /// Looks again when `due`.
    Free {
        due: Duration,
    },
    Looking,
    Granting {
        key: String,
        sent: Duration,
    },
    Acquiring(Held),
    Held(Held),
}

#[derive(Clone, Debug)]
struct Held {
    fence: Fence,
    /// When the holder must stop.
    end: Duration,
    /// When the next renewal is due.
    due: Duration,
    /// When the renewal under way was sent.
    renewing: Option<Duration>,
}

impl Lease {
    /// Will hold one of `keys`, all of which begin with `prefix`, once it is
    /// [wanted](Self::want).
    #[must_use]
    pub fn new(settings: Settings, prefix: String, keys: Vec<String>, seed: u64) -> Self {
        Self {
            backoff: Backoff::new(settings.backoff, seed),
            settings,
            prefix,
            keys,
            random: Rng::with_seed(seed),
            wanted: false,
            state: State::Free {
                due: Duration::ZERO,
            },
            call: 0,
        }
    }

    /// Says whether a key is to be acquired. One that is held is kept.
    pub fn want(&mut self, wanted: bool) {
        self.wanted = wanted;
    }

    /// The fence for a write now, or `None` where no key is held for sure.
    #[must_use]
    pub fn fence(&self, now: Duration) -> Option<&Fence> {
        match &self.state {
            State::Held(held) if now < held.end => Some(&held.fence),
            _ => None,
        }
    }

    /// Whether a key is held for sure.
    #[must_use]
    pub fn holds(&self, now: Duration) -> bool {
        self.fence(now).is_some()
    }

    /// When [`Self::tick`] has something to do.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        match &self.state {
            State::Free { due } => self.wanted.then_some(*due),
            State::Looking | State::Granting { .. } => None,
            State::Acquiring(held) => Some(held.end),
            State::Held(held) if held.renewing.is_some() => Some(held.end),
            State::Held(held) => Some(held.due.min(held.end)),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        match &mut self.state {
            State::Free { due } if self.wanted && now >= *due => {
                self.state = State::Looking;
                let prefix = self.prefix.clone();
                vec![self.call(Call::Look { prefix })]
            }
            State::Acquiring(held) | State::Held(held) if now >= held.end => {
                let lease = held.fence.lease.clone();
                self.free(now);
                vec![self.call(Call::Revoke { lease })]
            }
            State::Held(held) if now >= held.due && held.renewing.is_none() => {
                held.renewing = Some(now);
                let lease = held.fence.lease.clone();
                vec![self.call(Call::KeepAlive { lease })]
            }
            _ => Vec::new(),
        }
    }

    /// Gives up the key.
    pub fn release(&mut self, now: Duration) -> Vec<Action> {
        self.wanted = false;
        match &self.state {
            State::Acquiring(held) | State::Held(held) => {
                let lease = held.fence.lease.clone();
                self.free(now);
                vec![self.call(Call::Revoke { lease })]
            }
            _ => {
                self.free(now);
                // An answer under way is of no interest any more.
                self.call += 1;
                Vec::new()
            }
        }
    }

    /// Takes the answer to call `id`.
    pub fn on_answer(&mut self, now: Duration, id: CallId, answer: Answer) -> Vec<Action> {
        // What has lapsed meanwhile goes first.
        let actions = self.tick(now);
        if id != self.call || !actions.is_empty() {
            return actions;
        }
        match (self.state.clone(), answer) {
            (State::Looking, Answer::Looked(Ok(listing))) => self.looked(now, &listing),
            (State::Granting { key, sent }, Answer::Granted(Ok(lease))) => {
                self.granted(now, sent, Fence { key, lease })
            }
            (State::Acquiring(held), Answer::Acquired(Ok(true))) => {
                self.backoff.reset();
                self.state = State::Held(held);
                Vec::new()
            }
            (State::Acquiring(held), Answer::Acquired(_)) => {
                let pause = self.backoff.next_pause();
                self.free(now + pause);
                let lease = held.fence.lease;
                vec![self.call(Call::Revoke { lease })]
            }
            (State::Held(held), Answer::Kept(kept)) => {
                self.kept(now, held, kept);
                Vec::new()
            }
            _ => {
                let pause = self.backoff.next_pause();
                self.free(now + pause);
                Vec::new()
            }
        }
    }

    fn looked(&mut self, now: Duration, listing: &Listing) -> Vec<Action> {
        let taken = |key: &&String| listing.items.iter().any(|item| item.key == **key);
        let free: Vec<&String> = self.keys.iter().filter(|key| !taken(key)).collect();
        let Some(key) = self.random.choice(free) else {
            self.backoff.reset();
            let pause = self.settings.look / 2;
            let due = now + pause + jitter(self.random.u64(..), pause);
            self.free(due);
            return Vec::new();
        };
        self.state = State::Granting {
            key: key.clone(),
            sent: now,
        };
        let ttl = self.settings.ttl;
        vec![self.call(Call::Grant { ttl })]
    }

    fn granted(&mut self, now: Duration, sent: Duration, fence: Fence) -> Vec<Action> {
        if now >= self.end(sent) {
            self.free(now);
            let lease = fence.lease;
            return vec![self.call(Call::Revoke { lease })];
        }
        let acquire = Call::Acquire {
            key: fence.key.clone(),
            lease: fence.lease.clone(),
        };
        self.state = State::Acquiring(Held {
            fence,
            end: self.end(sent),
            due: now + self.settings.renew,
            renewing: None,
        });
        vec![self.call(acquire)]
    }

    fn kept(&mut self, now: Duration, held: Held, kept: Result<(), Fault>) {
        match (kept, held.renewing) {
            (Ok(()), Some(sent)) => {
                self.backoff.reset();
                self.state = State::Held(Held {
                    end: self.end(sent),
                    due: sent + self.settings.renew,
                    renewing: None,
                    ..held
                });
            }
            (Err(Fault::Lapsed), _) => self.free(now),
            _ => {
                let due = now + self.backoff.next_pause();
                self.state = State::Held(Held {
                    due,
                    renewing: None,
                    ..held
                });
            }
        }
    }

    fn end(&self, sent: Duration) -> Duration {
        sent + self.settings.ttl.saturating_sub(self.settings.margin)
    }

    fn free(&mut self, due: Duration) {
        self.state = State::Free { due };
    }

    fn call(&mut self, call: Call) -> Action {
        self.call += 1;
        Action {
            id: self.call,
            call,
        }
    }
}
