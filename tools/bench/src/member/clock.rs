//! Processor time of this process, which other processes do not disturb.
use std::fs;
use std::time::Duration;

/// Measures processor time from its start.
pub struct Clock {
    started: Duration,
}

impl Clock {
    /// Starts to measure.
    pub fn start() -> Self {
        Self { started: used() }
    }

    /// Processor time since the start.
    pub fn spent(&self) -> Duration {
        used().saturating_sub(self.started)
    }
}

/// Processor time of the only thread: the first field of `schedstat`.
fn used() -> Duration {
    let schedstat = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanos = schedstat.split_whitespace().next();
    Duration::from_nanos(nanos.and_then(|nanos| nanos.parse().ok()).unwrap_or(0))
}
