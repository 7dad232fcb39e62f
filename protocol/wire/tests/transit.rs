//! Frames of versions with and without the optional fields of a new flow.
use std::net::SocketAddr;

use bytes::Bytes;
use wire::transit::Busy;
use wire::transit::Crossing;
use wire::transit::Demand;
use wire::transit::Load;
use wire::transit::Open;

const DEMAND: Demand = Demand {
    priority: 1,
    target_latency_ms: 250,
    is_idempotent: false,
    cold_rate: 1_500,
};

fn open(demand: Option<Demand>) -> Open {
    Open {
        entry: SocketAddr::from(([10, 1, 0, 1], 7000)),
        path: Vec::new(),
        position: 0,
        bids: vec![7],
        is_settled: false,
        max_wait_ms: 1_000,
        packet: Bytes::from_static(b"packet"),
        demand,
        crossing: None,
    }
}

fn encode(open: &Open) -> Vec<u8> {
    postcard::to_stdvec(open).unwrap()
}

#[test]
fn a_frame_decodes_to_what_was_encoded() {
    for demand in [None, Some(DEMAND)] {
        let decoded: Open = postcard::from_bytes(&encode(&open(demand))).unwrap();
        assert_eq!(decoded, open(demand));
    }
}

/// A process of an earlier version ignores what follows the last field that it knows,
/// so a roll of the processes loses no opening packet.
#[test]
fn a_demand_is_only_appended() {
    let (without, with) = (encode(&open(None)), encode(&open(Some(DEMAND))));
    assert!(with.starts_with(&without));
    assert!(with.len() > without.len());
}

/// A gateway that has the field and a sidecar that does not, and the other way
/// round, work side by side.
#[test]
fn the_cost_of_crossing_is_only_appended_to_a_demand() {
    let crossing = Crossing {
        cost_ms: 50,
        outside: 0b100,
    };
    let without = open(Some(DEMAND));
    let with = Open {
        crossing: Some(crossing),
        ..without.clone()
    };
    assert!(encode(&with).starts_with(&encode(&without)));
    let decoded: Open = postcard::from_bytes(&encode(&with)).unwrap();
    assert_eq!(decoded, with);
    let costs = [0, 1, 2, 3, 40].map(|index| with.crossing_ms(index));
    assert_eq!(costs, [0, 0, 50, 0, 0]);
}

/// Gateways and sidecars of versions with and without the share of used slots work side
/// by side.
#[test]
fn the_share_of_used_slots_is_only_appended_to_a_report() {
    let busy = |used_permille| Busy {
        target: 7,
        load: Load {
            running: 1,
            slots: 2,
            used_permille,
            ..Load::default()
        },
    };
    let encode = |used| postcard::to_stdvec(&busy(used)).unwrap();
    assert!(encode(Some(430)).starts_with(&encode(None)));
    for used in [None, Some(430)] {
        let decoded: Busy = postcard::from_bytes(&encode(used)).unwrap();
        assert_eq!(decoded, busy(used));
    }
}
