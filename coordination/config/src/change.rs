//! An operator's change of one service, as a compare-and-swap on the revision
//! that the operator read.
//!
//! The stored record names the operation that wrote it and the last few before
//! it. A write whose answer was lost is thereby recognised on reading back, also
//! where somebody else has written since.
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
//! // The store is down: nothing was applied, and the answer is given at once.
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
use crate::Item;
use crate::OperationId;
use crate::Problem;
use crate::Record;
use crate::Service;
use crate::State;
use crate::Update;
use crate::diff::Line;
use crate::diff::diff;
use crate::jitter::jitter;
use crate::key;

pub use outcome::Action;
pub use outcome::Effect;
pub use outcome::Outcome;
pub use request::Edit;
pub use request::Request;

/// Most writes that one change makes, and most reads before or after a write.
const MAX_TRIES: u8 = 3;

/// Shortest time that a client is told to wait before it tries again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The state of a change.
#[derive(Clone, Debug)]
pub struct Change {
    request: Request,
    seed: u64,
    stage: Stage,
    /// Whether some write of this operation may have been applied.
    uncertain: bool,
    writes: u8,
    reads: u8,
}

#[derive(Clone, Debug)]
enum Stage {
    Reading,
    Writing(Draft),
    ReadingBack(Draft, Fault),
}

/// A checked write.
#[derive(Clone, Debug)]
struct Draft {
    service: Service,
    value: Vec<u8>,
    base: Revision,
    differences: Vec<Line>,
}

impl Change {
    /// Begins a change; `seed` spreads the time to come back.
    #[must_use]
    pub fn new(request: Request, seed: u64) -> Self {
        Self {
            uncertain: request.retry,
            request,
            seed,
            stage: Stage::Reading,
            writes: 0,
            reads: 0,
        }
    }

    /// The first action.
    #[must_use]
    pub fn start(&self) -> Action {
        if self.request.retry && self.request.expected.is_none() {
            return Action::Done(Outcome::Invalid(vec![Problem::RetryWithoutRevision]));
        }
        self.read()
    }

    /// Takes the answer to [`Action::Read`].
    pub fn on_read(&mut self, answer: Result<Option<Item>, Fault>) -> Action {
        let item = match answer {
            Ok(item) => item,
            Err(fault) => return self.unavailable(fault),
        };
        self.reads += 1;
        let found = match item.as_ref().map(Found::read).transpose() {
            Ok(found) => found.unwrap_or_default(),
            Err(problem) => return Action::Done(Outcome::Invalid(vec![problem])),
        };
        if let Some(outcome) = self.earlier(&found) {
            return Action::Done(outcome);
        }
        match self.stage.clone() {
            Stage::Reading | Stage::Writing(_) => self.draft(&found),
            Stage::ReadingBack(draft, fault) => self.after_read_back(draft, fault, &found),
        }
    }

    /// Takes the answer to [`Action::Write`].
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
                self.uncertain |= fault.maybe_applied();
                self.reads = 0;
                self.stage = Stage::ReadingBack(draft, fault);
                self.read()
            }
            Err(fault) => self.unavailable(fault),
        }
    }

    /// Recognises a write of this operation.
    fn earlier(&self, found: &Found) -> Option<Outcome> {
        let record = found.record.as_ref()?;
        let revision = record.find(&self.request.operation, found.revision)?;
        if revision == found.revision && !self.matches(&record.service) {
            return Some(Outcome::Invalid(vec![Problem::OperationReused]));
        }
        Some(Outcome::Accepted {
            revision,
            replaced_by: Some(found.revision).filter(|now| *now != revision),
            differences: Vec::new(),
            latest: Box::new(Update {
                service: record.service.clone(),
                revision: found.revision,
            }),
        })
    }

    /// Whether this change could have led to `service`.
    fn matches(&self, service: &Service) -> bool {
        match &self.request.edit {
            Edit::Create(wanted) | Edit::Update(wanted) => self.stamp(wanted.clone()) == *service,
            Edit::Delete => !service.is_active(),
            Edit::Drain(subject) => service.drained.contains(subject),
            Edit::Undrain(subject) => !service.drained.contains(subject),
        }
    }

    /// Names the service and the operation.
    fn stamp(&self, service: Service) -> Service {
        Service {
            address: self.request.address,
            operation: self.request.operation.clone(),
            ..service
        }
    }

    /// Checks the change against what is stored, and writes it.
    fn draft(&mut self, found: &Found) -> Action {
        let base = self.request.expected.unwrap_or(found.revision);
        match found.revision {
            revision if revision == base => {}
            // The operator has read something newer: this read was stale.
            revision if revision < base && self.reads < MAX_TRIES => return self.read(),
            _ => return self.conflict(base, found),
        }
        let before = found.record.as_ref().map(|record| &record.service);
        let after = match self.edit(before) {
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
        let record = match &found.record {
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

    fn edit(&self, before: Option<&Service>) -> Result<Service, Vec<Problem>> {
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
        let service = self.stamp(service);
        service.check().map(|()| service)
    }

    /// Decides after a write that failed, with what the store has now.
    fn after_read_back(&mut self, draft: Draft, fault: Fault, found: &Found) -> Action {
        match found.revision {
            revision if revision > draft.base => self.conflict(draft.base, found),
            _ if self.reads >= MAX_TRIES || self.writes >= MAX_TRIES => self.unavailable(fault),
            revision if revision == draft.base && fault != Fault::Conflict => self.write(draft),
            // The read was stale.
            _ => self.read(),
        }
    }

    fn conflict(&self, base: Revision, found: &Found) -> Action {
        let covered = found
            .record
            .as_ref()
            .is_none_or(|record| record.covers(base, found.revision));
        // A read older than the base says nothing of what came after it.
        let hidden = !covered || found.revision < base;
        let effect = if hidden {
            self.effect()
        } else {
            Effect::NotApplied
        };
        Action::Done(Outcome::Conflict {
            winner: found.revision,
            operation: found.operation(),
            effect,
        })
    }

    fn unavailable(&self, fault: Fault) -> Action {
        Action::Done(Outcome::Unavailable {
            fault,
            effect: self.effect(),
            retry_after: RETRY_AFTER + jitter(self.seed, RETRY_AFTER),
        })
    }

    /// What became of the change as long as reading back does not tell.
    fn effect(&self) -> Effect {
        if self.uncertain {
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
            touch: key::mark(key::bucket(self.request.address)),
        };
        self.stage = Stage::Writing(draft);
        action
    }
}

/// What the store has under the key; revision 0 where nothing.
#[derive(Debug, Default)]
struct Found {
    record: Option<Record>,
    revision: Revision,
}

impl Found {
    fn read(item: &Item) -> Result<Self, Problem> {
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
