//! Counters of the membership protocol.
use std::collections::BTreeMap;

/// Why something received was not taken, or something asked was not done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// A heartbeat whose number was seen before.
    Replay,
    /// A statement about, or by, a process that has a newer incarnation.
    OldIncarnation,
    /// A record that is not newer than the one held.
    Stale,
    /// A statement about a process that is not in the directory.
    UnknownSubject,
    /// A statement of a process that does not watch the one it is about.
    NotWatcher,
    /// A record that was dropped after it had been silent for long.
    Departed,
    /// A message that this role does not take, or that was not asked for.
    Unexpected,
    /// A message whose parts contradict each other.
    Malformed,
    /// Bulk that waits for the budget of bytes a second.
    Budget,
}

/// Counters since the start of the process, and sizes of what is held.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Bytes sent, with the headers below the message.
    pub sent_bytes: u64,
    /// Bytes received, with the headers below the message.
    pub received_bytes: u64,
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    pub received: u64,
    /// What was not taken, by reason.
    pub refusals: BTreeMap<Refusal, u64>,
    /// Suspicions that this process stated.
    pub suspicions: u64,
    /// Times that this process doubted itself: its tick came late, or it lost
    /// most of what it watches.
    pub self_doubts: u64,
    /// True while this process doubts itself and suspects nobody.
    pub is_doubtful: bool,
    /// Services held.
    pub services: usize,
    /// Targets held.
    pub targets: usize,
    /// Targets held down or doubted.
    pub silent: usize,
    /// Entries held, this one included.
    pub entries: usize,
    /// Processes that this one watches.
    pub watched: usize,
    /// Records that gossip is still passing on.
    pub hot: usize,
    /// Zones held to be lost.
    pub lost_zones: usize,
}

impl Status {
    /// Counts a refusal.
    pub(crate) fn refuse(&mut self, reason: Refusal) {
        *self.refusals.entry(reason).or_default() += 1;
    }
}
