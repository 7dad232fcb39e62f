//! Calls of the store made for a lease, and their answers.
use std::time::Duration;

use crate::Fault;
use crate::LeaseId;
use crate::Listing;

/// Condition of a write: a key and the lease that must hold it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fence {
    /// Key held by the lease.
    pub key: String,
    /// Lease that must hold the key when the write is applied.
    pub lease: LeaseId,
}

/// Sequence number of a call of one state machine; answers to earlier calls are
/// ignored.
pub type CallId = u64;

/// A call of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// List the keys under a prefix, to find a free one.
    List {
        /// The prefix.
        prefix: String,
    },
    /// Grant a lease.
    Grant {
        /// Time to live.
        ttl: Duration,
    },
    /// Acquire a key under a lease.
    Acquire {
        /// The key.
        key: String,
        /// The lease.
        lease: LeaseId,
    },
    /// Renew a lease.
    Renew {
        /// The lease.
        lease: LeaseId,
    },
    /// Revoke a lease. Its answer is ignored.
    Revoke {
        /// The lease.
        lease: LeaseId,
    },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Answer to [`Call::List`].
    Listed(Result<Listing, Fault>),
    /// Answer to [`Call::Grant`].
    Granted(Result<LeaseId, Fault>),
    /// Answer to [`Call::Acquire`]: whether the lease holds the key.
    Acquired(Result<bool, Fault>),
    /// Answer to [`Call::Renew`].
    Renewed(Result<(), Fault>),
}

/// A call to make, with its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    /// Call id, to be passed back with the answer.
    pub id: CallId,
    /// The call.
    pub call: Call,
}
