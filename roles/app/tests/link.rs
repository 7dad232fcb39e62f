//! Classes of packets, and packets that wait for room on the network link.
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use app::forwarder::class;
use app::forwarder::class::Classes;
use app::forwarder::pacer::Decision;
use app::forwarder::pacer::Envelope;
use app::forwarder::pacer::Pacer;
use app::forwarder::pacer::Socket;
use app::forwarder::usage::Crossing;
use app::forwarder::usage::Kind as Usage;
use app::forwarder::usage::Usage as Counters;
use app::settings::table::Role;
use bytes::Bytes;
use cases::cases;
use limit::link::Class;
use platform::packet;
use wire::FlowId;
use wire::Segment;
use wire::Transit;
use wire::segment::Kind;
use wire::transit::Forward;
use wire::transit::HolderAbsent;
use wire::transit::Lookup;
use wire::transit::NotHeld;
use wire::transit::Open;
use wire::transit::Search;
use wire::transit::Terms;

const CALLER: SocketAddrV4 = address(9, 5_000);
const URGENT: SocketAddrV4 = address(1, 80);
const OTHER: SocketAddrV4 = address(2, 80);

const fn address(host: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(std::net::Ipv4Addr::new(10, 0, 0, host), port)
}

fn receiver(host: u8) -> SocketAddr {
    address(host, 7_000).into()
}

fn classes() -> Classes {
    let classes = Classes::default();
    classes.replace([(URGENT, 1), (OTHER, 2)].into_iter());
    classes
}

fn segment(kind: Kind, destination: SocketAddrV4, sequence: u32) -> Segment {
    Segment {
        source: CALLER,
        destination,
        kind,
        is_returned: false,
        sequence,
        acknowledged: 0,
        length: 600,
        echo: 0,
    }
}

fn bytes(segment: &Segment) -> Bytes {
    let mut packet = packet::header(segment, 0).to_vec();
    packet.resize(packet.len() + usize::from(segment.length), 0);
    packet.into()
}

fn forward(segment: &Segment) -> Transit {
    Transit::Forward(Forward {
        target: 1,
        entry: receiver(3),
        packet: bytes(segment),
    })
}

fn open(acknowledged: u32) -> Transit {
    let segment = Segment {
        acknowledged,
        length: 0,
        ..segment(Kind::Open, URGENT, 0)
    };
    Transit::Open(Open {
        entry: receiver(3),
        path: Vec::new(),
        position: 0,
        bids: Vec::new(),
        is_settled: false,
        max_wait_ms: 0,
        packet: bytes(&segment),
        demand: None,
        crossing: None,
    })
}

fn lookup() -> Transit {
    Transit::Lookup(Lookup {
        target: 1,
        entry: receiver(3),
        searcher: receiver(4),
        terms: Terms::default(),
        packet: bytes(&segment(Kind::Data, OTHER, 1)),
    })
}

fn search() -> Transit {
    Transit::Search(Search {
        target: 1,
        entry: receiver(3),
        terms: Terms::default(),
        known_agents: 1,
        packet: bytes(&segment(Kind::Data, URGENT, 1)),
    })
}

fn flow() -> FlowId {
    segment(Kind::Data, OTHER, 0).flow_from_caller()
}

fn denial(packet: Bytes) -> Transit {
    Transit::NotHeld(NotHeld {
        flow: flow(),
        target: 1,
        acknowledged: 0,
        age_ms: None,
        start: None,
        packet,
    })
}

fn absent() -> Transit {
    Transit::HolderAbsent(HolderAbsent {
        flow: flow(),
        target: 1,
        acknowledged: 0,
    })
}

fn has_class((transit, class): (Transit, Class)) {
    assert_eq!(classes().frame(receiver(5), &transit, 700).class, class);
}

cases! { has_class;
    opening_packet_is_opening: (open(0), Class::Opening),
    forwarded_opening_packet_is_opening:
        (forward(&segment(Kind::Open, OTHER, 0)), Class::Opening),
    content_for_the_most_urgent_address_is_urgent:
        (forward(&segment(Kind::Data, URGENT, 1)), Class::Urgent),
    content_for_another_address_is_data:
        (forward(&segment(Kind::Data, OTHER, 1)), Class::Data),
    reset_of_a_caller_is_control:
        (forward(&segment(Kind::Reset, OTHER, 1)), Class::Control),
    search_is_of_the_class_of_its_packet: (search(), Class::Urgent),
    lookup_is_of_the_class_of_its_packet: (lookup(), Class::Data),
    denial_is_control: (denial(Bytes::new()), Class::Control),
    returned_packet_is_of_its_own_class:
        (denial(bytes(&segment(Kind::Data, OTHER, 1))), Class::Data),
    report_of_a_flow_that_ended_is_control: (absent(), Class::Control),
}

#[test]
fn answers_have_the_class_of_their_request_and_resets_are_control() {
    let answer = |kind, source| Segment {
        source,
        ..segment(kind, CALLER, 1)
    };
    let class = |segment| classes().packet(&bytes(&segment)).class;
    assert_eq!(class(answer(Kind::Data, URGENT)), Class::Urgent);
    assert_eq!(class(answer(Kind::Data, OTHER)), Class::Data);
    assert_eq!(class(answer(Kind::Accept, OTHER)), Class::Opening);
    let reset = packet::reset(&flow(), 0);
    assert_eq!(classes().packet(&reset).class, Class::Control);
}

#[test]
fn without_priorities_all_content_is_data() {
    let classes = Classes::default();
    classes.learn(URGENT, 2);
    classes.learn(OTHER, 2);
    let frame = forward(&segment(Kind::Data, URGENT, 1));
    let class = classes.frame(receiver(5), &frame, 700).class;
    assert_eq!(class, Class::Data);
}

#[test]
fn copies_share_a_key_and_other_packets_do_not() {
    let key = |to, transit: &Transit| classes().frame(to, transit, 700).key;
    let (here, there) = (receiver(5), receiver(6));
    // The entry sends the copy of an opening packet to another agent.
    assert_eq!(key(here, &open(0)), key(there, &open(1)));
    let data = |sequence| forward(&segment(Kind::Data, OTHER, sequence));
    assert_eq!(key(here, &data(1)), key(here, &data(1)));
    assert_ne!(key(here, &data(1)), key(here, &data(601)));
    // Each agent gets a lookup.
    assert_ne!(key(here, &lookup()), key(there, &lookup()));
    let acknowledgement = Segment {
        length: 0,
        ..segment(Kind::Data, OTHER, 1)
    };
    assert_eq!(key(here, &forward(&acknowledgement)), None);
}

fn is_unpaced(mbps: Option<f64>) {
    assert!(!Pacer::new(mbps, Duration::ZERO).is_active());
}

cases! { is_unpaced;
    link_without_a_rate_is_not_paced: None,
    link_that_no_host_can_fill_is_not_paced: Some(1_000.0),
    link_with_a_rate_of_zero_is_not_paced: Some(0.0),
    link_with_a_rate_that_is_no_number_is_not_paced: Some(f64::NAN),
}

#[test]
fn rate_that_is_stated_later_takes_effect() {
    let pacer = Pacer::new(None, Duration::ZERO);
    pacer.set_rate(Duration::ZERO, Some(10.0));
    assert!(pacer.is_active());
    assert!(pacer.load(Duration::ZERO).rate < 1_250_000.0);
    pacer.set_rate(Duration::ZERO, None);
    assert!(!pacer.is_active());
}

/// Offers datagrams until one is not to be sent at once.
fn fill(pacer: &Pacer, now: Duration, envelope: Envelope) {
    loop {
        let packet = class::control(1_000);
        if !matches!(pacer.offer(now, packet, envelope, b"full"), Decision::Send) {
            return;
        }
    }
}

/// A thread that reads must not lose what it sends while the sender has no processor.
#[test]
fn datagrams_are_sent_by_others_while_the_sender_is_stalled() {
    let pacer = Pacer::new(Some(10.0), Duration::ZERO);
    let envelope = Envelope {
        socket: Socket::Frames,
        to: receiver(5),
        kind: Usage::Membership,
    };
    fill(&pacer, Duration::ZERO, envelope);
    let later = Duration::from_millis(500);
    let packet = class::control(1_000);
    match pacer.offer(later, packet, envelope, b"next") {
        Decision::Help(taken) => assert!(!taken.is_empty()),
        other => panic!("{other:?}"),
    }
}

#[test]
fn datagrams_that_wait_are_returned_once_there_is_room() {
    let pacer = Pacer::new(Some(10.0), Duration::ZERO);
    let envelope = Envelope {
        socket: Socket::Packets,
        to: receiver(5),
        kind: Usage::Membership,
    };
    fill(&pacer, Duration::ZERO, envelope);
    let mut taken = Vec::new();
    pacer.wait(|| Duration::from_millis(100), &mut taken);
    let contents: Vec<&[u8]> = taken.iter().map(|one| &one.item.content[..]).collect();
    assert_eq!(contents, [b"full"]);
}

fn is_counted((role, transit, kind): (Role, Transit, Usage)) {
    assert_eq!(Usage::of(role, &transit), kind);
}

cases! { is_counted;
    opening_of_a_gateway: (Role::Gateway, open(0), Usage::Opening),
    opening_of_a_sidecar_is_forwarded: (Role::Sidecar, open(0), Usage::Forwarded),
    data_of_a_gateway:
        (Role::Gateway, forward(&segment(Kind::Data, OTHER, 1)), Usage::Data),
    data_of_a_sidecar_is_forwarded:
        (Role::Sidecar, forward(&segment(Kind::Data, OTHER, 1)), Usage::Forwarded),
    search_is_counted_as_such: (Role::Gateway, search(), Usage::Search),
    lookup_without_probe_is_a_search: (Role::Sidecar, lookup(), Usage::Search),
    denial_is_a_report: (Role::Sidecar, denial(Bytes::new()), Usage::Report),
    returned_packet_is_forwarded:
        (Role::Sidecar, denial(Bytes::from_static(b"p")), Usage::Forwarded),
}

#[test]
fn bytes_are_counted_by_zone_and_unknown_receivers_separately() {
    let usage = Counters::new(1);
    usage.add(Usage::Data, receiver(1), 1);
    usage.replace_zones([(receiver(1), 1), (receiver(2), 2)].into());
    usage.add(Usage::Data, receiver(1), 10);
    usage.add(Usage::Data, receiver(2), 100);
    usage.add(Usage::Answer, receiver(3), 1_000);
    assert_eq!(usage.bytes(Usage::Data, Crossing::Unknown), 1);
    assert_eq!(usage.bytes(Usage::Data, Crossing::OwnZone), 10);
    assert_eq!(usage.bytes(Usage::Data, Crossing::OtherZone), 100);
    assert_eq!(usage.bytes(Usage::Answer, Crossing::Unknown), 1_000);
    // A process that moved, or was replaced, is counted by its new zone.
    usage.replace_zones([(receiver(1), 2)].into());
    usage.add(Usage::Data, receiver(1), 10_000);
    assert_eq!(usage.bytes(Usage::Data, Crossing::OtherZone), 10_100);
}
