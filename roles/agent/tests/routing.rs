//! Packets find the holder of their flow, through uneven views too.
mod world;

use std::time::Duration;

use agent::status::Counter;
use agent::view::Service;
use wire::Frame;
use wire::Token;
use wire::caller::Outcome;
use wire::caller::Reason;
use wire::caller::packet::Body;
use wire::target::State;
use world::FLOW;
use world::Message;
use world::REQUEST;
use world::World;
use world::close;
use world::fetch;
use world::holder;
use world::idempotent;
use world::independent;
use world::open;
use world::request;
use world::settings;

/// A flow that is held by the second of its order, and its home.
struct Passed {
    world: World,
    token: Token,
    home: usize,
    holder: usize,
}

/// Opens [`FLOW`] while the slots of its home are taken.
fn passed(agents: usize) -> Passed {
    let mut world = World::bound(agents);
    let home = world.home(FLOW);
    let busy = world.open_at(1, home);
    world.send_along(&request(1, 1, busy), &[home]);
    let token = world.open(FLOW);
    let holder = holder(token);
    assert_ne!(home, holder);
    Passed {
        world,
        token,
        home,
        holder,
    }
}

#[test]
fn an_open_is_passed_on_by_a_full_home() {
    let passed = passed(4);
    assert_eq!(passed.holder, passed.world.ranked(FLOW)[1]);
    assert_eq!(passed.world.status(passed.home).pins, 1);
}

/// Requests that the home of [`FLOW`] has answered, and the flows they came on.
struct Past {
    service: Service,
    flows: u64,
    requests: u64,
    /// Rank of the agent that holds [`FLOW`], opened while all slots are free.
    rank: usize,
}

fn an_open_after(past: &Past) {
    let mut world = World::new(4, settings(), past.service);
    let home = world.home(FLOW);
    for flow in 1..=past.flows {
        let token = world.open_at(flow, home);
        for id in 1..=past.requests {
            world.send_along(&request(flow, id, token), &[home]);
            world.answer("done");
        }
    }
    assert!(world.running.is_empty());
    let holder = holder(world.open(FLOW));
    assert_eq!(holder, world.ranked(FLOW)[past.rank]);
}

cases::cases! { an_open_after;
    many_requests_of_a_bound_flow: &Past { service: Service::default(), flows: 1, requests: 20, rank: 1 },
    many_requests_of_an_independent_flow: &Past { service: independent(), flows: 1, requests: 20, rank: 0 },
    many_flows_of_one_request: &Past { service: Service::default(), flows: 20, requests: 1, rank: 0 },
}

#[test]
fn a_repeated_open_finds_the_holder() {
    let mut passed = passed(4);
    let job = passed.world.running[0].job.clone();
    assert_eq!(job.flow, 1);
    // The home has a free slot again.
    passed.world.answer("done");
    assert_eq!(passed.world.open(FLOW), passed.token);
}

#[test]
fn the_home_forwards_to_the_pinned_holder() {
    let Passed {
        mut world,
        token,
        home,
        holder,
    } = passed(4);
    world.send_along(&request(FLOW, REQUEST, token), &[home]);
    assert_eq!(world.runs.last().unwrap().agent, holder);
}

#[test]
fn an_idempotent_request_without_token_finds_the_pinned_holder() {
    let Passed {
        mut world,
        home,
        holder,
        ..
    } = passed(6);
    world.send_along(&idempotent(FLOW, REQUEST), &[home]);
    assert_eq!(world.runs.last().unwrap().agent, holder);
}

/// An entry that is several seconds behind sends along other agents.
#[test]
fn a_packet_along_a_stale_path_finds_the_holder() {
    let Passed {
        mut world,
        token,
        holder,
        ..
    } = passed(8);
    let ranked = world.ranked(FLOW);
    let stale: Vec<usize> = ranked[5..].to_vec();
    world.send_along(&request(FLOW, REQUEST, token), &stale);
    assert_eq!(world.runs.last().unwrap().agent, holder);
}

#[test]
fn a_packet_without_token_goes_along_the_order() {
    let Passed {
        mut world, holder, ..
    } = passed(8);
    let ranked = world.ranked(FLOW);
    world.send_along(&idempotent(FLOW, REQUEST), &[ranked[7]]);
    assert_eq!(world.runs.last().unwrap().agent, holder);
}

#[test]
fn a_close_along_a_stale_path_reaches_the_holder() {
    let Passed {
        mut world,
        token,
        home,
        ..
    } = passed(8);
    let ranked = world.ranked(FLOW);
    world.send_along(&close(FLOW, token), &ranked[5..]);
    let closed = world.replies.pop().and_then(|packet| packet.body);
    assert!(matches!(closed, Some(Body::Closed(_))));
    assert_eq!(world.status(home).pins, 0);
}

#[test]
fn an_unknown_flow_is_declared_so_after_a_bounded_search() {
    let mut world = World::bound(20);
    let token = Token {
        target: 1,
        incarnation: 1,
    };
    world.send(&request(FLOW, REQUEST, token));
    let refusal = world.take_refusal().unwrap();
    assert_eq!(refusal.reason(), Reason::FlowUnknown);
    assert_eq!(refusal.outcome(), Outcome::Unknown);
    let handed: u64 = (0..20)
        .map(|index| world.status(index).counters.get(Counter::HandedAlong))
        .sum();
    assert_eq!(handed, 7);
}

/// Two entries with uneven views send two copies of one open to different
/// agents.
#[test]
fn two_opens_that_meet_leave_a_half_open_flow_that_expires() {
    let mut world = World::bound(4);
    let ranked = world.ranked(FLOW);
    let first = world.open_at(FLOW, ranked[0]);
    let second = world.open_at(FLOW, ranked[1]);
    assert_ne!(first, second);
    // The caller uses the second; an entry sends along the first.
    world.send(&request(FLOW, REQUEST, second));
    assert_eq!(world.runs.len(), 1);
    assert_eq!(world.runs[0].agent, ranked[1]);
    world.answer("once");
    world.pass(Duration::from_mins(1));
    assert_eq!(world.status(ranked[0]).flows, 0);
    assert_eq!(world.status(ranked[1]).flows, 1);
}

#[test]
fn a_close_passes_the_half_open_copy_of_its_flow() {
    let mut world = World::bound(4);
    let ranked = world.ranked(FLOW);
    world.open_at(FLOW, ranked[0]);
    let second = world.open_at(FLOW, ranked[1]);
    world.send(&close(FLOW, second));
    let closed = world.replies.pop().and_then(|packet| packet.body);
    assert!(matches!(closed, Some(Body::Closed(_))));
}

/// A flow is held twice, and a request names a holder that does not know it
/// any more: it does not run at the other.
#[test]
fn a_request_never_runs_at_a_holder_that_it_does_not_name() {
    let mut world = World::bound(4);
    let ranked = world.ranked(FLOW);
    let first = world.open_at(FLOW, ranked[0]);
    world.open_at(FLOW, ranked[1]);
    world.restart(ranked[0]);
    world.tell_all();
    world.send(&request(FLOW, REQUEST, first));
    assert!(world.runs.is_empty());
    let refusal = world.take_refusal().unwrap();
    assert_eq!(refusal.outcome(), Outcome::Unknown);
}

#[test]
fn a_stale_pin_is_dropped() {
    let Passed {
        mut world,
        token,
        home,
        holder,
    } = passed(4);
    world.restart(holder);
    world.tell_all();
    world.send_along(&request(FLOW, REQUEST, token), &[home]);
    let refusal = world.take_refusal().unwrap();
    assert_eq!(refusal.outcome(), Outcome::Unknown);
    assert_eq!(world.runs.len(), 1);
    assert!(world.status(holder).counters.get(Counter::StalePin) > 0);
}

#[test]
fn a_pin_to_a_target_that_left_is_not_used() {
    let Passed {
        mut world,
        token,
        home,
        holder,
    } = passed(4);
    world.agents[holder] = None;
    let left = world.targets[holder].id;
    let remaining: Vec<_> = world
        .targets
        .iter()
        .filter(|target| target.id != left)
        .cloned()
        .collect();
    for index in 0..4 {
        world.tell_view_of(index, remaining.clone());
    }
    world.settle();
    world.send_along(&request(FLOW, REQUEST, token), &[home]);
    let refusal = world.take_refusal().unwrap();
    assert_eq!(refusal.reason(), Reason::FlowUnknown);
    assert_eq!(refusal.outcome(), Outcome::Unknown);
}

#[test]
fn a_target_that_joins_as_home_learns_the_holder() {
    let mut world = World::bound(4);
    let home = world.home(FLOW);
    let others: Vec<_> = world
        .targets
        .iter()
        .filter(|target| target.id != world.targets[home].id)
        .cloned()
        .collect();
    for index in 0..4 {
        world.tell_view_of(index, others.clone());
    }
    world.settle();
    let old_home = world.ranked(FLOW)[1];
    let token = world.open_at(FLOW, old_home);
    world.pass(Duration::from_millis(10));
    world.tell_all();
    world.pass(Duration::from_millis(10));
    assert_eq!(world.status(home).pins, 1);
    world.send_along(&idempotent(FLOW, REQUEST), &[home]);
    assert_eq!(world.runs[0].agent, holder(token));
}

#[test]
fn a_home_that_restarts_learns_the_holder_again() {
    let Passed {
        mut world, home, ..
    } = passed(4);
    world.restart(home);
    world.tell_all();
    world.pass(Duration::from_secs(1));
    assert_eq!(world.status(home).pins, 1);
}

/// Each change of the view starts a round; none may keep the one before from
/// its end.
#[test]
fn homes_are_told_while_the_view_keeps_changing() {
    let mut world = World::bound(2);
    for flow in 1..=4_000 {
        world.open_at(flow, 0);
    }
    let elsewhere = (1..=4_000).filter(|&flow| world.home(flow) == 1).count();
    world.restart(1);
    for _ in 0..20 {
        world.tell_all();
        world.pass(Duration::from_millis(40));
    }
    assert_eq!(world.status(1).pins, elsewhere);
}

#[test]
fn pins_are_renewed_while_their_flows_last() {
    let mut world = World::bound(2);
    for flow in 1..301 {
        let token = world.open_at(flow, 1);
        world.send_along(&fetch(flow, 1, vec![0], token), &[1]);
    }
    let elsewhere = (1..301).filter(|&flow| world.home(flow) == 0).count();
    // The packets of the flows went along agent 1, so it was told as home.
    world.tell_all();
    world.pass(Duration::from_mins(10));
    assert_eq!(world.status(0).pins, elsewhere);
    world.pass(Duration::from_hours(1));
    assert_eq!(world.status(1).flows, 0);
    assert_eq!(world.status(0).pins, 0);
}

#[test]
fn a_full_home_passes_opens_to_the_least_wait() {
    let mut world = World::bound(3);
    for index in 0..3 {
        let flow = 100 + index as u64;
        let token = world.open_at(flow, index);
        let count = if index == 1 { 1 } else { 3 };
        for id in 1..=count {
            world.send_along(&request(flow, id, token), &[index]);
        }
    }
    assert_eq!(holder(world.open(FLOW)), 1);
}

#[test]
fn a_draining_target_takes_no_flow_and_serves_those_it_holds() {
    let mut world = World::bound(3);
    let token = world.open(FLOW);
    let drained = holder(token);
    world.announced.clear();
    world.event(drained, agent::Event::Drain);
    assert_eq!(world.announced, vec![State::Draining]);
    for flow in 1..50 {
        assert_ne!(holder(world.open(flow)), drained);
    }
    world.send(&request(FLOW, REQUEST, token));
    assert_eq!(world.runs[0].agent, drained);
    world.event(drained, agent::Event::Resume);
    assert_eq!(world.announced, vec![State::Draining, State::Ready]);
}

#[test]
fn an_open_that_only_draining_targets_see_is_refused() {
    let mut world = World::bound(2);
    world.event(0, agent::Event::Drain);
    world.event(1, agent::Event::Drain);
    world.send(&open(FLOW));
    let refusal = world.take_refusal().unwrap();
    assert_eq!(refusal.reason(), Reason::Draining);
    assert_eq!(refusal.outcome(), Outcome::NotRun);
}

#[test]
fn a_pin_of_another_service_is_dropped() {
    let mut world = World::bound(2);
    let pin = wire::frame::Pin {
        service: "192.0.2.2:53".parse().unwrap(),
        holder: Token {
            target: 9,
            incarnation: 1,
        },
        address: world.targets[1].address,
        flows: vec![FLOW],
    };
    let to = world.targets[0].address;
    world.deliver(Message::Frame {
        from: 1,
        to,
        frame: Frame::Pin(pin),
    });
    assert_eq!(world.status(0).pins, 0);
}
