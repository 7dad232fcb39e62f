//! Holds new work back while a backend server has no room for it.
//!
//! Answers a short excess of arrivals over a load that the backend server can
//! carry, such as the callers that return together after a failure. Serves the
//! newest arrival first: while the excess lasts, some callers get their answer as
//! fast as ever, and the others wait as long as they would in any order.
use std::collections::VecDeque;
use std::time::Duration;

/// Arrivals that wait for room, each until the time at which its caller gives up.
///
/// ```
/// use std::time::Duration;
/// use limit::Waiting;
///
/// let mut waiting = Waiting::new(2);
/// let until = Duration::from_secs(1);
/// assert_eq!(waiting.push(until, "first"), None);
/// assert_eq!(waiting.push(until, "second"), None);
/// assert_eq!(waiting.push(until, "third"), Some("first"));
/// assert_eq!(waiting.pop(), Some("third"));
/// assert_eq!(waiting.expire(until), ["second"]);
/// ```
#[derive(Debug)]
pub struct Waiting<T> {
    capacity: usize,
    /// Oldest first.
    arrivals: VecDeque<Arrival<T>>,
}

#[derive(Debug)]
struct Arrival<T> {
    until: Duration,
    work: T,
}

impl<T> Waiting<T> {
    /// Creates an empty list of at most `capacity` arrivals.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            arrivals: VecDeque::new(),
        }
    }

    /// Returns the number of arrivals.
    #[must_use]
    pub fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Returns true if nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// Adds an arrival that waits until a time, and returns the oldest one if there
    /// is no room for both.
    pub fn push(&mut self, until: Duration, work: T) -> Option<T> {
        self.arrivals.push_back(Arrival { until, work });
        let is_over = self.arrivals.len() > self.capacity;
        let oldest = is_over.then(|| self.arrivals.pop_front());
        oldest.flatten().map(|arrival| arrival.work)
    }

    /// Removes and returns the newest arrival.
    pub fn pop(&mut self) -> Option<T> {
        self.arrivals.pop_back().map(|arrival| arrival.work)
    }

    /// Returns the newest arrival for which `is_wanted` returns true.
    pub fn find(&self, is_wanted: impl Fn(&T) -> bool) -> Option<&T> {
        let mut works = self.arrivals.iter().rev().map(|arrival| &arrival.work);
        works.find(|work| is_wanted(work))
    }

    /// Removes the arrivals for which `is_unwanted` returns true.
    pub fn remove(&mut self, is_unwanted: impl Fn(&T) -> bool) {
        self.arrivals.retain(|arrival| !is_unwanted(&arrival.work));
    }

    /// Removes and returns the arrivals whose time is over, oldest first.
    pub fn expire(&mut self, now: Duration) -> Vec<T> {
        let (expired, waiting): (VecDeque<_>, VecDeque<_>) = self
            .arrivals
            .drain(..)
            .partition(|arrival| now >= arrival.until);
        self.arrivals = waiting;
        expired.into_iter().map(|arrival| arrival.work).collect()
    }
}
