//! Frames of versions with and without the optional fields of a new flow.
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use bytes::Bytes;
use wire::Hop;
use wire::Transit;
use wire::batch;
use wire::frame::MAX_DATAGRAM_BYTES;
use wire::transit::Busy;
use wire::transit::Crossing;
use wire::transit::Demand;
use wire::transit::Load;
use wire::transit::Open;

const DEMAND: Demand = Demand {
    priority: 1,
    latency_target_ms: 250,
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

/// Guards against flows that are refused, or shed in the wrong order, because a priority
/// of the configuration does not fit into a frame.
fn passes_a_frame((priority, length): (u64, usize)) {
    let demand = Demand { priority, ..DEMAND };
    let frame = open(Some(demand));
    let decoded: Open = postcard::from_bytes(&encode(&frame)).unwrap();
    assert_eq!(decoded, frame);
    // Earlier versions read one byte.
    let shorter = encode(&open(Some(DEMAND))).len() - 1;
    assert_eq!(encode(&frame).len(), shorter + length);
    let busy = Transit::Busy(Busy {
        target: 1,
        load: Load {
            used_permille: Some(500),
            ..Load::default()
        },
        refused_from: Some(priority),
    });
    let bytes = postcard::to_stdvec(&busy).unwrap();
    assert_eq!(postcard::from_bytes::<Transit>(&bytes), Ok(busy));
}

cases::cases! { passes_a_frame;
    highest_priority: (0, 1),
    priority_with_the_upper_bit_of_a_byte: (200, 1),
    largest_priority_of_one_byte: (254, 1),
    smallest_priority_of_more: (255, 3),
    priority_beyond_a_byte: (300, 3),
    lowest_priority: (u64::MAX, 11),
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

/// A process of the previous version knows the variants up to `Busy`. If it decoded a
/// later one as another frame, it would act on it.
#[test]
fn batches_are_numbered_after_the_variants_of_the_previous_version() {
    let report = Transit::Report(batch::Report {
        batch: 7,
        findings: Vec::new(),
    });
    let search = Transit::SearchBatch(batch::Search {
        target: 1,
        entry: SocketAddr::from(([10, 1, 0, 1], 7000)),
        batch: 7,
        service: SocketAddrV4::new([198, 18, 0, 1].into(), 443),
        flows: Vec::new(),
    });
    let busy = Transit::Busy(Busy {
        target: 1,
        load: Load::default(),
        refused_from: None,
    });
    let number = |transit: &Transit| postcard::to_stdvec(transit).unwrap()[0];
    assert_eq!(number(&busy), 7);
    assert!(number(&search) > 7 && number(&report) > 7);
    assert!(number(&Transit::Probes(probes(0, 0))) > number(&report));
}

/// Returns probes with this many packets of a length.
fn probes(count: usize, length: usize) -> batch::Probes {
    batch::Probes {
        target: u64::MAX,
        entry: SocketAddr::from(([10, 1, 0, 1], 65_000)),
        packets: vec![Bytes::from(vec![7; length]); count],
    }
}

/// Probes that are larger than a datagram would never arrive: those with the shortest
/// packets have the most lengths to encode.
#[test]
fn the_largest_probes_fit_into_a_datagram() {
    for length in [34, 100, 1_234] {
        let probes = Transit::Probes(probes(batch::MAX_PROBE_BYTES / length, length));
        let frame = postcard::to_stdvec(&wire::Frame::Transit(probes)).unwrap();
        assert!(frame.len() < MAX_DATAGRAM_BYTES - 100, "{}", frame.len());
    }
}

/// A batch that is larger than a datagram would never arrive.
#[test]
fn the_largest_batch_and_its_report_fit_into_a_datagram() {
    let sought = |number: u16| batch::Sought {
        caller: SocketAddrV4::new([100, 64, 255, 255].into(), 60_000 + number),
        acknowledged: u32::MAX,
        age_ms: 6_000,
    };
    let count = u16::try_from(batch::MAX_FLOWS).unwrap();
    let address = SocketAddr::from(([10, 1, 0, 1], 65_000));
    let search = batch::Search {
        target: u64::MAX,
        entry: address,
        batch: u32::MAX,
        service: SocketAddrV4::new([198, 18, 0, 1].into(), 65_000),
        flows: (0..count).map(sought).collect(),
    };
    let mut flows = batch::Bitmap::default();
    flows.insert(batch::MAX_FLOWS - 1);
    let findings = batch::Findings {
        agent: Hop {
            target: u64::MAX,
            address,
        },
        age_ms: Some(u32::MAX),
        start: Some(u64::MAX),
        known_agents: 60,
        has_down_agent: false,
        held: batch::Bitmap::default(),
        complete: flows.clone(),
        returned: batch::Bitmap::default(),
        younger: flows,
    };
    let report = batch::Report {
        batch: u32::MAX,
        findings: vec![findings; batch::MAX_FINDINGS],
    };
    // The header, the tag and the variants of the enclosing frame.
    let overhead = 100;
    for length in [
        postcard::to_stdvec(&search).unwrap().len(),
        postcard::to_stdvec(&report).unwrap().len(),
    ] {
        assert!(length + overhead <= MAX_DATAGRAM_BYTES, "{length}");
    }
}

#[test]
fn a_set_of_flows_contains_what_was_inserted() {
    let mut flows = batch::Bitmap::default();
    assert!(flows.is_empty());
    for index in [0, 9, 999] {
        flows.insert(index);
    }
    let contained: Vec<usize> = (0..1_100).filter(|index| flows.contains(*index)).collect();
    assert_eq!(contained, [0, 9, 999]);
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
        refused_from: None,
    };
    let encode = |used| postcard::to_stdvec(&busy(used)).unwrap();
    assert!(encode(Some(430)).starts_with(&encode(None)));
    for used in [None, Some(430)] {
        let decoded: Busy = postcard::from_bytes(&encode(used)).unwrap();
        assert_eq!(decoded, busy(used));
    }
}

/// A gateway of an earlier version reads the report of load and ignores the class.
#[test]
fn a_refused_class_is_only_appended() {
    let busy = |refused_from| Busy {
        target: 7,
        // Without the share, the class would be read as one.
        load: Load {
            used_permille: Some(430),
            ..Load::default()
        },
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
