//! What a change does, and what became of it.
use std::time::Duration;

use wire::Revision;

use crate::Fault;
use crate::OperationId;
use crate::Problem;
use crate::Update;
use crate::diff::Line;

/// What to do next with the service's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the key, and answer with [`Change::on_read`].
    Read {
        /// The key.
        key: String,
    },
    /// Compare and swap the key, and answer with [`Change::on_written`].
    Write {
        /// The key.
        key: String,
        /// The new value.
        value: Vec<u8>,
        /// Revision that the key must still have; 0 where it must not exist.
        expected: Revision,
        /// The key to write in the same step, whatever it holds.
        touch: String,
    },
    /// The change is over.
    Done(Outcome),
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is stored.
    Accepted {
        /// The revision that it got.
        revision: Revision,
        /// The revision that has replaced it since.
        replaced_by: Option<Revision>,
        /// What it changed; empty where an earlier attempt wrote it.
        differences: Vec<Line>,
        /// What is stored now, to be spread at once: the store may be down
        /// before any reader has read it.
        latest: Box<Update>,
    },
    /// The dry run found no fault.
    Checked {
        /// The revision that would be replaced, 0 for a new service.
        revision: Revision,
        /// What would change.
        differences: Vec<Line>,
    },
    /// Another change was first.
    Conflict {
        /// The revision in the store.
        winner: Revision,
        /// The operation that wrote it.
        operation: OperationId,
        /// What became of this change.
        effect: Effect,
    },
    /// The request is wrong.
    Invalid(Vec<Problem>),
    /// The store did not answer.
    Unavailable {
        /// Why.
        fault: Fault,
        /// What became of this change.
        effect: Effect,
        /// Time to wait before another try.
        retry_after: Duration,
    },
}

/// What became of a change that is not known to be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Nothing was applied, and nothing will be.
    NotApplied,
    /// It may have been applied, or may yet be; a retry with the same
    /// operation id tells.
    Unknown,
}
