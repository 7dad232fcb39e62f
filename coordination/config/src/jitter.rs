//! Random jitter, so that many processes do not act at the same time.
use std::time::Duration;

use fastrand::Rng;

/// Returns a random time from zero to `max`, determined by `seed`.
#[must_use]
pub fn jitter(seed: u64, max: Duration) -> Duration {
    max.mul_f64(Rng::with_seed(seed).f64())
}
