//! Carries out the decision to leave the rotation while the network link stays full:
//! measures the link, and exchanges statements with the other gateways of the zone as
//! records of the membership protocol.
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use limit::rotation::Change;
use limit::rotation::Measurement;
use limit::rotation::Neighbour;
use limit::rotation::Rotation;
use limit::rotation::Status;
use member::Registry;
use member::Service;
use member::record::entry_key;
use member::registry::Identity;
use wire::ServiceAddress;
use wire::revision;

use crate::clock;
use crate::event::Event;
use crate::forwarder::link::Link;

/// Port of the pseudo services under which gateways gossip their statements.
const STATEMENT_PORT: u16 = 3;

/// Interval of the measurements.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Part of this gateway in the rotation of its zone.
pub struct Controller {
    identity: Identity,
    rotation: Rotation,
    next_update: Duration,
    /// Time and bytes sent of the last measurement.
    measured: (Duration, u64),
    /// Read by the readiness check.
    is_in: Arc<AtomicBool>,
}

impl Controller {
    /// Creates the part of a gateway that starts in the rotation.
    pub fn new(identity: Identity, is_in: Arc<AtomicBool>, now: Duration) -> Self {
        Self {
            rotation: Rotation::new(entry_key(identity.address), now),
            identity,
            next_update: now,
            measured: (now, 0),
            is_in,
        }
    }

    /// Decides whether to leave or rejoin, and publishes what changed, if it is due and
    /// the settings state the rate of the link.
    pub fn update(&mut self, now: Duration, registry: &mut Registry, link: &Link) {
        if now < self.next_update {
            return;
        }
        self.next_update = now + UPDATE_INTERVAL;
        let own = self.measure(now, link);
        let Some((own, address)) = own.zip(statement_address(self.identity.address)) else {
            return self.is_in.store(true, Ordering::Relaxed);
        };
        let neighbours = neighbours(registry, &self.identity);
        match self.rotation.update(now, own, &neighbours) {
            Some(Change::Left) => {
                link.count("carried.rotation.changes", "left");
                Event::RotationLeft {}.log();
            }
            Some(Change::Rejoined) => {
                link.count("carried.rotation.changes", "rejoined");
                Event::RotationRejoined {}.log();
            }
            None => {}
        }
        self.is_in.store(self.rotation.is_in(), Ordering::Relaxed);
        self.publish(now, registry, address);
    }

    /// Measures the link; `None` if the settings do not state its rate.
    fn measure(&mut self, now: Duration, link: &Link) -> Option<Measurement> {
        let (last, last_bytes) = self.measured;
        let bytes = link.usage.total();
        self.measured = (now, bytes);
        let rate = link.pacer.stated_rate()?;
        if link.pacer.is_active() {
            let load = link.pacer.load(now);
            return Some(Measurement {
                rate: load.rate,
                load: load.load,
                is_full: load.is_full,
            });
        }
        let elapsed = now.saturating_sub(last).max(UPDATE_INTERVAL);
        #[expect(clippy::cast_precision_loss, reason = "bytes of some seconds")]
        let load = bytes.saturating_sub(last_bytes) as f64 / elapsed.as_secs_f64();
        Some(Measurement {
            rate,
            load,
            is_full: false,
        })
    }

    /// Publishes a statement that is due, or again if others hold another one, such as
    /// that of a former process of this host.
    fn publish(&mut self, now: Duration, registry: &mut Registry, address: ServiceAddress) {
        let due = self.rotation.take_statement(now);
        let Some(status) = due.or(self.rotation.stated()) else {
            return;
        };
        let body = match status.encode() {
            Ok(body) => body,
            Err(error) => return log::error!("cannot encode the own statement: {error}"),
        };
        let held = registry.view(&address);
        let held = held.and_then(|view| view.config.as_ref());
        if due.is_none() && held.is_some_and(|held| held.body == body) {
            return;
        }
        let next = held.map_or(0, |held| held.revision.saturating_add(1));
        let service = Service {
            address,
            revision: revision::from_packed(clock::incarnation()).max(next),
            body: body.into(),
        };
        registry.put_service(now, service);
    }
}

/// Returns true for the address of a record with the statement of a gateway.
#[must_use]
pub fn is_statement(address: &ServiceAddress) -> bool {
    let IpAddr::V6(host) = address.ip() else {
        return false;
    };
    address.port() == STATEMENT_PORT && host.segments()[..5] == [0; 5]
}

/// Returns the address of the record with the statement of a gateway; `None` for a
/// gateway with an IPv6 address, which takes no part.
fn statement_address(gateway: SocketAddr) -> Option<ServiceAddress> {
    let IpAddr::V4(host) = gateway.ip() else {
        return None;
    };
    let [a, b, c, d] = host.octets();
    let high = u16::from_be_bytes([a, b]);
    let low = u16::from_be_bytes([c, d]);
    let host = Ipv6Addr::new(0, 0, 0, 0, 0, gateway.port(), high, low);
    Some(SocketAddr::new(IpAddr::V6(host), STATEMENT_PORT))
}

/// Returns the other gateways of the zone that have not announced their departure.
fn neighbours(registry: &Registry, own: &Identity) -> Vec<Neighbour> {
    let live: BTreeSet<SocketAddr> = registry.live_entries().collect();
    let others = registry
        .entries()
        .filter(|entry| entry.zone == own.zone && entry.address != own.address && !entry.has_left);
    others
        .map(|entry| {
            let view = statement_address(entry.address).and_then(|at| registry.view(&at));
            let record = view.and_then(|view| view.config.as_ref());
            Neighbour {
                key: entry_key(entry.address),
                is_live: live.contains(&entry.address),
                status: record.and_then(|record| Status::decode(&record.body).ok()),
            }
        })
        .collect()
}
