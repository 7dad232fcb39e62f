//! Actions and outcomes of a change.
use std::time::Duration;

use wire::Revision;

use crate::Fault;
use crate::OperationId;
use crate::Problem;
use crate::Update;
use crate::diff::Difference;

/// The next call to make for the service's key, or the outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the key and pass the answer to [`Change::on_read`](super::Change::on_read).
    Read {
        /// The key.
        key: String,
    },
    /// Compare-and-swap the key and pass the answer to
    /// [`Change::on_written`](super::Change::on_written).
    Write {
        /// The key.
        key: String,
        /// The new value.
        value: Vec<u8>,
        /// Revision that the key must still have; 0 if it must not exist.
        expected: Revision,
        /// Change marker to write unconditionally in the same transaction.
        touch: String,
    },
    /// The change has ended.
    Done(Outcome),
}

/// Result of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change is stored.
    Accepted {
        /// Revision of the record that the change wrote.
        revision: Revision,
        /// Current revision in the store, if a later write replaced that record.
        replaced_by: Option<Revision>,
        /// Fields changed; empty if an earlier attempt wrote the change.
        differences: Vec<Difference>,
        /// The stored configuration, to be gossiped at once: the store may fail
        /// before any entry has read it.
        latest: Box<Update>,
    },
    /// The dry run found no problem.
    Checked {
        /// Revision that the change would replace; 0 for a new service.
        revision: Revision,
        /// Fields that would change.
        differences: Vec<Difference>,
    },
    /// The stored revision differs from the expected one.
    Conflict {
        /// Revision in the store.
        winner: Revision,
        /// Operation that wrote that revision.
        operation: OperationId,
        /// Whether this change may have been applied.
        effect: Effect,
    },
    /// The request is invalid.
    Invalid(Vec<Problem>),
    /// A call of the store failed.
    Unavailable {
        /// Cause of the failure.
        fault: Fault,
        /// Whether this change may have been applied.
        effect: Effect,
        /// Time to wait before a retry.
        retry_after: Duration,
    },
}

/// Effect of a change that is not known to be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// The change was not applied and will not be.
    NotApplied,
    /// The change may have been applied, or may still be; a retry with the same
    /// operation id determines which.
    Unknown,
}
