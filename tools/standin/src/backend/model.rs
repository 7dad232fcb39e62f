//! Behaviour of a backend server: slots, queue, run time, cold start, answers.
use std::time::Duration;

/// Behaviour of a backend server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the service, echoed in answers.
    pub service: String,
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Number of requests that may wait for a slot; more are shed.
    pub queue_limit: u32,
    /// Mean run time of a request.
    pub mean_time: Duration,
    /// Largest deviation from the mean run time, in percent of it.
    pub spread_percent: u32,
    /// Duration of the cold start.
    pub cold_start: Duration,
    /// Factor on the run time at the beginning of the cold start; it falls
    /// linearly to 1 until the end.
    pub cold_factor: u32,
    /// Minimum size of an answer in bytes.
    pub min_answer_bytes: usize,
    /// Age of the state that the health and load endpoints report.
    pub report_age: Duration,
    /// Whether the health and load endpoints always report an idle, healthy
    /// server.
    pub mislead: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            service: "service".into(),
            slots: 4,
            queue_limit: 8,
            mean_time: Duration::from_millis(20),
            spread_percent: 50,
            cold_start: Duration::ZERO,
            cold_factor: 4,
            min_answer_bytes: 0,
            report_age: Duration::ZERO,
            mislead: false,
        }
    }
}

impl Settings {
    /// Returns the run time of a request that starts when the server has run for
    /// `age`; `uniform` is a random number from 0 to 1.
    #[must_use]
    pub fn run_time(&self, age: Duration, uniform: f64) -> Duration {
        let spread = f64::from(self.spread_percent) / 100.0;
        let factor = 1.0 + spread * (2.0 * uniform - 1.0);
        self.mean_time
            .mul_f64(factor.max(0.0) * self.cold_slowdown(age))
    }

    fn cold_slowdown(&self, age: Duration) -> f64 {
        if age >= self.cold_start {
            return 1.0;
        }
        let left = 1.0 - age.as_secs_f64() / self.cold_start.as_secs_f64();
        1.0 + (f64::from(self.cold_factor) - 1.0) * left
    }
}

/// Returns the answer to a request: the service's name and a line break, then
/// the payload, which is repeated until the answer has at least `size` bytes.
#[must_use]
pub fn answer(service: &str, payload: &[u8], size: usize) -> Vec<u8> {
    let mut body = Vec::with_capacity(size.max(service.len() + 1 + payload.len()));
    body.extend_from_slice(service.as_bytes());
    body.push(b'\n');
    body.extend_from_slice(payload);
    while body.len() < size && !payload.is_empty() {
        let rest = (size - body.len()).min(payload.len());
        body.extend_from_slice(&payload[..rest]);
    }
    body
}

/// Returns the caller's name of a request: the first line of its payload, or the
/// `request-id` header if that line is empty or not UTF-8.
#[must_use]
pub fn request_name(payload: &[u8], header: &str) -> String {
    let line = payload.split(|byte| *byte == b'\n').next().unwrap_or(&[]);
    match std::str::from_utf8(line) {
        Ok(name) if !name.is_empty() => name.into(),
        _ => header.into(),
    }
}
