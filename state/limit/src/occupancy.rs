//! Estimates the queue of a backend server from the outside.
//!
//! Answers the load of flows that are carried unread: requests are seen only as
//! packets that go in and answers that come out.
use std::time::Duration;

use wire::transit::Load;

use crate::capacity::Mean;

/// Requests that run or wait at a backend server, and how long they take.
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
    mean: Mean,
    /// The last time at which an answer ended, or a slot was free.
    last_event: Duration,
}

/// The beginning of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    at: Duration,
    is_queued: bool,
}

impl Occupancy {
    /// Starts idle; `assumed` is the service time until requests have shown it.
    #[must_use]
    pub fn new(slots: u16, assumed: Duration) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            mean: Mean::new(assumed),
            last_event: Duration::ZERO,
        }
    }

    /// Takes the number of slots that the backend server states.
    pub fn set_slots(&mut self, slots: u16) {
        self.slots = slots.max(1);
    }

    /// Notes that a request reached the backend server.
    pub fn begin(&mut self, now: Duration) -> Start {
        let is_queued = self.running >= self.slots;
        if !is_queued {
            self.last_event = now;
        }
        self.running = self.running.saturating_add(1);
        Start { at: now, is_queued }
    }

    /// Notes that a request was answered, and learns from how long it took.
    pub fn finish(&mut self, now: Duration, start: Start) {
        // Behind a queue, answers leave at the rate of all slots together.
        let time = if start.is_queued {
            now.saturating_sub(self.last_event.max(start.at)) * u32::from(self.slots)
        } else {
            now.saturating_sub(start.at)
        };
        self.mean.add(time);
        self.release(now);
    }

    /// Notes that a request ended without an answer, which tells nothing about
    /// how long requests take.
    pub fn release(&mut self, now: Duration) {
        self.running = self.running.saturating_sub(1);
        self.last_event = now;
    }

    /// Expected wait of a request that comes now, before it begins to run.
    #[must_use]
    pub fn wait(&self) -> Duration {
        self.load().wait()
    }

    /// The load, to be told to others.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            slots: self.slots,
            service_us: u32::try_from(self.service_time().as_micros()).unwrap_or(u32::MAX),
            held_us: 0,
            risk_us: 0,
        }
    }

    /// Requests that run or wait.
    #[must_use]
    pub const fn running(&self) -> u16 {
        self.running
    }

    /// Requests that run at a time.
    #[must_use]
    pub const fn slots(&self) -> u16 {
        self.slots
    }

    /// Mean service time of the latest requests.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.mean.wait()
    }
}

impl Start {
    /// The same beginning at a later time, for a slot that was kept.
    #[must_use]
    pub const fn moved(self, now: Duration) -> Self {
        Self { at: now, ..self }
    }
}
