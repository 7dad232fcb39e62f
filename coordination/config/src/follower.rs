//! Follows one key of the platform's store, or one key and all others under a
//! prefix.
//!
//! A watch reports changes. After a failed call or an interrupted watch, which
//! may have missed a change, the key is read again. Watches are short because a
//! connection may stop delivering data without an error.
use std::time::Duration;

use limit::Backoff;
use limit::backoff;
use wire::Revision;

use crate::Fault;
use crate::KeyValue;
use crate::Listing;
use crate::era;
use crate::era::Era;

/// Settings of a follower of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum time that a watch waits for a change.
    pub wait: Duration,
    /// Backoff after failed calls.
    pub backoff: backoff::Settings,
    /// Time after a successful answer during which the value counts as confirmed;
    /// later it may have changed unnoticed.
    pub confirmation_ttl: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(2),
            backoff: backoff::Settings {
                base: Duration::from_millis(100),
                max: Duration::from_secs(1),
            },
            confirmation_ttl: Duration::from_millis(2_500),
        }
    }
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Answer to [`Action::Read`].
    Read(Result<Option<KeyValue>, Fault>),
    /// Answer to [`Action::List`].
    Listed(Result<Listing, Fault>),
    /// Answer to [`Action::Watch`].
    Watched(Result<Listing, Fault>),
}

/// The next call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the key.
    Read,
    /// List all keys under the prefix.
    List,
    /// Watch the key for changes after `since`.
    Watch {
        /// Index of the store after which a change ends the wait.
        since: Revision,
        /// Maximum time to wait.
        wait: Duration,
    },
}

/// Result of handling an event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// The key's value, if newer than the last one returned.
    pub value: Option<KeyValue>,
    /// All keys under the prefix, if a prefix is followed and its keys were listed.
    pub listing: Option<Listing>,
    /// Time to wait before the next call.
    pub pause: Duration,
    /// Set if the store became unreachable or reachable again.
    pub reachability: Option<Reachability>,
    /// New era of the store, if it was restored from an older copy. The value may
    /// then be older than one returned before.
    pub restored: Option<Era>,
}

/// A change of the store's reachability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Calls have started to fail, first with this fault.
    Lost(Fault),
    /// Calls succeed again.
    Regained,
}

/// State machine that follows one key, or the keys under a prefix.
#[derive(Debug)]
pub struct Follower {
    settings: Settings,
    scope: Scope,
    /// Whether the last list had keys, but not the followed one. An empty answer to
    /// a watch may then mean that all of them were deleted.
    lacked_key: bool,
    /// Revision of the newest value; 0 before the first value.
    newest: Revision,
    /// Era of the last answer that named one.
    era: Option<Era>,
    /// Index to watch from; `None` if the key must be read first.
    since: Option<Revision>,
    seed: u64,
    /// Backoff between calls; set while calls fail.
    backoff: Option<Backoff>,
    /// Time of the last successful answer.
    last_answer: Option<Duration>,
}

/// What is followed.
#[derive(Debug)]
enum Scope {
    /// One key, which is read.
    Key(String),
    /// All keys under a prefix, which are listed, and one of them in particular.
    Prefix { prefix: String, key: Option<String> },
}

impl Scope {
    fn key(&self) -> Option<&str> {
        match self {
            Self::Key(key) => Some(key),
            Self::Prefix { key, .. } => key.as_deref(),
        }
    }
}

impl Follower {
    /// Creates a follower of `key`; `seed` determines the backoff's jitter.
    #[must_use]
    pub fn new(settings: Settings, key: impl Into<String>, seed: u64) -> Self {
        Self {
            settings,
            scope: Scope::Key(key.into()),
            lacked_key: false,
            newest: 0,
            era: None,
            since: None,
            seed,
            backoff: None,
            last_answer: None,
        }
    }

    /// Follows all keys under `prefix` too, to which the key belongs.
    #[must_use]
    pub fn with_prefix(mut self, prefix: impl Into<String>) -> Self {
        self.scope = Scope::Prefix {
            prefix: prefix.into(),
            key: self.scope.key().map(str::to_owned),
        };
        self
    }

    /// Creates a follower of all keys under a prefix, none of which is ever deleted.
    #[must_use]
    pub fn of_prefix(settings: Settings, prefix: impl Into<String>, seed: u64) -> Self {
        let mut follower = Self::new(settings, "", seed);
        follower.scope = Scope::Prefix {
            prefix: prefix.into(),
            key: None,
        };
        follower
    }

    /// Returns the key to read, or the prefix to list, and to watch.
    #[must_use]
    pub fn path(&self) -> &str {
        match &self.scope {
            Scope::Key(path) | Scope::Prefix { prefix: path, .. } => path,
        }
    }

    /// Returns the next call to make.
    #[must_use]
    pub const fn next(&self) -> Action {
        match self.since {
            Some(since) => Action::Watch {
                since,
                wait: self.settings.wait,
            },
            None => match self.scope {
                Scope::Key(_) => Action::Read,
                Scope::Prefix { .. } => Action::List,
            },
        }
    }

    /// Returns `true` if the last successful answer is younger than
    /// [`Settings::confirmation_ttl`].
    #[must_use]
    pub fn is_confirmed(&self, now: Duration) -> bool {
        self.last_answer
            .is_some_and(|at| now < at + self.settings.confirmation_ttl)
    }

    /// Handles the answer to a call.
    pub fn handle(&mut self, now: Duration, event: Event) -> Outcome {
        match event {
            Event::Read(Ok(item)) => {
                let restored = self.observe(item.as_ref().map(|item| item.revision));
                // The read includes all earlier changes; the watch starts from its
                // revision and reports the later ones.
                self.since = item.as_ref().map(|item| item.revision);
                let pause = match item {
                    Some(_) => Duration::ZERO,
                    None => self.settings.backoff.base,
                };
                Outcome {
                    restored,
                    ..self.on_answer(now, item, pause)
                }
            }
            Event::Listed(Ok(listing)) => {
                let restored = self.observe(Some(listing.index));
                self.since = Some(listing.index);
                self.accept(now, listing, Duration::ZERO, restored)
            }
            Event::Watched(Ok(listing)) => {
                let restored = self.observe(Some(listing.index));
                // A listing that brings the watch no further must not be requested
                // again at once.
                let is_stuck = !listing.items.is_empty() && Some(listing.index) <= self.since;
                let pause = if is_stuck {
                    self.settings.backoff.base
                } else {
                    Duration::ZERO
                };
                self.since = self.since.max(Some(listing.index));
                if !listing.items.is_empty() {
                    return self.accept(now, listing, pause, restored);
                }
                // Either nothing has changed, or there are no keys any more.
                let is_list = matches!(self.scope, Scope::Prefix { .. });
                if is_list && (restored.is_some() || self.lacked_key) {
                    self.since = None;
                }
                Outcome {
                    restored,
                    ..self.on_answer(now, None, pause)
                }
            }
            Event::Read(Err(fault)) | Event::Listed(Err(fault)) | Event::Watched(Err(fault)) => {
                self.on_fault(fault)
            }
        }
    }

    /// Handles a complete list of the followed keys.
    fn accept(
        &mut self,
        now: Duration,
        listing: Listing,
        pause: Duration,
        restored: Option<Era>,
    ) -> Outcome {
        let key = self.scope.key();
        let mut items = listing.items.iter();
        let item = key.and_then(|key| items.find(|item| item.key == key));
        self.lacked_key = key.is_some() && item.is_none() && !listing.items.is_empty();
        let (item, is_list) = (item.cloned(), matches!(self.scope, Scope::Prefix { .. }));
        Outcome {
            restored,
            listing: is_list.then_some(listing),
            ..self.on_answer(now, item, pause)
        }
    }

    /// Records the era of an answer; returns it if the store was restored since
    /// the last answer.
    fn observe(&mut self, revision: Option<Revision>) -> Option<Era> {
        let era = era::of(revision?);
        let known = self.era.replace(era)?;
        (era > known).then_some(era)
    }

    fn on_answer(&mut self, now: Duration, item: Option<KeyValue>, pause: Duration) -> Outcome {
        self.last_answer = Some(now);
        let change = self.backoff.take().map(|_| Reachability::Regained);
        let value = item.filter(|item| item.revision > self.newest);
        if let Some(item) = &value {
            self.newest = item.revision;
        }
        Outcome {
            value,
            listing: None,
            pause,
            reachability: change,
            restored: None,
        }
    }

    fn on_fault(&mut self, fault: Fault) -> Outcome {
        self.since = None;
        let change = match self.backoff {
            None => Some(Reachability::Lost(fault)),
            Some(_) => None,
        };
        let (settings, seed) = (self.settings.backoff, self.seed);
        let backoff = self
            .backoff
            .get_or_insert_with(|| Backoff::new(settings, seed));
        Outcome {
            value: None,
            listing: None,
            pause: backoff.next_pause(),
            reachability: change,
            restored: None,
        }
    }
}
