//! Counters of the membership protocol.
use std::collections::BTreeMap;

/// Reason why received data was refused, or a message was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// Heartbeat whose number is not larger than the last one.
    Replay,
    /// Statement about, or by, a process that has a newer incarnation.
    OldIncarnation,
    /// Record that is not newer than the held one.
    Stale,
    /// Statement about a process that is not in the directory.
    UnknownSubject,
    /// Statement by a process that does not watch the one it is about.
    NotWatcher,
    /// Record that was removed after long silence or a departure.
    Departed,
    /// Message that this role does not accept, or that was not requested.
    Unexpected,
    /// Message whose parts contradict each other.
    Malformed,
    /// Bulk message that exceeds the budget of bytes per second.
    Budget,
}

/// Counters since the start of the process, and sizes of what is held.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Bytes sent, including the headers below the message.
    pub sent_bytes: u64,
    /// Bytes received, including the headers below the message.
    pub received_bytes: u64,
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    pub received: u64,
    /// Refusals, by reason.
    pub refusals: BTreeMap<Refusal, u64>,
    /// Suspicions stated by this process.
    pub suspicions: u64,
    /// Number of times that this process started to doubt itself: its tick came
    /// late, or most of what it watches was silent.
    pub self_doubts: u64,
    /// True while this process doubts itself and states no suspicions.
    pub is_doubtful: bool,
    /// Known services.
    pub services: usize,
    /// Known targets.
    pub targets: usize,
    /// Targets whose health is down or doubted.
    pub silent_targets: usize,
    /// Known entries, including this one.
    pub entries: usize,
    /// Processes that this one watches.
    pub watched: usize,
    /// Records that gossip is still spreading.
    pub rumors: usize,
    /// Zones that count as lost.
    pub lost_zones: usize,
}

impl Status {
    /// Counts a refusal.
    pub(crate) fn refuse(&mut self, reason: Refusal) {
        *self.refusals.entry(reason).or_default() += 1;
    }
}
