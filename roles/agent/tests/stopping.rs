//! Planned stops cut no request.
mod world;

use agent::Event;
use wire::Token;
use wire::caller::Outcome;
use wire::caller::Reason;
use wire::target::State;
use world::FLOW;
use world::REQUEST;
use world::World;
use world::holder;
use world::independent;
use world::request;
use world::settings;
use world::with_deadline;

fn refusal(world: &mut World, reason: Reason) -> Outcome {
    let refusal = world.take_refusal().expect("a refusal should be sent");
    assert_eq!(refusal.reason(), reason);
    refusal.outcome()
}

#[test]
fn a_stop_lets_running_requests_finish() {
    let mut world = World::bound(3);
    let token = world.open(FLOW);
    let holder = holder(token);
    world.send(&request(FLOW, REQUEST, token));
    world.event(holder, Event::Stop);
    assert!(world.exited.is_empty());
    world.answer("finished");
    assert_eq!(world.take_answer(REQUEST).unwrap(), b"finished");
    assert_eq!(world.exited, vec![holder]);
    assert_eq!(world.announced.last(), Some(&State::Left));
}

#[test]
fn a_stop_refuses_new_requests_as_not_run() {
    let mut world = World::bound(3);
    let token = world.open(FLOW);
    world.send(&request(FLOW, 1, token));
    world.event(holder(token), Event::Stop);
    world.send(&request(FLOW, 2, token));
    assert_eq!(refusal(&mut world, Reason::Draining), Outcome::NotRun);
    world.send(&request(FLOW, 2, token));
    assert_eq!(refusal(&mut world, Reason::Draining), Outcome::NotRun);
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_stop_takes_no_new_flow() {
    let mut world = World::bound(3);
    let token = world.open(FLOW);
    let stopping = holder(token);
    world.send(&request(FLOW, 1, token));
    world.event(stopping, Event::Stop);
    for flow in 1..30 {
        assert_ne!(holder(world.open(flow)), stopping);
    }
}

#[test]
fn a_stop_ends_within_its_bound() {
    let mut world = World::bound(2);
    let token = world.open(FLOW);
    let holder = holder(token);
    world.send(&with_deadline(FLOW, REQUEST, token, 600_000));
    world.event(holder, Event::Stop);
    world.pass(settings().leave.grace);
    assert_eq!(world.exited, vec![holder]);
    assert_eq!(refusal(&mut world, Reason::HolderAway), Outcome::Unknown);
}

#[test]
fn an_idle_agent_stops_at_once() {
    let mut world = World::bound(1);
    world.event(0, Event::Stop);
    assert_eq!(world.exited, vec![0]);
}

#[test]
fn a_stop_of_an_independent_service_hands_its_flows_to_a_peer() {
    let mut world = World::new(3, settings(), independent());
    let token = world.open(FLOW);
    let stopped = holder(token);
    world.send(&request(FLOW, 1, token));
    world.answer("first");
    world.event(stopped, Event::Stop);
    world.settle();
    assert_eq!(world.exited, vec![stopped]);
    world.tell_others(stopped);
    world.replies.clear();
    world.send(&request(FLOW, 1, token));
    assert_eq!(world.take_answer(1).unwrap(), b"first");
    world.send(&request(FLOW, 2, token));
    world.answer("second");
    assert_eq!(world.take_answer(2).unwrap(), b"second");
    assert_eq!(world.runs.len(), 2);
}

/// Every agent of an independent service but the last stops for good.
#[test]
fn no_independent_flow_breaks_while_agents_stop() {
    let mut world = World::new(4, settings(), independent());
    let tokens: Vec<Token> = (1..=40).map(|flow| world.open(flow)).collect();
    for (stopped, id) in (0..3).zip(1..) {
        world.event(stopped, Event::Stop);
        world.settle();
        assert!(world.exited.contains(&stopped));
        world.tell_all();
        for (flow, &token) in (1..).zip(&tokens) {
            world.send(&request(flow, id, token));
            world.answer("served");
            assert_eq!(world.take_answer(id).unwrap(), b"served", "flow {flow}");
        }
    }
}

/// Entries learn of a stop before the other agents do.
#[test]
fn adopted_flows_are_found_before_the_agents_know_of_the_stop() {
    let mut world = World::new(5, settings(), independent());
    let tokens: Vec<Token> = (1..=40).map(|flow| world.open(flow)).collect();
    let stopped = holder(tokens[0]);
    world.event(stopped, Event::Stop);
    world.settle();
    assert_eq!(world.exited, vec![stopped]);
    let mut unserved = Vec::new();
    for (flow, &token) in (1..).zip(&tokens) {
        world.send(&request(flow, REQUEST, token));
        if world.running.is_empty() {
            unserved.push(flow);
            continue;
        }
        world.answer("served");
        assert_eq!(world.take_answer(REQUEST).unwrap(), b"served");
    }
    assert_eq!(unserved, Vec::<u64>::new());
}

#[test]
fn queued_requests_do_not_run_when_the_bound_of_a_stop_is_reached() {
    let mut settings = settings();
    settings.gate.slots = 1;
    let mut world = World::new(1, settings, agent::view::Service::default());
    let token = world.open(FLOW);
    for id in 1..=3 {
        world.send(&with_deadline(FLOW, id, token, 29_000));
    }
    world.event(0, Event::Stop);
    world.pass(agent::settings::Leave::default().grace);
    assert_eq!(world.exited, vec![0]);
    assert_eq!(world.runs.len(), 1);
}
