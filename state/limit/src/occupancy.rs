//! Estimates the queue of a backend server from its network traffic.
//!
//! Used for forwarded flows, whose packets are relayed without being parsed:
//! requests are observed only as packets to the backend server and answers from
//! it.
use std::time::Duration;

use wire::transit::Load;

use crate::Pace;
use crate::capacity::Mean;

/// The number of requests running or queued at a backend server, and their mean
/// service time.
///
/// ```
/// use std::time::Duration;
/// use limit::Occupancy;
///
/// let now = Duration::ZERO;
/// let mut occupancy = Occupancy::new(1, Duration::from_millis(20));
/// assert_eq!(occupancy.wait(), Duration::ZERO);
/// let start = occupancy.begin(now);
/// assert_eq!(occupancy.wait(), Duration::from_millis(20));
/// occupancy.finish(now + Duration::from_millis(20), start);
/// assert_eq!(occupancy.wait(), Duration::ZERO);
/// ```
#[derive(Debug)]
pub struct Occupancy {
    slots: u16,
    running: u16,
    pace: Pace,
    /// Mean of the service times as they are. The limit that [`Pace`] sets on single
    /// long requests makes a server look faster than it is over many.
    mean: Mean,
    /// Time at which a request last ended, or last began with a slot free.
    last_event: Duration,
    /// Smoothed share of the slots that are in use, as of `used_at`.
    used: f64,
    used_at: Duration,
}

/// Time constant of the share of used slots: some twenty requests of two slots.
const USED_TIME: Duration = Duration::from_millis(500);

/// The start of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    at: Duration,
    is_queued: bool,
}

impl Occupancy {
    /// Creates an idle backend server; `assumed` is the initial estimate of the
    /// service time.
    #[must_use]
    pub fn new(slots: u16, assumed: Duration) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            pace: Pace::new(assumed),
            mean: Mean::new(assumed),
            last_event: Duration::ZERO,
            used: 0.0,
            used_at: Duration::ZERO,
        }
    }

    /// Sets the number of slots that the backend server announces.
    pub fn set_slots(&mut self, slots: u16) {
        self.slots = slots.max(1);
    }

    /// Records that a request was sent to the backend server.
    pub fn begin(&mut self, now: Duration) -> Start {
        self.advance_used(now);
        let is_queued = self.running >= self.slots;
        if !is_queued {
            self.last_event = now;
        }
        self.running = self.running.saturating_add(1);
        Start { at: now, is_queued }
    }

    /// Records that a request was answered, and updates the mean service time.
    pub fn finish(&mut self, now: Duration, start: Start) {
        // While requests are queued, the time between two answers is the
        // service time divided by the number of slots.
        let time = if start.is_queued {
            now.saturating_sub(self.last_event.max(start.at)) * u32::from(self.slots)
        } else {
            now.saturating_sub(start.at)
        };
        self.pace.add(time);
        self.mean.add(time);
        self.release(now);
    }

    /// Records that a request ended without an answer, which gives no
    /// measurement of the service time.
    pub fn release(&mut self, now: Duration) {
        self.advance_used(now);
        self.running = self.running.saturating_sub(1);
        self.last_event = now;
    }

    /// Returns the expected time that a new request would wait before it runs.
    #[must_use]
    pub fn wait(&self) -> Duration {
        self.load().wait()
    }

    /// Returns the load to report to other processes.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            slots: self.slots,
            service_us: u32::try_from(self.service_time().as_micros()).unwrap_or(u32::MAX),
            held_us: 0,
            risk_us: 0,
            used_permille: None,
        }
    }

    /// Returns the share of the slots that were in use lately.
    #[must_use]
    pub fn used(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.used_at).as_secs_f64();
        let weight = (-passed / USED_TIME.as_secs_f64()).exp();
        let current = f64::from(self.running.min(self.slots)) / f64::from(self.slots);
        current + weight * (self.used - current)
    }

    fn advance_used(&mut self, now: Duration) {
        self.used = self.used(now);
        self.used_at = self.used_at.max(now);
    }

    /// Returns the number of running and queued requests.
    #[must_use]
    pub const fn running(&self) -> u16 {
        self.running
    }

    /// Returns the number of requests that run concurrently.
    #[must_use]
    pub const fn slots(&self) -> u16 {
        self.slots
    }

    /// Returns the service rate in requests a second over many requests; at least 1.
    #[must_use]
    pub fn steady_rate(&self) -> u32 {
        let service_us = u32::try_from(self.mean.slow().as_micros()).unwrap_or(u32::MAX);
        let load = Load {
            service_us,
            ..self.load()
        };
        load.rate()
    }

    /// Returns the mean service time of the latest requests.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.pace.mean()
    }
}

impl Start {
    /// Returns this start with a later time, for a slot that was reserved
    /// before its request began.
    #[must_use]
    pub const fn restarted_at(self, now: Duration) -> Self {
        Self { at: now, ..self }
    }
}
