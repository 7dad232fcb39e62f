//! Single requests of independent flows run at other agents, while the holder
//! records and answers them.
mod cluster;

use std::time::Duration;

use agent::Completion;
use agent::Event;
use agent::Outcome;
use agent::status::Counter;
use cluster::Cluster;
use cluster::FLOW;
use cluster::Message;
use cluster::REQUEST;
use cluster::cancel;
use cluster::idempotent;
use cluster::independent;
use cluster::request;
use cluster::settings;
use cluster::with_deadline;
use wire::Token;
use wire::caller;
use wire::caller::Reason;

/// A flow whose holder has no free slot, so that it forwards requests.
struct Saturated {
    cluster: Cluster,
    token: Token,
    holder: usize,
}

fn saturated(agents: usize) -> Saturated {
    let mut settings = settings();
    settings.gate.slots = 1;
    let mut cluster = Cluster::new(agents, settings, independent());
    let token = cluster.open(FLOW);
    let holder = cluster::holder(token);
    cluster.send(&request(FLOW, 1, token));
    assert_eq!(cluster.runs[0].agent, holder);
    cluster.replies.clear();
    Saturated {
        cluster,
        token,
        holder,
    }
}

fn refused_outcome(cluster: &mut Cluster) -> caller::Outcome {
    let refusal = cluster.take_refusal().expect("a refusal should be sent");
    refusal.outcome()
}

/// Removes the pending offer from the messages.
fn take_offer(cluster: &mut Cluster) -> Message {
    let is_offer = |message: &Message| matches!(message, Message::Offer { .. });
    let position = cluster.messages.iter().position(is_offer).unwrap();
    cluster.messages.remove(position)
}

/// Sends a request to the holder without delivering the resulting messages.
fn request_undelivered(saturated: &mut Saturated, packet: &caller::Packet) {
    let relay = saturated.cluster.relay_along(packet, &[saturated.holder]);
    let frame = wire::Frame::Relay(relay);
    let from = cluster::entry();
    saturated
        .cluster
        .event(saturated.holder, Event::Frame { from, frame });
}

#[test]
fn a_full_holder_passes_a_request_and_answers_the_caller() {
    let mut saturated = saturated(3);
    saturated
        .cluster
        .send(&request(FLOW, REQUEST, saturated.token));
    assert_eq!(saturated.cluster.runs.len(), 2);
    assert_ne!(saturated.cluster.runs[1].agent, saturated.holder);
    saturated.cluster.running.remove(0);
    saturated.cluster.finish_with("elsewhere");
    assert_eq!(
        saturated.cluster.take_answer(REQUEST).unwrap(),
        b"elsewhere"
    );
    saturated
        .cluster
        .send(&request(FLOW, REQUEST, saturated.token));
    assert_eq!(
        saturated.cluster.take_answer(REQUEST).unwrap(),
        b"elsewhere"
    );
    assert_eq!(saturated.cluster.runs.len(), 2);
}

#[test]
fn a_bound_service_never_passes_requests() {
    let mut settings = settings();
    settings.gate.slots = 1;
    let mut cluster = Cluster::new(3, settings, agent::view::Service::default());
    let token = cluster.open(FLOW);
    for id in 1..=3 {
        cluster.send(&request(FLOW, id, token));
    }
    assert_eq!(cluster.runs.len(), 1);
    assert_eq!(cluster.status(cluster::holder(token)).tasks, 3);
}

#[test]
fn a_non_idempotent_request_with_a_lost_outcome_is_unknown() {
    let mut saturated = saturated(3);
    let packet = request(FLOW, REQUEST, saturated.token);
    request_undelivered(&mut saturated, &packet);
    let offer = take_offer(&mut saturated.cluster);
    saturated.cluster.deliver(offer.clone());
    lose_outcome(&mut saturated, offer);
    assert_eq!(
        refused_outcome(&mut saturated.cluster),
        caller::Outcome::Unknown
    );
    saturated.cluster.send(&packet);
    assert_eq!(
        refused_outcome(&mut saturated.cluster),
        caller::Outcome::Unknown
    );
    assert_eq!(saturated.cluster.runs.len(), 2);
}

#[test]
fn an_idempotent_request_with_a_lost_outcome_is_retried() {
    let mut saturated = saturated(3);
    request_undelivered(&mut saturated, &idempotent(FLOW, REQUEST));
    let offer = take_offer(&mut saturated.cluster);
    saturated.cluster.deliver(offer.clone());
    lose_outcome(&mut saturated, offer);
    assert_eq!(saturated.cluster.runs.len(), 3);
    saturated.cluster.running.drain(..2);
    saturated.cluster.finish_with("again");
    assert_eq!(saturated.cluster.take_answer(REQUEST).unwrap(), b"again");
}

/// Reports to the holder that the offer was sent and its outcome was lost.
fn lose_outcome(saturated: &mut Saturated, offer: Message) {
    let Message::Offer { offer, .. } = offer else {
        panic!("the message should be an offer");
    };
    saturated.cluster.deliver(Message::Outcome {
        to: saturated.holder,
        offer: offer.id,
        outcome: Outcome::Unknown,
    });
    saturated.cluster.deliver_all();
}

#[test]
fn a_repeated_offer_runs_once() {
    let mut saturated = saturated(2);
    let packet = request(FLOW, REQUEST, saturated.token);
    request_undelivered(&mut saturated, &packet);
    let offer = take_offer(&mut saturated.cluster);
    saturated.cluster.deliver(offer.clone());
    saturated.cluster.deliver(offer.clone());
    assert_eq!(saturated.cluster.runs.len(), 2);
    saturated.cluster.running.remove(0);
    saturated.cluster.finish_with("once");
    saturated.cluster.deliver(offer);
    saturated.cluster.deliver_all();
    assert_eq!(saturated.cluster.runs.len(), 2);
    assert_eq!(saturated.cluster.take_answer(REQUEST).unwrap(), b"once");
}

#[test]
fn a_refused_offer_never_runs() {
    let mut saturated = saturated(2);
    let other = 1 - saturated.holder;
    let busy = saturated.cluster.open_at(2, other);
    saturated.cluster.send_along(&request(2, 1, busy), &[other]);
    let packet = request(FLOW, REQUEST, saturated.token);
    request_undelivered(&mut saturated, &packet);
    let offer = take_offer(&mut saturated.cluster);
    saturated.cluster.deliver(offer.clone());
    saturated.cluster.deliver_all();
    // The other agent has a free slot again when a copy of the offer arrives.
    let position = saturated
        .cluster
        .running
        .iter()
        .position(|it| it.agent == other);
    saturated.cluster.running.swap(0, position.unwrap());
    saturated.cluster.finish_with("done");
    saturated.cluster.deliver(offer);
    saturated.cluster.deliver_all();
    let ran: Vec<u64> = saturated
        .cluster
        .runs
        .iter()
        .map(|it| it.job.request)
        .collect();
    assert!(!ran.contains(&REQUEST));
}

#[test]
fn a_request_that_every_agent_refuses_queues_at_its_holder() {
    let mut saturated = saturated(2);
    let other = 1 - saturated.holder;
    let busy = saturated.cluster.open_at(2, other);
    saturated.cluster.send_along(&request(2, 1, busy), &[other]);
    saturated
        .cluster
        .send(&request(FLOW, REQUEST, saturated.token));
    assert_eq!(saturated.cluster.runs.len(), 2);
    saturated.cluster.finish_with("first");
    let last = saturated.cluster.runs.last().unwrap();
    assert_eq!(last.agent, saturated.holder);
    assert_eq!(last.job.request, REQUEST);
}

#[test]
fn a_request_offered_to_an_unreachable_agent_runs_at_its_holder() {
    let mut saturated = saturated(2);
    let other = 1 - saturated.holder;
    saturated.cluster.agents[other] = None;
    saturated
        .cluster
        .send(&request(FLOW, REQUEST, saturated.token));
    saturated.cluster.finish_with("first");
    saturated.cluster.finish_with("here");
    assert_eq!(saturated.cluster.take_answer(REQUEST).unwrap(), b"here");
}

#[test]
fn a_cancel_aborts_a_passed_request() {
    let mut saturated = saturated(2);
    saturated
        .cluster
        .send(&request(FLOW, REQUEST, saturated.token));
    let job = saturated.cluster.runs[1].job.id;
    saturated
        .cluster
        .send(&cancel(FLOW, REQUEST, saturated.token));
    assert_eq!(saturated.cluster.aborted, vec![job]);
    assert_eq!(
        refused_outcome(&mut saturated.cluster),
        caller::Outcome::Unknown
    );
    let other = 1 - saturated.holder;
    assert_eq!(saturated.cluster.status(other).tasks, 0);
}

#[test]
fn a_withdrawal_that_arrives_first_prevents_its_offer() {
    let mut saturated = saturated(2);
    let packet = request(FLOW, REQUEST, saturated.token);
    request_undelivered(&mut saturated, &packet);
    let offer = take_offer(&mut saturated.cluster);
    saturated
        .cluster
        .send(&cancel(FLOW, REQUEST, saturated.token));
    saturated.cluster.deliver(offer);
    saturated.cluster.deliver_all();
    assert_eq!(saturated.cluster.runs.len(), 1);
}

#[test]
fn a_passed_request_past_its_deadline_is_unknown_and_withdrawn() {
    let mut saturated = saturated(2);
    saturated
        .cluster
        .send(&with_deadline(FLOW, REQUEST, saturated.token, 500));
    assert_eq!(saturated.cluster.runs.len(), 2);
    saturated.cluster.advance_time(Duration::from_millis(600));
    assert_eq!(
        refused_outcome(&mut saturated.cluster),
        caller::Outcome::Unknown
    );
    assert_eq!(saturated.cluster.aborted.len(), 1);
}

#[test]
fn a_passed_request_that_is_shed_is_retried_at_another_agent() {
    let mut saturated = saturated(3);
    saturated
        .cluster
        .send(&request(FLOW, REQUEST, saturated.token));
    saturated.cluster.running.remove(0);
    let retry_after = Duration::from_secs(1);
    saturated.cluster.finish(Completion::Shed { retry_after });
    assert_eq!(saturated.cluster.runs.len(), 3);
    assert_ne!(
        saturated.cluster.runs[1].agent,
        saturated.cluster.runs[2].agent
    );
    saturated.cluster.finish_with("third");
    assert_eq!(saturated.cluster.take_answer(REQUEST).unwrap(), b"third");
}

#[test]
fn passing_a_refused_request_again_uses_the_retry_budget() {
    let mut settings = settings();
    settings.gate.slots = 1;
    settings.retries.burst = 0;
    let mut cluster = Cluster::new(3, settings, independent());
    let tokens: Vec<Token> = (0..3)
        .map(|index| cluster.open_at(index as u64 + 1, index))
        .collect();
    for (index, &token) in tokens.iter().enumerate() {
        cluster.send_along(&request(index as u64 + 1, 1, token), &[index]);
    }
    cluster.send_along(&request(1, 2, tokens[0]), &[0]);
    assert_eq!(cluster.status(0).counters.get(Counter::RequestPassed), 1);
    assert_eq!(cluster.runs.len(), 3);
}

#[test]
fn a_draining_holder_passes_requests() {
    let mut cluster = Cluster::new(2, settings(), independent());
    let token = cluster.open(FLOW);
    let holder = cluster::holder(token);
    cluster.event(holder, Event::Drain);
    cluster.update_views();
    cluster.send(&request(FLOW, REQUEST, token));
    assert_ne!(cluster.runs[0].agent, holder);
}

#[test]
fn an_offer_of_another_service_is_refused() {
    let mut saturated = saturated(2);
    let packet = request(FLOW, REQUEST, saturated.token);
    request_undelivered(&mut saturated, &packet);
    let Message::Offer {
        from,
        to,
        connected,
        mut offer,
    } = take_offer(&mut saturated.cluster)
    else {
        panic!("the message should be an offer");
    };
    offer.service = "192.0.2.2:53".parse().unwrap();
    saturated.cluster.deliver(Message::Offer {
        from,
        to,
        connected,
        offer,
    });
    assert_eq!(saturated.cluster.runs.len(), 1);
}

#[test]
fn offers_beyond_the_limit_do_not_run() {
    let mut settings = settings();
    settings.gate.slots = 1;
    settings.pass.max_offers = 0;
    let mut cluster = Cluster::new(2, settings, independent());
    let token = cluster.open(FLOW);
    cluster.send(&request(FLOW, 1, token));
    cluster.send(&request(FLOW, REQUEST, token));
    assert_eq!(cluster.runs.len(), 1);
    let refusal = cluster.take_refusal().unwrap();
    assert_eq!(refusal.reason(), Reason::BackendFailed);
    assert_eq!(refusal.outcome(), caller::Outcome::Unknown);
}
