//! Wall-clock time of the operating system.
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use wire::Incarnation;

/// Returns an incarnation for a process that starts now: microseconds since the
/// Unix epoch.
#[must_use]
pub fn incarnation() -> Incarnation {
    let age = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::try_from(age.as_micros()).unwrap_or(Incarnation::MAX)
}
