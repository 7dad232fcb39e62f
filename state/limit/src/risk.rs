//! Estimates how likely a backend server is to fail a request.
//!
//! Guards against backend servers that report that they are healthy, but reset,
//! drop or never answer requests: they look idle and fast, and would attract
//! all work. The estimate uses the outcomes of the requests sent to the backend
//! server. Old outcomes decay, so that one that has recovered gets work again
//! gradually.
use std::time::Duration;

/// Parameters of a [`Risk`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time constant of the decay of old outcomes.
    pub decay_time: Duration,
    /// Number of answered requests assumed in advance, which limits the weight
    /// of a single failure.
    pub prior_answers: f64,
    /// Cost of a failed request to its caller, expressed as a wait.
    pub cost: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            decay_time: Duration::from_secs(5),
            prior_answers: 4.0,
            cost: Duration::from_secs(1),
        }
    }
}

/// Estimated probability that a backend server fails a request, from the
/// outcomes of earlier requests.
///
/// ```
/// use std::time::Duration;
/// use limit::Risk;
/// use limit::risk::Settings;
///
/// let now = Duration::ZERO;
/// let mut risk = Risk::new(Settings::default(), now);
/// risk.record_answer(now);
/// assert_eq!(risk.expected_cost(now), Duration::ZERO);
/// risk.record_failure(now);
/// assert!(risk.expected_cost(now) > Duration::ZERO);
/// ```
#[derive(Debug)]
pub struct Risk {
    settings: Settings,
    failed: f64,
    answered: f64,
    updated: Duration,
}

impl Risk {
    /// Creates an estimate without outcomes.
    #[must_use]
    pub const fn new(settings: Settings, now: Duration) -> Self {
        Self {
            settings,
            failed: 0.0,
            answered: 0.0,
            updated: now,
        }
    }

    /// Records that a request was answered.
    pub fn record_answer(&mut self, now: Duration) {
        self.apply_decay(now);
        self.answered += 1.0;
    }

    /// Records that a request was reset, or not answered in time.
    pub fn record_failure(&mut self, now: Duration) {
        self.apply_decay(now);
        self.failed += 1.0;
    }

    /// Returns the share of requests that is expected to fail.
    #[must_use]
    pub fn share(&self, now: Duration) -> f64 {
        let decay = self.decay(now);
        let (failed, answered) = (self.failed * decay, self.answered * decay);
        failed / (failed + answered + self.settings.prior_answers)
    }

    /// Returns the expected cost of failure for a new request, expressed as a
    /// wait.
    #[must_use]
    pub fn expected_cost(&self, now: Duration) -> Duration {
        self.settings.cost.mul_f64(self.share(now))
    }

    fn apply_decay(&mut self, now: Duration) {
        let decay = self.decay(now);
        self.failed *= decay;
        self.answered *= decay;
        self.updated = self.updated.max(now);
    }

    /// Returns the share of the counts that remains after decay.
    fn decay(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        (-passed / self.settings.decay_time.as_secs_f64()).exp()
    }
}
