//! Decides for how long a slot stays reserved for the first request of a new flow.
//!
//! A caller whose opening packet reached several backend servers sends its request
//! to one of them. Where many do, after a failure, reservations at the others can
//! take most of the slots, so they last only as long as a request may still come.
use std::time::Duration;

use crate::capacity::Mean;

/// Timeout as a multiple of the mean time to the first request. A request that
/// comes later still runs; its slot counts from then on.
const TIMEOUT_FACTOR: u32 = 4;

/// Shortest timeout, against a mean from callers next door.
const MIN_TIMEOUT: Duration = Duration::from_millis(20);

/// Timeout of the reservations at one backend server, from the times at which
/// earlier requests came.
///
/// ```
/// use std::time::Duration;
/// use limit::Reservation;
///
/// let longest = Duration::from_millis(500);
/// let mut reservation = Reservation::new(longest);
/// assert_eq!(reservation.timeout(), longest);
/// for _ in 0..100 {
///     reservation.record_request(Duration::from_millis(10));
/// }
/// assert!(reservation.timeout() < Duration::from_millis(50));
/// ```
#[derive(Debug)]
pub struct Reservation {
    longest: Duration,
    mean: Mean,
}

impl Reservation {
    /// Creates an estimate without requests; its timeout is the longest.
    #[must_use]
    pub fn new(longest: Duration) -> Self {
        Self {
            longest,
            mean: Mean::new(longest / TIMEOUT_FACTOR),
        }
    }

    /// Records the time from an opening packet to the first request of its flow.
    pub fn record_request(&mut self, took: Duration) {
        self.mean.add(took);
    }

    /// Returns the time after an opening packet at which its reservation ends.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        (self.mean.fast() * TIMEOUT_FACTOR)
            .max(MIN_TIMEOUT)
            .min(self.longest)
    }
}
