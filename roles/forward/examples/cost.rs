//! Measures the cost of a forwarded flow in a gateway and a sidecar: processor
//! time for each packet, without input and output, and memory for each flow.
use std::collections::HashMap;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use forward::Agent;
use forward::Entry;
use forward::Route;
use forward::Routes;
use forward::agent;
use forward::agent::Announcement;
use forward::agent::State;
use forward::entry;
use forward::routes::Share;
use forward::routes::Table;
use wire::FlowId;
use wire::Hop;
use wire::Segment;
use wire::Target;
use wire::segment::Kind;
use wire::target;
use wire::transit;
use wire::transit::Forward;
use wire::transit::Load;
use wire::transit::Open;

/// Number of concurrent flows.
const FLOWS: u32 = 50_000;

/// Number of backend servers of the service, as planned for the deployment.
const SERVERS: u64 = 13;

/// Number of packets forwarded for each flow.
const PACKETS: u32 = 20;

const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

fn main() {
    measure_gateway();
    measure_sidecar();
}

fn measure_gateway() {
    let address = SocketAddr::from(([10, 1, 0, 1], 7000));
    let mut entry = Entry::new(entry::Settings::default(), address, 1, 1, Duration::ZERO);
    let mut actions = Vec::new();
    let event = entry::Event::Routes(routes());
    entry.handle(Duration::ZERO, event, &mut actions);
    let before = resident_bytes();
    let opened = mean_nanos(FLOWS, |number| {
        let packet = Bytes::from_static(b"packet");
        let segment = segment(number, Kind::Open);
        entry.handle(
            Duration::ZERO,
            entry::Event::Packet { segment, packet },
            &mut actions,
        );
        let held = transit::Held {
            flow: flow(number),
            start: None,
            holder: hop(1 + u64::from(number) % SERVERS),
            load: Some(Load::default()),
        };
        entry.handle(Duration::ZERO, entry::Event::Held(held), &mut actions);
        actions.clear();
    });
    let bytes = resident_bytes().saturating_sub(before) / u64::from(FLOWS);
    let carried = mean_nanos(FLOWS * PACKETS, |number| {
        let packet = Bytes::from_static(b"packet");
        let segment = segment(number % FLOWS, Kind::Data);
        entry.handle(
            Duration::ZERO,
            entry::Event::Packet { segment, packet },
            &mut actions,
        );
        actions.clear();
    });
    println!("gateway: {bytes} B a flow, {opened} ns to open one, {carried} ns a packet");
}

fn measure_sidecar() {
    let settings = agent::Settings {
        max_flows: FLOWS as usize,
        max_queued: u16::MAX - 2,
        ..agent::Settings::default()
    };
    let mut agent = Agent::new(settings, hop(1), false, Duration::ZERO);
    let mut actions = Vec::new();
    let backend = Announcement {
        name: "server".into(),
        service: "[fd00::1]:1".parse().expect("a valid address"),
        target: 1,
        start: 1,
        sequence: 1,
        slots: 2,
        state: State::Ready,
        age: None,
        warm_up: Duration::ZERO,
    };
    agent.handle(
        Duration::ZERO,
        agent::Event::Announcement(backend),
        &mut actions,
    );
    let before = resident_bytes();
    let opened = mean_nanos(FLOWS, |number| {
        let open = Open {
            entry: SocketAddr::from(([10, 1, 0, 1], 7000)),
            path: vec![hop(1)],
            position: 0,
            bids: Vec::new(),
            is_settled: true,
            max_wait_ms: u32::MAX,
            packet: Bytes::from_static(b"packet"),
            demand: None,
            crossing: None,
        };
        let open_segment = segment(number, Kind::Open);
        let event = agent::Event::Open {
            open,
            segment: open_segment,
        };
        agent.handle(Duration::ZERO, event, &mut actions);
        send_answer(&mut agent, number, Kind::Accept, &mut actions);
        actions.clear();
    });
    let bytes = resident_bytes().saturating_sub(before) / u64::from(FLOWS);
    let carried = mean_nanos(FLOWS * PACKETS, |number| {
        let number = number % FLOWS;
        let forward = Forward {
            target: 1,
            entry: SocketAddr::from(([10, 1, 0, 1], 7000)),

            packet: Bytes::from_static(b"packet"),
        };
        let segment = segment(number, Kind::Data);
        agent.handle(
            Duration::ZERO,
            agent::Event::Forward { forward, segment },
            &mut actions,
        );
        send_answer(&mut agent, number, Kind::Data, &mut actions);
        actions.clear();
    });
    println!(
        "sidecar: {bytes} B a flow, {opened} ns to open one, {carried} ns a packet and its answer"
    );
}

fn send_answer(agent: &mut Agent, number: u32, kind: Kind, actions: &mut Vec<agent::Action>) {
    let request = segment(number, kind);
    let segment = Segment {
        source: request.destination,
        destination: request.source,
        ..request
    };
    let packet = Bytes::from_static(b"packet");
    agent.handle(
        Duration::ZERO,
        agent::Event::ServerPacket { segment, packet },
        actions,
    );
}

/// Returns the mean duration of a call in nanoseconds.
fn mean_nanos(count: u32, mut call: impl FnMut(u32)) -> u128 {
    let start = Instant::now();
    for number in 0..count {
        call(number);
    }
    start.elapsed().as_nanos() / u128::from(count)
}

/// Returns the resident memory of the process in bytes.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * 4_096
}

fn flow(number: u32) -> FlowId {
    segment(number, Kind::Data).flow_from_caller()
}

fn segment(number: u32, kind: Kind) -> Segment {
    let caller = Ipv4Addr::from_bits(0x6440_0000 + number / 50_000);
    let port = 1_024 + u16::try_from(number % 50_000).unwrap_or_default();
    Segment {
        source: SocketAddrV4::new(caller, port),
        destination: SERVICE,
        kind,
        is_returned: false,
        sequence: 1,
        acknowledged: 0,
        length: 0,
        echo: 0,
    }
}

fn hop(target: u64) -> Hop {
    let host = u8::try_from(target).unwrap_or(u8::MAX);
    Hop {
        target,
        address: SocketAddr::from(([10, 2, 0, host], 7000)),
    }
}

fn routes() -> Arc<Routes> {
    let service = "[fd00::1]:1".parse().expect("a valid address");
    let targets = (1..=SERVERS).map(|id| Target {
        id,
        service,
        address: hop(id).address,
        control: hop(id).address,
        zone: 1,
        incarnation: 1,
        version: 1,
        weight: 100,
        slots: 2,
        state: target::State::Ready,
    });
    let route = Route {
        shares: vec![Share { service, weight: 1 }],
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 1,
        is_idempotent: false,
    };
    Arc::new(Routes {
        table: Arc::new(Table {
            version: 1,
            routes: HashMap::from([(SERVICE, route)]),
            idle_timeout: Duration::from_secs(15),
            ..Table::default()
        }),
        is_confirmed: true,
        is_complete: true,
        targets: HashMap::from([(service, Arc::new(targets.collect()))]),
        ..Routes::default()
    })
}
