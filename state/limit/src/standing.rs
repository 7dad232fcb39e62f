//! Tells a burst that will be served from a load that stays.
//!
//! Answers the load of many callers that come at once, as after a failure, and
//! that of more callers than can be served. A queue that was empty a moment ago
//! may grow beyond the callers' objective: all in it are served, some late. A
//! queue that stands would make all late, so that it is kept within the
//! objective and the rest are refused at once.
use std::time::Duration;

/// Limits of a [`Standing`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time for which a queue may stand before it counts as overload. A few
    /// times what callers wait for an answer.
    pub grace: Duration,
    /// Part of the callers' time that may be spent in a queue, as a divisor.
    pub share: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(1),
            share: 2,
        }
    }
}

/// How long the queue of one backend server has stood.
///
/// ```
/// use std::time::Duration;
/// use limit::Standing;
/// use limit::standing::Settings;
///
/// let (objective, timeout) = (Duration::from_millis(100), Duration::from_secs(1));
/// let mut standing = Standing::new(Settings::default());
/// standing.observe(Duration::ZERO, true);
/// let early = standing.limit(Duration::from_millis(10), objective, timeout);
/// let late = standing.limit(Duration::from_secs(5), objective, timeout);
/// assert!(early > objective && late == objective);
/// ```
#[derive(Debug)]
pub struct Standing {
    settings: Settings,
    since: Option<Duration>,
}

impl Standing {
    /// Starts with an empty queue.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            since: None,
        }
    }

    /// Notes whether anything waits.
    pub fn observe(&mut self, now: Duration, is_waiting: bool) {
        self.since = match self.since {
            Some(since) if is_waiting => Some(since),
            None if is_waiting => Some(now),
            _ => None,
        };
    }

    /// Longest wait that a caller is queued for, given the time within which an
    /// answer is of full use and that after which it is of none.
    #[must_use]
    pub fn limit(&self, now: Duration, objective: Duration, timeout: Duration) -> Duration {
        let is_burst = self
            .since
            .is_none_or(|since| now < since + self.settings.grace);
        let burst = timeout / self.settings.share;
        if is_burst {
            burst.max(objective)
        } else {
            objective
        }
    }
}
