//! Flows survive the replacement of their agent.
mod world;

use std::time::Duration;

use agent::Event;
use agent::park::Grant;
use agent::status::Counter;
use wire::Token;
use wire::caller::Outcome;
use wire::caller::Reason;
use wire::caller::packet::Body;
use world::FLOW;
use world::Message;
use world::World;
use world::close;
use world::holder;
use world::open;
use world::request;
use world::settings;

fn refusal(world: &mut World, reason: Reason) -> Outcome {
    let refusal = world.take_refusal().expect("a refusal should be sent");
    assert_eq!(refusal.reason(), reason);
    refusal.outcome()
}

/// A flow with one request answered, whose holder is replaced.
struct Replaced {
    world: World,
    token: Token,
    holder: usize,
}

fn replaced(agents: usize) -> Replaced {
    let mut world = World::bound(agents);
    let token = world.open(FLOW);
    let holder = holder(token);
    world.send(&request(FLOW, 1, token));
    world.answer("first");
    world.replies.clear();
    world.event(holder, Event::Replace);
    world.settle();
    assert_eq!(world.exited, vec![holder]);
    world.tell_others(holder);
    Replaced {
        world,
        token,
        holder,
    }
}

impl Replaced {
    /// Starts the successor and lets it claim.
    fn succeed(&mut self) {
        self.world.restart(self.holder);
        self.world.tell_all();
    }
}

#[test]
fn flows_survive_a_replacement() {
    let mut replaced = replaced(3);
    replaced.succeed();
    let Replaced {
        mut world,
        token,
        holder,
    } = replaced;
    world.send(&request(FLOW, 2, token));
    assert_eq!(world.runs[1].agent, holder);
    world.answer("second");
    assert_eq!(world.take_answer(2).unwrap(), b"second");
    assert_eq!(world.open(FLOW), token);
}

#[test]
fn a_recorded_answer_survives_a_replacement() {
    let mut replaced = replaced(3);
    replaced.succeed();
    let mut world = replaced.world;
    world.send(&request(FLOW, 1, replaced.token));
    assert_eq!(world.take_answer(1).unwrap(), b"first");
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn not_run_survives_a_replacement() {
    let mut world = World::bound(3);
    let token = world.open(FLOW);
    let holder = holder(token);
    world.send(&request(FLOW, 1, token));
    world.event(holder, Event::Replace);
    world.send(&request(FLOW, 2, token));
    assert_eq!(refusal(&mut world, Reason::HolderAway), Outcome::NotRun);
    world.answer("first");
    world.settle();
    world.tell_others(holder);
    world.restart(holder);
    world.tell_all();
    world.replies.clear();
    world.send(&request(FLOW, 2, token));
    assert_eq!(refusal(&mut world, Reason::HolderAway), Outcome::NotRun);
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn ids_below_the_floor_survive_a_replacement() {
    let mut world = World::bound(3);
    let token = world.open(FLOW);
    let holder = holder(token);
    world.send(&request(FLOW, 9, token));
    world.answer("ninth");
    world.pass(Duration::from_mins(5));
    world.event(holder, Event::Replace);
    world.settle();
    world.tell_others(holder);
    world.restart(holder);
    world.tell_all();
    world.replies.clear();
    world.send(&request(FLOW, 9, token));
    assert_eq!(refusal(&mut world, Reason::TableFull), Outcome::Unknown);
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_peer_answers_recorded_requests_while_the_holder_is_away() {
    let mut replaced = replaced(3);
    replaced.world.send(&request(FLOW, 1, replaced.token));
    assert_eq!(replaced.world.take_answer(1).unwrap(), b"first");
}

#[test]
fn a_refusal_that_was_handed_over_says_when_to_come_back() {
    let mut world = World::bound(3);
    let token = world.open(FLOW);
    let holder = holder(token);
    world.send(&request(FLOW, 1, token));
    world.event(holder, Event::Replace);
    world.send(&request(FLOW, 2, token));
    world.answer("first");
    world.tell_others(holder);
    world.replies.clear();
    world.send(&request(FLOW, 2, token));
    let refusal = world.take_refusal().unwrap();
    assert_eq!(refusal.outcome(), Outcome::NotRun);
    assert!(refusal.retry_after_ms > 0);
}

#[test]
fn a_peer_says_nothing_of_new_requests_while_the_holder_is_away() {
    let mut replaced = replaced(3);
    replaced.world.send(&request(FLOW, 2, replaced.token));
    assert!(replaced.world.replies.is_empty());
    replaced.succeed();
    replaced.world.send(&request(FLOW, 2, replaced.token));
    assert_eq!(replaced.world.runs.len(), 2);
}

#[test]
fn a_peer_refuses_to_open_a_flow_that_it_keeps() {
    let mut replaced = replaced(2);
    replaced.world.send(&open(FLOW));
    let outcome = refusal(&mut replaced.world, Reason::HolderAway);
    assert_eq!(outcome, Outcome::NotRun);
}

#[test]
fn a_close_reaches_the_successor() {
    let mut replaced = replaced(3);
    replaced.succeed();
    let token = replaced.token;
    replaced.world.send(&close(FLOW, token));
    let closed = replaced.world.replies.pop().and_then(|it| it.body);
    assert!(matches!(closed, Some(Body::Closed(_))));
}

#[test]
fn a_successor_without_state_says_unknown() {
    let mut world = World::bound(3);
    let token = world.open(FLOW);
    let holder = holder(token);
    world.send(&request(FLOW, 1, token));
    world.restart(holder);
    world.tell_all();
    world.send(&request(FLOW, 1, token));
    assert_eq!(refusal(&mut world, Reason::FlowUnknown), Outcome::Unknown);
}

#[test]
fn a_successor_says_nothing_before_it_has_claimed() {
    let Replaced {
        mut world,
        token,
        holder,
    } = replaced(3);
    world.restart(holder);
    world.send_along(&request(FLOW, 1, token), &[holder]);
    assert!(world.replies.is_empty());
    let status = world.status(holder);
    assert_eq!(status.counters.get(Counter::AwaitingState), 1);
}

#[test]
fn a_successor_stops_asking_after_a_while() {
    let mut world = World::bound(2);
    let token = world.open(FLOW);
    let holder = holder(token);
    world.restart(holder);
    world.tell_view(holder);
    world.messages.clear();
    world.pass(settings().leave.claim);
    world.send_along(&request(FLOW, 1, token), &[holder]);
    assert_eq!(refusal(&mut world, Reason::FlowUnknown), Outcome::Unknown);
}

/// The first successor has taken the state, run a request and died; a second
/// one must not start from the same state.
#[test]
fn a_state_is_claimed_by_one_incarnation() {
    let mut replaced = replaced(3);
    replaced.succeed();
    replaced.world.send(&request(FLOW, 2, replaced.token));
    assert_eq!(replaced.world.runs.len(), 2);
    replaced.succeed();
    replaced.world.send(&request(FLOW, 2, replaced.token));
    let outcome = refusal(&mut replaced.world, Reason::FlowUnknown);
    assert_eq!(outcome, Outcome::Unknown);
    assert_eq!(replaced.world.runs.len(), 2);
}

#[test]
fn a_second_replacement_hands_the_flows_on() {
    let mut replaced = replaced(3);
    for _ in 0..2 {
        replaced.succeed();
        let Replaced { world, holder, .. } = &mut replaced;
        world.event(*holder, Event::Replace);
        world.settle();
        world.tell_others(*holder);
    }
    replaced.succeed();
    let Replaced {
        mut world, token, ..
    } = replaced;
    world.send(&request(FLOW, 1, token));
    assert_eq!(world.take_answer(1).unwrap(), b"first");
    world.send(&request(FLOW, 2, token));
    assert_eq!(world.runs.len(), 2);
}

/// The acknowledgement of the last part is lost: the peer may have the whole
/// state, so no other peer may get it.
#[test]
fn a_lost_acknowledgement_leaves_one_copy() {
    let mut world = World::bound(4);
    let token = world.open(FLOW);
    let holder = holder(token);
    world.event(holder, Event::Replace);
    while let Some(message) = world.take_message() {
        match message {
            Message::Parked { index: 1, .. } => break,
            message => world.deliver(message),
        }
    }
    let lost = Message::Parked {
        to: holder,
        index: 1,
        accepted: false,
    };
    world.deliver(lost);
    world.settle();
    world.pass(settings().leave.handover);
    assert_eq!(world.exited, vec![holder]);
    let kept: Vec<usize> = (0..4)
        .filter(|&index| index != holder)
        .map(|index| world.status(index).parked)
        .collect();
    assert_eq!(kept.iter().sum::<usize>(), 1);
}

#[test]
fn a_peer_that_refuses_is_passed_over() {
    let mut world = World::bound(3);
    let token = world.open(FLOW);
    let holder = holder(token);
    for index in (0..3).filter(|&index| index != holder).take(1) {
        world.event(index, Event::Drain);
    }
    world.event(holder, Event::Replace);
    world.settle();
    assert_eq!(world.exited, vec![holder]);
    let kept: usize = (0..3)
        .filter(|&index| index != holder)
        .map(|index| world.status(index).parked)
        .sum();
    assert_eq!(kept, 1);
}

#[test]
fn a_part_of_a_state_is_not_granted() {
    let mut world = World::bound(2);
    let token = world.open(FLOW);
    let holder = holder(token);
    world.event(holder, Event::Replace);
    let first = world.take_message().unwrap();
    world.deliver(first);
    world.messages.clear();
    world.restart(holder);
    world.tell_view(holder);
    let mut grants = Vec::new();
    while let Some(message) = world.take_message() {
        match message {
            Message::Claimed { grant, .. } => grants.push(grant),
            message => world.deliver(message),
        }
    }
    assert_eq!(grants, vec![Grant::Nothing]);
}

#[test]
fn a_large_state_travels_in_parts() {
    let mut settings = settings();
    settings.leave.part_bytes = 1_000;
    let mut world = World::new(2, settings, agent::view::Service::default());
    let tokens: Vec<Token> = (1..=100).map(|flow| world.open_at(flow, 0)).collect();
    world.event(0, Event::Replace);
    world.settle();
    assert_eq!(world.status(1).parked, 100);
    world.tell_others(0);
    world.restart(0);
    world.tell_all();
    assert_eq!(world.status(0).flows, 100);
    world.send_along(&request(50, 1, tokens[49]), &[0]);
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn kept_state_expires() {
    let mut replaced = replaced(2);
    let peer = 1 - replaced.holder;
    assert_eq!(replaced.world.status(peer).parked, 1);
    replaced.world.pass(settings().leave.keep);
    assert_eq!(replaced.world.status(peer).parked, 0);
    replaced.world.send(&request(FLOW, 1, replaced.token));
    let outcome = refusal(&mut replaced.world, Reason::FlowUnknown);
    assert_eq!(outcome, Outcome::Unknown);
}

#[test]
fn an_answer_too_large_to_hand_over_is_unknown() {
    let mut settings = settings();
    settings.leave.part_bytes = 1_000;
    let mut world = World::new(2, settings, agent::view::Service::default());
    let token = world.open_at(FLOW, 0);
    for id in [1, 2] {
        world.send_along(&request(FLOW, id, token), &[0]);
        world.answer(&"x".repeat(600));
    }
    world.event(0, Event::Replace);
    world.settle();
    world.tell_others(0);
    world.restart(0);
    world.tell_all();
    world.replies.clear();
    world.send_along(&request(FLOW, 1, token), &[0]);
    assert_eq!(refusal(&mut world, Reason::TableFull), Outcome::Unknown);
    world.send_along(&request(FLOW, 2, token), &[0]);
    assert_eq!(world.take_answer(2).unwrap().len(), 600);
}

/// Every agent is replaced in turn while 40 flows are in use.
#[test]
fn no_flow_breaks_while_every_agent_is_replaced() {
    let mut world = World::bound(4);
    let tokens: Vec<Token> = (1..=40).map(|flow| world.open(flow)).collect();
    let mut id = 0;
    for replaced in 0..4 {
        world.event(replaced, Event::Replace);
        world.settle();
        world.tell_others(replaced);
        world.restart(replaced);
        world.tell_all();
        id += 1;
        for (flow, &token) in (1..).zip(&tokens) {
            world.send(&request(flow, id, token));
            world.answer("served");
            assert_eq!(world.take_answer(id).unwrap(), b"served", "flow {flow}");
        }
    }
    assert_eq!(world.runs.len(), 160);
}

/// The agent that keeps the state of a replaced one.
fn keeper(world: &World, gone: usize) -> usize {
    (0..3)
        .filter(|&index| index != gone)
        .find(|&index| world.status(index).parked > 0)
        .expect("a peer keeps the flows")
}

#[test]
fn a_keeper_that_leaves_waits_for_the_successor() {
    let mut replaced = replaced(3);
    let keeper = keeper(&replaced.world, replaced.holder);
    replaced.world.event(keeper, Event::Replace);
    replaced.world.settle();
    assert_eq!(replaced.world.exited, vec![replaced.holder]);
    replaced.succeed();
    replaced.world.settle();
    assert_eq!(replaced.world.exited, vec![replaced.holder, keeper]);
    let Replaced {
        mut world,
        token,
        holder,
    } = replaced;
    world.send(&request(FLOW, 2, token));
    assert_eq!(world.runs[1].agent, holder);
    world.answer("second");
    assert_eq!(world.take_answer(2).unwrap(), b"second");
}

#[test]
fn a_keeper_waits_no_longer_than_its_own_stop_may_take() {
    let mut replaced = replaced(3);
    let keeper = keeper(&replaced.world, replaced.holder);
    replaced.world.event(keeper, Event::Replace);
    replaced.world.pass(Duration::from_mins(1));
    assert_eq!(replaced.world.exited, vec![replaced.holder, keeper]);
}

#[test]
fn an_agent_without_a_peer_waits_for_one() {
    let mut world = World::bound(2);
    let token = world.open(FLOW);
    let holder = holder(token);
    world.tell_view_of(holder, vec![world.targets[holder].clone()]);
    world.event(holder, Event::Replace);
    world.settle();
    assert_eq!(world.exited, vec![]);
    world.tell_all();
    world.pass(Duration::from_secs(1));
    assert_eq!(world.exited, vec![holder]);
    world.tell_others(holder);
    world.restart(holder);
    world.tell_all();
    world.send(&request(FLOW, 2, token));
    assert_eq!(world.runs[0].agent, holder);
}

#[test]
fn an_agent_that_stays_without_a_peer_exits_within_its_bound() {
    let mut world = World::bound(1);
    world.open(FLOW);
    world.event(0, Event::Replace);
    world.pass(Duration::from_mins(1));
    assert_eq!(world.exited, vec![0]);
}
