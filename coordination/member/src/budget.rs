//! Paces what is sent to a number of bytes a second.
use std::time::Duration;

/// Seconds of the rate that may be saved up.
const BURST: u64 = 2;

const MICROS: u64 = 1_000_000;

/// A token bucket in bytes. Urgent messages may overdraw it; bulk waits.
#[derive(Debug)]
pub struct Budget {
    rate: u64,
    tokens: i64,
    refilled: Duration,
}

impl Budget {
    /// Allows `rate` bytes a second.
    #[must_use]
    pub fn new(rate: u32, now: Duration) -> Self {
        let rate = u64::from(rate);
        Self {
            rate,
            tokens: signed(rate * BURST),
            refilled: now,
        }
    }

    /// Adds what has become available since the last call.
    pub fn refill(&mut self, now: Duration) {
        let elapsed = now
            .saturating_sub(self.refilled)
            .min(Duration::from_secs(BURST));
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let earned = micros * self.rate / MICROS;
        if earned == 0 {
            return;
        }
        self.refilled = now;
        self.tokens = (self.tokens + signed(earned)).min(signed(self.rate * BURST));
    }

    /// Takes the bytes of a message that is sent in any case.
    pub fn charge(&mut self, bytes: u64) {
        self.tokens -= signed(bytes);
    }

    /// True while bulk may be sent.
    #[must_use]
    pub const fn allows_bulk(&self) -> bool {
        self.tokens > 0
    }
}

fn signed(bytes: u64) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
