//! Settings of an agent that forwards packets without reading their content.
use std::time::Duration;

use limit::forecast;
use limit::overload;
use limit::risk;
use limit::warm_up;

/// Settings of an agent that forwards packets without reading their content.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Assumed service time of a request until some have been measured.
    pub initial_service_time: Duration,
    /// Settings of the estimate of the load from held flows.
    pub held_load: forecast::Settings,
    /// Settings of the estimate of the failure rate.
    pub risk: risk::Settings,
    /// Settings of the division among classes of new flows.
    pub overload: overload::Settings,
    /// Limit of the new flows that reach the backend server while it is cold; `None`
    /// where they are not limited.
    pub warm_up: Option<warm_up::Settings>,
    /// Maximum number of requests, beyond its slots, that the backend server is
    /// sent concurrently. The server rejects requests that exceed its own short
    /// queue. Further flows wait at the agent.
    pub max_queued: u16,
    /// Maximum number of flows that the backend server holds.
    pub max_flows: usize,
    /// Time after the agent's start during which a backend server that may have
    /// been running before is assumed to be ready. At least the interval
    /// between two announcements.
    pub assumed_ready_time: Duration,
    /// Assumed number of slots until the backend server announces its own.
    pub initial_slots: u16,
    /// Maximum interval between two announcements.
    pub max_announcement_interval: Duration,
    /// Time without an announcement after which no new flows are admitted.
    /// Shorter than the time after which the backend server's address may be
    /// reused for another service.
    pub announcement_timeout: Duration,
    /// Time without any reaction to an opening packet after which no new flows
    /// are admitted.
    pub reaction_timeout: Duration,
    /// Time after an opening packet within which its caller cannot have
    /// retransmitted it yet. A rejection in this time can safely be reported to
    /// the caller.
    pub prompt_rejection: Duration,
    /// Time after the first opening packet of a flow for which its caller waits for
    /// the flow to open. Later copies are not delivered.
    pub opening_timeout: Duration,
    /// Time that the answer to an opening packet takes to reach its caller, at
    /// most. A flow waits for a slot for so much less than its caller does.
    pub answer_delay: Duration,
    /// Time for which a slot stays reserved for the first request of a flow.
    pub reservation_timeout: Duration,
    /// Time without a reaction to a probe after which another packet of the
    /// flow is sent as a probe.
    pub probe_interval: Duration,
    /// Maximum time by which a backend server starts before its agent where both
    /// start with their host. After a loss of power of all hosts, agents were
    /// back after 30 ms and servers within 500 ms.
    pub start_lead: Duration,
    /// Timeout of a search for the holder of a flow.
    pub search_timeout: Duration,
    /// Upper limit of the age of a flow.
    pub max_flow_age: Duration,
    /// Time without packets after which a flow is dropped.
    pub idle_timeout: Duration,
    /// Time for which a flow is kept after it has ended or was forwarded.
    pub linger: Duration,
    /// Interval between two sweeps for expired state.
    pub sweep_interval: Duration,
}

impl Settings {
    /// Returns how long the caller of a first opening packet waits for room at a
    /// backend server.
    pub(super) fn patience(&self) -> Duration {
        self.opening_timeout.saturating_sub(self.answer_delay)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            initial_service_time: Duration::from_millis(20),
            held_load: forecast::Settings::default(),
            risk: risk::Settings::default(),
            overload: overload::Settings::default(),
            warm_up: None,
            max_queued: 6,
            max_flows: 2_000,
            assumed_ready_time: Duration::from_secs(2),
            initial_slots: 2,
            max_announcement_interval: Duration::from_secs(1),
            announcement_timeout: Duration::from_millis(1_900),
            reaction_timeout: Duration::from_millis(150),
            prompt_rejection: Duration::from_millis(100),
            opening_timeout: Duration::from_millis(1_400),
            answer_delay: Duration::from_millis(100),
            reservation_timeout: Duration::from_millis(500),
            probe_interval: Duration::from_secs(1),
            start_lead: Duration::from_millis(500),
            search_timeout: Duration::from_millis(500),
            max_flow_age: Duration::from_mins(1),
            idle_timeout: Duration::from_mins(1),
            linger: Duration::from_secs(4),
            sweep_interval: Duration::from_millis(100),
        }
    }
}
