//! Orders changes of the store across its restores from an older copy.
//!
//! A restored store gives revisions and leases out again. Each of its histories
//! has a number, its era. A change of a later era comes after all changes of an
//! earlier one, whatever their numbers, so a [`Revision`] carries both.
//!
//! ```
//! use config::era;
//!
//! let lost = era::revision(1, 700);
//! let rewritten = era::revision(2, 650);
//! assert!(rewritten > lost);
//! ```
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use wire::Revision;
use wire::revision;

use crate::Fault;

/// Number of a history of the store; 0 if the store does not name it.
pub type Era = u64;

/// Number of a change within its era.
pub type Number = u64;

/// Returns the revision of a change of an era.
#[must_use]
pub const fn revision(era: Era, number: Number) -> Revision {
    revision::join(era, number)
}

/// Returns the era of a change.
#[must_use]
pub const fn of(revision: Revision) -> Era {
    revision::split(revision).0
}

/// Returns the number of a change within its era.
#[must_use]
pub const fn number(revision: Revision) -> Number {
    revision::split(revision).1
}

/// Latest era that any answer has named. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Latest(Arc<AtomicU64>);

/// What an answer's era shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The era is the one known before, or the first one named.
    Same,
    /// The store was restored from an older copy.
    Restored,
}

impl Latest {
    /// Returns the latest era; 0 before any was named.
    #[must_use]
    pub fn get(&self) -> Era {
        self.0.load(Ordering::Relaxed)
    }

    /// Records the era of an answer.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Outdated`] for an answer from before the last restore.
    pub fn observe(&self, era: Era) -> Result<Change, Fault> {
        match self.0.fetch_max(era, Ordering::Relaxed) {
            known if era < known => Err(Fault::Outdated),
            known if known > 0 && era > known => Ok(Change::Restored),
            _ => Ok(Change::Same),
        }
    }
}
