//! Which backend servers the flows to an address may go to.
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

/// Where the flows to one address go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The services that share the flows.
    pub shares: Vec<Share>,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time within which an answer is of full use.
    pub objective: Duration,
    /// Order in which routes give way under overload; 0 gives way last.
    pub priority: u8,
}

/// One service's part of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceAddress,
    /// Its part of the sum of all weights.
    pub weight: u32,
}

/// All routes of one configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Version of the configuration; 0 before the first is known.
    pub version: Revision,
    /// The routes, by the address that callers send to.
    pub routes: HashMap<SocketAddrV4, Route>,
    /// Time after which a flow without packets may be given up.
    pub idle_timeout: Duration,
}

/// The routes, and the backend servers that are known: an immutable snapshot.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// The routes of the newest configuration.
    pub table: Arc<Table>,
    /// True while the configuration is known to be the newest, so that a missing
    /// route may be told to callers.
    pub is_confirmed: bool,
    /// True once another entry has told which backend servers it knows.
    pub is_complete: bool,
    /// The backend servers of each service, without those that have left.
    pub targets: HashMap<ServiceAddress, Arc<Vec<Target>>>,
    /// Services with backend servers that are held to be down, but may be only
    /// cut off.
    pub silent: HashSet<ServiceAddress>,
}

impl Route {
    /// The service that a new flow goes to: each flow always has the same one.
    #[must_use]
    pub fn service(&self, flow: &FlowId) -> Option<ServiceAddress> {
        let sum: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let place = u64::from(flow.service.port());
        let mut left = mix(flow.caller_key(), place).checked_rem(sum)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(share.service);
            }
            left -= weight;
        }
        None
    }
}

impl Routes {
    /// The route to an address.
    #[must_use]
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        self.table.routes.get(&address)
    }

    /// The backend servers of a service that take new flows.
    pub fn open(&self, service: ServiceAddress) -> impl Iterator<Item = &Target> {
        let all = self.all(service);
        all.filter(|target| target.state == State::Ready)
    }

    /// All backend servers of a service that may hold flows.
    pub fn all(&self, service: ServiceAddress) -> impl Iterator<Item = &Target> {
        let targets = self.targets.get(&service);
        targets.into_iter().flat_map(|targets| targets.iter())
    }

    /// Whether a backend server of a route is held to be down.
    #[must_use]
    pub fn has_silent(&self, route: &Route) -> bool {
        let mut shares = route.shares.iter();
        shares.any(|share| self.silent.contains(&share.service))
    }

    /// All backend servers that may hold a flow of a route.
    pub fn holders<'a>(&'a self, route: &'a Route) -> impl Iterator<Item = &'a Target> {
        let shares = route.shares.iter();
        shares.flat_map(|share| self.all(share.service))
    }
}
