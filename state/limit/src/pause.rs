//! Pauses and slow start of a backend server that sheds or fails jobs.
//!
//! After a pause the limit is a single slot. Each time as many jobs as the
//! limit have succeeded, the limit grows by one slot (slow start).
use std::time::Duration;

use crate::Backoff;
use crate::backoff;

/// Parameters of a [`Pause`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum pause that a backend server can request.
    pub max: Duration,
    /// Number of consecutive failures that starts a pause.
    pub failures: u32,
    /// Pauses after failures, and after sheds without a requested pause.
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

/// The limit on a backend server's usable slots: zero during a pause, otherwise
/// from one up to all.
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
    /// Creates the limit of a cold backend server: a single slot.
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

    /// Returns the number of slots that may be used now; zero during a pause.
    #[must_use]
    pub fn limit(&self, now: Duration) -> u16 {
        if now < self.until { 0 } else { self.limit }
    }

    /// Returns the number of slots that may be used once the pause is over.
    #[must_use]
    pub fn limit_after_pause(&self) -> u16 {
        self.limit
    }

    /// Returns the remaining time of the pause; zero outside a pause.
    #[must_use]
    pub fn remaining(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }

    /// Returns the end of the current pause, if any.
    #[must_use]
    pub fn end(&self, now: Duration) -> Option<Duration> {
        (now < self.until).then_some(self.until)
    }

    /// Counts a success, which may add a slot.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.backoff.reset();
        self.successes = self.successes.saturating_add(1);
        if self.successes >= self.limit && self.limit < self.slots {
            self.limit += 1;
            self.successes = 0;
        }
    }

    /// Counts a failure; [`Settings::failures`] in a row start a pause.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures += 1;
        if self.failures >= self.settings.failures {
            self.failures = 0;
            let pause = self.backoff.next_pause();
            self.start_pause(now, pause);
        }
    }

    /// Starts the pause that the backend server requested, up to
    /// [`Settings::max`], or a pause of the backoff if it requested none.
    pub fn record_shed(&mut self, now: Duration, requested: Duration) {
        let pause = match requested {
            Duration::ZERO => self.backoff.next_pause(),
            _ => requested.min(self.settings.max),
        };
        self.start_pause(now, pause);
    }

    fn start_pause(&mut self, now: Duration, pause: Duration) {
        self.until = self.until.max(now + pause);
        self.limit = 1;
        self.successes = 0;
    }
}
