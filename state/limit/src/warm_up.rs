//! Limits the new flows that reach a cold backend server.
//!
//! A backend server that has just started is slow, and the configuration states what
//! it bears meanwhile. When all start at once, as after a loss of power, callers
//! return together and would flood them.
use std::collections::VecDeque;
use std::time::Duration;

use wire::transit::Load;

/// Window in which flows are counted: the second that the bound is stated for, and the
/// time by which a packet may be delayed on its way to the backend server.
const WINDOW: Duration = Duration::from_millis(1_050);

/// Number of seconds in which a stated rate is given.
const RATE_SECONDS: f64 = 1_000.0;

/// Parameters of a [`WarmUp`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Factor by which the stated rate may be exceeded in any one second.
    pub factor: f64,
    /// New flows by which that product may be exceeded in any one second.
    pub slack: f64,
}

/// Budget of new flows of one backend server.
///
/// ```
/// use std::time::Duration;
/// use limit::WarmUp;
/// use limit::warm_up::Settings;
///
/// let at = Duration::from_millis;
/// let mut budget = WarmUp::new(Some(Settings { factor: 1.5, slack: 0.5 }), at(0));
/// budget.set_rate(1_000);
/// budget.set_cold_until(at(5_000));
/// assert_eq!(budget.limit(at(0)), Some(2));
/// budget.clear_earlier_use();
/// budget.record(at(0));
/// budget.record(at(10));
/// assert!(!budget.has_room_beside(at(20), 0));
/// assert_eq!(budget.wait(at(20), 0), at(1_030));
/// assert!(budget.has_room_beside(at(1_050), 0));
/// assert!(budget.has_room_beside(at(5_050), 0), "it is warm");
/// ```
#[derive(Debug)]
pub struct WarmUp {
    /// `None` if the budget is not limited.
    settings: Option<Settings>,
    /// Stated rate in flows per 1,000 seconds; 0 where none is stated.
    rate: u32,
    /// Time until which it is cold; [`Duration::MAX`] before that is known.
    cold_until: Duration,
    /// Time until which other processes may have used the budget up.
    used_up_until: Duration,
    /// Times of the flows in the window, oldest first.
    flows: VecDeque<Duration>,
}

impl WarmUp {
    /// Creates the budget of a backend server that may be cold and whose budget
    /// another process may just have used up.
    #[must_use]
    pub fn new(settings: Option<Settings>, now: Duration) -> Self {
        Self {
            settings,
            rate: 0,
            cold_until: Duration::MAX,
            used_up_until: now + WINDOW,
            flows: VecDeque::new(),
        }
    }

    /// Sets the rate that the configuration states, in flows per 1,000 seconds; 0
    /// where it states none.
    pub const fn set_rate(&mut self, rate: u32) {
        self.rate = rate;
    }

    /// Sets the time until which the backend server is cold; zero if it is warm.
    pub const fn set_cold_until(&mut self, until: Duration) {
        // The packet of a flow that is admitted at the end may be delivered earlier
        // than the backend server considers itself warm.
        let margin = WINDOW.saturating_sub(Duration::from_secs(1));
        self.cold_until = match until {
            Duration::ZERO => until,
            until => until.saturating_add(margin),
        };
    }

    /// Records that no other process has sent flows to this backend server.
    pub const fn clear_earlier_use(&mut self) {
        self.used_up_until = Duration::ZERO;
    }

    /// Records that a new flow was sent to the backend server.
    pub fn record(&mut self, now: Duration) {
        if self.settings.is_none() {
            return;
        }
        self.flows.push_back(now);
        while self
            .flows
            .front()
            .is_some_and(|oldest| now >= *oldest + WINDOW)
        {
            self.flows.pop_front();
        }
    }

    /// Returns the number of flows that may reach the backend server in any one
    /// second; `None` if that is not limited.
    #[must_use]
    pub fn limit(&self, now: Duration) -> Option<usize> {
        let settings = self.settings?;
        let is_limited = self.rate > 0 && now < self.cold_until;
        is_limited.then(|| {
            let rate = f64::from(self.rate) / RATE_SECONDS;
            let flows = (rate * settings.factor + settings.slack).clamp(1.0, f64::from(u16::MAX));
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "the number is clamped"
            )]
            let flows = flows as usize;
            flows
        })
    }

    /// Returns true if the backend server may be sent another flow, and `kept` more
    /// after it.
    #[must_use]
    pub fn has_room_beside(&self, now: Duration, kept: usize) -> bool {
        self.wait(now, kept).is_zero()
    }

    /// Returns the time until the budget allows another flow after `ahead` others.
    #[must_use]
    pub fn wait(&self, now: Duration, ahead: usize) -> Duration {
        let Some(limit) = self.limit(now) else {
            return Duration::ZERO;
        };
        let earlier = self.used_up_until.saturating_sub(now);
        let window_start = now.saturating_sub(WINDOW);
        let is_counted = |at: &&Duration| **at > window_start || now < WINDOW;
        let counted = self.flows.iter().filter(is_counted).count();
        let used = counted + ahead;
        if used < limit {
            return earlier.min(self.warm_in(now));
        }
        // The flow that must leave the window first; those ahead enter it later.
        let (rounds, index) = ((used - limit) / limit, (used - limit) % limit);
        let skipped = self.flows.len() - counted;
        let leaves = self.flows.get(skipped + index).copied().unwrap_or(now);
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        let until = leaves
            .saturating_add(WINDOW)
            .saturating_add(WINDOW.saturating_mul(rounds));
        until
            .saturating_sub(now)
            .max(earlier)
            .min(self.warm_in(now))
    }

    /// Returns a load that includes the wait for the budget. It is expressed as
    /// running requests and a service time, so that receivers let it decay.
    #[must_use]
    pub fn limit_load(&self, now: Duration, ahead: usize, load: Load) -> Load {
        let Some(limit) = self.limit(now) else {
            return load;
        };
        let slots = u64::from(load.slots.max(1));
        let limit = u64::try_from(limit).unwrap_or(u64::MAX);
        let second = Duration::from_secs(1).as_micros();
        let spacing = u64::try_from(second).unwrap_or(u64::MAX) * slots / limit.max(1);
        let service = u64::from(load.service_us).max(spacing);
        let wait = u64::try_from(self.wait(now, ahead).as_micros()).unwrap_or(u64::MAX);
        let running = (slots - 1).saturating_add(wait.saturating_mul(slots).div_ceil(service));
        let by_budget = Load {
            running: u16::try_from(running).unwrap_or(u16::MAX),
            service_us: u32::try_from(service).unwrap_or(u32::MAX),
            ..load
        };
        if by_budget.wait() > load.wait() {
            by_budget
        } else {
            load
        }
    }

    /// Returns the time for which the backend server is still cold; `None` before that
    /// is known.
    #[must_use]
    pub fn cold_time(&self, now: Duration) -> Option<Duration> {
        let is_known = self.cold_until < Duration::MAX;
        is_known.then(|| self.warm_in(now))
    }

    fn warm_in(&self, now: Duration) -> Duration {
        self.cold_until.saturating_sub(now)
    }
}
