//! The state machine of a caller.
mod fixtures;

use std::time::Duration;

use app::call::Action;
use app::call::Ending;
use app::call::Settings;
use bytes::Bytes;
use fixtures::*;
use wire::caller::Chunk;
use wire::caller::Closed;
use wire::caller::Opened;
use wire::caller::Outcome;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::caller::packet::Body;

#[test]
fn retransmits_an_open_without_reply() {
    let mut harness = Harness::new(0);
    harness.caller.open(harness.now);
    harness.advance();
    harness.advance();
    let attempts: Vec<u32> = harness.sent.iter().map(attempt).collect();
    assert_eq!(attempts, [0, 1, 2]);
    harness.reply(Body::Opened(opened()));
    assert_eq!(harness.caller.open_flows(), 1);
}

fn attempt(packet: &Packet) -> u32 {
    match &packet.body {
        Some(Body::Open(open)) => open.attempt,
        Some(Body::Request(request)) => request.attempt,
        other => panic!("neither open nor request: {other:?}"),
    }
}

#[test]
fn a_second_opened_reply_does_not_change_the_holder() {
    let mut harness = Harness::open();
    harness.reply(Body::Opened(Opened {
        holder: Bytes::from_static(b"another holder!!"),
        idle_ms: 1,
    }));
    harness.start(true);
    assert_eq!(harness.last_request().holder, TOKEN);
}

#[test]
fn retries_a_refused_open_after_the_stated_delay() {
    let mut harness = Harness::new(0);
    harness.caller.open(harness.now);
    harness.drain();
    harness.refuse(0, Reason::Overloaded, Outcome::NotRun, 3000);
    harness.advance_until_sent();
    assert!(harness.now >= Duration::from_secs(3), "{:?}", harness.now);
}

#[test]
fn retransmits_a_request_under_the_same_id() {
    let mut harness = Harness::open();
    harness.start(false);
    let first = harness.last_request();
    harness.advance_until_sent();
    let second = harness.last_request();
    assert_eq!(second.request, first.request);
    assert_eq!(second.payload, first.payload);
    assert_eq!(second.attempt, first.attempt + 1);
    assert!(second.deadline_ms < first.deadline_ms);
}

#[test]
fn accepts_chunks_in_any_order_and_ignores_duplicates() {
    let mut harness = Harness::open();
    harness.start(false);
    let request = harness.last_request();
    let chunks = chunks(&request, 3);
    for index in [2, 0, 0, 2, 1, 1] {
        harness.reply(Body::Chunk(chunks[index].clone()));
    }
    assert!(matches!(harness.endings()[..], [Ending::Answered { .. }]));
}

#[test]
fn fetches_only_missing_chunks() {
    let mut harness = Harness::open();
    harness.start(false);
    let request = harness.last_request();
    let chunks = chunks(&request, 4);
    harness.reply(Body::Chunk(chunks[1].clone()));
    harness.reply(Body::Chunk(chunks[3].clone()));
    harness.advance_until_sent();
    match harness.sent.last().and_then(|packet| packet.body.clone()) {
        Some(Body::Fetch(fetch)) => {
            assert_eq!(fetch.request, request.request);
            assert_eq!(fetch.chunks, [0, 2]);
            assert_eq!(fetch.holder, TOKEN);
        }
        other => panic!("not a fetch: {other:?}"),
    }
}

#[test]
fn answers_in_reverse_order_match_their_requests() {
    let mut harness = Harness::open();
    harness.start(false);
    let first = harness.last_request();
    harness.start(false);
    let second = harness.last_request();
    harness.reply(Body::Chunk(chunks(&second, 1)[0].clone()));
    harness.reply(Body::Chunk(chunks(&first, 1)[0].clone()));
    let answered = |ending: &&Ending| matches!(ending, Ending::Answered { .. });
    assert_eq!(harness.endings().into_iter().filter(answered).count(), 2);
}

/// Wrong answer and the ending that it has to cause.
struct Forged {
    change: fn(&mut Chunk),
    ending: Ending,
}

fn is_detected(forged: &Forged) {
    let mut harness = Harness::open();
    harness.start(false);
    let mut chunk = chunks(&harness.last_request(), 1).remove(0);
    (forged.change)(&mut chunk);
    harness.reply(Body::Chunk(chunk));
    assert_eq!(harness.endings(), [&forged.ending]);
}

cases::cases! { is_detected;
    answer_from_another_service: &Forged {
        change: |chunk| chunk.payload = Bytes::from_static(b"rota\nx"),
        ending: Ending::WrongService,
    },
    answer_to_another_request: &Forged {
        change: |chunk| chunk.payload = Bytes::from_static(b"roster\nother"),
        ending: Ending::Mismatch,
    },
    truncated_answer: &Forged {
        change: |chunk| chunk.payload.truncate(chunk.payload.len() - 1),
        ending: Ending::Mismatch,
    },
    answer_without_chunks: &Forged {
        change: |chunk| chunk.count = 0,
        ending: Ending::Mismatch,
    },
    answer_with_too_many_chunks: &Forged {
        change: |chunk| chunk.count = u32::MAX,
        ending: Ending::Mismatch,
    },
}

#[test]
fn retries_a_refused_request_under_a_new_id_after_the_stated_delay() {
    let mut harness = Harness::open();
    harness.start(false);
    let first = harness.last_request();
    harness.refuse(first.request, Reason::Overloaded, Outcome::NotRun, 1500);
    assert!(harness.endings().is_empty());
    while harness.last_request().request == first.request {
        harness.advance();
    }
    assert!(
        harness.now >= Duration::from_millis(1500),
        "{:?}",
        harness.now
    );
    assert_ne!(harness.last_request().payload, first.payload);
}

#[test]
fn does_not_retry_if_the_delay_exceeds_the_deadline() {
    let mut harness = Harness::open();
    harness.start(false);
    let request = harness.last_request().request;
    harness.refuse(request, Reason::Overloaded, Outcome::NotRun, 60_000);
    assert_eq!(harness.endings(), [&Ending::Refused(Reason::Overloaded)]);
}

#[test]
fn does_not_retry_a_request_that_may_have_run() {
    let mut harness = Harness::open();
    harness.start(false);
    let request = harness.last_request().request;
    harness.refuse(request, Reason::BackendFailed, Outcome::Unknown, 1);
    assert_eq!(harness.endings(), [&Ending::Unknown(Reason::BackendFailed)]);
    assert_eq!(harness.caller.pending(), 0);
}

#[test]
fn retries_an_idempotent_request_that_may_have_run() {
    let mut harness = Harness::open();
    harness.start(true);
    let request = harness.last_request().request;
    harness.refuse(request, Reason::BackendFailed, Outcome::Unknown, 1);
    assert!(harness.endings().is_empty());
    while harness.last_request().request == request {
        harness.advance();
    }
}

#[test]
fn cancels_a_request_at_its_deadline() {
    let mut harness = Harness::open();
    harness.start(false);
    let deadline = harness.now + Settings::default().deadline;
    while harness.endings().is_empty() {
        harness.advance();
        assert!(harness.now <= deadline);
    }
    assert_eq!(harness.now, deadline);
    assert_eq!(harness.endings(), [&Ending::Lost]);
    let last = harness.sent.last().and_then(|packet| packet.body.clone());
    assert!(matches!(last, Some(Body::Cancel(_))), "{last:?}");
}

#[test]
fn replaces_a_broken_flow_under_a_new_key() {
    let mut harness = Harness::open();
    harness.start(false);
    let request = harness.last_request().request;
    let old = harness.last_flow();
    harness.refuse(request, Reason::FlowUnknown, Outcome::NotRun, 10);
    assert!(
        harness
            .events
            .contains(&Action::Broken(Reason::FlowUnknown))
    );
    assert_ne!(harness.last_flow(), old);
    harness.reply(Body::Opened(opened()));
    while harness.caller.pending() > 0 && harness.last_request_id() == Some(request) {
        harness.advance();
    }
    let fresh = harness.last_request();
    assert_ne!(fresh.request, request);
    harness.reply(Body::Chunk(chunks(&fresh, 1)[0].clone()));
    assert!(matches!(harness.endings()[..], [Ending::Answered { .. }]));
}

#[test]
fn a_flow_is_closed_once_confirmed() {
    let mut harness = Harness::open();
    harness.caller.close(harness.now);
    harness.drain();
    assert_eq!(harness.caller.closing(), 1);
    harness.reply(Body::Closed(Closed {}));
    assert_eq!(harness.caller.closing(), 0);
    assert!(harness.events.contains(&Action::Closed));
}

#[test]
fn malformed_and_unexpected_packets_are_ignored() {
    let mut harness = Harness::open();
    harness
        .caller
        .receive(harness.now, Bytes::from_static(&[0xff; 9]));
    harness.drain();
    harness.receive(1, Body::Opened(opened()));
    harness.reply(Body::Chunk(Chunk {
        request: 77,
        index: 0,
        count: 1,
        payload: Bytes::new(),
    }));
    let ignored = harness
        .events
        .iter()
        .filter(|event| **event == Action::Ignored);
    assert_eq!(ignored.count(), 3);
}
