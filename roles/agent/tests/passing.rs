//! Single requests of independent flows run elsewhere, and the holder stays the
//! one authority.
mod world;

use std::time::Duration;

use agent::Completion;
use agent::Event;
use agent::Outcome;
use agent::status::Counter;
use wire::Token;
use wire::caller;
use wire::caller::Reason;
use world::FLOW;
use world::Message;
use world::REQUEST;
use world::World;
use world::cancel;
use world::idempotent;
use world::independent;
use world::request;
use world::settings;
use world::with_deadline;

/// A flow whose holder has its only slot taken, so that it passes on.
struct Full {
    world: World,
    token: Token,
    holder: usize,
}

fn full(agents: usize) -> Full {
    let mut settings = settings();
    settings.gate.slots = 1;
    let mut world = World::new(agents, settings, independent());
    let token = world.open(FLOW);
    let holder = world::holder(token);
    world.send(&request(FLOW, 1, token));
    assert_eq!(world.runs[0].agent, holder);
    world.replies.clear();
    Full {
        world,
        token,
        holder,
    }
}

fn outcome(world: &mut World) -> caller::Outcome {
    let refusal = world.take_refusal().expect("a refusal should be sent");
    refusal.outcome()
}

/// Takes the offer that is on its way out of the messages.
fn take_offer(world: &mut World) -> Message {
    let is_offer = |message: &Message| matches!(message, Message::Offer { .. });
    let position = world.messages.iter().position(is_offer).unwrap();
    world.messages.remove(position)
}

/// Hands a request to the holder without delivering what follows.
fn request_only(full: &mut Full, packet: &caller::Packet) {
    let relay = full.world.relay_along(packet, &[full.holder]);
    let frame = wire::Frame::Relay(relay);
    let from = world::entry();
    full.world.event(full.holder, Event::Frame { from, frame });
}

#[test]
fn a_full_holder_passes_a_request_and_answers_itself() {
    let mut full = full(3);
    full.world.send(&request(FLOW, REQUEST, full.token));
    assert_eq!(full.world.runs.len(), 2);
    assert_ne!(full.world.runs[1].agent, full.holder);
    full.world.running.remove(0);
    full.world.answer("elsewhere");
    assert_eq!(full.world.take_answer(REQUEST).unwrap(), b"elsewhere");
    full.world.send(&request(FLOW, REQUEST, full.token));
    assert_eq!(full.world.take_answer(REQUEST).unwrap(), b"elsewhere");
    assert_eq!(full.world.runs.len(), 2);
}

#[test]
fn a_bound_service_never_passes() {
    let mut settings = settings();
    settings.gate.slots = 1;
    let mut world = World::new(3, settings, agent::view::Service::default());
    let token = world.open(FLOW);
    for id in 1..=3 {
        world.send(&request(FLOW, id, token));
    }
    assert_eq!(world.runs.len(), 1);
    assert_eq!(world.status(world::holder(token)).tasks, 3);
}

#[test]
fn a_lost_outcome_of_a_non_idempotent_request_is_unknown() {
    let mut full = full(3);
    let packet = request(FLOW, REQUEST, full.token);
    request_only(&mut full, &packet);
    let offer = take_offer(&mut full.world);
    full.world.deliver(offer.clone());
    lose_outcome(&mut full, offer);
    assert_eq!(outcome(&mut full.world), caller::Outcome::Unknown);
    full.world.send(&packet);
    assert_eq!(outcome(&mut full.world), caller::Outcome::Unknown);
    assert_eq!(full.world.runs.len(), 2);
}

#[test]
fn a_lost_outcome_of_an_idempotent_request_is_tried_again() {
    let mut full = full(3);
    request_only(&mut full, &idempotent(FLOW, REQUEST));
    let offer = take_offer(&mut full.world);
    full.world.deliver(offer.clone());
    lose_outcome(&mut full, offer);
    assert_eq!(full.world.runs.len(), 3);
    full.world.running.drain(..2);
    full.world.answer("again");
    assert_eq!(full.world.take_answer(REQUEST).unwrap(), b"again");
}

/// Tells the holder that the call was sent and its result lost.
fn lose_outcome(full: &mut Full, offer: Message) {
    let Message::Offer { offer, .. } = offer else {
        panic!("the message should be an offer");
    };
    full.world.deliver(Message::Outcome {
        to: full.holder,
        offer: offer.id,
        outcome: Outcome::Unknown,
    });
    full.world.settle();
}

#[test]
fn a_repeated_offer_runs_once() {
    let mut full = full(2);
    let packet = request(FLOW, REQUEST, full.token);
    request_only(&mut full, &packet);
    let offer = take_offer(&mut full.world);
    full.world.deliver(offer.clone());
    full.world.deliver(offer.clone());
    assert_eq!(full.world.runs.len(), 2);
    full.world.running.remove(0);
    full.world.answer("once");
    full.world.deliver(offer);
    full.world.settle();
    assert_eq!(full.world.runs.len(), 2);
    assert_eq!(full.world.take_answer(REQUEST).unwrap(), b"once");
}

#[test]
fn a_refused_offer_never_runs() {
    let mut full = full(2);
    let other = 1 - full.holder;
    let busy = full.world.open_at(2, other);
    full.world.send_along(&request(2, 1, busy), &[other]);
    let packet = request(FLOW, REQUEST, full.token);
    request_only(&mut full, &packet);
    let offer = take_offer(&mut full.world);
    full.world.deliver(offer.clone());
    full.world.settle();
    // The other agent has a free slot again when a copy of the offer comes.
    let position = full.world.running.iter().position(|it| it.agent == other);
    full.world.running.swap(0, position.unwrap());
    full.world.answer("done");
    full.world.deliver(offer);
    full.world.settle();
    let ran: Vec<u64> = full.world.runs.iter().map(|it| it.job.request).collect();
    assert!(!ran.contains(&REQUEST));
}

#[test]
fn a_request_that_nobody_takes_queues_at_its_holder() {
    let mut full = full(2);
    let other = 1 - full.holder;
    let busy = full.world.open_at(2, other);
    full.world.send_along(&request(2, 1, busy), &[other]);
    full.world.send(&request(FLOW, REQUEST, full.token));
    assert_eq!(full.world.runs.len(), 2);
    full.world.answer("first");
    let last = full.world.runs.last().unwrap();
    assert_eq!(last.agent, full.holder);
    assert_eq!(last.job.request, REQUEST);
}

#[test]
fn an_agent_that_cannot_be_reached_costs_no_request() {
    let mut full = full(2);
    let other = 1 - full.holder;
    full.world.agents[other] = None;
    full.world.send(&request(FLOW, REQUEST, full.token));
    full.world.answer("first");
    full.world.answer("here");
    assert_eq!(full.world.take_answer(REQUEST).unwrap(), b"here");
}

#[test]
fn a_cancel_travels_to_the_agent_that_runs_the_request() {
    let mut full = full(2);
    full.world.send(&request(FLOW, REQUEST, full.token));
    let job = full.world.runs[1].job.id;
    full.world.send(&cancel(FLOW, REQUEST, full.token));
    assert_eq!(full.world.aborted, vec![job]);
    assert_eq!(outcome(&mut full.world), caller::Outcome::Unknown);
    let other = 1 - full.holder;
    assert_eq!(full.world.status(other).tasks, 0);
}

#[test]
fn a_withdrawal_that_overtakes_its_offer_stops_it() {
    let mut full = full(2);
    let packet = request(FLOW, REQUEST, full.token);
    request_only(&mut full, &packet);
    let offer = take_offer(&mut full.world);
    full.world.send(&cancel(FLOW, REQUEST, full.token));
    full.world.deliver(offer);
    full.world.settle();
    assert_eq!(full.world.runs.len(), 1);
}

#[test]
fn a_passed_request_past_its_deadline_is_unknown_and_withdrawn() {
    let mut full = full(2);
    full.world
        .send(&with_deadline(FLOW, REQUEST, full.token, 500));
    assert_eq!(full.world.runs.len(), 2);
    full.world.pass(Duration::from_millis(600));
    assert_eq!(outcome(&mut full.world), caller::Outcome::Unknown);
    assert_eq!(full.world.aborted.len(), 1);
}

#[test]
fn a_request_shed_by_the_agent_that_has_it_is_tried_elsewhere() {
    let mut full = full(3);
    full.world.send(&request(FLOW, REQUEST, full.token));
    full.world.running.remove(0);
    let retry_after = Duration::from_secs(1);
    full.world.finish(Completion::Shed { retry_after });
    assert_eq!(full.world.runs.len(), 3);
    assert_ne!(full.world.runs[1].agent, full.world.runs[2].agent);
    full.world.answer("third");
    assert_eq!(full.world.take_answer(REQUEST).unwrap(), b"third");
}

#[test]
fn passing_again_is_paid_from_the_retry_budget() {
    let mut settings = settings();
    settings.gate.slots = 1;
    settings.retries.burst = 0;
    let mut world = World::new(3, settings, independent());
    let tokens: Vec<Token> = (0..3)
        .map(|index| world.open_at(index as u64 + 1, index))
        .collect();
    for (index, &token) in tokens.iter().enumerate() {
        world.send_along(&request(index as u64 + 1, 1, token), &[index]);
    }
    world.send_along(&request(1, 2, tokens[0]), &[0]);
    assert_eq!(world.status(0).counters.get(Counter::Passed), 1);
    assert_eq!(world.runs.len(), 3);
}

#[test]
fn a_draining_holder_passes_what_it_can() {
    let mut world = World::new(2, settings(), independent());
    let token = world.open(FLOW);
    let holder = world::holder(token);
    world.event(holder, Event::Drain);
    world.tell_all();
    world.send(&request(FLOW, REQUEST, token));
    assert_ne!(world.runs[0].agent, holder);
}

#[test]
fn an_offer_of_another_service_is_refused() {
    let mut full = full(2);
    let packet = request(FLOW, REQUEST, full.token);
    request_only(&mut full, &packet);
    let Message::Offer {
        from,
        to,
        connected,
        mut offer,
    } = take_offer(&mut full.world)
    else {
        panic!("the message should be an offer");
    };
    offer.service = "192.0.2.2:53".parse().unwrap();
    full.world.deliver(Message::Offer {
        from,
        to,
        connected,
        offer,
    });
    assert_eq!(full.world.runs.len(), 1);
}

#[test]
fn offers_beyond_the_limit_do_not_run() {
    let mut settings = settings();
    settings.gate.slots = 1;
    settings.pass.max_offers = 0;
    let mut world = World::new(2, settings, independent());
    let token = world.open(FLOW);
    world.send(&request(FLOW, 1, token));
    world.send(&request(FLOW, REQUEST, token));
    assert_eq!(world.runs.len(), 1);
    let refusal = world.take_refusal().unwrap();
    assert_eq!(refusal.reason(), Reason::BackendFailed);
    assert_eq!(refusal.outcome(), caller::Outcome::Unknown);
}
