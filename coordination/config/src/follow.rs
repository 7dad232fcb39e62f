//! Follows one key of the platform's store.
//!
//! A watch tells of changes; whatever may have hidden one (a failed call, a cut
//! watch) is followed by a read. A watch is short, since a connection may go
//! silent without an error.
use std::time::Duration;

use limit::Backoff;
use limit::backoff;
use wire::Revision;

use crate::Fault;
use crate::Item;
use crate::Listing;

/// Limits of a [`Follow`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest time that a watch waits for a change.
    pub wait: Duration,
    /// The pauses after failures.
    pub backoff: backoff::Settings,
    /// Time since the last answer after which the value may have changed unseen.
    pub confirmed: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(2),
            backoff: backoff::Settings {
                base: Duration::from_millis(100),
                max: Duration::from_secs(1),
            },
            confirmed: Duration::from_millis(2_500),
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The read has ended.
    Read(Result<Option<Item>, Fault>),
    /// The watch has ended.
    Watched(Result<Listing, Fault>),
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the key.
    Read,
    /// Watch it for changes after `since`.
    Watch {
        /// Revision of the store.
        since: Revision,
        /// Longest time to wait.
        wait: Duration,
    },
}

/// What has come of an event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// The value, where it is newer than the last.
    pub value: Option<Item>,
    /// How long to pause before the next call.
    pub pause: Duration,
    /// Set where the store was lost or regained.
    pub change: Option<Change>,
}

/// A change of the store's reachability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It does not answer any more, for this reason.
    Lost(Fault),
    /// It answers again.
    Regained,
}

/// Follows one key.
#[derive(Debug)]
pub struct Follow {
    settings: Settings,
    key: String,
    /// Revision of the newest value; 0 before the first.
    newest: Revision,
    /// Revision to watch from, or `None` where a read comes first.
    since: Option<Revision>,
    seed: u64,
    /// Set while calls fail.
    failing: Option<Backoff>,
    answered: Option<Duration>,
}

impl Follow {
    /// Follows `key`; the seed decides the jitter.
    #[must_use]
    pub fn new(settings: Settings, key: impl Into<String>, seed: u64) -> Self {
        Self {
            settings,
            key: key.into(),
            newest: 0,
            since: None,
            seed,
            failing: None,
            answered: None,
        }
    }

    /// The key.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// The next call.
    #[must_use]
    pub const fn next(&self) -> Action {
        match self.since {
            Some(since) => Action::Watch {
                since,
                wait: self.settings.wait,
            },
            None => Action::Read,
        }
    }

    /// Whether the store confirmed the value lately.
    #[must_use]
    pub fn is_confirmed(&self, now: Duration) -> bool {
        self.answered
            .is_some_and(|at| now < at + self.settings.confirmed)
    }

    /// Takes what came of a call.
    pub fn handle(&mut self, now: Duration, event: Event) -> Outcome {
        match event {
            Event::Read(Ok(item)) => {
                // Changes before the read are in it, later ones come by the watch.
                self.since = item.as_ref().map(|item| item.revision);
                let pause = match item {
                    Some(_) => Duration::ZERO,
                    None => self.settings.backoff.base,
                };
                self.answer(now, item, pause)
            }
            Event::Watched(Ok(listing)) => {
                let item = listing.items.into_iter().find(|item| item.key == self.key);
                self.since = self.since.max(Some(listing.index));
                self.answer(now, item, Duration::ZERO)
            }
            Event::Read(Err(fault)) | Event::Watched(Err(fault)) => self.fail(fault),
        }
    }

    fn answer(&mut self, now: Duration, item: Option<Item>, pause: Duration) -> Outcome {
        self.answered = Some(now);
        let change = self.failing.take().map(|_| Change::Regained);
        let value = item.filter(|item| item.revision > self.newest);
        if let Some(item) = &value {
            self.newest = item.revision;
        }
        Outcome {
            value,
            pause,
            change,
        }
    }

    fn fail(&mut self, fault: Fault) -> Outcome {
        self.since = None;
        let change = match self.failing {
            None => Some(Change::Lost(fault)),
            Some(_) => None,
        };
        let (settings, seed) = (self.settings.backoff, self.seed);
        let failing = self
            .failing
            .get_or_insert_with(|| Backoff::new(settings, seed));
        Outcome {
            value: None,
            pause: failing.next_pause(),
            change,
        }
    }
}
