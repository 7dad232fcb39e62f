//! What a feed does, and its counts.
use std::time::Duration;

use wire::Revision;

use crate::Service;
use crate::lease::CallId;

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// List all keys under a prefix.
    List {
        /// Comes back with the answer.
        id: CallId,
        /// The prefix.
        prefix: String,
    },
    /// Wait for a change under a prefix, then list all keys under it.
    Watch {
        /// Comes back with the answer.
        id: CallId,
        /// The prefix.
        prefix: String,
        /// Index to wait beyond.
        since: Revision,
        /// Longest wait.
        wait: Duration,
    },
    /// Take over a configuration and spread it.
    Publish(Update),
}

/// A configuration and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The configuration.
    pub service: Service,
    /// Its revision.
    pub revision: Revision,
}

/// Counts of a feed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Configurations published.
    pub published: u64,
    /// Reads of everything.
    pub relists: u64,
    /// Reads of one bucket.
    pub lists: u64,
    /// Long polls.
    pub watches: u64,
    /// Calls that failed.
    pub failures: u64,
    /// Records that could not be read, or that have a problem.
    pub malformed: u64,
    /// Records that were older than what is known.
    pub stale: u64,
    /// Indexes that went backwards.
    pub gaps: u64,
}
