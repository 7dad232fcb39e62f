//! The edge to the platform's key-value service.
//!
//! * [`Store`] is the trait that the rest of the system sees.
//! * [`Http`] is a client over HTTP.
//! * [`reader`] runs the reads that keep an entry's configuration fresh.
//! * [`change`] carries out an operator's change.
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
pub use config::Item;
pub use config::LeaseId;
pub use config::Listing;

pub use count::Counts;
pub use http::Http;

/// A write of one key on condition that it has not changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// The key to write.
    pub key: String,
    /// The new value.
    pub value: Vec<u8>,
    /// Revision that the key must still have; 0 where it must not exist.
    pub expected: Revision,
    /// Key to write in the same step, whatever it holds, with an empty value.
    pub touch: Option<String>,
    /// Lease that must still hold its key at the moment of the write.
    pub fence: Option<Fence>,
}

/// The platform's key-value service.
///
/// Every call fails with a [`Fault`]; [`Fault::maybe_applied`] tells whether a
/// write may have taken effect all the same.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Item>, Fault>> + Send;

    /// Reads all keys under a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, Fault>> + Send;

    /// Reads all keys under a prefix from any replica: cheaper, and possibly
    /// seconds old.
    fn list_stale(&self, prefix: &str) -> impl Future<Output = Result<Listing, Fault>> + Send;

    /// Waits until something under a prefix changes after `since`, then reads
    /// all keys under it. Returns after `wait` where nothing changed.
    fn watch(
        &self,
        prefix: &str,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, Fault>> + Send;

    /// Writes a key on condition, and returns its new revision. Fails with
    /// [`Fault::Conflict`] where the key has changed, [`Fault::Lapsed`] where
    /// the fence no longer holds.
    fn swap(&self, swap: Swap) -> impl Future<Output = Result<Revision, Fault>> + Send;

    /// Starts a lease that ends `ttl` after its last renewal.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, Fault>> + Send;

    /// Renews a lease. Fails with [`Fault::Lapsed`] where it has ended.
    fn keep_alive(&self, lease: &LeaseId) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Ends a lease and frees the keys it holds.
    fn revoke(&self, lease: &LeaseId) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Takes a key for a lease; true where the lease holds it now.
    fn acquire(
        &self,
        key: &str,
        lease: &LeaseId,
    ) -> impl Future<Output = Result<bool, Fault>> + Send;
}
