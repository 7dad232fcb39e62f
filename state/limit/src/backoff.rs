//! Spaces retries: exponential, with jitter.
use std::time::Duration;

/// Limits of a [`Backoff`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Upper end of the first pause.
    pub base: Duration,
    /// Upper end of every later pause.
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

/// The pauses between the tries of one operation.
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
    tries: u32,
    random: fastrand::Rng,
}

impl Backoff {
    /// Starts at the first pause; the seed decides the jitter.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            tries: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// The pause before the next try: between half and all of a bound that
    /// doubles with each try.
    pub fn next_pause(&mut self) -> Duration {
        let bound = self
            .settings
            .base
            .saturating_mul(2_u32.saturating_pow(self.tries))
            .min(self.settings.max);
        self.tries = self.tries.saturating_add(1);
        bound.mul_f64(0.5 + self.random.f64() / 2.0)
    }

    /// The pause before the next try, or `None` where the try would not end
    /// before the caller's deadline.
    ///
    /// `service_time` is how long a try is expected to take.
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

    /// Starts again at the first pause, after a success.
    pub fn reset(&mut self) {
        self.tries = 0;
    }
}
