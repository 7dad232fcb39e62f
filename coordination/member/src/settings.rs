//! Settings of the membership protocol.
use std::time::Duration;

/// Settings of the membership protocol; the same in every process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between two heartbeats of a process.
    pub heartbeat_interval: Duration,
    /// Number of entries in its region that watch one process.
    pub watcher_count: usize,
    /// Silence after which a watcher probes a process.
    pub probe_after: Duration,
    /// Silence after which a process counts as silent.
    pub silence_timeout: Duration,
    /// Further delay before a watcher states its suspicion, in which the
    /// failure of a whole zone can be recognised as such.
    pub suspicion_delay: Duration,
    /// Time between two rounds of periodic work.
    pub round_interval: Duration,
    /// Time between two gossip pushes.
    pub push_interval: Duration,
    /// Number of peers that receive each gossip push.
    pub fanout: usize,
    /// Time between two comparisons of digests with a peer.
    pub compare_interval: Duration,
    /// Budget of bytes per second in each direction.
    pub byte_rate: u32,
    /// Time for which departed and silent processes are kept. Longer than
    /// partitions between regions are expected to last.
    pub retention: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_secs(1),
            watcher_count: 3,
            probe_after: Duration::from_millis(1_500),
            silence_timeout: Duration::from_millis(2_500),
            suspicion_delay: Duration::from_secs(1),
            round_interval: Duration::from_millis(250),
            push_interval: Duration::from_millis(50),
            fanout: 3,
            compare_interval: Duration::from_secs(1),
            byte_rate: 12_000,
            retention: Duration::from_hours(3),
        }
    }
}

impl Settings {
    /// Returns the delay of a tick beyond which a process disregards the
    /// silences that it measured.
    #[must_use]
    pub fn max_tick_delay(&self) -> Duration {
        self.heartbeat_interval / 2
    }
}
