//! Limits on flows, records and time are enforced, and invalid packets are
//! dropped or refused and counted.
mod cluster;

use std::time::Duration;

use agent::Event;
use agent::status::Counter;
use bytes::Bytes;
use cluster::Cluster;
use cluster::FLOW;
use cluster::REQUEST;
use cluster::close;
use cluster::idempotent;
use cluster::open;
use cluster::request;
use cluster::settings;
use cluster::with_deadline;
use wire::caller::Outcome;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::caller::packet::Body;

fn assert_refused(cluster: &mut Cluster, reason: Reason, outcome: Outcome) {
    let refusal = cluster.take_refusal().expect("a refusal should be sent");
    assert_eq!(refusal.reason(), reason);
    assert_eq!(refusal.outcome(), outcome);
}

#[test]
fn an_open_beyond_the_table_limit_is_refused() {
    let mut settings = settings();
    settings.flows.capacity = 2;
    let mut cluster = Cluster::new(1, settings, agent::view::Service::default());
    cluster.open(1);
    cluster.open(2);
    cluster.send(&open(3));
    assert_refused(&mut cluster, Reason::TableFull, Outcome::NotRun);
    cluster.advance_time(Duration::from_mins(1));
    cluster.open(3);
}

#[test]
fn a_request_beyond_the_record_limit_is_refused() {
    let mut settings = settings();
    settings.ledger.max_bytes = flow::ledger::RECORD_BYTES;
    let mut cluster = Cluster::new(1, settings, agent::view::Service::default());
    let token = cluster.open(FLOW);
    cluster.send(&request(FLOW, 1, token));
    cluster.send(&request(FLOW, 2, token));
    assert_refused(&mut cluster, Reason::TableFull, Outcome::Unknown);
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_half_open_flow_expires_sooner() {
    let mut cluster = Cluster::bound(1);
    cluster.open(1);
    let token = cluster.open(2);
    cluster.send(&request(2, REQUEST, token));
    cluster.finish_with("used");
    cluster.advance_time(Duration::from_mins(1));
    assert_eq!(cluster.status(0).flows, 1);
    let counters = cluster.status(0).counters;
    assert_eq!(counters.get(Counter::HalfOpenExpired), 1);
}

#[test]
fn a_flow_with_a_running_request_does_not_expire() {
    let service = agent::view::Service {
        idle_timeout: Duration::from_mins(1),
        ..agent::view::Service::default()
    };
    let mut cluster = Cluster::new(1, settings(), service);
    let token = cluster.open(FLOW);
    cluster.send(&with_deadline(FLOW, REQUEST, token, 3_000_000));
    cluster.advance_time(Duration::from_mins(30));
    cluster.finish_with("alert");
    assert_eq!(cluster.take_answer(REQUEST).unwrap(), b"alert");
    cluster.advance_time(Duration::from_mins(5));
    assert_eq!(cluster.status(0).flows, 0);
}

#[test]
fn another_caller_cannot_use_a_flow() {
    let mut cluster = Cluster::bound(1);
    let token = cluster.open(FLOW);
    let packets = [
        open(FLOW),
        request(FLOW, REQUEST, token),
        close(FLOW, token),
    ];
    for packet in packets {
        let mut relay = cluster.relay(&packet);
        relay.caller = "203.0.113.66:1".parse().unwrap();
        cluster.send_relay(relay);
    }
    assert!(cluster.runs.is_empty());
    assert_eq!(cluster.status(0).counters.get(Counter::ForeignCaller), 3);
    cluster.send(&request(FLOW, REQUEST, token));
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_packet_of_another_service_is_dropped() {
    let mut cluster = Cluster::bound(1);
    let token = cluster.open(FLOW);
    let mut relay = cluster.relay(&request(FLOW, REQUEST, token));
    relay.service = "192.0.2.2:53".parse().unwrap();
    cluster.send_relay(relay);
    assert!(cluster.runs.is_empty());
    assert!(cluster.replies.is_empty());
    assert_eq!(cluster.status(0).counters.get(Counter::ForeignService), 1);
}

struct InvalidPacket {
    packet: Bytes,
    reason: Reason,
}

fn rejects_packet(invalid: InvalidPacket) {
    let mut cluster = Cluster::bound(1);
    let mut relay = cluster.relay(&open(FLOW));
    relay.packet = invalid.packet;
    cluster.send_relay(relay);
    assert_refused(&mut cluster, invalid.reason, Outcome::NotRun);
    assert_eq!(cluster.status(0).counters.refused(invalid.reason), 1);
}

fn with_payload(len: usize) -> Bytes {
    let mut packet = idempotent(FLOW, REQUEST);
    if let Some(Body::Request(request)) = &mut packet.body {
        request.payload = vec![0; len].into();
    }
    packet.to_bytes()
}

cases::cases! { rejects_packet;
    an_undecodable_packet_is_rejected: InvalidPacket {
        packet: Bytes::from_static(b"\xff\xff\xff"),
        reason: Reason::Malformed,
    },
    a_truncated_packet_is_rejected: InvalidPacket {
        packet: with_payload(100).slice(..60),
        reason: Reason::Malformed,
    },
    an_oversized_payload_is_rejected: InvalidPacket {
        packet: with_payload(16 * 1024 + 1),
        reason: Reason::TooLarge,
    },
    an_unsupported_version_is_rejected: InvalidPacket {
        packet: Packet { version: 9, ..open(FLOW) }.to_bytes(),
        reason: Reason::BadVersion,
    },
    request_id_zero_is_rejected: InvalidPacket {
        packet: idempotent(FLOW, 0).to_bytes(),
        reason: Reason::Malformed,
    },
}

#[test]
fn a_frame_with_an_out_of_range_position_is_dropped() {
    let mut cluster = Cluster::bound(1);
    let mut relay = cluster.relay(&open(FLOW));
    relay.position = 7;
    let frame = wire::Frame::Relay(relay);
    let from = cluster::entry();
    cluster.event(0, Event::Frame { from, frame });
    assert!(cluster.replies.is_empty());
    assert_eq!(cluster.status(0).counters.get(Counter::MalformedFrame), 1);
}
