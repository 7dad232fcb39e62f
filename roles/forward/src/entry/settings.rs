//! Settings of an entry that forwards packets without reading their content.
use std::time::Duration;

use route::placement;
use route::refusal;

/// Settings of an entry that forwards packets without reading their content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Settings of the ranking of backend servers for new flows.
    pub place: placement::Settings,
    /// Settings of the refusal of classes that no backend server has capacity for.
    pub refusal: refusal::Settings,
    /// Maximum number of agents that an opening packet visits before the bids
    /// decide.
    pub path_length: usize,
    /// Time without an answer after which an agent is considered unresponsive.
    /// Shorter than the time after which callers retransmit an opening packet.
    pub agent_timeout: Duration,
    /// Time after the first opening packet of a flow for which its caller waits for
    /// the flow to open. A first opening packet after that begins another flow.
    pub opening_timeout: Duration,
    /// Time after the start during which some backend servers may not be known
    /// yet.
    pub startup_grace: Duration,
    /// Minimum time after the start before all agents can be assumed to be known.
    pub min_discovery: Duration,
    /// Time after the start after which all agents can be assumed to be known
    /// even if no other entry has sent its list.
    pub max_discovery: Duration,
    /// Time without a new agent after which all agents can be assumed to be
    /// known.
    pub discovery_quiet: Duration,
    /// Time after the start during which callers may still use flows that ended
    /// in the failure before the start, for example a power loss, before they
    /// drop them as idle.
    pub stale_flow_window: Duration,
    /// Maximum time by which a backend server that started together with this
    /// entry, for example after a power loss, may have started earlier.
    pub start_skew: Duration,
    /// Maximum number of flows in the flow table; each takes some 150 bytes.
    pub max_flows: usize,
    /// Minimum time for which a flow without packets is kept.
    pub min_idle_timeout: Duration,
    /// Time for which a flow without packets is kept while it is being opened,
    /// closed or searched for.
    pub linger: Duration,
    /// Time after a search without a result before the flow is searched for
    /// again.
    pub lost_retry_interval: Duration,
    /// Interval between two sweeps for expired flows.
    pub sweep_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            place: placement::Settings::default(),
            refusal: refusal::Settings::default(),
            path_length: 3,
            agent_timeout: Duration::from_millis(150),
            opening_timeout: Duration::from_millis(1_400),
            startup_grace: Duration::from_secs(3),
            min_discovery: Duration::from_millis(600),
            max_discovery: Duration::from_millis(1_500),
            discovery_quiet: Duration::from_millis(400),
            stale_flow_window: Duration::from_secs(20),
            start_skew: Duration::from_secs(3),
            max_flows: 65_536,
            min_idle_timeout: Duration::from_secs(20),
            linger: Duration::from_secs(4),
            lost_retry_interval: Duration::from_millis(400),
            sweep_interval: Duration::from_secs(1),
        }
    }
}
