//! Rate of events.
use std::time::Duration;

/// Minimum time constant; avoids a division by zero.
const MIN_SMOOTHING: Duration = Duration::from_millis(1);

/// Rate of events with exponential decay.
///
/// ```
/// use std::time::Duration;
/// use limit::Rate;
///
/// let second = Duration::from_secs(1);
/// let mut rate = Rate::new(second, Duration::ZERO);
/// rate.record(Duration::ZERO);
/// assert!(rate.per_second(second) < rate.per_second(Duration::ZERO));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    smoothing: Duration,
    /// Events a second as of `updated`.
    per_second: f64,
    updated: Duration,
}

impl Rate {
    /// Creates a rate without events, given the time constant of its decay.
    #[must_use]
    pub fn new(smoothing: Duration, now: Duration) -> Self {
        Self {
            smoothing: smoothing.max(MIN_SMOOTHING),
            per_second: 0.0,
            updated: now,
        }
    }

    /// Records an event.
    pub fn record(&mut self, now: Duration) {
        self.per_second = self.per_second(now) + 1.0 / self.smoothing.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    /// Returns the number of events a second.
    #[must_use]
    pub fn per_second(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.per_second * (-age / self.smoothing.as_secs_f64()).exp()
    }
}
