//! Rate limit in bytes per second.
use std::time::Duration;

/// Capacity of the bucket, in seconds of its rate.
const BURST_SECONDS: u64 = 10;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Token bucket in bytes. Urgent messages may overdraw it; bulk messages are
/// sent only while tokens are left.
#[derive(Debug)]
pub struct Budget {
    rate: u64,
    tokens: i64,
    last_refill: Duration,
}

impl Budget {
    /// Creates a full bucket that refills at `rate` bytes per second.
    #[must_use]
    pub fn new(rate: u32, now: Duration) -> Self {
        let rate = u64::from(rate);
        Self {
            rate,
            tokens: signed(rate * BURST_SECONDS),
            last_refill: now,
        }
    }

    /// Adds the tokens earned since the last call.
    pub fn refill(&mut self, now: Duration) {
        let elapsed = now
            .saturating_sub(self.last_refill)
            .min(Duration::from_secs(BURST_SECONDS));
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let earned = micros * self.rate / MICROS_PER_SECOND;
        if earned == 0 {
            return;
        }
        self.last_refill = now;
        self.tokens = (self.tokens + signed(earned)).min(signed(self.rate * BURST_SECONDS));
    }

    /// Withdraws the bytes of a message, below zero if need be.
    pub fn charge(&mut self, bytes: u64) {
        self.tokens -= signed(bytes);
    }

    /// Returns whether bulk messages may be sent.
    #[must_use]
    pub const fn allows_bulk(&self) -> bool {
        self.tokens > 0
    }
}

fn signed(bytes: u64) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
