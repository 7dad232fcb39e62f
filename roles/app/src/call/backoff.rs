//! Jittered exponential backoff between repeats.
use std::time::Duration;

/// Jittered exponential backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Longest delay before the first repeat.
    pub first: Duration,
    /// Longest delay before any repeat.
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
    /// Delay after transmission `attempt` (from 0): doubled each time up to the
    /// limit, of which a random half is taken off.
    pub fn delay(&self, attempt: u32, random: &mut fastrand::Rng) -> Duration {
        let factor = 1_u32.checked_shl(attempt).unwrap_or(u32::MAX);
        let longest = self.first.saturating_mul(factor).min(self.limit);
        longest.mul_f64(0.5 + random.f64() / 2.0)
    }
}
