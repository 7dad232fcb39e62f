//! Routes from the addresses that callers send to, and the known backend
//! servers.
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use route::hash::mix;
use wire::FlowId;
use wire::Priority;
use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;
use wire::Version;
use wire::ZoneId;
use wire::target::State;
use wire::transit::Demand;

use crate::History;
use crate::millis;

/// Route of the flows to one address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Services among which the flows are split.
    pub shares: Vec<Share>,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Target latency of a request: an answer within it has its full value.
    pub target_latency: Duration,
    /// Load-shedding priority.
    pub priority: Priority,
    /// Whether callers may repeat a request that has run.
    pub is_idempotent: bool,
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
    pub version: Version,
    /// Routes by the address that callers send to.
    pub routes: HashMap<SocketAddrV4, Route>,
    /// Time without packets after which a flow may be dropped as idle.
    pub idle_timeout: Duration,
    /// What the configuration states about cold backend servers of a service.
    pub warm_ups: HashMap<ServiceAddress, WarmUp>,
    /// Whether the priorities of the routes differ.
    pub has_priorities: bool,
}

/// What a backend server bears while it is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmUp {
    /// Time for which a backend server is cold after it has started.
    pub time: Duration,
    /// New flows per 1,000 seconds that it bears meanwhile; 0 where not stated.
    pub rate: u32,
}

/// Services whose backend servers may hold a flow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Candidates {
    /// Services that the route of the flow is known to have named while the flow may
    /// have been opened.
    pub named: Vec<ServiceAddress>,
    /// Services that it may have named before this process started. Only if no backend
    /// server of the others holds the flow.
    pub unnamed: Vec<ServiceAddress>,
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
    /// Number of known backend servers of each service that have left or are marked
    /// down. Agents learn later than entries that a server has left.
    pub departed: HashMap<ServiceAddress, usize>,
    /// Services that the routes named before.
    pub history: History,
    /// Availability zones that an operator has evacuated: their backend servers get no
    /// new flows.
    pub evacuated_zones: BTreeSet<ZoneId>,
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

impl Candidates {
    /// Returns the named services and, if `all`, the unnamed ones.
    #[must_use]
    pub fn select(mut self, all: bool) -> Vec<ServiceAddress> {
        if all {
            self.named.append(&mut self.unnamed);
        }
        self.named
    }
}

impl Table {
    /// Returns all services of the configuration.
    pub fn services(&self) -> impl Iterator<Item = ServiceAddress> {
        let shares = self.routes.values().flat_map(|route| &route.shares);
        let named = shares.map(|share| share.service);
        named.chain(self.warm_ups.keys().copied())
    }

    /// Returns what an opening frame states about a flow of a route to a service;
    /// `None` where neither priorities nor a cold rate distinguish it.
    #[must_use]
    pub fn demand(&self, route: &Route, service: ServiceAddress) -> Option<Demand> {
        let cold_rate = self
            .warm_ups
            .get(&service)
            .map_or(0, |warm_up| warm_up.rate);
        let is_stated = self.has_priorities || cold_rate > 0;
        is_stated.then(|| Demand {
            priority: route.priority,
            latency_target_ms: millis(route.target_latency),
            is_idempotent: route.is_idempotent,
            cold_rate,
        })
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
        all.filter(|target| {
            target.state == State::Ready && !self.evacuated_zones.contains(&target.zone)
        })
    }

    /// Returns all backend servers of a service that may hold flows.
    pub fn targets_of(&self, service: ServiceAddress) -> impl Iterator<Item = &Target> {
        let targets = self.targets.get(&service);
        targets.into_iter().flat_map(|targets| targets.iter())
    }

    /// Returns the number of backend servers of a service that have ever been heard of,
    /// as far as they are remembered.
    #[must_use]
    pub fn heard_of(&self, service: ServiceAddress) -> usize {
        let departed = self.departed.get(&service).copied().unwrap_or_default();
        self.targets_of(service).count() + departed
    }

    /// Returns true if a backend server is in an evacuated zone.
    #[must_use]
    pub fn is_evacuated(&self, target: TargetId) -> bool {
        let mut known = self.targets.values().flat_map(|targets| targets.iter());
        !self.evacuated_zones.is_empty()
            && known.any(|known| known.id == target && self.evacuated_zones.contains(&known.zone))
    }

    /// Returns true if one of the services has a backend server that is marked down but
    /// may only be unreachable.
    #[must_use]
    pub fn has_down_target(&self, services: &[ServiceAddress]) -> bool {
        let down = &self.services_with_down_targets;
        services.iter().any(|service| down.contains(service))
    }

    /// Returns all backend servers of some services that may hold flows.
    pub fn targets_of_all<'a>(
        &'a self,
        services: &'a [ServiceAddress],
    ) -> impl Iterator<Item = &'a Target> {
        let services = services.iter();
        services.flat_map(|service| self.targets_of(*service))
    }

    /// Returns the services whose backend servers may hold a flow to an address.
    #[must_use]
    pub fn candidates(&self, now: Duration, address: SocketAddrV4) -> Candidates {
        let shares = self
            .route(address)
            .into_iter()
            .flat_map(|route| &route.shares);
        let current = shares.map(|share| share.service);
        let named: BTreeSet<ServiceAddress> =
            current.chain(self.history.services(now, address)).collect();
        let mut unnamed = BTreeSet::new();
        if !self.history.is_complete(now) {
            unnamed.extend(self.targets.keys().copied());
            unnamed.extend(self.table.services());
        }
        Candidates {
            unnamed: unnamed.difference(&named).copied().collect(),
            named: named.into_iter().collect(),
        }
    }
}
