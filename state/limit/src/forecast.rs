//! Estimates the load that held flows are expected to cause.
//!
//! Accounts for long flows that are all opened at once, for example after a
//! failure: they have no measured rate yet and cannot be moved later. Until
//! they have one, each counts with the mean rate of the flows observed so far.
use std::time::Duration;

use crate::Held;
use crate::Load;
use crate::load;

/// Parameters of a [`Forecast`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Parameters of the load estimate from observed requests.
    pub load: load::Settings,
    /// Time constant of the mean request rate of a flow.
    pub averaging_time: Duration,
    /// Initial estimate of the request rate of a flow, in requests a second.
    pub flow_rate: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            load: load::Settings::default(),
            averaging_time: Duration::from_secs(20),
            flow_rate: 1.0,
        }
    }
}

/// The load of the held flows: the mean of the observed load and of the load
/// expected from their number. The larger of the two added up the noise of both, and
/// the servers of a zone were less evenly used.
///
/// ```
/// use std::time::Duration;
/// use limit::Forecast;
/// use limit::forecast::Settings;
///
/// let now = Duration::ZERO;
/// let mut forecast = Forecast::new(Settings::default(), now);
/// assert_eq!(forecast.bid(now, 100), Duration::ZERO);
/// forecast.set_idle_flows(now, 10);
/// assert!(forecast.bid(now, 100) > forecast.bid(now, 200));
/// ```
#[derive(Debug)]
pub struct Forecast {
    settings: Settings,
    load: Load,
    held: Held,
}

impl Forecast {
    /// Creates an estimate without held flows.
    #[must_use]
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            load: Load::new(settings.load, now),
            held: Held::new(settings.averaging_time, settings.flow_rate, now),
            settings,
        }
    }

    /// Records a request of a held flow other than the flow's first.
    pub fn record_request(&mut self, now: Duration) {
        self.load.record_request(now);
        self.held.record_request();
    }

    /// Records the number of held flows that are idle between two requests.
    pub fn set_idle_flows(&mut self, now: Duration, flows: u32) {
        self.held.set_flows(now, flows);
    }

    /// Returns the mean rate of a held flow, in requests a second.
    #[must_use]
    pub fn flow_rate(&self) -> f64 {
        self.held.flow_rate()
    }

    /// Returns the load to add to a bid, expressed as a wait, given the
    /// capacity in requests a second.
    #[must_use]
    pub fn bid(&self, now: Duration, capacity: u32) -> Duration {
        let expected = self.held.expected() / f64::from(capacity.max(1));
        let expected = self.settings.load.full.mul_f64(expected);
        (expected + self.load.bid(now, capacity)) / 2
    }
}
