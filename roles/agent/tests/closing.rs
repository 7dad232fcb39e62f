//! Cancels and closes affect only the request or flow that their caller names.
mod cluster;

use agent::Completion;
use agent::Event;
use agent::status::Counter;
use bytes::Bytes;
use cluster::Cluster;
use cluster::FLOW;
use cluster::REQUEST;
use cluster::assert_refused;
use cluster::cancel;
use cluster::close;
use cluster::one_busy_agent;
use cluster::open;
use cluster::request;
use wire::Token;
use wire::caller::Outcome;
use wire::caller::Reason;
use wire::caller::packet::Body;

#[test]
fn a_cancelled_request_frees_its_slot() {
    let (mut cluster, token) = one_busy_agent();
    cluster.send(&request(FLOW, 2, token));
    cluster.send(&cancel(FLOW, 1, token));
    assert_refused(&mut cluster, Reason::Cancelled, Outcome::Unknown);
    assert_eq!(cluster.aborted, vec![cluster.runs[0].job.id]);
    assert_eq!(cluster.runs[1].job.request, 2);
}

#[test]
fn a_cancelled_queued_request_never_runs() {
    let (mut cluster, token) = one_busy_agent();
    cluster.send(&request(FLOW, 2, token));
    cluster.send(&cancel(FLOW, 2, token));
    assert_refused(&mut cluster, Reason::Cancelled, Outcome::NotRun);
    cluster.finish_with("first");
    cluster.replies.clear();
    cluster.send(&request(FLOW, 2, token));
    assert_refused(&mut cluster, Reason::Cancelled, Outcome::NotRun);
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_cancel_that_arrives_first_prevents_its_request() {
    let mut cluster = Cluster::bound(1);
    let token = cluster.open(FLOW);
    cluster.send(&cancel(FLOW, REQUEST, token));
    assert_refused(&mut cluster, Reason::Cancelled, Outcome::Unknown);
    cluster.send(&request(FLOW, REQUEST, token));
    assert_refused(&mut cluster, Reason::Cancelled, Outcome::Unknown);
    assert!(cluster.runs.is_empty());
}

#[test]
fn a_result_after_the_cancel_is_ignored() {
    let (mut cluster, token) = one_busy_agent();
    let job = cluster.runs[0].job.id;
    cluster.send(&cancel(FLOW, 1, token));
    cluster.replies.clear();
    let result = Completion::Completed(Bytes::from_static(b"late"));
    cluster.event(0, Event::Finished { job, result });
    assert!(cluster.replies.is_empty());
    cluster.send(&request(FLOW, 1, token));
    assert_refused(&mut cluster, Reason::Cancelled, Outcome::Unknown);
}

#[test]
fn a_spoofed_cancel_is_ignored() {
    let (mut cluster, token) = one_busy_agent();
    let spoofed = Token {
        incarnation: token.incarnation + 1,
        ..token
    };
    cluster.send(&cancel(FLOW, 1, spoofed));
    assert!(cluster.aborted.is_empty());
    assert!(cluster.replies.is_empty());
    let counters = cluster.status(0).counters;
    assert_eq!(counters.get(Counter::SpoofedCancel), 1);
}

#[test]
fn a_spoofed_close_is_ignored() {
    let mut cluster = Cluster::bound(1);
    let token = cluster.open(FLOW);
    let spoofed = Token {
        target: token.target,
        incarnation: 12345,
    };
    cluster.send(&close(FLOW, spoofed));
    assert!(cluster.replies.is_empty());
    let counters = cluster.status(0).counters;
    assert_eq!(counters.get(Counter::SpoofedClose), 1);
    cluster.send(&request(FLOW, REQUEST, token));
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_spoofed_close_that_names_another_target_is_ignored() {
    let mut cluster = Cluster::bound(3);
    let token = cluster.open(FLOW);
    let other = cluster.ranked(FLOW)[2];
    let spoofed = Token {
        target: cluster.targets[other].id,
        incarnation: 1,
    };
    cluster.send(&close(FLOW, spoofed));
    assert!(cluster.replies.is_empty());
    cluster.send(&request(FLOW, REQUEST, token));
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_repeated_close_is_confirmed_again() {
    let mut cluster = Cluster::bound(1);
    let token = cluster.open(FLOW);
    for _ in 0..2 {
        cluster.send(&close(FLOW, token));
        let closed = cluster.replies.pop().and_then(|packet| packet.body);
        assert!(matches!(closed, Some(Body::Closed(_))));
    }
}

/// Delayed copies of a flow's open, request and later requests arrive after its
/// close. They must not reopen the flow or run anything.
#[test]
fn late_copies_do_not_reopen_a_closed_flow() {
    let mut cluster = Cluster::bound(1);
    let token = cluster.open(FLOW);
    cluster.send(&request(FLOW, REQUEST, token));
    cluster.finish_with("once");
    cluster.send(&close(FLOW, token));
    cluster.replies.clear();
    cluster.send(&open(FLOW));
    assert_refused(&mut cluster, Reason::FlowUnknown, Outcome::NotRun);
    cluster.send(&request(FLOW, REQUEST, token));
    assert_eq!(cluster.take_answer(REQUEST).unwrap(), b"once");
    cluster.send(&request(FLOW, REQUEST + 1, token));
    assert_refused(&mut cluster, Reason::FlowUnknown, Outcome::Unknown);
    assert_eq!(cluster.runs.len(), 1);
}
