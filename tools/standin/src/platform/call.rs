//! Counts of the calls received.
use serde::Deserialize;
use serde::Serialize;

/// Calls received since the start; controls are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads of a key or prefix that did not wait.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Watches; each counts once.
    pub watches: u64,
    /// Session calls and acquired keys.
    pub leases: u64,
    /// Calls that a fault refused or hung.
    pub refused: u64,
    /// Watches that wait now.
    pub waiting: u64,
}
