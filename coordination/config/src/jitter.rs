//! Random spreading of times, so that many processes do not act together.
use std::time::Duration;

use fastrand::Rng;

/// A time from zero to `max`, drawn from `seed`.
#[must_use]
pub fn jitter(seed: u64, max: Duration) -> Duration {
    max.mul_f64(Rng::with_seed(seed).f64())
}
