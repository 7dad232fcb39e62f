//! Limits how often something is done.
use std::time::Duration;

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Limit of a rate that allows bursts.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    interval: Duration,
    burst: u32,
    /// Time that it takes until the whole burst is available again.
    used: Duration,
    last: Duration,
}

impl RateLimit {
    /// Creates a limit of `rate` a second, of which `burst` can be used at once.
    pub const fn new(rate: u32, burst: u32) -> Self {
        Self {
            interval: Duration::from_nanos(NANOS_PER_SECOND / rate as u64),
            burst,
            used: Duration::ZERO,
            last: Duration::ZERO,
        }
    }

    /// Uses the rate once; returns false if it is used up.
    pub fn take(&mut self, now: Duration) -> bool {
        self.used = self.used.saturating_sub(now.saturating_sub(self.last));
        self.last = now;
        let has_room = self.used + self.interval <= self.interval * self.burst;
        if has_room {
            self.used += self.interval;
        }
        has_room
    }
}
