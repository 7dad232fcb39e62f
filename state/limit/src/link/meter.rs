//! Measures the load of a link.
use std::time::Duration;

/// Time over which the load is averaged.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Bytes that were offered in each window.
#[derive(Debug)]
pub struct Meter {
    start: Duration,
    bytes: f64,
    /// Bytes per second in the last full window.
    last: f64,
}

impl Meter {
    /// Creates a meter that has measured nothing.
    pub const fn new(now: Duration) -> Self {
        Self {
            start: now,
            bytes: 0.0,
            last: 0.0,
        }
    }

    /// Adds a packet.
    #[expect(clippy::cast_precision_loss, reason = "packets are small")]
    pub fn add(&mut self, now: Duration, bytes: usize) {
        let elapsed = now.saturating_sub(self.start);
        if elapsed >= WINDOW {
            self.last = self.bytes / elapsed.as_secs_f64();
            self.bytes = 0.0;
            self.start = now;
        }
        self.bytes += bytes as f64;
    }

    /// Returns the bytes per second in the last full window, or none if no packet came
    /// since.
    pub fn rate(&self, now: Duration) -> f64 {
        let is_stale = now >= self.start + WINDOW * 2;
        if is_stale { 0.0 } else { self.last }
    }
}
