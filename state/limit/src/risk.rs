//! Estimates how likely a backend server fails a request.
//!
//! Answers the load of backend servers that say they are well and reset, drop or
//! never answer requests: they look idle and fast, and would draw all work. What
//! counts is what became of the requests sent there; old evidence fades, so that
//! a backend server that has recovered gets work again little by little.
use std::time::Duration;

/// Limits of a [`Risk`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time over which evidence fades.
    pub memory: Duration,
    /// Answered requests that are assumed before any was seen, so that one
    /// failure says little.
    pub trust: f64,
    /// What a failed request costs its caller, as a wait.
    pub cost: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            memory: Duration::from_secs(5),
            trust: 4.0,
            cost: Duration::from_secs(1),
        }
    }
}

/// How likely a backend server fails a request, from those that it was sent.
///
/// ```
/// use std::time::Duration;
/// use limit::Risk;
/// use limit::risk::Settings;
///
/// let now = Duration::ZERO;
/// let mut risk = Risk::new(Settings::default(), now);
/// risk.answered(now);
/// assert_eq!(risk.wait(now), Duration::ZERO);
/// risk.failed(now);
/// assert!(risk.wait(now) > Duration::ZERO);
/// ```
#[derive(Debug)]
pub struct Risk {
    settings: Settings,
    failed: f64,
    answered: f64,
    updated: Duration,
}

impl Risk {
    /// Starts without evidence.
    #[must_use]
    pub const fn new(settings: Settings, now: Duration) -> Self {
        Self {
            settings,
            failed: 0.0,
            answered: 0.0,
            updated: now,
        }
    }

    /// Notes that a request was answered.
    pub fn answered(&mut self, now: Duration) {
        self.fade(now);
        self.answered += 1.0;
    }

    /// Notes that a request was reset, or not answered in its time.
    pub fn failed(&mut self, now: Duration) {
        self.fade(now);
        self.failed += 1.0;
    }

    /// Share of the requests that are expected to fail.
    #[must_use]
    pub fn share(&self, now: Duration) -> f64 {
        let keep = self.keep(now);
        let (failed, answered) = (self.failed * keep, self.answered * keep);
        failed / (failed + answered + self.settings.trust)
    }

    /// What a further request is expected to lose here, as a wait.
    #[must_use]
    pub fn wait(&self, now: Duration) -> Duration {
        self.settings.cost.mul_f64(self.share(now))
    }

    fn fade(&mut self, now: Duration) {
        let keep = self.keep(now);
        self.failed *= keep;
        self.answered *= keep;
        self.updated = self.updated.max(now);
    }

    /// Share of the evidence that is left.
    fn keep(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        (-passed / self.settings.memory.as_secs_f64()).exp()
    }
}
