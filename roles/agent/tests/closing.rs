//! Cancels and closes reach what their caller means, and nothing else.
mod world;

use agent::Completion;
use agent::Event;
use agent::status::Counter;
use bytes::Bytes;
use wire::Token;
use wire::caller::Outcome;
use wire::caller::Reason;
use wire::caller::packet::Body;
use world::FLOW;
use world::REQUEST;
use world::World;
use world::assert_refused;
use world::busy;
use world::cancel;
use world::close;
use world::open;
use world::request;

#[test]
fn a_cancelled_request_frees_its_slot() {
    let (mut world, token) = busy();
    world.send(&request(FLOW, 2, token));
    world.send(&cancel(FLOW, 1, token));
    assert_refused(&mut world, Reason::Cancelled, Outcome::Unknown);
    assert_eq!(world.aborted, vec![world.runs[0].job.id]);
    assert_eq!(world.runs[1].job.request, 2);
}

#[test]
fn a_cancelled_queued_request_never_runs() {
    let (mut world, token) = busy();
    world.send(&request(FLOW, 2, token));
    world.send(&cancel(FLOW, 2, token));
    assert_refused(&mut world, Reason::Cancelled, Outcome::NotRun);
    world.answer("first");
    world.replies.clear();
    world.send(&request(FLOW, 2, token));
    assert_refused(&mut world, Reason::Cancelled, Outcome::NotRun);
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_cancel_that_overtakes_its_request_stops_it() {
    let mut world = World::bound(1);
    let token = world.open(FLOW);
    world.send(&cancel(FLOW, REQUEST, token));
    assert_refused(&mut world, Reason::Cancelled, Outcome::Unknown);
    world.send(&request(FLOW, REQUEST, token));
    assert_refused(&mut world, Reason::Cancelled, Outcome::Unknown);
    assert!(world.runs.is_empty());
}

#[test]
fn a_result_after_the_cancel_is_ignored() {
    let (mut world, token) = busy();
    let job = world.runs[0].job.id;
    world.send(&cancel(FLOW, 1, token));
    world.replies.clear();
    let result = Completion::Completed(Bytes::from_static(b"late"));
    world.event(0, Event::Finished { job, result });
    assert!(world.replies.is_empty());
    world.send(&request(FLOW, 1, token));
    assert_refused(&mut world, Reason::Cancelled, Outcome::Unknown);
}

#[test]
fn a_spoofed_cancel_is_ignored() {
    let (mut world, token) = busy();
    let spoofed = Token {
        incarnation: token.incarnation + 1,
        ..token
    };
    world.send(&cancel(FLOW, 1, spoofed));
    assert!(world.aborted.is_empty());
    assert!(world.replies.is_empty());
    let counters = world.status(0).counters;
    assert_eq!(counters.get(Counter::SpoofedCancel), 1);
}

#[test]
fn a_spoofed_close_is_ignored() {
    let mut world = World::bound(1);
    let token = world.open(FLOW);
    let spoofed = Token {
        target: token.target,
        incarnation: 12345,
    };
    world.send(&close(FLOW, spoofed));
    assert!(world.replies.is_empty());
    let counters = world.status(0).counters;
    assert_eq!(counters.get(Counter::SpoofedClose), 1);
    world.send(&request(FLOW, REQUEST, token));
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_spoofed_close_that_names_another_target_reaches_nobody() {
    let mut world = World::bound(3);
    let token = world.open(FLOW);
    let other = world.ranked(FLOW)[2];
    let spoofed = Token {
        target: world.targets[other].id,
        incarnation: 1,
    };
    world.send(&close(FLOW, spoofed));
    assert!(world.replies.is_empty());
    world.send(&request(FLOW, REQUEST, token));
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_repeated_close_is_confirmed_again() {
    let mut world = World::bound(1);
    let token = world.open(FLOW);
    for _ in 0..2 {
        world.send(&close(FLOW, token));
        let closed = world.replies.pop().and_then(|packet| packet.body);
        assert!(matches!(closed, Some(Body::Closed(_))));
    }
}

/// Copies of the whole life of a flow arrive after its close.
#[test]
fn late_copies_do_not_revive_a_closed_flow() {
    let mut world = World::bound(1);
    let token = world.open(FLOW);
    world.send(&request(FLOW, REQUEST, token));
    world.answer("once");
    world.send(&close(FLOW, token));
    world.replies.clear();
    world.send(&open(FLOW));
    assert_refused(&mut world, Reason::FlowUnknown, Outcome::NotRun);
    world.send(&request(FLOW, REQUEST, token));
    assert_eq!(world.take_answer(REQUEST).unwrap(), b"once");
    world.send(&request(FLOW, REQUEST + 1, token));
    assert_refused(&mut world, Reason::FlowUnknown, Outcome::Unknown);
    assert_eq!(world.runs.len(), 1);
}
