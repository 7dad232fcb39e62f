//! Builds the routes of a gateway from what the membership protocol knows.
use std::net::IpAddr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use forward::Routes;
use member::Health;
use member::Registry;
use member::View;
use platform::document;
use wire::ServiceAddress;
use wire::Target;
use wire::target::State;

/// The record under which the entries pass on the whole configuration.
pub const DOCUMENT: ServiceAddress = SocketAddr::new(IpAddr::V6(Ipv6Addr::UNSPECIFIED), 1);

/// Keeps the routes that were built last.
#[derive(Default)]
pub struct Builder {
    routes: Routes,
}

impl Builder {
    /// Takes what changed; the routes as they are now.
    pub fn update(&mut self, registry: &Registry, changes: &[ServiceAddress]) -> Arc<Routes> {
        for address in changes {
            let view = registry.service(address);
            if *address == DOCUMENT {
                self.document(view);
            } else {
                let targets = view.map(targets).unwrap_or_default();
                if view.is_some_and(has_silent) {
                    self.routes.silent.insert(*address);
                } else {
                    self.routes.silent.remove(address);
                }
                self.routes.targets.insert(*address, Arc::new(targets));
            }
        }
        Arc::new(self.routes.clone())
    }

    /// Says whether the configuration is known to be the newest, and the backend
    /// servers to be complete; `None` where nothing changed.
    pub fn confirm(&mut self, is_confirmed: bool, is_complete: bool) -> Option<Arc<Routes>> {
        let before = (self.routes.is_confirmed, self.routes.is_complete);
        if before == (is_confirmed, is_complete) {
            return None;
        }
        self.routes.is_confirmed = is_confirmed;
        self.routes.is_complete = is_complete;
        Some(Arc::new(self.routes.clone()))
    }

    /// Whether callers can be served.
    pub fn is_ready(&self) -> bool {
        self.routes.table.version > 0
    }

    fn document(&mut self, view: Option<&View>) {
        let Some(record) = view.and_then(|view| view.config.as_ref()) else {
            return;
        };
        match document::decode(&record.body) {
            Ok(table) => self.routes.table = Arc::new(table),
            Err(error) => log::error!("a configuration cannot be read: {error}"),
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

/// Whether a backend server is held to be down that has not said that it left.
fn has_silent(view: &View) -> bool {
    let mut members = view.targets.values();
    members.any(|member| member.health == Health::Down && member.target.state != State::Left)
}
