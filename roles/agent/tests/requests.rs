//! Requests run at most once, and never after "not run" was said.
mod world;

use std::time::Duration;

use agent::Completion;
use agent::status::Counter;
use bytes::Bytes;
use wire::Token;
use wire::caller::Outcome;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::caller::packet::Body;
use world::FLOW;
use world::REQUEST;
use world::World;
use world::assert_refused;
use world::busy;
use world::fetch;
use world::holder;
use world::idempotent;
use world::request;
use world::settings;
use world::with_deadline;

#[test]
fn an_opened_flow_serves_a_request() {
    let mut world = World::bound(3);
    let token = world.open(FLOW);
    world.send(&request(FLOW, REQUEST, token));
    world.answer("on duty");
    assert_eq!(world.take_answer(REQUEST).unwrap(), b"on duty");
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_repeat_of_a_running_request_waits() {
    let mut world = World::bound(3);
    let token = world.open(FLOW);
    world.send(&request(FLOW, REQUEST, token));
    world.send(&request(FLOW, REQUEST, token));
    assert_eq!(world.runs.len(), 1);
    world.answer("once");
    assert_eq!(world.take_answer(REQUEST).unwrap(), b"once");
}

#[test]
fn a_late_repeat_gets_the_recorded_answer() {
    let mut world = World::bound(3);
    let token = world.open(FLOW);
    world.send(&request(FLOW, REQUEST, token));
    world.answer("once");
    world.replies.clear();
    world.send(&request(FLOW, REQUEST, token));
    assert_eq!(world.take_answer(REQUEST).unwrap(), b"once");
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_copy_after_the_record_is_gone_is_unknown() {
    let mut world = World::bound(1);
    let token = world.open(FLOW);
    world.send(&request(FLOW, REQUEST, token));
    world.answer("once");
    world.pass(Duration::from_mins(5));
    assert_eq!(world.status(0).records, 0);
    world.replies.clear();
    world.send(&request(FLOW, REQUEST, token));
    assert_refused(&mut world, Reason::TableFull, Outcome::Unknown);
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn crossed_answers_reach_their_own_requests() {
    let mut world = World::bound(1);
    let token = world.open(FLOW);
    world.send(&request(FLOW, REQUEST, token));
    world.answer("warm");
    world.send(&request(FLOW, 1, token));
    world.send(&request(FLOW, 2, token));
    world.running.reverse();
    world.answer("second");
    assert_eq!(world.take_answer(2).unwrap(), b"second");
    world.answer("first");
    assert_eq!(world.take_answer(1).unwrap(), b"first");
}

#[test]
fn a_queued_request_past_its_deadline_did_not_run() {
    let (mut world, token) = busy();
    world.send(&with_deadline(FLOW, 2, token, 100));
    world.pass(Duration::from_millis(200));
    assert_refused(&mut world, Reason::Deadline, Outcome::NotRun);
    world.answer("first");
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_refusal_at_the_deadline_says_when_to_come_back() {
    let (mut world, token) = busy();
    world.send(&with_deadline(FLOW, 2, token, 100));
    world.pass(Duration::from_millis(200));
    let refusal = world.take_refusal().unwrap();
    assert!(refusal.retry_after_ms > 0);
}

#[test]
fn times_to_come_back_after_a_deadline_are_spread() {
    let (mut world, token) = busy();
    world.send(&with_deadline(FLOW, 2, token, 100));
    world.pass(Duration::from_millis(200));
    world.replies.clear();
    let mut times: Vec<u32> = (0..10)
        .map(|_| {
            world.send(&with_deadline(FLOW, 2, token, 100));
            world.take_refusal().unwrap().retry_after_ms
        })
        .collect();
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 5, "{times:?}");
}

#[test]
fn callers_refused_together_do_not_return_together() {
    let (mut world, token) = busy();
    for id in 2..12 {
        world.send(&with_deadline(FLOW, id, token, 100));
    }
    world.pass(Duration::from_millis(200));
    let mut times: Vec<u32> = world
        .replies
        .iter()
        .filter_map(|packet| match &packet.body {
            Some(Body::Refusal(refusal)) => Some(refusal.retry_after_ms),
            _ => None,
        })
        .collect();
    assert_eq!(times.len(), 10);
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 5, "{times:?}");
}

#[test]
fn a_copy_after_not_run_is_refused_too() {
    let (mut world, token) = busy();
    world.send(&with_deadline(FLOW, 2, token, 100));
    world.pass(Duration::from_millis(200));
    world.answer("first");
    world.replies.clear();
    world.send(&with_deadline(FLOW, 2, token, 60_000));
    assert_refused(&mut world, Reason::Deadline, Outcome::NotRun);
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn an_idempotent_copy_after_not_run_is_refused_too() {
    let (mut world, token) = busy();
    world.send(&named(idempotent(FLOW, 2), token, 100));
    world.pass(Duration::from_millis(200));
    world.answer("first");
    world.replies.clear();
    world.send(&named(idempotent(FLOW, 2), token, 10_000));
    assert_refused(&mut world, Reason::Deadline, Outcome::NotRun);
    assert_eq!(world.runs.len(), 1);
}

/// Another agent may hold the flow too, after two opens, and run it.
#[test]
fn not_run_is_not_said_of_a_request_that_names_no_holder() {
    let (mut world, _) = busy();
    let mut packet = idempotent(FLOW, 2);
    if let Some(Body::Request(request)) = &mut packet.body {
        request.deadline_ms = 100;
    }
    world.send(&packet);
    world.pass(Duration::from_millis(200));
    assert_refused(&mut world, Reason::Deadline, Outcome::Unknown);
}

#[test]
fn an_idempotent_request_runs_only_where_it_names_its_holder() {
    let mut world = World::bound(2);
    let first = world.open_at(FLOW, 0);
    world.open_at(FLOW, 1);
    world.send_along(&named(idempotent(FLOW, REQUEST), first, 1_000), &[1]);
    assert_eq!(world.runs[0].agent, 0);
}

/// The holder is frozen while a request waits for its slot; what wakes it is
/// the end of the job before.
#[test]
fn a_holder_frozen_between_recording_and_running_does_not_run() {
    let (mut world, token) = busy();
    world.send(&with_deadline(FLOW, 2, token, 500));
    world.now += Duration::from_mins(1);
    world.answer("first");
    assert_eq!(world.runs.len(), 1);
    let refusal = world
        .replies
        .iter()
        .find_map(|packet| match &packet.body {
            Some(Body::Refusal(refusal)) if refusal.request == 2 => Some(*refusal),
            _ => None,
        })
        .unwrap();
    assert_eq!(refusal.outcome(), Outcome::NotRun);
}

/// Both the running and the waiting request expire while the holder is frozen.
#[test]
fn a_frozen_holder_does_not_run_what_expired_behind_an_expired_request() {
    let (mut world, token) = busy();
    world.send(&with_deadline(FLOW, 2, token, 9_000));
    world.now += Duration::from_mins(1);
    world.tick();
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_running_request_past_its_deadline_is_unknown_and_frees_its_slot() {
    let (mut world, token) = busy();
    world.pass(Duration::from_secs(11));
    assert_refused(&mut world, Reason::Deadline, Outcome::Unknown);
    assert_eq!(world.aborted.len(), 1);
    world.send(&request(FLOW, 2, token));
    assert_eq!(world.runs.len(), 2);
}

#[test]
fn a_request_that_states_no_deadline_gets_the_default() {
    let mut world = World::bound(1);
    let token = world.open(FLOW);
    world.send(&with_deadline(FLOW, REQUEST, token, 0));
    let default = agent::view::Service::default().default_deadline;
    assert_eq!(world.runs[0].job.deadline, world.now + default);
}

#[test]
fn a_deadline_beyond_the_limit_is_cut() {
    let mut world = World::bound(1);
    let token = world.open(FLOW);
    world.send(&with_deadline(FLOW, REQUEST, token, u32::MAX));
    let max = agent::view::Service::default().max_deadline;
    assert_eq!(world.runs[0].job.deadline, world.now + max);
}

#[test]
fn an_answer_beyond_the_limit_is_unknown() {
    let mut world = World::bound(1);
    let token = world.open(FLOW);
    world.send(&request(FLOW, REQUEST, token));
    let max = agent::view::Service::default().max_answer_bytes;
    world.answer(&"x".repeat(max + 1));
    assert_refused(&mut world, Reason::TooLarge, Outcome::Unknown);
}

#[test]
fn a_request_for_a_dead_incarnation_is_unknown() {
    let mut world = World::bound(3);
    let token = world.open(FLOW);
    world.send(&request(FLOW, REQUEST, token));
    world.restart(holder(token));
    world.tell_all();
    world.send(&request(FLOW, REQUEST, token));
    assert_refused(&mut world, Reason::FlowUnknown, Outcome::Unknown);
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_flow_opened_again_does_not_revive_an_old_token() {
    let mut world = World::bound(1);
    let old = world.open(FLOW);
    world.send(&request(FLOW, REQUEST, old));
    world.restart(0);
    world.tell_all();
    let new = world.open(FLOW);
    assert_ne!(old, new);
    world.send(&request(FLOW, REQUEST, old));
    assert_refused(&mut world, Reason::WrongHolder, Outcome::Unknown);
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_non_idempotent_request_needs_a_token() {
    let mut world = World::bound(1);
    let token = world.open(FLOW);
    let mut packet = request(FLOW, REQUEST, token);
    if let Some(Body::Request(request)) = &mut packet.body {
        request.holder = Bytes::new();
    }
    world.send(&packet);
    assert_refused(&mut world, Reason::WrongHolder, Outcome::Unknown);
    assert!(world.runs.is_empty());
}

#[test]
fn an_answer_is_sent_in_chunks_and_fetched_again() {
    let mut world = World::bound(1);
    let token = world.open(FLOW);
    world.send(&request(FLOW, REQUEST, token));
    let text = "rota ".repeat(1_000);
    world.answer(&text);
    assert_eq!(world.replies.len(), text.len().div_ceil(1_200));
    assert_eq!(world.take_answer(REQUEST).unwrap(), text.as_bytes());
    world.send(&fetch(FLOW, REQUEST, vec![3, 1, 99], token));
    let indexes: Vec<u32> = world
        .replies
        .iter()
        .filter_map(|packet| match &packet.body {
            Some(Body::Chunk(chunk)) => Some(chunk.index),
            _ => None,
        })
        .collect();
    assert_eq!(indexes, vec![3, 1]);
}

#[test]
fn a_shed_request_is_refused_as_not_run() {
    let (mut world, token) = busy();
    let retry_after = Duration::from_secs(2);
    world.finish(Completion::Shed { retry_after });
    let refusal = world.take_refusal().unwrap();
    assert_eq!(refusal.reason(), Reason::Overloaded);
    assert_eq!(refusal.outcome(), Outcome::NotRun);
    assert!(refusal.retry_after_ms >= 1_000);
    world.send(&request(FLOW, 1, token));
    assert_refused(&mut world, Reason::Overloaded, Outcome::NotRun);
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_failed_non_idempotent_request_is_unknown() {
    let (mut world, token) = busy();
    world.finish(Completion::Failed { ran: true });
    assert_refused(&mut world, Reason::BackendFailed, Outcome::Unknown);
    world.send(&request(FLOW, 1, token));
    assert_refused(&mut world, Reason::BackendFailed, Outcome::Unknown);
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_failed_idempotent_request_is_tried_again() {
    let mut world = World::bound(1);
    world.open(FLOW);
    world.send(&idempotent(FLOW, REQUEST));
    world.finish(Completion::Failed { ran: true });
    assert_eq!(world.runs.len(), 2);
    world.answer("again");
    assert_eq!(world.take_answer(REQUEST).unwrap(), b"again");
}

#[test]
fn a_request_that_did_not_reach_the_backend_server_is_tried_again() {
    let mut world = World::bound(1);
    let token = world.open(FLOW);
    world.send(&request(FLOW, REQUEST, token));
    world.finish(Completion::Failed { ran: false });
    assert_eq!(world.runs.len(), 2);
    world.answer("once");
    assert_eq!(world.take_answer(REQUEST).unwrap(), b"once");
}

/// An idempotent request that may have run must not be called "not run" when
/// its second try expires in the queue.
#[test]
fn a_retry_that_expires_is_unknown_if_the_first_may_have_run() {
    let (mut world, token) = busy();
    world.send(&idempotent(FLOW, 2));
    world.answer("first");
    world.send(&request(FLOW, 3, token));
    world.finish(Completion::Failed { ran: true });
    // Request 3 has the slot now, and request 2 waits for its second try.
    world.replies.clear();
    world.pass(Duration::from_secs(11));
    let outcomes: Vec<Outcome> = world
        .replies
        .iter()
        .filter_map(|packet| match &packet.body {
            Some(Body::Refusal(refusal)) if refusal.request == 2 => Some(refusal.outcome()),
            _ => None,
        })
        .collect();
    assert_eq!(outcomes, vec![Outcome::Unknown]);
}

#[test]
fn a_request_is_tried_again_twice_at_most() {
    let mut world = World::bound(1);
    let token = world.open(FLOW);
    world.send(&request(FLOW, REQUEST, token));
    for _ in 0..3 {
        world.finish(Completion::Failed { ran: false });
    }
    assert_refused(&mut world, Reason::BackendFailed, Outcome::NotRun);
    assert_eq!(world.runs.len(), 3);
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    let mut settings = settings();
    settings.retries.burst = 1;
    settings.retries.percent = 0;
    let mut world = World::new(1, settings, agent::view::Service::default());
    world.open(FLOW);
    world.send(&idempotent(FLOW, REQUEST));
    world.finish(Completion::Failed { ran: true });
    world.finish(Completion::Failed { ran: true });
    assert_refused(&mut world, Reason::BackendFailed, Outcome::Unknown);
    assert_eq!(world.runs.len(), 2);
    let counters = world.status(0).counters;
    assert_eq!(counters.get(Counter::BudgetSpent), 1);
}

fn named(mut packet: Packet, token: Token, deadline_ms: u32) -> Packet {
    if let Some(Body::Request(request)) = &mut packet.body {
        request.holder = token.to_bytes().to_vec().into();
        request.deadline_ms = deadline_ms;
    }
    packet
}
