//! Tests which agent the packets of callers are routed to.
use std::net::SocketAddr;

use bytes::Bytes;
use cases::cases;
use entry::Decision;
use entry::DropReason;
use entry::Router;
use entry::Service;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use route::Order;
use wire::Relay;
use wire::Target;
use wire::TargetId;
use wire::Token;
use wire::caller::Close;
use wire::caller::Closed;
use wire::caller::Open;
use wire::caller::Outcome;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::caller::Request;
use wire::caller::packet::Body;
use wire::frame::Encapsulated;
use wire::target::State;

const TARGETS: u16 = 7;
const FLOW: u64 = 0x5eed;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn target(index: u16, state: State) -> Target {
    Target {
        id: TargetId::from(index) + 1,
        service: address(80),
        address: address(1000 + index),
        control: address(2000 + index),
        zone: 1,
        incarnation: 1,
        version: 1,
        weight: 100,
        slots: 4,
        state,
    }
}

fn router(targets: &[Target]) -> Router {
    let mut router = Router::default();
    router.insert(Service::new(address(80), 5, 3, Order::new(targets)));
    router
}

fn ready() -> Vec<Target> {
    (0..TARGETS)
        .map(|index| target(index, State::Ready))
        .collect()
}

fn send(router: &Router, packet: Bytes) -> Decision {
    let encapsulated = Encapsulated {
        caller: address(9),
        service: address(80),
        packet,
    };
    router.route(encapsulated, address(7))
}

fn relayed(step: Decision) -> Relay {
    match step {
        Decision::Relay { to, relay } => {
            assert_eq!(to, relay.path[0].address);
            relay
        }
        other => panic!("expected Step::Relay, got {other:?}"),
    }
}

fn open(attempt: u32) -> Bytes {
    Packet::new(FLOW, Body::Open(Open { attempt })).to_bytes()
}

fn request(holder: &[u8], attempt: u32) -> Bytes {
    let request = Request {
        request: 1,
        holder: Bytes::copy_from_slice(holder),
        idempotent: true,
        deadline_ms: 1_000,
        attempt,
        payload: Bytes::new(),
    };
    Packet::new(FLOW, Body::Request(request)).to_bytes()
}

fn refused(step: Decision) -> wire::caller::Refusal {
    let Decision::Refuse { reply, .. } = step else {
        panic!("expected Step::Refuse, got {step:?}");
    };
    match Packet::from_bytes(reply.packet)
        .expect("reply should be a valid packet")
        .body
    {
        Some(Body::Refusal(refusal)) => refusal,
        other => panic!("expected a refusal packet, got {other:?}"),
    }
}

/// All entries must relay a flow along the same path, in whatever order they
/// learn the targets.
#[test]
fn path_does_not_depend_on_the_order_of_targets() {
    let mut reversed = ready();
    reversed.reverse();
    let one = relayed(send(&router(&ready()), open(0)));
    let other = relayed(send(&router(&reversed), open(0)));
    assert_eq!(one.path, other.path);
    assert_eq!(one.path.len(), 3);
    assert_eq!(one.home, one.path[0]);
}

#[test]
fn draining_target_gets_no_opens_but_keeps_its_pins() {
    let first = relayed(send(&router(&ready()), open(0))).home;
    let mut targets = ready();
    for target in &mut targets {
        if target.id == first.target {
            target.state = State::Draining;
        }
    }
    let router = router(&targets);
    let opened = relayed(send(&router, open(0)));
    assert!(opened.path.iter().all(|hop| hop.target != first.target));
    assert_eq!(opened.home, first);
    assert_eq!(relayed(send(&router, request(&[], 0))).path[0], first);
}

#[test]
fn request_with_token_visits_its_holder_first() {
    for target in 1..=u64::from(TARGETS) {
        let token = Token {
            target,
            incarnation: 1,
        };
        let relay = relayed(send(&router(&ready()), request(&token.to_bytes(), 3)));
        assert_eq!(relay.path[0].target, target);
    }
}

#[test]
fn later_retransmits_start_at_another_agent() {
    let router = router(&ready());
    let first = relayed(send(&router, open(0)));
    let second = relayed(send(&router, open(1)));
    let third = relayed(send(&router, open(2)));
    assert_eq!(first.path, second.path);
    assert_ne!(first.path[0], third.path[0]);
}

fn is_refused_with(case: (Vec<Target>, Bytes, Reason, Outcome)) {
    let (targets, packet, reason, outcome) = case;
    let refusal = refused(send(&router(&targets), packet));
    assert_eq!(refusal.reason(), reason);
    assert_eq!(refusal.outcome(), outcome);
}

cases! { is_refused_with;
    open_without_targets_reports_not_run: (vec![], open(0), Reason::NoTarget, Outcome::NotRun),
    request_without_targets_reports_unknown: (vec![], request(&[], 0), Reason::NoTarget, Outcome::Unknown),
    open_with_only_draining_targets_reports_not_run:
        (vec![target(0, State::Draining)], open(0), Reason::NoTarget, Outcome::NotRun),
    unsupported_version: (
        ready(),
        {
            let mut packet = Packet::new(FLOW, Body::Open(Open { attempt: 0 }));
            packet.version = 9;
            packet.to_bytes()
        },
        Reason::BadVersion,
        Outcome::NotRun
    ),
}

#[test]
fn unknown_service_is_ignored_until_marked_absent() {
    let mut router = Router::default();
    assert_eq!(
        send(&router, open(0)),
        Decision::Ignore(DropReason::UnknownAddress)
    );
    assert_eq!(
        send(&router, request(&[], 0)),
        Decision::Ignore(DropReason::UnknownAddress)
    );
    router.mark_absent(address(80));
    let refusal = refused(send(&router, open(0)));
    assert_eq!(refusal.reason(), Reason::NoService);
    assert!(refusal.retry_after_ms > 0);
    router.remove(address(80));
    assert_eq!(
        send(&router, open(0)),
        Decision::Ignore(DropReason::UnknownAddress)
    );
}

#[test]
fn service_that_appears_is_no_longer_refused() {
    let mut router = Router::default();
    router.mark_absent(address(80));
    router.insert(Service::new(address(80), 5, 3, Order::new(&ready())));
    relayed(send(&router, open(0)));
}

fn is_ignored(case: (Bytes, DropReason)) {
    let (packet, reason) = case;
    assert_eq!(send(&router(&ready()), packet), Decision::Ignore(reason));
}

cases! { is_ignored;
    random_bytes: (Bytes::from_static(&[0xff; 40]), DropReason::Malformed),
    empty_datagram: (Bytes::new(), DropReason::Version),
    flow_key_zero:
        (Packet::new(0, Body::Close(Close::default())).to_bytes(), DropReason::Malformed),
    packet_that_only_the_system_sends: (Packet::new(FLOW, Body::Closed(Closed {})).to_bytes(), DropReason::Direction),
}

proptest! {
    #[test]
    fn no_datagram_makes_the_router_panic(datagram in vec(any::<u8>(), 0..400)) {
        send(&router(&ready()), datagram.into());
    }
}
