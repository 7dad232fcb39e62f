//! In-memory store whose calls fail as a test prescribes.
use config::Change;
use config::Fault;
use config::KeyValue;
use config::Record;
use config::Service;
use config::Update;
use config::change::Action;
use config::change::Edit;
use config::change::Outcome;
use config::change::Request;
use wire::Revision;

/// Failure of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call succeeds.
    None,
    /// The store cannot be reached.
    Unreachable,
    /// The answer is lost after a write was applied.
    AnswerLost,
    /// The request is lost, so a write is not applied.
    RequestLost,
    /// The answer is lost, and a write is applied later.
    Delayed,
    /// A read returns the value before the last write.
    Stale,
}

/// Store with a single key.
#[derive(Debug, Default)]
pub struct Store {
    /// All versions of the key, oldest first.
    pub versions: Vec<KeyValue>,
    /// Writes to be applied later.
    delayed: Vec<KeyValue>,
}

impl Store {
    /// Returns the revision of the key.
    pub fn revision(&self) -> Revision {
        self.versions.last().map_or(0, |item| item.revision)
    }

    /// Applies the last delayed write.
    pub fn apply_delayed(&mut self) {
        if let Some(item) = self.delayed.pop() {
            let _ = self.swap(item);
        }
    }

    /// Makes the call of one action and returns the change's next action.
    pub fn step(&mut self, change: &mut Change, action: Action, failure: Failure) -> Action {
        match action {
            Action::Read { .. } => change.on_read(self.read(failure)),
            Action::Write {
                key,
                value,
                expected,
                ..
            } => {
                let item = KeyValue {
                    key,
                    value,
                    revision: expected,
                };
                change.on_written(self.write(item, failure))
            }
            Action::Done(_) => action,
        }
    }

    /// Runs a change to its end; its first calls meet `failures`.
    pub fn run(&mut self, request: Request, failures: &[Failure]) -> Outcome {
        let mut change = Change::new(request, 1);
        let mut action = change.start();
        let mut failures = failures.iter().copied();
        loop {
            action = match action {
                Action::Done(outcome) => return outcome,
                action => {
                    let failure = failures.next().unwrap_or(Failure::None);
                    self.step(&mut change, action, failure)
                }
            };
        }
    }

    /// Returns the operations in the order in which they were applied.
    pub fn operations(&self) -> Vec<String> {
        let records = self.versions.iter().map(|item| {
            let record = Record::from_json(&item.value).expect("a record");
            record.service.operation
        });
        records.collect()
    }

    /// Returns `true` if the service was ever stored at the update's revision.
    pub fn had_version(&self, update: &Update) -> bool {
        self.versions.iter().any(|item| {
            let record = Record::from_json(&item.value).expect("a record");
            (record.service, item.revision) == (update.service.clone(), update.revision)
        })
    }

    fn read(&self, failure: Failure) -> Result<Option<KeyValue>, Fault> {
        let skip = match failure {
            Failure::None => 0,
            Failure::Stale => 1,
            Failure::Unreachable => return Err(Fault::Unreachable),
            _ => {
                return Err(Fault::Lost {
                    maybe_applied: false,
                });
            }
        };
        Ok(self.versions.iter().rev().nth(skip).cloned())
    }

    fn write(&mut self, item: KeyValue, failure: Failure) -> Result<Revision, Fault> {
        match failure {
            Failure::None | Failure::Stale => return self.swap(item),
            Failure::Unreachable => return Err(Fault::Unreachable),
            Failure::AnswerLost => drop(self.swap(item)),
            Failure::RequestLost => {}
            Failure::Delayed => self.delayed.push(item),
        }
        Err(Fault::Lost {
            maybe_applied: true,
        })
    }

    /// Writes the item if the key still has the item's revision.
    fn swap(&mut self, item: KeyValue) -> Result<Revision, Fault> {
        if item.revision != self.revision() {
            return Err(Fault::Conflict);
        }
        let revision = item.revision + 1;
        self.versions.push(KeyValue { revision, ..item });
        Ok(revision)
    }
}

/// Returns a valid service.
pub fn service() -> Service {
    Service {
        name: "roster".to_owned(),
        ..Service::new("192.0.2.1:5000".parse().expect("an address"))
    }
}

/// Returns a request that sets the number of agents that an open may visit.
pub fn update(hunt: u8, expected: Revision, operation: &str) -> Request {
    Request {
        address: service().address,
        edit: Edit::Update(Service { hunt, ..service() }),
        expected: Some(expected),
        operation: operation.to_owned(),
        dry_run: false,
        retry: false,
    }
}

/// Returns a store that holds the service at revision 1.
pub fn store_with_service() -> Store {
    let mut store = Store::default();
    let create = Request {
        edit: Edit::Create(service()),
        ..update(3, 0, "create")
    };
    let outcome = store.run(create, &[]);
    assert!(matches!(outcome, Outcome::Accepted { revision: 1, .. }));
    store
}
