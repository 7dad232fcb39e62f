//! An operator's request.
use wire::Revision;
use wire::ServiceAddress;

use crate::Drained;
use crate::OperationId;
use crate::Service;

/// An operator's request to change one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Address that identifies the service.
    pub address: ServiceAddress,
    /// The change to make.
    pub edit: Edit,
    /// Revision that the operator read, 0 for a new service. `None` accepts any
    /// stored revision; a retry must state one.
    pub expected: Option<Revision>,
    /// Id of the change; the same for each retry.
    pub operation: OperationId,
    /// Whether to validate the change without writing it.
    pub dry_run: bool,
    /// Whether an earlier attempt of this operation may have been applied.
    pub retry: bool,
}

/// A change to make to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Creates the service, or recreates it after its deletion.
    Create(Service),
    /// Replaces the service's configuration.
    Update(Service),
    /// Deletes the service.
    Delete,
    /// Drains a target or an availability zone.
    Drain(Drained),
    /// Ends the drain of a target or an availability zone.
    Undrain(Drained),
}
