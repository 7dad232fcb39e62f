//! Evacuations of availability zones by the operator.
use std::time::Duration;

use async_io::Timer;

use crate::harness::Harness;
use crate::harness::Shared;
use crate::host::Cause;

/// Evacuation of a zone.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// Time of the request.
    since: Duration,
    /// Number of disturbances that request it.
    requests: u32,
}

/// Evacuates a random zone for longer than the bound, and restores it.
pub async fn inject(harness: &Shared, duration: Duration) {
    let bound = harness.borrow().topology.limits.bounds.evacuation;
    let zone = harness.borrow_mut().evacuate();
    Timer::after(bound + duration).await;
    harness.borrow_mut().restore_zone(&zone);
}

impl Harness {
    /// Evacuates a random zone and returns its name.
    fn evacuate(&mut self) -> String {
        let number = self.random.usize(..self.topology.zones);
        let (zone, since) = (self.topology.zone(number), self.now());
        let evacuation = self.evacuations.entry(zone.clone());
        let evacuation = evacuation.or_insert(Evacuation { since, requests: 0 });
        evacuation.requests += 1;
        if evacuation.requests == 1 {
            self.store.evacuate(&zone);
        }
        zone
    }

    /// Restores a zone unless another disturbance wants it evacuated.
    fn restore_zone(&mut self, zone: &str) {
        if let Some(evacuation) = self.evacuations.get_mut(zone) {
            evacuation.requests -= 1;
            if evacuation.requests == 0 {
                self.evacuations.remove(zone);
                self.store.restore_zone(zone);
            }
        }
    }

    /// Writes the keys of all zones again after the store was restored from a copy.
    pub fn rewrite_evacuations(&self) {
        for zone in (0..self.topology.zones).map(|number| self.topology.zone(number)) {
            if self.evacuations.contains_key(&zone) {
                self.store.evacuate(&zone);
            } else {
                self.store.restore_zone(&zone);
            }
        }
    }

    /// Returns true if a backend server may get no new flows from a gateway, because
    /// its zone is evacuated and neither host was disturbed within the bound.
    #[must_use]
    pub fn is_evacuated(&self, now: Duration, server: usize, gateway: usize) -> bool {
        let host = self.host_of(server);
        let bound = self.topology.limits.bounds.evacuation;
        let undisturbed = [host, gateway].iter().all(|host| {
            self.hosts[*host].is_undisturbed_since(now.saturating_sub(bound), Cause::Planned)
        });
        let evacuation = self.evacuations.get(&self.topology.zone(host));
        undisturbed
            && evacuation.is_some_and(|evacuation| {
                now > evacuation.since + bound + self.configuration_delay(now)
            })
    }
}
