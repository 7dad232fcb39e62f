//! Failures of calls to the platform's key-value service.
use displaydoc::Display;
use thiserror::Error;

/// A failed call to the platform's key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Error)]
pub enum Fault {
    /// the connection to the store failed; check its address, and retry later
    Unreachable,
    /// the store answered with server error {status}; retry later
    Failed {
        /// HTTP status.
        status: u16,
        /// Whether the store may have applied the call despite the failure.
        maybe_applied: bool,
    },
    /// no complete answer from the store; read back any write, or retry later
    Lost {
        /// Whether the store may have applied the call despite the failure.
        maybe_applied: bool,
    },
    /// the answer is from before the store was restored from a copy; call again
    Outdated,
    /// the key was changed by another write since it was read; read it again
    Conflict,
    /// the lease has expired; acquire a new one
    Expired,
    /// the store's answer cannot be decoded; check that its protocol is supported
    Malformed,
    /// the store rejected the call with status {status}; check key, size and permissions
    Rejected {
        /// HTTP status.
        status: u16,
    },
}

impl Fault {
    /// Returns `true` if the store may have applied the call despite the failure.
    #[must_use]
    pub const fn maybe_applied(self) -> bool {
        match self {
            Self::Failed { maybe_applied, .. } | Self::Lost { maybe_applied } => maybe_applied,
            Self::Unreachable
            | Self::Outdated
            | Self::Conflict
            | Self::Expired
            | Self::Malformed
            | Self::Rejected { .. } => false,
        }
    }
}
