//! Builds the events of the cores under test.
#![allow(dead_code)]
pub mod agent;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use forward::Route;
use forward::Routes;
use forward::agent::Backend;
use forward::agent::State;
use forward::routes::Share;
use forward::routes::Table;
use wire::Hop;
use wire::Segment;
use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;
use wire::ZoneId;
use wire::segment::Kind;
use wire::target;
use wire::transit::Carry;
use wire::transit::Open;

pub const CALLER: &str = "100.64.0.7:40001";
pub const SERVICE: &str = "198.18.0.1:443";

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn entry() -> SocketAddr {
    "10.1.0.1:7000".parse().unwrap()
}

pub fn service() -> ServiceAddress {
    "[fd00::1]:1".parse().unwrap()
}

/// The agent beside a backend server.
pub fn hop(target: TargetId) -> Hop {
    Hop {
        target,
        address: SocketAddr::from(([10, 2, 0, u8::try_from(target).unwrap()], 7000)),
    }
}

pub fn caller(port: u16) -> SocketAddrV4 {
    let caller: SocketAddrV4 = CALLER.parse().unwrap();
    SocketAddrV4::new(*caller.ip(), port)
}

/// A packet of the caller at a port.
pub fn from_caller(port: u16, kind: Kind, length: u16) -> Segment {
    Segment {
        source: caller(port),
        destination: SERVICE.parse().unwrap(),
        kind,
        is_returned: false,
        sequence: 1,
        // The position at which `from_server` accepts.
        acknowledged: u32::from(kind != Kind::Open),
        length,
        mark: 0,
    }
}

/// A packet of the backend server to the caller at a port.
pub fn from_server(port: u16, kind: Kind, length: u16) -> Segment {
    let forth = from_caller(port, kind, length);
    Segment {
        source: forth.destination,
        destination: forth.source,
        ..forth
    }
}

/// A packet of the caller that the backend server handed back.
pub fn returned(port: u16, kind: Kind) -> Segment {
    Segment {
        is_returned: true,
        ..from_caller(port, kind, 0)
    }
}

pub fn packet() -> Bytes {
    Bytes::from_static(b"packet")
}

/// An opening frame for the first agent of a path.
pub fn open(path: &[TargetId]) -> Open {
    Open {
        entry: entry(),
        path: path.iter().copied().map(hop).collect(),
        position: 0,
        bids: Vec::new(),
        is_settled: false,
        patience_ms: 1_000,
        packet: packet(),
    }
}

pub fn carry(target: TargetId) -> Carry {
    Carry {
        target,
        entry: entry(),
        packet: packet(),
    }
}

/// What a backend server with two slots tells of itself.
pub fn backend(target: TargetId, start: u64, sequence: u64, state: State) -> Backend {
    Backend {
        name: format!("server-{target}-{start}"),
        service: service(),
        target,
        start,
        sequence,
        slots: 2,
        state,
        warm_up: Duration::ZERO,
    }
}

pub fn target(id: TargetId, zone: ZoneId, state: target::State) -> Target {
    Target {
        id,
        service: service(),
        address: hop(id).address,
        control: hop(id).address,
        zone,
        incarnation: 1,
        version: 1,
        weight: 100,
        slots: 2,
        state,
    }
}

/// A deployment with one route and these backend servers.
pub fn routes(targets: Vec<Target>) -> Arc<Routes> {
    let route = Route {
        shares: vec![Share {
            service: service(),
            weight: 1,
        }],
        timeout: Duration::from_secs(1),
        objective: ms(100),
        priority: 1,
    };
    Arc::new(Routes {
        table: Arc::new(Table {
            version: 1,
            routes: HashMap::from([(SERVICE.parse().unwrap(), route)]),
            idle_timeout: Duration::from_secs(15),
        }),
        is_confirmed: true,
        is_complete: true,
        targets: HashMap::from([(service(), Arc::new(targets))]),
        silent: HashSet::new(),
    })
}

/// The header of a packet stands for all of it.
pub fn encode(segment: &Segment) -> Bytes {
    let kind = match segment.kind {
        Kind::Open => 0,
        Kind::Accept => 1,
        Kind::Data => 2,
        Kind::Close => 3,
        Kind::Reset => 4,
    };
    Bytes::from(format!(
        "{} {} {kind} {} {} {}",
        segment.source, segment.destination, segment.sequence, segment.acknowledged, segment.length
    ))
}

/// Reads such a packet.
pub fn decode(packet: &Bytes) -> Segment {
    let text = std::str::from_utf8(packet).unwrap();
    let parts: Vec<&str> = text.split(' ').collect();
    Segment {
        source: parts[0].parse().unwrap(),
        destination: parts[1].parse().unwrap(),
        kind: match parts[2] {
            "0" => Kind::Open,
            "1" => Kind::Accept,
            "2" => Kind::Data,
            "3" => Kind::Close,
            _ => Kind::Reset,
        },
        is_returned: false,
        sequence: parts[3].parse().unwrap(),
        acknowledged: parts[4].parse().unwrap(),
        length: parts[5].parse().unwrap(),
        mark: 0,
    }
}
