//! Keeps work from a backend server that sheds or fails, and tries it again
//! gently.
//!
//! A pause ends with a single slot; each run of successes as long as the limit
//! adds another (slow start).
use std::time::Duration;

use crate::Backoff;
use crate::backoff;

/// Limits of a [`Pause`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest pause that a backend server can ask for.
    pub max: Duration,
    /// Consecutive failures that start a pause.
    pub failures: u32,
    /// Pauses after failures.
    pub backoff: backoff::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max: Duration::from_secs(5),
            failures: 3,
            backoff: backoff::Settings {
                base: Duration::from_millis(500),
                max: Duration::from_secs(5),
            },
        }
    }
}

/// The number of slots in use, from one up to all.
#[derive(Debug)]
pub struct Pause {
    settings: Settings,
    slots: u16,
    limit: u16,
    successes: u16,
    failures: u32,
    until: Duration,
    backoff: Backoff,
}

impl Pause {
    /// Starts cold, with a single slot.
    #[must_use]
    pub fn new(settings: Settings, slots: u16, seed: u64) -> Self {
        Self {
            settings,
            slots,
            limit: 1,
            successes: 0,
            failures: 0,
            until: Duration::ZERO,
            backoff: Backoff::new(settings.backoff, seed),
        }
    }

    /// Slots that may be used now; none during a pause.
    #[must_use]
    pub fn limit(&self, now: Duration) -> u16 {
        if now < self.until { 0 } else { self.limit }
    }

    /// Slots that are used once the pause is over.
    #[must_use]
    pub fn next_limit(&self) -> u16 {
        self.limit
    }

    /// What is left of the pause.
    #[must_use]
    pub fn rest(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }

    /// End of the pause, if one is on.
    #[must_use]
    pub fn end(&self, now: Duration) -> Option<Duration> {
        (now < self.until).then_some(self.until)
    }

    /// Counts a success.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.backoff.reset();
        self.successes += 1;
        if self.successes >= self.limit && self.limit < self.slots {
            self.limit += 1;
            self.successes = 0;
        }
    }

    /// Counts a failure; several in a row start a pause.
    pub fn fail(&mut self, now: Duration) {
        self.failures += 1;
        if self.failures >= self.settings.failures {
            self.failures = 0;
            let pause = self.backoff.next_pause();
            self.start(now, pause);
        }
    }

    /// Starts the pause that the backend server asked for, within the limit;
    /// at least the pause after failures where it asked for none.
    pub fn shed(&mut self, now: Duration, asked: Duration) {
        let pause = match asked {
            Duration::ZERO => self.backoff.next_pause(),
            _ => asked.min(self.settings.max),
        };
        self.start(now, pause);
    }

    fn start(&mut self, now: Duration, pause: Duration) {
        self.until = self.until.max(now + pause);
        self.limit = 1;
        self.successes = 0;
    }
}
