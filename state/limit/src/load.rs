//! Estimates the load that the held flows put on a backend server.
use std::time::Duration;

/// Limits of a [`Load`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time over which the request rate is smoothed.
    pub smoothing: Duration,
    /// Bid of a backend server whose held flows ask for its whole capacity.
    pub full: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            smoothing: Duration::from_secs(5),
            full: Duration::from_millis(100),
        }
    }
}

/// Load of the flows held, as an exponentially decayed request rate.
///
/// A flow's first request does not count: it shows no rate, and many flows carry
/// no other.
///
/// ```
/// use std::time::Duration;
/// use limit::load::{Load, Settings};
///
/// let now = Duration::ZERO;
/// let mut load = Load::new(Settings::default(), now);
/// load.request(now);
/// assert!(load.bid(now, 10) > load.bid(now, 20));
/// ```
#[derive(Debug)]
pub struct Load {
    settings: Settings,
    /// Requests a second.
    rate: f64,
    updated: Duration,
}

impl Load {
    /// Starts without load.
    #[must_use]
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            settings,
            rate: 0.0,
            updated: now,
        }
    }

    /// Notes a request of a held flow that has had another before.
    pub fn request(&mut self, now: Duration) {
        self.rate = self.rate * self.keep(now) + 1.0 / self.seconds();
        self.updated = self.updated.max(now);
    }

    /// What the held flows add to a bid, given the capacity in jobs a second.
    #[must_use]
    pub fn bid(&self, now: Duration, weight: u32) -> Duration {
        let share = self.rate * self.keep(now) / f64::from(weight.max(1));
        Duration::try_from_secs_f64(self.settings.full.as_secs_f64() * share)
            .unwrap_or(Duration::MAX)
    }

    /// Share of the rate that is left.
    fn keep(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        (-age / self.seconds()).exp()
    }

    fn seconds(&self) -> f64 {
        self.settings.smoothing.max(MIN_SMOOTHING).as_secs_f64()
    }
}

/// Least smoothing time.
const MIN_SMOOTHING: Duration = Duration::from_millis(1);
