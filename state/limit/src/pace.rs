//! Estimates the service time of a backend server for comparisons with others.
//!
//! A few requests take many times as long as most. A mean over so few requests
//! that it follows a change of speed moves by a third with each of them, which is
//! more than servers differ. Here a long request counts only as far as the limit
//! that the estimate sets for the next one.
use std::time::Duration;

/// Number of requests in the mean. At 45 requests a second, such as two slots half
/// used by requests of 20 ms, 94% of a change shows within 2 s.
const MEAN_REQUESTS: f64 = 32.0;

/// Limit of a service time, as a multiple of the estimate. Lets a server that becomes
/// three times slower show at once.
const LIMIT_RATIO: f64 = 3.0;

/// Mean service time in which single long requests count little.
///
/// ```
/// use std::time::Duration;
/// use limit::Pace;
///
/// let mut pace = Pace::new(Duration::from_millis(20));
/// for _ in 0..100 {
///     pace.add(Duration::from_millis(10));
/// }
/// pace.add(Duration::from_millis(500));
/// assert!(pace.mean() < Duration::from_millis(11));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    mean: f64,
    requests: f64,
}

impl Pace {
    /// Creates an estimate with an assumed service time, which counts as one
    /// request.
    #[must_use]
    pub fn new(assumed: Duration) -> Self {
        Self {
            mean: assumed.as_secs_f64(),
            requests: 1.0,
        }
    }

    /// Adds the service time of a request.
    pub fn add(&mut self, time: Duration) {
        let time = time.as_secs_f64().min(self.mean * LIMIT_RATIO);
        self.requests = MEAN_REQUESTS.min(self.requests + 1.0);
        self.mean += (time - self.mean) / self.requests;
    }

    /// Returns the mean service time.
    #[must_use]
    pub fn mean(self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }
}
