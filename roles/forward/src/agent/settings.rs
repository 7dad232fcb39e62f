//! Settings of an agent that carries flows unread.
use std::time::Duration;

use limit::held;
use limit::risk;

/// Settings of an agent that carries flows unread.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Service time of requests until some have shown it.
    pub initial_service_time: Duration,
    /// How the load of held flows is estimated.
    pub held_load: held::Settings,
    /// How the likelihood of failures is estimated.
    pub risk: risk::Settings,
    /// Requests beyond its slots that the backend server is sent at a time. It
    /// rejects what does not fit into its own short queue.
    pub max_queued: u16,
    /// Flows that the backend server holds at most.
    pub max_flows: usize,
    /// Time after the start in which a backend server that may have lived before
    /// is taken to be ready. At least the time between two announcements.
    pub assumed: Duration,
    /// Slots of a backend server until it states them.
    pub initial_slots: u16,
    /// Longest time between two announcements.
    pub heartbeat: Duration,
    /// Time without an announcement after which the backend server takes no new
    /// flows. Shorter than the time after which its address may serve another
    /// service.
    pub silence: Duration,
    /// Time without any reaction to an opening packet after which it takes none.
    pub reaction_timeout: Duration,
    /// Time after an opening packet within which its caller has sent no copy.
    pub prompt_rejection: Duration,
    /// Time for which a slot is kept for the first request of a flow.
    pub reservation_timeout: Duration,
    /// Time without a reaction after which another packet of an unknown flow is
    /// tried.
    pub probe_interval: Duration,
    /// Time for which answers to a search are waited for.
    pub search_timeout: Duration,
    /// Age that no flow exceeds.
    pub oldest_flow: Duration,
    /// Time for which a flow without packets is remembered.
    pub idle: Duration,
    /// Time for which a flow that has ended or was passed on is remembered.
    pub linger: Duration,
    /// Time between two looks for flows to forget.
    pub sweep_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            initial_service_time: Duration::from_millis(20),
            held_load: held::Settings::default(),
            risk: risk::Settings::default(),
            max_queued: 6,
            max_flows: 2_000,
            assumed: Duration::from_secs(2),
            initial_slots: 2,
            heartbeat: Duration::from_secs(1),
            silence: Duration::from_millis(1_900),
            reaction_timeout: Duration::from_millis(150),
            prompt_rejection: Duration::from_millis(100),
            reservation_timeout: Duration::from_millis(500),
            probe_interval: Duration::from_secs(1),
            search_timeout: Duration::from_millis(500),
            oldest_flow: Duration::from_mins(1),
            idle: Duration::from_mins(1),
            linger: Duration::from_secs(4),
            sweep_interval: Duration::from_millis(100),
        }
    }
}
