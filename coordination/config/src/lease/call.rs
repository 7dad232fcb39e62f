//! The calls of the store that a lease needs.
use std::time::Duration;

use crate::Fault;
use crate::LeaseId;
use crate::Listing;

/// A key and the lease that must hold it when a write is applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fence {
    /// The key held.
    pub key: String,
    /// The lease that must hold it.
    pub lease: LeaseId,
}

/// Numbers the calls of one state machine; an answer to an older call is
/// ignored.
pub type CallId = u64;

/// A call of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// List the keys under a prefix.
    Look {
        /// The prefix.
        prefix: String,
    },
    /// Start a lease.
    Grant {
        /// Time to live.
        ttl: Duration,
    },
    /// Take a key for a lease.
    Acquire {
        /// The key.
        key: String,
        /// The lease.
        lease: LeaseId,
    },
    /// Renew a lease.
    KeepAlive {
        /// The lease.
        lease: LeaseId,
    },
    /// End a lease. The answer is of no interest.
    Revoke {
        /// The lease.
        lease: LeaseId,
    },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// To [`Call::Look`].
    Looked(Result<Listing, Fault>),
    /// To [`Call::Grant`].
    Granted(Result<LeaseId, Fault>),
    /// To [`Call::Acquire`]: whether the lease holds the key.
    Acquired(Result<bool, Fault>),
    /// To [`Call::KeepAlive`].
    Kept(Result<(), Fault>),
}

/// A call to make, and its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    /// Comes back with the answer.
    pub id: CallId,
    /// The call.
    pub call: Call,
}
