//! The record that the platform's key-value service holds for a service.
use serde::Deserialize;
use serde::Serialize;
use wire::Revision;

use crate::KeyValue;
use crate::OperationId;
use crate::Problem;
use crate::Service;
use crate::key;

/// Maximum number of earlier writes in a record's history.
pub const MAX_HISTORY: usize = 8;

/// The value stored under the key of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Configuration of the service.
    #[serde(flatten)]
    pub service: Service,
    /// Earlier writes, newest first; at most [`MAX_HISTORY`].
    #[serde(default)]
    pub history: Vec<PastWrite>,
}

/// An earlier write of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastWrite {
    /// Id of the change that made the write.
    pub operation: OperationId,
    /// Revision of the record after the write.
    pub revision: Revision,
}

impl Record {
    /// Returns the record that replaces `previous`, which is stored at `revision`.
    #[must_use]
    pub fn replace(service: Service, previous: &Self, revision: Revision) -> Self {
        let past = PastWrite {
            operation: previous.service.operation.clone(),
            revision,
        };
        let earlier = previous.history.iter().take(MAX_HISTORY - 1).cloned();
        Self {
            service,
            history: std::iter::once(past).chain(earlier).collect(),
        }
    }

    /// Returns the first record of a service.
    #[must_use]
    pub fn create(service: Service) -> Self {
        Self {
            service,
            history: Vec::new(),
        }
    }

    /// Returns the revision that `operation` wrote, if it is the last write of
    /// this record, stored at `revision`, or still in its history.
    #[must_use]
    pub fn revision_of(&self, operation: &str, revision: Revision) -> Option<Revision> {
        if self.service.operation == operation {
            return Some(revision);
        }
        self.history
            .iter()
            .find(|past| past.operation == operation)
            .map(|past| past.revision)
    }

    /// Returns `true` if the history of this record, stored at `revision`,
    /// contains every write since `base`.
    #[must_use]
    pub fn has_history_since(&self, base: Revision, revision: Revision) -> bool {
        revision <= base
            || self.history.len() < MAX_HISTORY
            || self.history.iter().any(|past| past.revision <= base)
    }

    /// Decodes and validates the record stored under a key.
    ///
    /// # Errors
    ///
    /// Returns the first [`Problem`]; the caller should keep the configuration in
    /// force and count the record as malformed.
    pub fn from_item(item: &KeyValue) -> Result<Self, Problem> {
        let record = Self::from_json(&item.value)?;
        if item.key != key::service(record.service.address) {
            return Err(Problem::WrongKey);
        }
        match record.service.validate() {
            Ok(()) => Ok(record),
            Err(problems) => Err(problems.first().copied().unwrap_or(Problem::Malformed)),
        }
    }

    /// Encodes the record as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::Malformed`] if the record cannot be encoded.
    pub fn to_json(&self) -> Result<Vec<u8>, Problem> {
        serde_json::to_vec(self).map_err(|_| Problem::Malformed)
    }

    /// Decodes a record from JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::Malformed`] if the JSON cannot be decoded; the caller
    /// should keep the configuration in force and count the record as malformed.
    pub fn from_json(json: &[u8]) -> Result<Self, Problem> {
        serde_json::from_slice(json).map_err(|_| Problem::Malformed)
    }
}
