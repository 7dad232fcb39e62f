//! Settings of the membership protocol.
use std::time::Duration;

/// Settings of the membership protocol; the same in every process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between two heartbeats of a process.
    pub heartbeat: Duration,
    /// Entries that watch one process, within its region.
    pub watchers: usize,
    /// Silence after which a watcher probes a process.
    pub probe: Duration,
    /// Silence after which a process counts as silent.
    pub silence: Duration,
    /// Further wait before a watcher states its suspicion, in which the
    /// failure of a whole zone shows itself as such.
    pub settle: Duration,
    /// Time between two looks at what is silent or due.
    pub round: Duration,
    /// Time between two pushes of news.
    pub pace: Duration,
    /// Peers that news is pushed to at a time.
    pub fanout: usize,
    /// Time between two comparisons of digests with a peer.
    pub compare: Duration,
    /// Bytes a second that an entry sends.
    pub send_rate: u32,
    /// Time for which departed and silent processes are remembered. Longer
    /// than regions are expected to lose each other.
    pub retention: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            watchers: 3,
            probe: Duration::from_millis(1_500),
            silence: Duration::from_millis(2_500),
            settle: Duration::from_secs(1),
            round: Duration::from_millis(250),
            pace: Duration::from_millis(50),
            fanout: 3,
            compare: Duration::from_secs(1),
            send_rate: 12_000,
            retention: Duration::from_hours(3),
        }
    }
}

impl Settings {
    /// Lateness of a tick after which a process doubts what it did not hear.
    #[must_use]
    pub fn pause(&self) -> Duration {
        self.heartbeat / 2
    }
}
