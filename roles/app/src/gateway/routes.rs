//! Builds the routes of a gateway from the records of the membership protocol.
use std::net::IpAddr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::Evacuations;
use forward::History;
use forward::Routes;
use member::BROADCAST_ADDRESS;
use member::Health;
use member::Registry;
use member::View;
use platform::document;
use wire::ServiceAddress;
use wire::Target;
use wire::Version;
use wire::target::State;

use crate::event::Event;
use crate::gateway::rotation;

/// Pseudo service address of the record under which entries gossip the whole
/// configuration.
pub const DOCUMENT_ADDRESS: ServiceAddress = SocketAddr::new(IpAddr::V6(Ipv6Addr::UNSPECIFIED), 1);

/// Returns true for the address of a record that is no configuration of a service.
pub fn is_pseudo_service(address: ServiceAddress) -> bool {
    address == DOCUMENT_ADDRESS || address == BROADCAST_ADDRESS || rotation::is_statement(&address)
}

/// Builder that holds the current routes.
pub struct Builder {
    routes: Routes,
}

impl Builder {
    /// Creates a builder without routes; flows are `max_flow_age` old at most.
    pub fn new(max_flow_age: Duration) -> Self {
        Self {
            routes: Routes {
                history: History::new(max_flow_age),
                ..Routes::default()
            },
        }
    }

    /// Applies the changed records and returns the current routes.
    pub fn update(
        &mut self,
        now: Duration,
        registry: &Registry,
        changes: &[ServiceAddress],
    ) -> Arc<Routes> {
        for address in changes {
            let view = registry.view(address);
            if *address == DOCUMENT_ADDRESS {
                self.update_table(now, view);
            } else if !is_pseudo_service(*address) {
                let targets = view.map(targets).unwrap_or_default();
                let all = view.map_or(0, |view| view.targets.len());
                let departed = all.saturating_sub(targets.len());
                self.routes.departed.insert(*address, departed);
                if view.is_some_and(has_unreachable) {
                    self.routes.services_with_down_targets.insert(*address);
                } else {
                    self.routes.services_with_down_targets.remove(address);
                }
                self.routes.targets.insert(*address, Arc::new(targets));
            }
        }
        Arc::new(self.routes.clone())
    }

    /// Sets the evacuated zones and returns the current routes.
    pub fn evacuate(&mut self, evacuations: &Evacuations) -> Arc<Routes> {
        self.routes.evacuated_zones = evacuations.zones.keys().copied().collect();
        Arc::new(self.routes.clone())
    }

    /// Returns the current routes.
    pub const fn routes(&self) -> &Routes {
        &self.routes
    }

    /// Sets whether the configuration is confirmed as current and whether the
    /// backend servers are completely known. Returns the routes, or `None` if
    /// nothing changed.
    pub fn confirm(&mut self, is_confirmed: bool, is_complete: bool) -> Option<Arc<Routes>> {
        let before = (self.routes.is_confirmed, self.routes.is_complete);
        if before == (is_confirmed, is_complete) {
            return None;
        }
        self.routes.is_confirmed = is_confirmed;
        self.routes.is_complete = is_complete;
        Some(Arc::new(self.routes.clone()))
    }

    /// Returns the version of the configuration in force; 0 before the first.
    pub fn version(&self) -> Version {
        self.routes.table.version
    }

    /// Returns true once a configuration is known, so that callers can be served.
    pub fn is_ready(&self) -> bool {
        self.version() > 0
    }

    fn update_table(&mut self, now: Duration, view: Option<&View>) {
        let Some(record) = view.and_then(|view| view.config.as_ref()) else {
            return;
        };
        match document::decode(&record.body) {
            Ok(table) => {
                let history = &mut self.routes.history;
                let routes = history.record(now, &self.routes.table, &table);
                let version = table.version;
                if routes > 0 {
                    Event::RoutesMoved { version, routes }.log();
                }
                self.routes.table = Arc::new(table);
            }
            Err(error) => log::error!("cannot decode a gossiped configuration: {error}"),
        }
    }
}

fn targets(view: &View) -> Vec<Target> {
    view.targets
        .values()
        .filter(|member| member.health != Health::Down)
        .filter(|member| member.target.state != State::Left)
        .map(|member| member.target.clone())
        .collect()
}

/// Returns true if a backend server is marked down without having announced that
/// it left. It may only be unreachable.
fn has_unreachable(view: &View) -> bool {
    let mut members = view.targets.values();
    members.any(|member| member.health == Health::Down && member.target.state != State::Left)
}
