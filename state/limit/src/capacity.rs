//! Estimates the capacity of a backend server from the service times of its
//! jobs.
use std::time::Duration;

/// Parameters of a [`Capacity`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Initial estimate of the service time of short jobs.
    pub short_time: Duration,
    /// Initial estimate of the service time of long jobs.
    pub long_time: Duration,
    /// Time after its start at which a backend server reaches its full weight.
    pub warm_up: Duration,
    /// Minimum time between two changes of the weight.
    pub min_change_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            short_time: Duration::from_millis(50),
            long_time: Duration::from_mins(1),
            warm_up: Duration::from_secs(5),
            min_change_interval: Duration::from_secs(1),
        }
    }
}

/// Number of jobs in the fast mean, which the expected wait is based on.
const FAST_MEAN_JOBS: f64 = 16.0;

/// Number of jobs in the slow mean, which the weight is based on.
const SLOW_MEAN_JOBS: f64 = 128.0;

/// Ratio of the two means above which the slow one is reset to the fast one.
const DRIFT_RATIO: f64 = 1.5;

/// Share of its full weight that a newly started backend server has.
const COLD_SHARE: f64 = 0.25;

/// Ratio of two adjacent steps of the weight: the fourth root of two.
const STEP_RATIO: f64 = 1.189_207_115_002_721;

/// Distance of the measured rate from the current step, in steps, above which
/// the weight changes.
const HYSTERESIS_STEPS: f64 = 1.25;

/// Maximum weight, in jobs a second.
const MAX_WEIGHT: f64 = 1e6;

/// Mean service time of the latest jobs of one class.
///
/// The fast mean, over few jobs, follows a change quickly and is used for the
/// expected wait. The slow mean, over many jobs, is stable and is used for the
/// weight. When the two differ by more than a factor of `DRIFT_RATIO`, the slow
/// mean is reset to the fast one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    fast: f64,
    slow: f64,
    fast_jobs: f64,
    slow_jobs: f64,
}

impl Mean {
    /// Creates a mean with an assumed service time, which counts as one job.
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

    /// Adds the service time of a completed job.
    pub fn add(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.fast_jobs = FAST_MEAN_JOBS.min(self.fast_jobs + 1.0);
        self.slow_jobs = SLOW_MEAN_JOBS.min(self.slow_jobs + 1.0);
        self.fast += (time - self.fast) / self.fast_jobs;
        self.slow += (time - self.slow) / self.slow_jobs;
        let drifted = self.fast > self.slow * DRIFT_RATIO || self.slow > self.fast * DRIFT_RATIO;
        if drifted {
            self.slow = self.fast;
            self.slow_jobs = self.fast_jobs;
        }
    }

    /// Returns the mean over few jobs, which the expected wait is based on.
    #[must_use]
    pub fn fast(self) -> Duration {
        Duration::from_secs_f64(self.fast)
    }

    /// Returns the mean over many jobs, which the weight is based on.
    #[must_use]
    pub fn slow(self) -> Duration {
        Duration::from_secs_f64(self.slow)
    }
}

/// The weight of a backend server, which changes in coarse steps.
#[derive(Debug)]
pub struct Capacity {
    settings: Settings,
    started: Duration,
    changed: Duration,
    step: f64,
}

impl Capacity {
    /// Creates the weight of a backend server that starts now, cold.
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

    /// Sets the weight to the step nearest to a measured rate, in jobs a
    /// second. The weight changes only if the rate is more than
    /// `HYSTERESIS_STEPS` away from the current step, and not more often than
    /// [`Settings::min_change_interval`] allows.
    pub fn update(&mut self, now: Duration, rate: f64) {
        let rate = rate * self.warm_share(now);
        let distance = fractional_step(rate) - self.step;
        let is_too_soon = now < self.changed + self.settings.min_change_interval;
        if is_too_soon || distance.abs() <= HYSTERESIS_STEPS {
            return;
        }
        self.step = nearest_step(rate);
        self.changed = now;
    }

    /// Returns the weight in jobs a second, at least 1.
    #[must_use]
    pub fn weight(&self) -> u32 {
        let weight = STEP_RATIO.powf(self.step).round().clamp(1.0, MAX_WEIGHT);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let weight = weight as u32;
        weight
    }

    /// Returns the share of the full weight that the warm-up has reached.
    fn warm_share(&self, now: Duration) -> f64 {
        let warm = self.settings.warm_up.as_secs_f64();
        let age = now.saturating_sub(self.started).as_secs_f64();
        if age >= warm {
            return 1.0;
        }
        COLD_SHARE + (1.0 - COLD_SHARE) * age / warm
    }
}

fn fractional_step(rate: f64) -> f64 {
    rate.clamp(1.0, MAX_WEIGHT).ln() / STEP_RATIO.ln()
}

fn nearest_step(rate: f64) -> f64 {
    fractional_step(rate).round()
}
