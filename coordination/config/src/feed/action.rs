//! Actions and counts of a feed.
use std::time::Duration;

use wire::Revision;

use crate::Service;
use crate::lease::CallId;

/// A call to make, or an update to publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// List all keys under a prefix.
    List {
        /// Call id, to be passed back with the answer.
        id: CallId,
        /// Prefix of the keys.
        prefix: String,
    },
    /// Wait for a change under a prefix, then list all keys under it.
    Watch {
        /// Call id, to be passed back with the answer.
        id: CallId,
        /// Prefix of the keys.
        prefix: String,
        /// Index after which a change ends the wait.
        since: Revision,
        /// Maximum time to wait for a change.
        wait: Duration,
    },
    /// Put a configuration in force and gossip it.
    Publish(Update),
}

/// A service's configuration and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Configuration of the service.
    pub service: Service,
    /// Revision of the stored record.
    pub revision: Revision,
}

/// Counts of a feed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Configurations published.
    pub published: u64,
    /// Lists of all services.
    pub relists: u64,
    /// Lists of one bucket.
    pub lists: u64,
    /// Long polls of the change markers.
    pub watches: u64,
    /// Failed calls.
    pub failures: u64,
    /// Records that could not be decoded or that failed validation.
    pub malformed: u64,
    /// Records older than the newest published record of their service.
    pub stale: u64,
    /// Watches answered with a lower index than the one they started from.
    pub index_resets: u64,
}
