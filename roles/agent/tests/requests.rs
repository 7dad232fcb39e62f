//! Requests run at most once, and never after a refusal that states that they
//! did not run.
mod cluster;

use std::time::Duration;

use agent::Completion;
use agent::status::Counter;
use bytes::Bytes;
use cluster::Cluster;
use cluster::FLOW;
use cluster::REQUEST;
use cluster::assert_refused;
use cluster::fetch;
use cluster::holder;
use cluster::idempotent;
use cluster::one_busy_agent;
use cluster::request;
use cluster::settings;
use cluster::with_deadline;
use wire::Token;
use wire::caller::Outcome;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::caller::packet::Body;

#[test]
fn an_opened_flow_serves_a_request() {
    let mut cluster = Cluster::bound(3);
    let token = cluster.open(FLOW);
    cluster.send(&request(FLOW, REQUEST, token));
    cluster.finish_with("on duty");
    assert_eq!(cluster.take_answer(REQUEST).unwrap(), b"on duty");
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_repeat_of_a_running_request_waits() {
    let mut cluster = Cluster::bound(3);
    let token = cluster.open(FLOW);
    cluster.send(&request(FLOW, REQUEST, token));
    cluster.send(&request(FLOW, REQUEST, token));
    assert_eq!(cluster.runs.len(), 1);
    cluster.finish_with("once");
    assert_eq!(cluster.take_answer(REQUEST).unwrap(), b"once");
}

#[test]
fn a_late_repeat_gets_the_recorded_answer() {
    let mut cluster = Cluster::bound(3);
    let token = cluster.open(FLOW);
    cluster.send(&request(FLOW, REQUEST, token));
    cluster.finish_with("once");
    cluster.replies.clear();
    cluster.send(&request(FLOW, REQUEST, token));
    assert_eq!(cluster.take_answer(REQUEST).unwrap(), b"once");
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_copy_of_a_request_whose_record_has_expired_is_unknown() {
    let mut cluster = Cluster::bound(1);
    let token = cluster.open(FLOW);
    cluster.send(&request(FLOW, REQUEST, token));
    cluster.finish_with("once");
    cluster.advance_time(Duration::from_mins(5));
    assert_eq!(cluster.status(0).records, 0);
    cluster.replies.clear();
    cluster.send(&request(FLOW, REQUEST, token));
    assert_refused(&mut cluster, Reason::TableFull, Outcome::Unknown);
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn crossed_answers_reach_their_own_requests() {
    let mut cluster = Cluster::bound(1);
    let token = cluster.open(FLOW);
    cluster.send(&request(FLOW, REQUEST, token));
    cluster.finish_with("warm");
    cluster.send(&request(FLOW, 1, token));
    cluster.send(&request(FLOW, 2, token));
    cluster.running.reverse();
    cluster.finish_with("second");
    assert_eq!(cluster.take_answer(2).unwrap(), b"second");
    cluster.finish_with("first");
    assert_eq!(cluster.take_answer(1).unwrap(), b"first");
}

#[test]
fn a_queued_request_past_its_deadline_did_not_run() {
    let (mut cluster, token) = one_busy_agent();
    cluster.send(&with_deadline(FLOW, 2, token, 100));
    cluster.advance_time(Duration::from_millis(200));
    assert_refused(&mut cluster, Reason::Deadline, Outcome::NotRun);
    cluster.finish_with("first");
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_refusal_at_the_deadline_has_a_retry_delay() {
    let (mut cluster, token) = one_busy_agent();
    cluster.send(&with_deadline(FLOW, 2, token, 100));
    cluster.advance_time(Duration::from_millis(200));
    let refusal = cluster.take_refusal().unwrap();
    assert!(refusal.retry_after_ms > 0);
}

#[test]
fn retry_delays_after_a_deadline_are_randomized() {
    let (mut cluster, token) = one_busy_agent();
    cluster.send(&with_deadline(FLOW, 2, token, 100));
    cluster.advance_time(Duration::from_millis(200));
    cluster.replies.clear();
    let mut delays: Vec<u32> = (0..10)
        .map(|_| {
            cluster.send(&with_deadline(FLOW, 2, token, 100));
            cluster.take_refusal().unwrap().retry_after_ms
        })
        .collect();
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 5, "{delays:?}");
}

#[test]
fn callers_refused_together_get_different_retry_delays() {
    let (mut cluster, token) = one_busy_agent();
    for id in 2..12 {
        cluster.send(&with_deadline(FLOW, id, token, 100));
    }
    cluster.advance_time(Duration::from_millis(200));
    let mut delays: Vec<u32> = cluster
        .replies
        .iter()
        .filter_map(|packet| match &packet.body {
            Some(Body::Refusal(refusal)) => Some(refusal.retry_after_ms),
            _ => None,
        })
        .collect();
    assert_eq!(delays.len(), 10);
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 5, "{delays:?}");
}

#[test]
fn a_copy_after_not_run_is_refused_too() {
    let (mut cluster, token) = one_busy_agent();
    cluster.send(&with_deadline(FLOW, 2, token, 100));
    cluster.advance_time(Duration::from_millis(200));
    cluster.finish_with("first");
    cluster.replies.clear();
    cluster.send(&with_deadline(FLOW, 2, token, 60_000));
    assert_refused(&mut cluster, Reason::Deadline, Outcome::NotRun);
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn an_idempotent_copy_after_not_run_is_refused_too() {
    let (mut cluster, token) = one_busy_agent();
    cluster.send(&with_holder(idempotent(FLOW, 2), token, 100));
    cluster.advance_time(Duration::from_millis(200));
    cluster.finish_with("first");
    cluster.replies.clear();
    cluster.send(&with_holder(idempotent(FLOW, 2), token, 10_000));
    assert_refused(&mut cluster, Reason::Deadline, Outcome::NotRun);
    assert_eq!(cluster.runs.len(), 1);
}

/// After two opens, another agent may hold the flow too and run the request. A
/// refusal must therefore not state that it did not run.
#[test]
fn an_expired_request_that_names_no_holder_is_unknown() {
    let (mut cluster, _) = one_busy_agent();
    let mut packet = idempotent(FLOW, 2);
    if let Some(Body::Request(request)) = &mut packet.body {
        request.deadline_ms = 100;
    }
    cluster.send(&packet);
    cluster.advance_time(Duration::from_millis(200));
    assert_refused(&mut cluster, Reason::Deadline, Outcome::Unknown);
}

#[test]
fn an_idempotent_request_runs_only_where_it_names_its_holder() {
    let mut cluster = Cluster::bound(2);
    let first = cluster.open_at(FLOW, 0);
    cluster.open_at(FLOW, 1);
    cluster.send_along(&with_holder(idempotent(FLOW, REQUEST), first, 1_000), &[1]);
    assert_eq!(cluster.runs[0].agent, 0);
}

/// The holder is frozen while a request waits for its slot. The first event
/// after the freeze is the result of the running job, which frees the slot
/// after the request has expired.
#[test]
fn a_queued_request_that_expires_while_its_holder_is_frozen_does_not_run() {
    let (mut cluster, token) = one_busy_agent();
    cluster.send(&with_deadline(FLOW, 2, token, 500));
    cluster.now += Duration::from_mins(1);
    cluster.finish_with("first");
    assert_eq!(cluster.runs.len(), 1);
    let refusal = cluster
        .replies
        .iter()
        .find_map(|packet| match &packet.body {
            Some(Body::Refusal(refusal)) if refusal.request == 2 => Some(*refusal),
            _ => None,
        })
        .unwrap();
    assert_eq!(refusal.outcome(), Outcome::NotRun);
}

/// Both the running and the queued request expire while the holder is frozen.
/// The slot that the first one frees must not go to the second.
#[test]
fn a_frozen_holder_does_not_run_a_request_queued_behind_an_expired_one() {
    let (mut cluster, token) = one_busy_agent();
    cluster.send(&with_deadline(FLOW, 2, token, 9_000));
    cluster.now += Duration::from_mins(1);
    cluster.tick();
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_running_request_past_its_deadline_is_unknown_and_frees_its_slot() {
    let (mut cluster, token) = one_busy_agent();
    cluster.advance_time(Duration::from_secs(11));
    assert_refused(&mut cluster, Reason::Deadline, Outcome::Unknown);
    assert_eq!(cluster.aborted.len(), 1);
    cluster.send(&request(FLOW, 2, token));
    assert_eq!(cluster.runs.len(), 2);
}

#[test]
fn a_request_that_states_no_deadline_gets_the_default() {
    let mut cluster = Cluster::bound(1);
    let token = cluster.open(FLOW);
    cluster.send(&with_deadline(FLOW, REQUEST, token, 0));
    let default = agent::view::Service::default().default_deadline;
    assert_eq!(cluster.runs[0].job.deadline, cluster.now + default);
}

#[test]
fn a_deadline_beyond_the_limit_is_capped() {
    let mut cluster = Cluster::bound(1);
    let token = cluster.open(FLOW);
    cluster.send(&with_deadline(FLOW, REQUEST, token, u32::MAX));
    let max = agent::view::Service::default().max_deadline;
    assert_eq!(cluster.runs[0].job.deadline, cluster.now + max);
}

#[test]
fn an_answer_beyond_the_limit_is_unknown() {
    let mut cluster = Cluster::bound(1);
    let token = cluster.open(FLOW);
    cluster.send(&request(FLOW, REQUEST, token));
    let max = agent::view::Service::default().max_answer_bytes;
    cluster.finish_with(&"x".repeat(max + 1));
    assert_refused(&mut cluster, Reason::TooLarge, Outcome::Unknown);
}

#[test]
fn a_request_that_names_an_earlier_incarnation_is_unknown() {
    let mut cluster = Cluster::bound(3);
    let token = cluster.open(FLOW);
    cluster.send(&request(FLOW, REQUEST, token));
    cluster.restart(holder(token));
    cluster.update_views();
    cluster.send(&request(FLOW, REQUEST, token));
    assert_refused(&mut cluster, Reason::FlowUnknown, Outcome::Unknown);
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn an_old_token_stays_invalid_after_its_flow_is_opened_again() {
    let mut cluster = Cluster::bound(1);
    let old = cluster.open(FLOW);
    cluster.send(&request(FLOW, REQUEST, old));
    cluster.restart(0);
    cluster.update_views();
    let new = cluster.open(FLOW);
    assert_ne!(old, new);
    cluster.send(&request(FLOW, REQUEST, old));
    assert_refused(&mut cluster, Reason::WrongHolder, Outcome::Unknown);
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_non_idempotent_request_needs_a_token() {
    let mut cluster = Cluster::bound(1);
    let token = cluster.open(FLOW);
    let mut packet = request(FLOW, REQUEST, token);
    if let Some(Body::Request(request)) = &mut packet.body {
        request.holder = Bytes::new();
    }
    cluster.send(&packet);
    assert_refused(&mut cluster, Reason::WrongHolder, Outcome::Unknown);
    assert!(cluster.runs.is_empty());
}

#[test]
fn an_answer_is_sent_in_chunks_and_fetched_again() {
    let mut cluster = Cluster::bound(1);
    let token = cluster.open(FLOW);
    cluster.send(&request(FLOW, REQUEST, token));
    let text = "rota ".repeat(1_000);
    cluster.finish_with(&text);
    assert_eq!(cluster.replies.len(), text.len().div_ceil(1_200));
    assert_eq!(cluster.take_answer(REQUEST).unwrap(), text.as_bytes());
    cluster.send(&fetch(FLOW, REQUEST, vec![3, 1, 99], token));
    let indexes: Vec<u32> = cluster
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
    let (mut cluster, token) = one_busy_agent();
    let retry_after = Duration::from_secs(2);
    cluster.finish(Completion::Shed { retry_after });
    let refusal = cluster.take_refusal().unwrap();
    assert_eq!(refusal.reason(), Reason::Overloaded);
    assert_eq!(refusal.outcome(), Outcome::NotRun);
    assert!(refusal.retry_after_ms >= 1_000);
    cluster.send(&request(FLOW, 1, token));
    assert_refused(&mut cluster, Reason::Overloaded, Outcome::NotRun);
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_failed_non_idempotent_request_is_unknown() {
    let (mut cluster, token) = one_busy_agent();
    cluster.finish(Completion::Failed { may_have_run: true });
    assert_refused(&mut cluster, Reason::BackendFailed, Outcome::Unknown);
    cluster.send(&request(FLOW, 1, token));
    assert_refused(&mut cluster, Reason::BackendFailed, Outcome::Unknown);
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_failed_idempotent_request_is_retried() {
    let mut cluster = Cluster::bound(1);
    cluster.open(FLOW);
    cluster.send(&idempotent(FLOW, REQUEST));
    cluster.finish(Completion::Failed { may_have_run: true });
    assert_eq!(cluster.runs.len(), 2);
    cluster.finish_with("again");
    assert_eq!(cluster.take_answer(REQUEST).unwrap(), b"again");
}

#[test]
fn a_request_that_did_not_reach_the_backend_server_is_retried() {
    let mut cluster = Cluster::bound(1);
    let token = cluster.open(FLOW);
    cluster.send(&request(FLOW, REQUEST, token));
    cluster.finish(Completion::Failed {
        may_have_run: false,
    });
    assert_eq!(cluster.runs.len(), 2);
    cluster.finish_with("once");
    assert_eq!(cluster.take_answer(REQUEST).unwrap(), b"once");
}

/// The first attempt of an idempotent request may have run, and its retry
/// expires in the queue. The refusal must not state that the request did not
/// run.
#[test]
fn a_retry_that_expires_is_unknown_if_the_first_attempt_may_have_run() {
    let (mut cluster, token) = one_busy_agent();
    cluster.send(&idempotent(FLOW, 2));
    cluster.finish_with("first");
    cluster.send(&request(FLOW, 3, token));
    cluster.finish(Completion::Failed { may_have_run: true });
    // Request 3 has the slot now, and the retry of request 2 is queued.
    cluster.replies.clear();
    cluster.advance_time(Duration::from_secs(11));
    let outcomes: Vec<Outcome> = cluster
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
fn a_request_is_retried_at_most_twice() {
    let mut cluster = Cluster::bound(1);
    let token = cluster.open(FLOW);
    cluster.send(&request(FLOW, REQUEST, token));
    for _ in 0..3 {
        cluster.finish(Completion::Failed {
            may_have_run: false,
        });
    }
    assert_refused(&mut cluster, Reason::BackendFailed, Outcome::NotRun);
    assert_eq!(cluster.runs.len(), 3);
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    let mut settings = settings();
    settings.retries.burst = 1;
    settings.retries.percent = 0;
    let mut cluster = Cluster::new(1, settings, agent::view::Service::default());
    cluster.open(FLOW);
    cluster.send(&idempotent(FLOW, REQUEST));
    cluster.finish(Completion::Failed { may_have_run: true });
    cluster.finish(Completion::Failed { may_have_run: true });
    assert_refused(&mut cluster, Reason::BackendFailed, Outcome::Unknown);
    assert_eq!(cluster.runs.len(), 2);
    let counters = cluster.status(0).counters;
    assert_eq!(counters.get(Counter::RetryBudgetSpent), 1);
}

fn with_holder(mut packet: Packet, token: Token, deadline_ms: u32) -> Packet {
    if let Some(Body::Request(request)) = &mut packet.body {
        request.holder = token.to_bytes().to_vec().into();
        request.deadline_ms = deadline_ms;
    }
    packet
}
