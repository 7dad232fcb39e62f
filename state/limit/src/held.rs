//! Requests that open flows are expected to send.
//!
//! The number of flows shows a change at once, and the mean request rate of a flow is
//! learned slowly: an observed rate of requests lags behind the number of flows.
use std::time::Duration;

/// Open flows and the requests on them, other than the first of each.
///
/// ```
/// use std::time::Duration;
/// use limit::Held;
///
/// let second = Duration::from_secs(1);
/// let mut held = Held::new(second * 20, 1.0, Duration::ZERO);
/// held.set_flows(Duration::ZERO, 10);
/// assert!(held.expected() > 9.0);
/// held.set_flows(second * 5, 10);
/// assert!(held.expected() < 9.0, "no request was recorded");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Held {
    averaging_time: Duration,
    flows: f64,
    /// Observed requests, with exponential decay.
    requests: f64,
    /// Sum of the seconds for which each flow was open, with exponential decay.
    flow_seconds: f64,
    updated: Duration,
}

impl Held {
    /// Creates an estimate without flows, given the time constant of the mean request
    /// rate of a flow and its initial value in requests a second, which counts as one
    /// second of a flow.
    #[must_use]
    pub const fn new(averaging_time: Duration, flow_rate: f64, now: Duration) -> Self {
        Self {
            averaging_time,
            flows: 0.0,
            requests: flow_rate,
            flow_seconds: 1.0,
            updated: now,
        }
    }

    /// Records a request of a flow other than the flow's first.
    pub const fn record_request(&mut self) {
        self.requests += 1.0;
    }

    /// Records a new flow.
    pub const fn add_flow(&mut self) {
        self.flows += 1.0;
    }

    /// Records the number of open flows.
    pub fn set_flows(&mut self, now: Duration, flows: u32) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.flow_seconds += self.flows * passed;
        self.flows = f64::from(flows);
        let decay = (-passed / self.averaging_time.as_secs_f64()).exp();
        // Keeps at least one second, so that the mean stays defined.
        if self.flow_seconds * decay >= 1.0 {
            self.requests *= decay;
            self.flow_seconds *= decay;
        }
    }

    /// Returns the mean rate of a flow, in requests a second.
    #[must_use]
    pub fn flow_rate(&self) -> f64 {
        self.requests / self.flow_seconds
    }

    /// Returns the expected number of requests a second of all flows.
    #[must_use]
    pub fn expected(&self) -> f64 {
        self.flows * self.flow_rate()
    }
}
