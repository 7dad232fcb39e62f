//! Processor time of this process, which other processes do not disturb.
use std::fs;
use std::time::Duration;

/// Measures processor time from its start.
pub struct Timer {
    started: Duration,
}

impl Timer {
    /// Starts to measure.
    pub fn start() -> Self {
        Self {
            started: cpu_time(),
        }
    }

    /// Processor time since the start.
    pub fn elapsed(&self) -> Duration {
        cpu_time().saturating_sub(self.started)
    }
}

/// Processor time of the only thread: the first field of `schedstat`.
fn cpu_time() -> Duration {
    let schedstat = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanos = schedstat.split_whitespace().next();
    Duration::from_nanos(nanos.and_then(|nanos| nanos.parse().ok()).unwrap_or(0))
}
