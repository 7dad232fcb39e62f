//! Tests of what gateways and sidecars do with the record of evacuated zones.
use std::net::SocketAddr;
use std::time::Duration;

use app::evacuation;
use app::evacuation::record;
use app::gateway;
use app::metric::Instruments;
use app::sidecar;
use config::Evacuations;
use forward::Routes;
use forward::agent::Event;
use member::Announcer;
use member::BROADCAST_ADDRESS;
use member::Health;
use member::Identity;
use member::Member;
use member::Message;
use member::Registry;
use member::message::Members;
use platform::Settings;
use wire::Target;
use wire::ZoneId;
use wire::target::State;

const HOST: &str = r#"{"host":"front-a-1","address":"10.1.0.10","zone":"a",
"zones":{"a":"north","b":"north","c":"north"},
"listen":{"packets":"10.1.0.10:8172","ready":"10.1.0.10:8167"},"internal_ports":[7720,7735],
"seeds":[],"store":"10.200.1.7:8169","is_first_start":true}"#;

/// Revision of the first list; later ones have the next ones.
const REVISION: wire::Revision = 40;

fn host(evacuation_ms: Option<u64>) -> Settings {
    Settings {
        evacuation_ms: evacuation_ms.map(Duration::from_millis),
        ..serde_json::from_str(HOST).unwrap()
    }
}

fn zones(zones: &[ZoneId]) -> Evacuations {
    Evacuations {
        zones: zones.iter().map(|zone| (*zone, 7)).collect(),
    }
}

fn registry() -> Registry {
    let identity = Identity {
        address: SocketAddr::from(([10, 0, 0, 1], 7000)),
        zone: 0,
        incarnation: 1,
    };
    Registry::new(member::Settings::default(), identity, 1, Duration::ZERO)
}

fn target(id: u64, zone: ZoneId, state: State) -> Target {
    let address = SocketAddr::from(([10, 0, 1, u8::try_from(id).unwrap()], 7000));
    Target {
        id,
        service: SocketAddr::from(([10, 1, 0, 1], 80)),
        address,
        control: address,
        zone,
        incarnation: 1,
        version: 1,
        weight: 1,
        slots: 1,
        state,
    }
}

/// A gateway that started without the list would send flows to evacuated zones; one that
/// waited for it for ever would serve nobody while the store is down.
#[test]
fn a_gateway_waits_for_a_list_for_a_limited_time_where_zones_are_evacuated() {
    let wait = Duration::from_millis(1_500);
    let now = Duration::from_secs(9);
    let unused = gateway::evacuation::Evacuation::new(&host(None), now);
    assert!(unused.is_ready(now));
    let mut evacuation = gateway::evacuation::Evacuation::new(&host(Some(5_000)), now);
    assert!(!evacuation.is_ready(now) && evacuation.is_ready(now + wait));
    let mut registry = registry();
    evacuation::put(&mut registry, now, &zones(&[]), REVISION);
    evacuation.observe(now, record(&registry));
    assert!(evacuation.is_ready(now));
    assert_eq!(evacuation.take_change(now), None);
}

#[test]
fn a_gateway_reports_each_change_once_and_services_without_a_zone() {
    let (now, mut registry) = (Duration::ZERO, registry());
    let mut evacuation = gateway::evacuation::Evacuation::new(&host(Some(5_000)), now);
    let servers = [target(1, 0, State::Ready), target(2, 1, State::Ready)];
    let mut routes = Routes::default();
    routes
        .targets
        .insert(servers[0].service, servers.to_vec().into());
    for (number, (evacuated, uncovered)) in (0..).zip([(&[0][..], 0), (&[0, 1], 1), (&[2], 0)]) {
        evacuation::put(&mut registry, now, &zones(evacuated), REVISION + number);
        evacuation.observe(now, record(&registry));
        assert_eq!(evacuation.take_change(now), Some(&zones(evacuated)));
        assert_eq!(evacuation.take_change(now), None);
        routes.evacuated_zones = evacuated.iter().copied().collect();
        let mut instruments = Instruments::default();
        evacuation
            .report(&routes)
            .publish(&mut instruments)
            .unwrap();
        let samples = instruments.read().unwrap();
        let value = |name: &str, reason: &str| {
            let mut samples = samples.iter();
            let found = samples.find(|sample| (&*sample.name, &*sample.reason) == (name, reason));
            found.map(|sample| sample.value)
        };
        assert_eq!(value("carried.evacuation.uncovered", ""), Some(uncovered));
        let is_first_evacuated = u64::from(evacuated.contains(&0));
        assert_eq!(
            value("carried.evacuation.revision", "a"),
            Some(7 * is_first_evacuated)
        );
    }
}

#[test]
fn a_sidecar_of_an_evacuated_zone_passes_on_to_ready_agents_of_other_zones() {
    let now = Duration::ZERO;
    let own = target(1, 0, State::Ready);
    let service = own.service;
    let settings = member::Settings::default();
    let mut announcer = Announcer::new(settings, own, Vec::new(), 1, now);
    let others = [
        (target(2, 0, State::Ready), Health::Up),
        (target(3, 1, State::Ready), Health::Up),
        (target(4, 1, State::Draining), Health::Up),
        (target(5, 1, State::Ready), Health::Down),
        (target(6, 2, State::Ready), Health::Up),
    ];
    let members = others
        .clone()
        .map(|(target, health)| Member { target, health });
    let message = Message::Members(Members {
        address: service,
        config: None,
        members: members.into(),
    });
    announcer.handle(now, service, message, &mut Vec::new());
    let mut evacuation = sidecar::evacuation::Evacuation::new(0);
    for (number, (evacuated, expected)) in (0..).zip([
        (&[2][..], None),
        (&[0, 2], Some(vec![3])),
        (&[0], Some(vec![3, 6])),
        (&[], None),
    ]) {
        let record = member::Service {
            address: BROADCAST_ADDRESS,
            revision: REVISION + number,
            body: zones(evacuated).to_bytes().unwrap().into(),
        };
        evacuation.observe(now, &record);
        let event = evacuation.take_change(now, Some(&announcer));
        let given = event.map(|event| match event {
            Event::Evacuation(others) => others.map(|hops| {
                let mut ids: Vec<u64> = hops.iter().map(|hop| hop.target).collect();
                ids.sort_unstable();
                ids
            }),
            other => panic!("{other:?}"),
        });
        // The first list does not concern this zone, so nothing changes.
        assert_eq!(given, (number > 0).then_some(expected), "{evacuated:?}");
        assert!(evacuation.take_change(now, Some(&announcer)).is_none());
    }
}
