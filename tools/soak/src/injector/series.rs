//! Disturbances of several steps, after which gateways ask about flows that others
//! placed.
use std::io;
use std::time::Duration;

use async_io::Timer;

use super::Injector;
use super::RESTART_PAUSE;
use crate::address;
use crate::host::Cause;
use crate::host::Host;
use crate::lifecycle;

/// Range of the age of a backend server whose sidecar is killed, in milliseconds.
const YOUNG_MS: std::ops::Range<u64> = 100..1_000;

/// Time for which a sidecar is frozen before its backend server crashes: longer than a
/// gateway waits for an answer to an opening packet.
const FREEZE: Duration = Duration::from_millis(800);

/// Time for which flows are opened then. A gateway avoids a sidecar that does not answer
/// soon after.
const OPENING_TIME: Duration = Duration::from_millis(250);

/// Range of the time for which the backend server is down then, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 300..2_000;

/// Pause between two long flows that are opened while a backend server is young.
pub(super) const OPENING_PAUSE: Duration = Duration::from_millis(4);

/// Time beyond a bound after which it has surely passed.
pub(super) const MARGIN: Duration = Duration::from_millis(500);

impl Injector {
    /// Moves the routes of a service to another one, restarts half of the gateways once
    /// the change is in force, and moves the routes back.
    pub(super) async fn move_route(&self, duration: Duration) -> io::Result<()> {
        let service = self.pick_service();
        let (to, apply) = {
            let topology = &self.harness.borrow().topology;
            (
                (service + 1) % topology.services.len(),
                topology.limits.apply,
            )
        };
        if service == to {
            return Ok(());
        }
        self.name_service(service, to);
        Timer::after(apply + MARGIN).await;
        self.restart_gateways_under(service).await?;
        Timer::after(duration).await;
        self.name_service(service, service);
        Ok(())
    }

    /// Restarts a backend server, kills its sidecar while it is young, and restarts half
    /// of the gateways once the sidecar's host counts as undisturbed. Long flows are opened
    /// meanwhile, and idle from the kill on.
    pub(super) async fn restart_beside_young_server(&self) -> io::Result<()> {
        let service = self.pick_service();
        let servers = self.servers_of(service);
        let (age, undisturbed, bounds) = {
            let harness = &mut *self.harness.borrow_mut();
            let age = Duration::from_millis(harness.random.u64(YOUNG_MS));
            let limits = harness.topology.limits;
            (age, limits.undisturbed, limits.bounds)
        };
        let idle = undisturbed + bounds.stop + 2 * MARGIN;
        for server in self.sample(servers, 0) {
            self.harness.borrow_mut().server_end(server);
            lifecycle::start(&self.harness, &self.executor, server);
            let start = self.harness.borrow().now();
            while self.harness.borrow().now() < start + age {
                self.harness.borrow_mut().open_long_flow(service);
                Timer::after(OPENING_PAUSE).await;
            }
            let host = self.harness.borrow().host_of(server);
            self.disturb(&[host], Cause::Fault, Host::take_down)?;
            self.harness.borrow_mut().pause_callers(service, idle);
            Timer::after(RESTART_PAUSE / 4).await;
            self.restore(&[host], Cause::Fault, Host::bring_up)?;
            Timer::after(undisturbed + MARGIN).await;
            self.restart_gateways_under(service).await?;
        }
        Ok(())
    }

    /// Freezes a sidecar for a moment while flows of its service are opened, and crashes
    /// its backend server half a second later. Long flows idle from their first answer on,
    /// and are used once the server is back.
    pub(super) async fn freeze_then_crash(&self) -> io::Result<()> {
        let service = self.pick_service();
        let servers = self.servers_of(service);
        let down = {
            let harness = &mut *self.harness.borrow_mut();
            Duration::from_millis(harness.random.u64(DOWN_MS))
        };
        for server in self.sample(servers, 0) {
            let host = self.harness.borrow().host_of(server);
            self.disturb(&[host], Cause::Fault, Host::freeze)?;
            // Answers that arrive after the thaw would show which server holds a flow.
            let idle = FREEZE + down + 4 * MARGIN;
            self.harness.borrow_mut().pause_callers(service, idle);
            let start = self.harness.borrow().now();
            while self.harness.borrow().now() < start + OPENING_TIME {
                self.harness.borrow_mut().open_long_flow(service);
                Timer::after(OPENING_PAUSE).await;
            }
            Timer::after(FREEZE.saturating_sub(OPENING_TIME)).await;
            self.restore(&[host], Cause::Fault, Host::thaw)?;
            Timer::after(MARGIN).await;
            self.harness.borrow_mut().server_end(server);
            Timer::after(down).await;
            lifecycle::start(&self.harness, &self.executor, server);
            Timer::after(2 * MARGIN).await;
            self.harness.borrow_mut().use_long_flows(service);
            Timer::after(2 * MARGIN).await;
        }
        Ok(())
    }

    /// Restarts half of the gateways. All long flows of a service carry a request while
    /// these are away, so that the others have to find them.
    pub(super) async fn restart_gateways_under(&self, service: usize) -> io::Result<()> {
        let gateways = self.gateways(50);
        for gateway in &gateways {
            self.stop(*gateway).await?;
        }
        self.harness.borrow_mut().use_long_flows(service);
        Timer::after(RESTART_PAUSE).await;
        self.restore(&gateways, Cause::Planned, Host::bring_up)
    }

    /// Returns the backend servers of a service.
    pub(super) fn servers_of(&self, service: usize) -> Vec<usize> {
        let servers = &self.harness.borrow().servers;
        let matching = servers.iter().enumerate();
        let matching = matching.filter(|(_, server)| server.service == service);
        matching.map(|(number, _)| number).collect()
    }

    /// Returns a random service, one with long flows if there is any.
    pub(super) fn pick_service(&self) -> usize {
        let all = {
            let services = &self.harness.borrow().topology.services;
            let all = 0..services.len();
            let long: Vec<usize> = all
                .clone()
                .filter(|one| services[*one].long_flows > 0)
                .collect();
            if long.is_empty() { all.collect() } else { long }
        };
        self.sample(all, 0).first().copied().unwrap_or_default()
    }

    /// Writes a configuration in which the present routes of the callers of one service
    /// name another service.
    pub(super) fn name_service(&self, callers_of: usize, service: usize) {
        let harness = &mut *self.harness.borrow_mut();
        let services = harness.topology.services.len();
        let mut routes = harness.history.newest();
        for address in [callers_of, services + callers_of].map(address::service) {
            if let Some(named) = routes.get_mut(&address) {
                *named = service;
            }
        }
        harness.configure(&routes);
    }
}
