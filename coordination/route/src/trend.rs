//! Follows the share of a zone's slots that is in use, and projects it ahead.
//!
//! Long flows cannot be moved: they are placed by the use that a zone will have
//! while they last. The projection is bounded, so that a wrong one costs little.
use std::time::Duration;

/// Time constant of the level. Longer than the time between two reports of a server
/// to one entry, which is some 300 ms.
const LEVEL_TIME: Duration = Duration::from_secs(1);

/// Time constant of the slope. Demand that swings within 12 s still shows.
const SLOPE_TIME: Duration = Duration::from_secs(2);

/// Maximum expected change. A wrong forecast moves flows as a zone would that is this
/// much fuller or emptier.
const MAX_CHANGE: f64 = 0.2;

/// Level and slope of the share of used slots.
///
/// ```
/// use std::time::Duration;
/// use route::Trend;
///
/// let mut trend = Trend::default();
/// assert_eq!(trend.expected(Duration::ZERO), None);
/// for step in 0..100_u32 {
///     let now = Duration::from_millis(100) * step;
///     trend.record(now, 0.2 + f64::from(step) / 200.0);
/// }
/// assert!(trend.expected(Duration::from_secs(2)) > trend.expected(Duration::ZERO));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Trend {
    /// Smoothed share; `None` before the first sample.
    level: Option<f64>,
    /// Change a second.
    slope: f64,
    updated: Duration,
}

impl Trend {
    /// Records a sample of the share. A clock that steps restarts the trend.
    pub fn record(&mut self, now: Duration, used: f64) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        let is_usable = passed > 0.0 && passed < SLOPE_TIME.as_secs_f64();
        self.updated = now;
        match self.level {
            Some(level) if is_usable => {
                let weight = 1.0 - (-passed / LEVEL_TIME.as_secs_f64()).exp();
                let change = weight * (used - level);
                self.level = Some(level + change);
                let weight = 1.0 - (-passed / SLOPE_TIME.as_secs_f64()).exp();
                self.slope += weight * (change / passed - self.slope);
            }
            _ => {
                self.level = Some(used);
                self.slope = 0.0;
            }
        }
    }

    /// Returns true if a sample should be recorded, at most one in `interval`; also
    /// if the clock has stepped back.
    #[must_use]
    pub fn is_due(&self, now: Duration, interval: Duration) -> bool {
        self.level.is_none() || now < self.updated || now >= self.updated + interval
    }

    /// Returns the share that is expected after a time, at most `MAX_CHANGE` from the
    /// present one; `None` before the first sample.
    #[must_use]
    pub fn expected(&self, ahead: Duration) -> Option<f64> {
        let change = self.slope * ahead.as_secs_f64();
        let level = self.level?;
        Some((level + change.clamp(-MAX_CHANGE, MAX_CHANGE)).clamp(0.0, 1.0))
    }
}
