//! Routes from the addresses that callers send to, and the known backend
//! servers.
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use route::hash::mix;
use wire::FlowId;
use wire::Revision;
use wire::ServiceAddress;
use wire::Target;
use wire::target::State;

/// Route of the flows to one address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Services among which the flows are split.
    pub shares: Vec<Share>,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Target latency of a request: an answer within it has its full value.
    pub target_latency: Duration,
    /// Load-shedding priority: under overload, routes with a higher number are
    /// shed first and 0 last.
    pub priority: u8,
}

/// Share of one service in the flows of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Address of the service.
    pub service: ServiceAddress,
    /// Weight relative to the sum of all weights of the route.
    pub weight: u32,
}

/// Routes of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Version of the configuration; 0 before the first has been received.
    pub version: Revision,
    /// Routes by the address that callers send to.
    pub routes: HashMap<SocketAddrV4, Route>,
    /// Time without packets after which a flow may be dropped as idle.
    pub idle_timeout: Duration,
}

/// Immutable snapshot of the routes and the known backend servers.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// Routes of the newest known configuration.
    pub table: Arc<Table>,
    /// Whether the configuration is known to be current, so that callers may be
    /// refused when an address has no route.
    pub is_confirmed: bool,
    /// Whether another entry has sent its list of backend servers.
    pub is_complete: bool,
    /// Backend servers of each service, without those that have left.
    pub targets: HashMap<ServiceAddress, Arc<Vec<Target>>>,
    /// Services with backend servers that are marked down but may only be
    /// unreachable.
    pub services_with_down_targets: HashSet<ServiceAddress>,
}

impl Route {
    /// Returns the service for a new flow, or `None` if the weights sum to 0.
    /// The same flow always maps to the same service.
    #[must_use]
    pub fn select_service(&self, flow: &FlowId) -> Option<ServiceAddress> {
        let sum: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let port = u64::from(flow.service.port());
        let mut remaining = mix(flow.caller_key(), port).checked_rem(sum)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return Some(share.service);
            }
            remaining -= weight;
        }
        None
    }
}

impl Routes {
    /// Returns the route to an address.
    #[must_use]
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        self.table.routes.get(&address)
    }

    /// Returns the backend servers of a service that accept new flows.
    pub fn ready_targets(&self, service: ServiceAddress) -> impl Iterator<Item = &Target> {
        let all = self.targets_of(service);
        all.filter(|target| target.state == State::Ready)
    }

    /// Returns all backend servers of a service that may hold flows.
    pub fn targets_of(&self, service: ServiceAddress) -> impl Iterator<Item = &Target> {
        let targets = self.targets.get(&service);
        targets.into_iter().flat_map(|targets| targets.iter())
    }

    /// Returns true if a service of a route has a backend server that is marked
    /// down but may only be unreachable.
    #[must_use]
    pub fn has_down_target(&self, route: &Route) -> bool {
        let mut shares = route.shares.iter();
        shares.any(|share| self.services_with_down_targets.contains(&share.service))
    }

    /// Returns all backend servers that may hold a flow of a route.
    pub fn possible_holders<'a>(&'a self, route: &'a Route) -> impl Iterator<Item = &'a Target> {
        let shares = route.shares.iter();
        shares.flat_map(|share| self.targets_of(share.service))
    }
}
