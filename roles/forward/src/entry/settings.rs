//! Settings of an entry that carries flows unread.
use std::time::Duration;

use route::place;

/// Settings of an entry that carries flows unread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How backend servers are ranked for new flows.
    pub place: place::Settings,
    /// Agents that an opening packet visits before one settles it.
    pub path_length: usize,
    /// Time without an answer after which an agent counts as not answering.
    /// Shorter than the time after which callers repeat an opening packet.
    pub agent_timeout: Duration,
    /// Time after the start in which not every backend server may be known.
    pub startup_grace: Duration,
    /// Time after the start in which the agents are not all known.
    pub min_discovery: Duration,
    /// Time after the start after which the agents are taken to be known although
    /// no other entry has told of them.
    pub max_discovery: Duration,
    /// Time without a new agent after which all are taken to be known.
    pub discovery_quiet: Duration,
    /// Time after the start in which callers may still use flows that ended with
    /// everything else, before they give them up as idle.
    pub stale_flow_window: Duration,
    /// Longest time by which a backend server that started together with this
    /// entry, as after a loss of power, is older.
    pub start_skew: Duration,
    /// Flows that are remembered; each takes some 150 bytes.
    pub max_flows: usize,
    /// Least time for which a silent flow is remembered.
    pub min_idle_timeout: Duration,
    /// Time for which a flow that opens, closes or is searched for is
    /// remembered.
    pub linger: Duration,
    /// Time before a flow that nobody holds is searched for again.
    pub lost_retry_interval: Duration,
    /// Time between two looks for flows to forget.
    pub sweep_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            place: place::Settings::default(),
            path_length: 3,
            agent_timeout: Duration::from_millis(150),
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
