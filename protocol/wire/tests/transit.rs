//! Frames of versions with and without the demand of a new flow.
use std::net::SocketAddr;

use bytes::Bytes;
use wire::transit::Busy;
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

/// A gateway of an earlier version reads the report of load and ignores the class.
#[test]
fn a_refused_class_is_only_appended() {
    let busy = |refused_from| Busy {
        target: 7,
        load: Load::default(),
        refused_from,
    };
    let encode = |busy: &Busy| postcard::to_stdvec(busy).unwrap();
    let (without, with) = (encode(&busy(None)), encode(&busy(Some(2))));
    assert!(with.starts_with(&without));
    assert!(with.len() > without.len());
    for refused_from in [None, Some(0), Some(2)] {
        let decoded: Busy = postcard::from_bytes(&encode(&busy(refused_from))).unwrap();
        assert_eq!(decoded, busy(refused_from));
    }
}
