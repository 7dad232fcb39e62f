//! Settings of the membership protocol.
use std::time::Duration;

/// Settings of the membership protocol; the same in every process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between two heartbeats of a process.
    pub heartbeat: Duration,
    /// Silence after which a watcher suspects a process.
    pub silence: Duration,
    /// Time between two rounds of gossip.
    pub round: Duration,
    /// Peers that a round pushes to.
    pub fanout: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            silence: Duration::from_millis(3_500),
            round: Duration::from_millis(250),
            fanout: 3,
        }
    }
}
