//! Client of the platform's key-value service, the store.
//!
//! * [`Store`] is the trait that the rest of the system uses.
//! * [`Http`] implements it over Consul's HTTP API.
//! * [`reader`] keeps an entry's configuration up to date.
//! * [`change`] applies an operator's change.
pub mod change;
pub mod count;
pub mod http;
pub mod reader;
mod schema;

use std::future::Future;
use std::time::Duration;

use wire::Revision;

pub use config::Fault;
pub use config::Fence;
pub use config::KeyValue;
pub use config::LeaseId;
pub use config::Listing;

pub use count::Counts;
pub use http::Http;

/// A compare-and-swap write of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// Key to write.
    pub key: String,
    /// New value.
    pub value: Vec<u8>,
    /// Revision that the key must still have; 0 if it must not exist.
    pub expected: Revision,
    /// Key to set unconditionally to an empty value in the same transaction.
    pub touch: Option<String>,
    /// Lease that must still hold its key when the write is applied.
    pub fence: Option<Fence>,
}

/// The platform's key-value service.
///
/// A failed call returns a [`Fault`]; [`Fault::maybe_applied`] tells whether the
/// store may have applied the call despite the failure.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads one key; returns `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<KeyValue>, Fault>> + Send;

    /// Reads all keys under a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, Fault>> + Send;

    /// Reads all keys under a prefix from any replica; this is cheaper than
    /// [`Self::list`], but the answer may be seconds old.
    fn list_stale(&self, prefix: &str) -> impl Future<Output = Result<Listing, Fault>> + Send;

    /// Waits until a key under a prefix changes after index `since`, for at most
    /// `wait`, then reads all keys under the prefix.
    fn watch(
        &self,
        prefix: &str,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, Fault>> + Send;

    /// Writes a key by compare-and-swap and returns its new revision. Fails with
    /// [`Fault::Conflict`] if the key has changed and with [`Fault::Expired`] if
    /// the fence's lease no longer holds its key.
    fn swap(&self, swap: Swap) -> impl Future<Output = Result<Revision, Fault>> + Send;

    /// Grants a lease that expires `ttl` after its last renewal.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, Fault>> + Send;

    /// Renews a lease. Fails with [`Fault::Expired`] if it has expired.
    fn renew(&self, lease: &LeaseId) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Revokes a lease and releases the keys it holds.
    fn revoke(&self, lease: &LeaseId) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Acquires a key under a lease; returns `true` if the lease now holds it.
    fn acquire(
        &self,
        key: &str,
        lease: &LeaseId,
    ) -> impl Future<Output = Result<bool, Fault>> + Send;
}
