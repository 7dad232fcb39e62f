//! Numbers of the calls received.
use serde::Deserialize;
use serde::Serialize;

/// Numbers of calls since the start, without those that set faults, end
/// sessions or read these numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads of a key or prefix that are not watches.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Watches: reads that wait for a change. Each counts once.
    pub watches: u64,
    /// All other calls that write: sessions and acquisitions of keys.
    pub leases: u64,
    /// Calls that a fault refused or left without an answer.
    pub refused: u64,
    /// Watches that are waiting now.
    pub waiting: u64,
}
