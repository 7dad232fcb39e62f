//! Limits hold, and what cannot be served is counted and answered.
mod world;

use std::time::Duration;

use agent::Event;
use agent::status::Counter;
use bytes::Bytes;
use wire::caller::Outcome;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::caller::packet::Body;
use world::FLOW;
use world::REQUEST;
use world::World;
use world::close;
use world::idempotent;
use world::open;
use world::request;
use world::settings;
use world::with_deadline;

fn assert_refused(world: &mut World, reason: Reason, outcome: Outcome) {
    let refusal = world.take_refusal().expect("a refusal should be sent");
    assert_eq!(refusal.reason(), reason);
    assert_eq!(refusal.outcome(), outcome);
}

#[test]
fn an_open_beyond_the_table_limit_is_refused() {
    let mut settings = settings();
    settings.flows.capacity = 2;
    let mut world = World::new(1, settings, agent::view::Service::default());
    world.open(1);
    world.open(2);
    world.send(&open(3));
    assert_refused(&mut world, Reason::TableFull, Outcome::NotRun);
    world.pass(Duration::from_mins(1));
    world.open(3);
}

#[test]
fn a_request_beyond_the_record_limit_is_refused() {
    let mut settings = settings();
    settings.ledger.max_bytes = flow::ledger::RECORD_BYTES;
    let mut world = World::new(1, settings, agent::view::Service::default());
    let token = world.open(FLOW);
    world.send(&request(FLOW, 1, token));
    world.send(&request(FLOW, 2, token));
    assert_refused(&mut world, Reason::TableFull, Outcome::Unknown);
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_half_open_flow_expires_sooner() {
    let mut world = World::bound(1);
    world.open(1);
    let token = world.open(2);
    world.send(&request(2, REQUEST, token));
    world.answer("used");
    world.pass(Duration::from_mins(1));
    assert_eq!(world.status(0).flows, 1);
    let counters = world.status(0).counters;
    assert_eq!(counters.get(Counter::HalfOpen), 1);
}

#[test]
fn a_flow_with_a_running_feed_outlives_its_idle_time() {
    let service = agent::view::Service {
        idle: Duration::from_mins(1),
        ..agent::view::Service::default()
    };
    let mut world = World::new(1, settings(), service);
    let token = world.open(FLOW);
    world.send(&with_deadline(FLOW, REQUEST, token, 3_000_000));
    world.pass(Duration::from_mins(30));
    world.answer("alert");
    assert_eq!(world.take_answer(REQUEST).unwrap(), b"alert");
    world.pass(Duration::from_mins(5));
    assert_eq!(world.status(0).flows, 0);
}

#[test]
fn another_caller_cannot_use_a_flow() {
    let mut world = World::bound(1);
    let token = world.open(FLOW);
    let packets = [
        open(FLOW),
        request(FLOW, REQUEST, token),
        close(FLOW, token),
    ];
    for packet in packets {
        let mut relay = world.relay(&packet);
        relay.caller = "203.0.113.66:1".parse().unwrap();
        world.send_relay(relay);
    }
    assert!(world.runs.is_empty());
    assert_eq!(world.status(0).counters.get(Counter::ForeignCaller), 3);
    world.send(&request(FLOW, REQUEST, token));
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_packet_of_another_service_is_dropped() {
    let mut world = World::bound(1);
    let token = world.open(FLOW);
    let mut relay = world.relay(&request(FLOW, REQUEST, token));
    relay.service = "192.0.2.2:53".parse().unwrap();
    world.send_relay(relay);
    assert!(world.runs.is_empty());
    assert!(world.replies.is_empty());
    assert_eq!(world.status(0).counters.get(Counter::ForeignService), 1);
}

struct Bad {
    packet: Bytes,
    reason: Reason,
}

fn is_rejected(bad: Bad) {
    let mut world = World::bound(1);
    let mut relay = world.relay(&open(FLOW));
    relay.packet = bad.packet;
    world.send_relay(relay);
    assert_refused(&mut world, bad.reason, Outcome::NotRun);
    assert_eq!(world.status(0).counters.refused(bad.reason), 1);
}

fn with_payload(len: usize) -> Bytes {
    let mut packet = idempotent(FLOW, REQUEST);
    if let Some(Body::Request(request)) = &mut packet.body {
        request.payload = vec![0; len].into();
    }
    packet.to_bytes()
}

cases::cases! { is_rejected;
    noise_is_rejected: Bad {
        packet: Bytes::from_static(b"\xff\xff\xff"),
        reason: Reason::Malformed,
    },
    a_truncated_packet_is_rejected: Bad {
        packet: with_payload(100).slice(..60),
        reason: Reason::Malformed,
    },
    an_oversized_payload_is_rejected: Bad {
        packet: with_payload(16 * 1024 + 1),
        reason: Reason::TooLarge,
    },
    another_version_is_rejected: Bad {
        packet: Packet { version: 9, ..open(FLOW) }.to_bytes(),
        reason: Reason::BadVersion,
    },
    request_zero_is_rejected: Bad {
        packet: idempotent(FLOW, 0).to_bytes(),
        reason: Reason::Malformed,
    },
}

#[test]
fn a_frame_with_an_impossible_position_is_dropped() {
    let mut world = World::bound(1);
    let mut relay = world.relay(&open(FLOW));
    relay.position = 7;
    let frame = wire::Frame::Relay(relay);
    let from = world::entry();
    world.event(0, Event::Frame { from, frame });
    assert!(world.replies.is_empty());
    assert_eq!(world.status(0).counters.get(Counter::MalformedFrame), 1);
}
