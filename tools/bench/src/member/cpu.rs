//! Processor time of this process. Unlike elapsed time, it does not grow while
//! other processes run.
use std::fs;
use std::time::Duration;

/// Measures processor time since its creation.
pub struct Stopwatch {
    /// Processor time at the creation.
    started: Duration,
}

impl Stopwatch {
    /// Starts the measurement.
    pub fn start() -> Self {
        Self {
            started: cpu_time(),
        }
    }

    /// Returns the processor time since the start.
    pub fn elapsed(&self) -> Duration {
        cpu_time().saturating_sub(self.started)
    }
}

/// Returns the processor time of the main thread, which is the only one: the
/// first field of `schedstat`.
fn cpu_time() -> Duration {
    let schedstat = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanos = schedstat.split_whitespace().next();
    Duration::from_nanos(nanos.and_then(|nanos| nanos.parse().ok()).unwrap_or(0))
}
