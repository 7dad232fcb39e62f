//! An operator's change of one service: a compare-and-swap on the revision that
//! the operator read.
//!
//! The stored record names the operation that wrote it and the last few
//! operations before it. If the answer to a write is lost, the record is read
//! back and shows whether the write was applied, even if another operator has
//! written since.
//!
//! ```
//! use config::Change;
//! use config::Fault;
//! use config::Service;
//! use config::change::Action;
//! use config::change::Edit;
//! use config::change::Effect;
//! use config::change::Outcome;
//! use config::change::Request;
//!
//! let address = "192.0.2.1:5000".parse()?;
//! let request = Request {
//!     address,
//!     edit: Edit::Update(Service::new(address)),
//!     expected: Some(7),
//!     operation: "change-42".to_owned(),
//!     dry_run: false,
//!     retry: false,
//! };
//! let mut change = Change::new(request, 1);
//! assert!(matches!(change.start(), Action::Read { .. }));
//! // The store is unreachable: the change ends without being applied.
//! let action = change.on_read(Err(Fault::Unreachable));
//! assert!(matches!(
//!     action,
//!     Action::Done(Outcome::Unavailable { effect: Effect::NotApplied, .. })
//! ));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```
mod outcome;
mod request;

use std::time::Duration;

use wire::Revision;

use crate::Fault;
use crate::KeyValue;
use crate::OperationId;
use crate::Problem;
use crate::Record;
use crate::Service;
use crate::State;
use crate::Update;
use crate::diff::Difference;
use crate::diff::diff;
use crate::jitter::jitter;
use crate::key;

pub use outcome::Action;
pub use outcome::Effect;
pub use outcome::Outcome;
pub use request::Edit;
pub use request::Request;

/// Maximum number of writes per change, and of reads before or after a write.
const MAX_ATTEMPTS: u8 = 3;

/// Minimum time after which a client may retry; jitter adds up to as much again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// State machine of one change.
#[derive(Clone, Debug)]
pub struct Change {
    request: Request,
    seed: u64,
    stage: Stage,
    /// Whether a write of this operation may have been applied.
    maybe_applied: bool,
    writes: u8,
    /// Successful reads since the start or the last failed write.
    reads: u8,
}

#[derive(Clone, Debug)]
enum Stage {
    /// The stored record is being read.
    Reading,
    /// The write is in flight.
    Writing(Draft),
    /// The record is being read again after the write failed with this fault.
    ReadingBack(Draft, Fault),
}

/// A validated write.
#[derive(Clone, Debug)]
struct Draft {
    service: Service,
    /// Encoded record.
    value: Vec<u8>,
    /// Revision that the write replaces; 0 for a new service.
    base: Revision,
    differences: Vec<Difference>,
}

impl Change {
    /// Creates a change; `seed` determines the jitter of the retry time.
    #[must_use]
    pub fn new(request: Request, seed: u64) -> Self {
        Self {
            maybe_applied: request.retry,
            request,
            seed,
            stage: Stage::Reading,
            writes: 0,
            reads: 0,
        }
    }

    /// Returns the first action.
    #[must_use]
    pub fn start(&self) -> Action {
        if self.request.retry && self.request.expected.is_none() {
            return Action::Done(Outcome::Invalid(vec![Problem::RetryWithoutRevision]));
        }
        self.read()
    }

    /// Handles the answer to [`Action::Read`] and returns the next action.
    pub fn on_read(&mut self, answer: Result<Option<KeyValue>, Fault>) -> Action {
        let item = match answer {
            Ok(item) => item,
            Err(fault) => return self.unavailable(fault),
        };
        self.reads += 1;
        let current = match item.as_ref().map(Current::decode).transpose() {
            Ok(current) => current.unwrap_or_default(),
            Err(problem) => return Action::Done(Outcome::Invalid(vec![problem])),
        };
        if let Some(outcome) = self.find_earlier_write(&current) {
            return Action::Done(outcome);
        }
        match self.stage.clone() {
            Stage::Reading | Stage::Writing(_) => self.prepare_write(&current),
            Stage::ReadingBack(draft, fault) => self.after_read_back(draft, fault, &current),
        }
    }

    /// Handles the answer to [`Action::Write`] and returns the next action.
    pub fn on_written(&mut self, answer: Result<Revision, Fault>) -> Action {
        let Stage::Writing(draft) = self.stage.clone() else {
            return self.read();
        };
        match answer {
            Ok(revision) => Action::Done(Outcome::Accepted {
                revision,
                replaced_by: None,
                differences: draft.differences,
                latest: Box::new(Update {
                    service: draft.service,
                    revision,
                }),
            }),
            Err(fault) if fault == Fault::Conflict || fault.maybe_applied() => {
                self.maybe_applied |= fault.maybe_applied();
                self.reads = 0;
                self.stage = Stage::ReadingBack(draft, fault);
                self.read()
            }
            Err(fault) => self.unavailable(fault),
        }
    }

    /// Returns the outcome if the record shows that this operation has already
    /// been applied, or that its id belongs to another change.
    fn find_earlier_write(&self, current: &Current) -> Option<Outcome> {
        let record = current.record.as_ref()?;
        let revision = record.revision_of(&self.request.operation, current.revision)?;
        if revision == current.revision && !self.could_result_in(&record.service) {
            return Some(Outcome::Invalid(vec![Problem::OperationReused]));
        }
        Some(Outcome::Accepted {
            revision,
            replaced_by: Some(current.revision).filter(|now| *now != revision),
            differences: Vec::new(),
            latest: Box::new(Update {
                service: record.service.clone(),
                revision: current.revision,
            }),
        })
    }

    /// Returns `true` if this change could have produced `service`.
    fn could_result_in(&self, service: &Service) -> bool {
        match &self.request.edit {
            Edit::Create(wanted) | Edit::Update(wanted) => {
                self.with_ids(wanted.clone()) == *service
            }
            Edit::Delete => !service.is_active(),
            Edit::Drain(subject) => service.drained.contains(subject),
            Edit::Undrain(subject) => !service.drained.contains(subject),
        }
    }

    /// Sets the service's address and operation id to those of the request.
    fn with_ids(&self, service: Service) -> Service {
        Service {
            address: self.request.address,
            operation: self.request.operation.clone(),
            ..service
        }
    }

    /// Validates the change against the stored record and writes it, or returns
    /// the differences of a dry run.
    fn prepare_write(&mut self, current: &Current) -> Action {
        let base = self.request.expected.unwrap_or(current.revision);
        match current.revision {
            revision if revision == base => {}
            // The operator has seen a newer revision, so this read was stale.
            revision if revision < base && self.reads < MAX_ATTEMPTS => return self.read(),
            _ => return self.conflict(base, current),
        }
        let before = current.record.as_ref().map(|record| &record.service);
        let after = match self.apply_edit(before) {
            Ok(service) => service,
            Err(problems) => return Action::Done(Outcome::Invalid(problems)),
        };
        let differences = diff(before, &after);
        if self.request.dry_run {
            return Action::Done(Outcome::Checked {
                revision: base,
                differences,
            });
        }
        let service = after.clone();
        let record = match &current.record {
            Some(previous) => Record::replace(after, previous, base),
            None => Record::create(after),
        };
        match record.to_json() {
            Ok(value) => self.write(Draft {
                service,
                value,
                base,
                differences,
            }),
            Err(problem) => Action::Done(Outcome::Invalid(vec![problem])),
        }
    }

    /// Returns the validated configuration after the requested edit.
    fn apply_edit(&self, before: Option<&Service>) -> Result<Service, Vec<Problem>> {
        let active = before.filter(|service| service.is_active());
        let service = match (&self.request.edit, active) {
            (Edit::Create(_), Some(_)) => return Err(vec![Problem::Exists]),
            (Edit::Create(service), None) | (Edit::Update(service), Some(_)) => service.clone(),
            (_, None) => return Err(vec![Problem::Missing]),
            (Edit::Delete, Some(before)) => Service {
                state: State::Deleted,
                ..before.clone()
            },
            (Edit::Drain(subject), Some(before)) => {
                let mut service = before.clone();
                service.drained.insert(*subject);
                service
            }
            (Edit::Undrain(subject), Some(before)) => {
                let mut service = before.clone();
                service.drained.remove(subject);
                service
            }
        };
        let service = self.with_ids(service);
        service.validate().map(|()| service)
    }

    /// Returns the action that follows a failed write, given the record read back.
    fn after_read_back(&mut self, draft: Draft, fault: Fault, current: &Current) -> Action {
        match current.revision {
            revision if revision > draft.base => self.conflict(draft.base, current),
            _ if self.reads >= MAX_ATTEMPTS || self.writes >= MAX_ATTEMPTS => {
                self.unavailable(fault)
            }
            revision if revision == draft.base && fault != Fault::Conflict => self.write(draft),
            // The read was stale.
            _ => self.read(),
        }
    }

    /// Ends the change with a conflict. The effect is unknown if a write may have
    /// been applied and the stored record does not show every write since `base`.
    fn conflict(&self, base: Revision, current: &Current) -> Action {
        let covered = current
            .record
            .as_ref()
            .is_none_or(|record| record.has_history_since(base, current.revision));
        // A read older than the base cannot show a write made after the base.
        let hidden = !covered || current.revision < base;
        let effect = if hidden {
            self.effect()
        } else {
            Effect::NotApplied
        };
        Action::Done(Outcome::Conflict {
            winner: current.revision,
            operation: current.operation(),
            effect,
        })
    }

    /// Ends the change with the fault of the store and a jittered retry time.
    fn unavailable(&self, fault: Fault) -> Action {
        Action::Done(Outcome::Unavailable {
            fault,
            effect: self.effect(),
            retry_after: RETRY_AFTER + jitter(self.seed, RETRY_AFTER),
        })
    }

    /// Returns the effect of the change if the stored record does not show it.
    fn effect(&self) -> Effect {
        if self.maybe_applied {
            Effect::Unknown
        } else {
            Effect::NotApplied
        }
    }

    fn read(&self) -> Action {
        Action::Read {
            key: key::service(self.request.address),
        }
    }

    fn write(&mut self, draft: Draft) -> Action {
        self.writes += 1;
        let action = Action::Write {
            key: key::service(self.request.address),
            value: draft.value.clone(),
            expected: draft.base,
            touch: key::change_marker(key::bucket(self.request.address)),
        };
        self.stage = Stage::Writing(draft);
        action
    }
}

/// The stored record and its revision; revision 0 if the key does not exist.
#[derive(Debug, Default)]
struct Current {
    record: Option<Record>,
    revision: Revision,
}

impl Current {
    fn decode(item: &KeyValue) -> Result<Self, Problem> {
        Ok(Self {
            record: Some(Record::from_json(&item.value)?),
            revision: item.revision,
        })
    }

    fn operation(&self) -> OperationId {
        self.record
            .as_ref()
            .map(|record| record.service.operation.clone())
            .unwrap_or_default()
    }
}
