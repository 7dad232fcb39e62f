//! What an operator asks for.
use wire::Revision;
use wire::ServiceAddress;

use crate::Drained;
use crate::OperationId;
use crate::Service;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The service.
    pub address: ServiceAddress,
    /// What to do with it.
    pub edit: Edit,
    /// The revision that the operator read, 0 for a new service; `None` for
    /// whatever the store has now, which a retry must not ask for.
    pub expected: Option<Revision>,
    /// Names the change; the same on each retry.
    pub operation: OperationId,
    /// Check only.
    pub dry_run: bool,
    /// Whether an earlier attempt of this operation may have been applied.
    pub retry: bool,
}

/// What to do with a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Creates the service, also where it was deleted.
    Create(Service),
    /// Replaces its configuration.
    Update(Service),
    /// Deletes it.
    Delete,
    /// Adds to what is drained.
    Drain(Drained),
    /// Takes away from what is drained.
    Undrain(Drained),
}
