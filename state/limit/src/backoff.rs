//! Exponential backoff with jitter.
use std::time::Duration;

/// Parameters of a [`Backoff`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Upper bound of the first pause.
    pub base: Duration,
    /// Upper bound of every pause.
    pub max: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(50),
            max: Duration::from_secs(5),
        }
    }
}

/// Pauses between the attempts of one operation.
///
/// ```
/// use limit::Backoff;
/// use limit::backoff::Settings;
///
/// let mut backoff = Backoff::new(Settings::default(), 7);
/// assert!(backoff.next_pause() <= Settings::default().base);
/// ```
#[derive(Clone, Debug)]
pub struct Backoff {
    settings: Settings,
    attempts: u32,
    random: fastrand::Rng,
}

impl Backoff {
    /// Creates a backoff that starts with the first pause; the seed drives the
    /// jitter.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            attempts: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns the pause before the next attempt: a random time between half of
    /// a bound and the bound, which doubles with each attempt.
    pub fn next_pause(&mut self) -> Duration {
        let bound = self
            .settings
            .base
            .saturating_mul(2_u32.saturating_pow(self.attempts))
            .min(self.settings.max);
        self.attempts = self.attempts.saturating_add(1);
        bound.mul_f64(0.5 + self.random.f64() / 2.0)
    }

    /// Returns the pause before the next attempt, or `None` if that attempt
    /// would end after the caller's deadline.
    ///
    /// `service_time` is the expected duration of an attempt.
    pub fn next_within(
        &mut self,
        now: Duration,
        deadline: Duration,
        service_time: Duration,
    ) -> Option<Duration> {
        let pause = self.next_pause();
        let end = now.checked_add(pause)?.checked_add(service_time)?;
        (end <= deadline).then_some(pause)
    }

    /// Restarts with the first pause, after a success.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }
}
