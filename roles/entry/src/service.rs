//! Routing data of one service.
use route::Order;
use wire::Revision;
use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;

/// Routing data of one service, as an entry uses it.
pub struct Service {
    /// Address that callers send to.
    pub address: ServiceAddress,
    /// Revision of the configuration that this snapshot was built from.
    pub revision: Revision,
    /// Maximum number of agents that an open visits; at least 1.
    pub hunt: usize,
    order: Order,
}

impl Service {
    /// Creates the routing data of a service; a `hunt` of 0 is raised to 1.
    #[must_use]
    pub fn new(address: ServiceAddress, revision: Revision, hunt: usize, order: Order) -> Self {
        Self {
            address,
            revision,
            hunt: hunt.max(1),
            order,
        }
    }

    /// Returns the order of the service's targets.
    #[must_use]
    pub const fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the target with the given id.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        self.order.target(id)
    }
}
