//! Wall-clock time of the operating system.
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use wire::Incarnation;

/// Returns an incarnation for a process that starts now: microseconds since the
/// Unix epoch.
#[must_use]
pub fn incarnation() -> Incarnation {
    Incarnation::try_from(unix_time().as_micros()).unwrap_or(Incarnation::MAX)
}

/// Returns the seconds since the Unix epoch.
#[must_use]
pub fn unix_seconds() -> u64 {
    unix_time().as_secs()
}

/// Returns the time since the Unix epoch.
#[must_use]
pub fn unix_time() -> Duration {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.unwrap_or_default()
}

/// Returns the time since a moment in milliseconds since the Unix epoch, or `None`
/// if this host's clock has not reached it or there is none (0).
#[must_use]
pub fn elapsed_since(unix_millis: u64) -> Option<Duration> {
    let moment = UNIX_EPOCH.checked_add(Duration::from_millis(unix_millis))?;
    let elapsed = SystemTime::now().duration_since(moment).ok();
    elapsed.filter(|_| unix_millis > 0)
}
