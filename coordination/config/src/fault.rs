//! Why a call of the platform's key-value service failed.
use displaydoc::Display;
use thiserror::Error;

/// Why a call of the platform's key-value service failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Error)]
pub enum Fault {
    /// the store cannot be reached; check its address, and try again later
    Unreachable,
    /// the store failed on its side with status {status}; try again later
    Failed {
        /// The HTTP status.
        status: u16,
        /// Whether the call may have taken effect all the same.
        maybe_applied: bool,
    },
    /// the store did not answer in time; read back what was written, or try again later
    Lost {
        /// Whether the call may have taken effect all the same.
        maybe_applied: bool,
    },
    /// the value changed since it was read; read it again
    Conflict,
    /// the lease has lapsed; acquire a new one
    Lapsed,
    /// the store's answer cannot be read; check that its protocol is supported
    Malformed,
    /// the store rejected the call with status {status}; check key, size and permissions
    Rejected {
        /// The HTTP status.
        status: u16,
    },
}

impl Fault {
    /// Whether the call may have taken effect although it failed.
    #[must_use]
    pub const fn maybe_applied(self) -> bool {
        match self {
            Self::Failed { maybe_applied, .. } | Self::Lost { maybe_applied } => maybe_applied,
            Self::Unreachable
            | Self::Conflict
            | Self::Lapsed
            | Self::Malformed
            | Self::Rejected { .. } => false,
        }
    }
}
