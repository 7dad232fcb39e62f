//! Jittered exponential backoff for retransmissions and retries.
use std::time::Duration;

/// Exponential backoff with jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the first delay.
    pub first: Duration,
    /// Upper bound of every delay.
    pub limit: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(200),
            limit: Duration::from_secs(1),
        }
    }
}

impl Backoff {
    /// Returns the delay after transmission number `attempt`, counted from 0.
    ///
    /// The upper bound doubles with each transmission up to the limit; the delay
    /// is chosen at random between half of the upper bound and all of it.
    pub fn delay(&self, attempt: u32, random: &mut fastrand::Rng) -> Duration {
        let factor = 1_u32.checked_shl(attempt).unwrap_or(u32::MAX);
        let longest = self.first.saturating_mul(factor).min(self.limit);
        longest.mul_f64(0.5 + random.f64() / 2.0)
    }
}
