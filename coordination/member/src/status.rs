//! Counters of the membership protocol.
use std::collections::BTreeMap;

/// Why something received was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// A heartbeat whose number or incarnation was seen before.
    Replay,
    /// A record that is not newer than the one held.
    Stale,
    /// A message that this role does not take.
    Unexpected,
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
    /// Services held.
    pub services: usize,
    /// Targets held.
    pub targets: usize,
    /// Targets held down or doubted.
    pub silent: usize,
    /// Entries held, this one included.
    pub entries: usize,
}

impl Status {
    /// Counts a refusal.
    pub(crate) fn refuse(&mut self, reason: Refusal) {
        *self.refusals.entry(reason).or_default() += 1;
    }
}
