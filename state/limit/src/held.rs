//! Estimates the work that held flows will bring.
//!
//! Answers the load of long flows that were all opened at once, as after a
//! failure: they have shown no rate yet, and can not be moved later. Until they
//! have, each counts with the mean rate of the flows seen so far.
use std::time::Duration;

use crate::Load;
use crate::load;

/// Limits of a [`Held`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How the rate that was seen is smoothed.
    pub load: load::Settings,
    /// Time over which the mean rate of a flow is taken.
    pub memory: Duration,
    /// Requests a second that a flow is expected to bring before any was seen.
    pub flow_rate: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            load: load::Settings::default(),
            memory: Duration::from_secs(20),
            flow_rate: 1.0,
        }
    }
}

/// The load of the held flows: as seen, or as their number lets expect.
///
/// ```
/// use std::time::Duration;
/// use limit::Held;
/// use limit::held::Settings;
///
/// let now = Duration::ZERO;
/// let mut held = Held::new(Settings::default(), now);
/// assert_eq!(held.bid(now, 100), Duration::ZERO);
/// held.observe(now, 10);
/// assert!(held.bid(now, 100) > held.bid(now, 200));
/// ```
#[derive(Debug)]
pub struct Held {
    settings: Settings,
    load: Load,
    flows: f64,
    /// Requests seen, and the time for which flows were held; both decay.
    requests: f64,
    flow_seconds: f64,
    updated: Duration,
}

impl Held {
    /// Starts without flows.
    #[must_use]
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            load: Load::new(settings.load, now),
            flows: 0.0,
            requests: settings.flow_rate,
            flow_seconds: 1.0,
            updated: now,
            settings,
        }
    }

    /// Notes a request of a held flow that has had another before.
    pub fn request(&mut self, now: Duration) {
        self.load.request(now);
        self.requests += 1.0;
    }

    /// Notes how many flows are held between their requests.
    pub fn observe(&mut self, now: Duration, flows: u32) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.flow_seconds += self.flows * passed;
        self.flows = f64::from(flows);
        let keep = (-passed / self.settings.memory.as_secs_f64()).exp();
        // At least one second counts, so that the mean stays defined.
        if self.flow_seconds * keep >= 1.0 {
            self.requests *= keep;
            self.flow_seconds *= keep;
        }
    }

    /// Mean rate of a held flow, in requests a second.
    #[must_use]
    pub fn flow_rate(&self) -> f64 {
        self.requests / self.flow_seconds
    }

    /// What the held flows add to a bid, given the capacity in requests a
    /// second.
    #[must_use]
    pub fn bid(&self, now: Duration, capacity: u32) -> Duration {
        let expected = self.flows * self.flow_rate() / f64::from(capacity.max(1));
        let expected = self.settings.load.full.mul_f64(expected);
        expected.max(self.load.bid(now, capacity))
    }
}
