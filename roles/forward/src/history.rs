//! Services that routes named in earlier configurations.
//!
//! A configuration that names another service for an address leaves the open flows at
//! the backend servers of the former one. A process that starts later has not seen it.
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use wire::ServiceAddress;

use crate::routes::Table;

/// Maximum time by which another entry replaces a configuration later than this one.
const MAX_CONFIGURATION_LAG: Duration = Duration::from_secs(15);

/// Services that routes named in earlier configurations, for as long as flows from then
/// may be open. The default is that of a process that knows all configurations.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Time for which a flow may be open after this process has replaced the
    /// configuration under which it was opened.
    lifetime: Duration,
    /// Time from which flows that were opened before the first known configuration
    /// have ended.
    complete_at: Duration,
    /// Former services by the address that callers send to, and the times at which
    /// their flows have ended.
    former: HashMap<SocketAddrV4, BTreeMap<ServiceAddress, Duration>>,
}

impl History {
    /// Creates the history of a process that knows no configuration yet.
    #[must_use]
    pub fn new(max_flow_age: Duration) -> Self {
        Self {
            lifetime: max_flow_age + MAX_CONFIGURATION_LAG,
            complete_at: Duration::MAX,
            former: HashMap::new(),
        }
    }

    /// Records that a configuration replaces another one. Returns the number of routes
    /// that no longer name all their former services.
    pub fn record(&mut self, now: Duration, old: &Table, new: &Table) -> usize {
        let ends_at = now + self.lifetime;
        self.complete_at = self.complete_at.min(ends_at);
        self.former.retain(|_, services| {
            services.retain(|_, ends_at| now < *ends_at);
            !services.is_empty()
        });
        let mut moved = 0;
        for (address, route) in &old.routes {
            let kept = new.routes.get(address);
            let is_kept = |service| {
                let mut shares = kept.into_iter().flat_map(|route| &route.shares);
                shares.any(|share| share.service == service)
            };
            let services = route.shares.iter().map(|share| share.service);
            let left: Vec<ServiceAddress> = services.filter(|service| !is_kept(*service)).collect();
            if left.is_empty() {
                continue;
            }
            moved += usize::from(kept.is_some());
            let former = self.former.entry(*address).or_default();
            former.extend(left.into_iter().map(|service| (service, ends_at)));
        }
        moved
    }

    /// Returns the services that the route of an address named before.
    pub fn services(
        &self,
        now: Duration,
        address: SocketAddrV4,
    ) -> impl Iterator<Item = ServiceAddress> {
        let former = self.former.get(&address).into_iter().flatten();
        let open = former.filter(move |(_, ends_at)| now < **ends_at);
        open.map(|(service, _)| *service)
    }

    /// Returns true if all configurations are known that open flows may be from.
    #[must_use]
    pub fn is_complete(&self, now: Duration) -> bool {
        now >= self.complete_at
    }
}
