//! What an entry needs to know of one service.
use route::Order;
use wire::Revision;
use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;

/// One service as the entries route it.
pub struct Service {
    /// Where callers send to.
    pub address: ServiceAddress,
    /// Revision of the configuration that this view is built from.
    pub revision: Revision,
    /// Number of agents that an open visits; at least 1.
    pub hunt: usize,
    order: Order,
}

impl Service {
    /// Routes a service by the order of its targets.
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

    /// Finds a target by its id.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        self.order.target(id)
    }
}
