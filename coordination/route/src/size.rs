//! Learns what the flows of a route carry.
//!
//! An entry sees the callers' packets only: their content, and by their
//! acknowledgements the content of the answers.
use std::time::Duration;

/// Time constant of the decay of old flows; about the longest life of a flow, so
/// that the requests of a long flow are counted while its opening still is.
const DECAY_TIME: Duration = Duration::from_mins(1);

/// Number of flows with one request each that are assumed in advance.
const PRIOR_FLOWS: f64 = 4.0;

/// Bytes of a request and its answer assumed in advance.
const PRIOR_BYTES: f64 = 1_000.0;

/// Mean number of requests and bytes of the flows of a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    flows: f64,
    requests: f64,
    bytes: f64,
    updated: Duration,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            flows: PRIOR_FLOWS,
            requests: PRIOR_FLOWS,
            bytes: PRIOR_FLOWS * PRIOR_BYTES,
            updated: Duration::ZERO,
        }
    }
}

impl Size {
    /// Records that a flow was opened.
    pub fn record_flow(&mut self, now: Duration) {
        self.apply_decay(now);
        self.flows += 1.0;
    }

    /// Records a packet of a caller: whether it begins a request, and the bytes that
    /// it carries or acknowledges.
    pub fn record_packet(&mut self, now: Duration, is_request: bool, bytes: u32) {
        self.apply_decay(now);
        self.requests += f64::from(u8::from(is_request));
        self.bytes += f64::from(bytes);
    }

    /// Returns the mean number of requests of a flow, at least 1.
    #[must_use]
    pub fn requests(&self) -> f64 {
        (self.requests / self.flows).max(1.0)
    }

    /// Returns the mean bytes of a request and its answer.
    #[must_use]
    pub fn request_bytes(&self) -> f64 {
        self.bytes / self.requests
    }

    /// Decays the counts down to those assumed in advance, so that the means stay
    /// defined.
    fn apply_decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        let decay = (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        if self.flows * decay >= PRIOR_FLOWS && self.requests * decay >= PRIOR_FLOWS {
            self.flows *= decay;
            self.requests *= decay;
            self.bytes *= decay;
        }
    }
}
