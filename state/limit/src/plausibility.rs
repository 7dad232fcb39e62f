//! Tells answers that a backend server is unlikely to have worked for.
//!
//! Answers a load on a backend server that fails requests with an error page at
//! once while it announces that it is ready. Its slots are always free, so it would
//! attract all work. Contents are not read; but errors come sooner and are shorter
//! than what the same server has answered before.
use std::time::Duration;

/// Answers after which the usual time and length are known.
const MIN_ANSWERS: f64 = 20.0;

/// Answers that the usual time and length are averaged over.
const AVERAGED_ANSWERS: f64 = 64.0;

/// Number of implausible answers that move the usual time and length as far as one
/// plausible answer does, so that a lasting change is not suspected for good.
const IMPLAUSIBLE_WEIGHT: f64 = 16.0;

/// Share of the usual time below which an answer is implausibly fast. Service times
/// that vary by a factor of two are far above it.
const FAST_SHARE: f64 = 0.125;

/// Share of the usual length below which an answer is implausibly short.
const SHORT_SHARE: f64 = 0.5;

/// Usual time and length of the answers of one backend server.
///
/// ```
/// use std::time::Duration;
/// use limit::Plausibility;
///
/// let mut plausibility = Plausibility::default();
/// for _ in 0..50 {
///     assert!(plausibility.record_answer(Duration::from_millis(40), 900));
/// }
/// assert!(!plausibility.record_answer(Duration::from_millis(1), 120));
/// assert!(plausibility.record_answer(Duration::from_millis(1), 900));
/// ```
#[derive(Debug, Default)]
pub struct Plausibility {
    answers: f64,
    /// Mean of the logarithms, since times vary by factors.
    log_seconds: f64,
    log_bytes: f64,
}

impl Plausibility {
    /// Records an answer by the time to its first content and the length of that in
    /// bytes; returns false if it is both far too fast and far too short.
    pub fn record_answer(&mut self, took: Duration, length: u16) -> bool {
        let log_seconds = took.as_secs_f64().max(MIN_SECONDS).ln();
        let log_bytes = f64::from(length.max(1)).ln();
        let is_known = self.answers >= MIN_ANSWERS;
        let is_fast = log_seconds < self.log_seconds + FAST_SHARE.ln();
        let is_short = log_bytes < self.log_bytes + SHORT_SHARE.ln();
        let is_plausible = !(is_known && is_fast && is_short);
        self.answers = AVERAGED_ANSWERS.min(self.answers + 1.0);
        let weight = if is_plausible {
            1.0
        } else {
            IMPLAUSIBLE_WEIGHT
        };
        let step = 1.0 / (self.answers * weight);
        self.log_seconds += (log_seconds - self.log_seconds) * step;
        self.log_bytes += (log_bytes - self.log_bytes) * step;
        is_plausible
    }
}

/// Shortest time that is told apart from zero.
const MIN_SECONDS: f64 = 1e-5;
