//! What the platform's key-value service stores of a service.
use serde::Deserialize;
use serde::Serialize;
use wire::Revision;

use crate::Item;
use crate::OperationId;
use crate::Problem;
use crate::Service;
use crate::key;

/// Number of earlier writes that a record remembers.
pub const MAX_HISTORY: usize = 8;

/// The value stored under the key of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The configuration.
    #[serde(flatten)]
    pub service: Service,
    /// Earlier writes, newest first; [`MAX_HISTORY`] at most.
    #[serde(default)]
    pub history: Vec<Past>,
}

/// An earlier write of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// The change that wrote it.
    pub operation: OperationId,
    /// The revision that it got.
    pub revision: Revision,
}

impl Record {
    /// The record that replaces `previous`, which has revision `revision`.
    #[must_use]
    pub fn replace(service: Service, previous: &Self, revision: Revision) -> Self {
        let past = Past {
            operation: previous.service.operation.clone(),
            revision,
        };
        let earlier = previous.history.iter().take(MAX_HISTORY - 1).cloned();
        Self {
            service,
            history: std::iter::once(past).chain(earlier).collect(),
        }
    }

    /// The first record of a service.
    #[must_use]
    pub fn create(service: Service) -> Self {
        Self {
            service,
            history: Vec::new(),
        }
    }

    /// The revision that `operation` got, where the record, stored at
    /// `revision`, still remembers it.
    #[must_use]
    pub fn find(&self, operation: &str, revision: Revision) -> Option<Revision> {
        if self.service.operation == operation {
            return Some(revision);
        }
        self.history
            .iter()
            .find(|past| past.operation == operation)
            .map(|past| past.revision)
    }

    /// Whether the record, stored at `revision`, remembers every write since
    /// `base`.
    #[must_use]
    pub fn covers(&self, base: Revision, revision: Revision) -> bool {
        revision <= base
            || self.history.len() < MAX_HISTORY
            || self.history.iter().any(|past| past.revision <= base)
    }

    /// Reads and checks what the store has under a key.
    ///
    /// # Errors
    ///
    /// The first [`Problem`]; keep the configuration in force and count it.
    pub fn from_item(item: &Item) -> Result<Self, Problem> {
        let record = Self::from_json(&item.value)?;
        if item.key != key::service(record.service.address) {
            return Err(Problem::WrongKey);
        }
        match record.service.check() {
            Ok(()) => Ok(record),
            Err(problems) => Err(problems.first().copied().unwrap_or(Problem::Malformed)),
        }
    }

    /// Encodes the record as JSON.
    ///
    /// # Errors
    ///
    /// [`Problem::Malformed`] where it cannot be encoded.
    pub fn to_json(&self) -> Result<Vec<u8>, Problem> {
        serde_json::to_vec(self).map_err(|_| Problem::Malformed)
    }

    /// Decodes a record from JSON.
    ///
    /// # Errors
    ///
    /// [`Problem::Malformed`]; keep the configuration in force and count it.
    pub fn from_json(json: &[u8]) -> Result<Self, Problem> {
        serde_json::from_slice(json).map_err(|_| Problem::Malformed)
    }
}
