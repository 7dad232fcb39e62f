//! Estimates the load of a backend server's held flows from their request rate.
//!
//! The load is expressed as a wait, so that it can be added to the expected
//! wait in the agent's bid for a new flow.
use std::time::Duration;

use crate::Rate;

/// Parameters of a [`Load`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time constant of the smoothed request rate.
    pub smoothing: Duration,
    /// Bid of a backend server whose held flows use its full capacity.
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

/// Load of the held flows, as a request rate with exponential decay.
///
/// A flow's first request does not count: it gives no rate, and many flows have
/// only one request.
///
/// ```
/// use std::time::Duration;
/// use limit::load::{Load, Settings};
///
/// let now = Duration::ZERO;
/// let mut load = Load::new(Settings::default(), now);
/// load.record_request(now);
/// assert!(load.bid(now, 10) > load.bid(now, 20));
/// ```
#[derive(Debug)]
pub struct Load {
    settings: Settings,
    rate: Rate,
}

impl Load {
    /// Creates an estimate without load.
    #[must_use]
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            rate: Rate::new(settings.smoothing, now),
            settings,
        }
    }

    /// Records a request of a held flow other than the flow's first.
    pub fn record_request(&mut self, now: Duration) {
        self.rate.record(now);
    }

    /// Returns the load to add to a bid, expressed as a wait, given the
    /// capacity in jobs a second.
    #[must_use]
    pub fn bid(&self, now: Duration, capacity: u32) -> Duration {
        let share = self.rate.per_second(now) / f64::from(capacity.max(1));
        Duration::try_from_secs_f64(self.settings.full.as_secs_f64() * share)
            .unwrap_or(Duration::MAX)
    }
}
