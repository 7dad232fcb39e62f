//! Learns the capacity of a backend server where its work is done.
use std::time::Duration;

/// Limits of a [`Capacity`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Service time of a short job assumed before any has ended.
    pub short_time: Duration,
    /// Service time of a long job assumed before any has ended.
    pub long_time: Duration,
    /// Time after which a cold backend server has its full weight.
    pub warm_up: Duration,
    /// Shortest time between two changes of the weight.
    pub hold: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            short_time: Duration::from_millis(50),
            long_time: Duration::from_mins(1),
            warm_up: Duration::from_secs(5),
            hold: Duration::from_secs(1),
        }
    }
}

/// Jobs that the expected wait averages over.
const WAIT_JOBS: f64 = 16.0;

/// Jobs that the weight averages over.
const WEIGHT_JOBS: f64 = 128.0;

/// Ratio of the two averages at which the longer one starts anew.
const DRIFT_RATIO: f64 = 1.5;

/// Share of its weight that a cold backend server starts with.
const COLD_SHARE: f64 = 0.25;

/// Ratio of two neighbouring steps of the weight: the fourth root of two.
const STEP_RATIO: f64 = 1.189_207_115_002_721;

/// Distance from a step, in steps, at which the weight leaves it.
const HYSTERESIS_STEPS: f64 = 1.25;

/// Largest weight, in jobs a second.
const MAX_WEIGHT: f64 = 1e6;

/// Mean service time of the latest jobs of one class.
///
/// A mean of few jobs follows a change at once and serves the expected wait; a
/// mean of many is stable and serves the weight. Where the first leaves the
/// second clearly behind, the second starts anew from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    fast: f64,
    slow: f64,
    fast_jobs: f64,
    slow_jobs: f64,
}

impl Mean {
    /// Starts from an assumed service time, which counts as much as one job.
    #[must_use]
    pub fn new(assumed: Duration) -> Self {
        let assumed = assumed.as_secs_f64();
        Self {
            fast: assumed,
            slow: assumed,
            fast_jobs: 1.0,
            slow_jobs: 1.0,
        }
    }

    /// Adds the service time of a job that ended.
    pub fn add(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.fast_jobs = WAIT_JOBS.min(self.fast_jobs + 1.0);
        self.slow_jobs = WEIGHT_JOBS.min(self.slow_jobs + 1.0);
        self.fast += (time - self.fast) / self.fast_jobs;
        self.slow += (time - self.slow) / self.slow_jobs;
        let drifted = self.fast > self.slow * DRIFT_RATIO || self.slow > self.fast * DRIFT_RATIO;
        if drifted {
            self.slow = self.fast;
            self.slow_jobs = self.fast_jobs;
        }
    }

    /// The mean that the expected wait is computed from.
    #[must_use]
    pub fn wait(self) -> Duration {
        Duration::from_secs_f64(self.fast)
    }

    /// The mean that the weight is computed from.
    #[must_use]
    pub fn weight(self) -> Duration {
        Duration::from_secs_f64(self.slow)
    }
}

/// The weight of a backend server, in coarse steps.
#[derive(Debug)]
pub struct Capacity {
    settings: Settings,
    started: Duration,
    changed: Duration,
    step: f64,
}

impl Capacity {
    /// Starts cold.
    #[must_use]
    pub fn new(settings: Settings, slots: u16, now: Duration) -> Self {
        let rate = f64::from(slots) / settings.short_time.as_secs_f64();
        Self {
            settings,
            started: now,
            changed: now,
            step: nearest_step(rate * COLD_SHARE),
        }
    }

    /// Moves the weight towards a measured rate, in jobs a second. It moves
    /// only when the rate is clearly off the current step, and not more often
    /// than the settings allow.
    pub fn update(&mut self, now: Duration, rate: f64) {
        let rate = rate * self.warm_share(now);
        let off = steps(rate) - self.step;
        let held = now < self.changed + self.settings.hold;
        if held || off.abs() <= HYSTERESIS_STEPS {
            return;
        }
        self.step = nearest_step(rate);
        self.changed = now;
    }

    /// Jobs a second, in coarse steps; at least 1.
    #[must_use]
    pub fn weight(&self) -> u32 {
        let weight = STEP_RATIO.powf(self.step).round().clamp(1.0, MAX_WEIGHT);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let weight = weight as u32;
        weight
    }

    fn warm_share(&self, now: Duration) -> f64 {
        let warm = self.settings.warm_up.as_secs_f64();
        let age = now.saturating_sub(self.started).as_secs_f64();
        if age >= warm {
            return 1.0;
        }
        COLD_SHARE + (1.0 - COLD_SHARE) * age / warm
    }
}

fn steps(rate: f64) -> f64 {
    rate.clamp(1.0, MAX_WEIGHT).ln() / STEP_RATIO.ln()
}

fn nearest_step(rate: f64) -> f64 {
    steps(rate).round()
}
