//! Statements by which gateways agree on who leaves the rotation.
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use app::forwarder::class;
use app::forwarder::class::Classes;
use app::forwarder::link::Link;
use app::forwarder::pacer::Decision;
use app::forwarder::pacer::Envelope;
use app::forwarder::pacer::Pacer;
use app::forwarder::pacer::Socket;
use app::forwarder::telemetry::Telemetry;
use app::forwarder::usage::Kind;
use app::forwarder::usage::Usage;
use app::gateway::rotation::Controller;
use app::gateway::rotation::is_statement;
use app::metric::Instruments;
use app::settings::table::Role;
use limit::rotation::Stance;
use limit::rotation::Status;
use member::Registry;
use member::Service;
use member::registry::Identity;
use net::Port;
use platform::name;
use wire::Revision;
use wire::Seal;
use wire::seal::Key;

type Result = std::result::Result<(), Box<dyn std::error::Error>>;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn gateway(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_000))
}

fn identity(host: u8) -> Identity {
    Identity {
        address: gateway(host),
        zone: 1,
        incarnation: 1,
    }
}

fn registry(host: u8) -> Registry {
    let settings = member::Settings::default();
    Registry::new(settings, identity(host), 1, at(0))
}

fn link(mbps: Option<f64>) -> io::Result<Link> {
    let key = Key {
        id: 1,
        secret: [7; 32],
    };
    let seal = Arc::new(Seal::new(key, Vec::new()));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let telemetry = Telemetry::new(&Instruments::default());
    Ok(Link {
        origin: Instant::now(),
        port: Port::bind_blocking(any, seal, at(1))?,
        socket: std::net::UdpSocket::bind(any)?,
        caller_port: 1,
        telemetry: telemetry.map_err(io::Error::other)?,
        pacer: Pacer::new(mbps, at(0)),
        classes: Classes::default(),
        role: Role::Gateway,
        usage: Usage::new(1),
    })
}

/// Returns all statements in a registry.
fn statements(registry: &Registry) -> Vec<Service> {
    let views = registry.views();
    let statements = views.filter(|view| is_statement(&view.address));
    statements.filter_map(|view| view.config.clone()).collect()
}

#[test]
fn other_records_are_no_statements() {
    for address in ["[::]:1", "[::]:2", "10.0.0.1:3"] {
        assert!(!is_statement(&address.parse().unwrap()), "{address}");
    }
    assert!(!is_statement(&name::service_address("roster")));
}

#[test]
fn gateway_whose_settings_state_no_rate_states_nothing() -> Result {
    let (mut registry, link) = (registry(1), link(None)?);
    let is_in = Arc::new(AtomicBool::new(true));
    let mut controller = Controller::new(identity(1), Arc::clone(&is_in), at(0));
    for second in 0..10 {
        controller.update(at(second), &mut registry, &link);
    }
    assert_eq!(statements(&registry), []);
    assert!(is_in.load(Ordering::Relaxed));
    Ok(())
}

#[test]
fn gateway_with_a_fast_link_states_its_load_once() -> Result {
    let (mut registry, link) = (registry(1), link(Some(1_000.0))?);
    let mut controller = Controller::new(identity(1), Arc::default(), at(0));
    controller.update(at(0), &mut registry, &link);
    let stated = statements(&registry);
    assert_eq!(stated.len(), 1);
    let status = Status::decode(&stated[0].body)?;
    assert_eq!((status.rate, status.load), (125_000_000, 0));
    assert_eq!(status.stance, Stance::In);
    for second in 1..10 {
        controller.update(at(second), &mut registry, &link);
    }
    assert_eq!(statements(&registry), stated);
    Ok(())
}

/// Others would count a gateway as out that takes part again.
#[test]
fn statement_of_a_former_process_is_replaced_even_after_the_clock_went_back() -> Result {
    let (mut registry, link) = (registry(1), link(Some(1_000.0))?);
    let mut controller = Controller::new(identity(1), Arc::default(), at(0));
    controller.update(at(0), &mut registry, &link);
    let former = Status {
        stance: Stance::Out,
        rate: 1,
        load: 1,
    };
    let late = Service {
        revision: Revision::from(u64::MAX / 2),
        body: former.encode()?.into(),
        ..statements(&registry).remove(0)
    };
    registry.put_service(at(1), late);
    controller.update(at(1), &mut registry, &link);
    let stated = statements(&registry).remove(0);
    let status = Status::decode(&stated.body)?;
    assert_eq!(status.stance, Stance::In);
    Ok(())
}

#[test]
fn gateway_with_a_full_link_leaves_for_a_neighbour_that_has_room() -> Result {
    let (mut registry, slow) = (registry(1), link(Some(1.0))?);
    let is_in = Arc::new(AtomicBool::new(true));
    let mut controller = Controller::new(identity(1), Arc::clone(&is_in), at(0));
    add_neighbour(&mut registry)?;
    let envelope = Envelope {
        socket: Socket::Frames,
        to: gateway(3),
        kind: Kind::Data,
    };
    // Twice what the link bears; nobody sends what waits.
    for millis in 0..8_000 {
        let now = Duration::from_millis(millis);
        if millis % 4 == 0 {
            let packet = class::control(1_000);
            if let Decision::Help(taken) = slow.pacer.offer(now, packet, envelope, b"data") {
                drop(taken);
            }
            slow.pacer.take_change(now);
        }
        controller.update(now, &mut registry, &slow);
    }
    assert!(!is_in.load(Ordering::Relaxed));
    let own = statements(&registry)
        .iter()
        .filter_map(|stated| Status::decode(&stated.body).ok())
        .find(|status| status.rate < 1_000_000);
    assert_eq!(own.map(|status| status.stance), Some(Stance::Out));
    Ok(())
}

/// Adds another gateway of the zone with a fast link that is not used.
fn add_neighbour(registry: &mut Registry) -> Result {
    let mut other = self::registry(2);
    let mut controller = Controller::new(identity(2), Arc::default(), at(0));
    controller.update(at(0), &mut other, &link(Some(1_000.0))?);
    for stated in statements(&other) {
        registry.put_service(at(0), stated);
    }
    other.join(at(0), &[gateway(1)]);
    let mut actions = Vec::new();
    other.tick(at(0), &mut actions);
    for member::Action::Send { to, message } in actions {
        if to == gateway(1) {
            registry.handle(at(0), gateway(2), message, &mut Vec::new());
        }
    }
    assert_eq!(registry.entries().count(), 2);
    Ok(())
}
