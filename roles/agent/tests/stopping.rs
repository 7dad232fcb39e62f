//! Planned stops let pending requests finish.
mod cluster;

use agent::Event;
use cluster::Cluster;
use cluster::FLOW;
use cluster::REQUEST;
use cluster::holder;
use cluster::independent;
use cluster::request;
use cluster::settings;
use cluster::with_deadline;
use wire::Token;
use wire::caller::Outcome;
use wire::caller::Reason;
use wire::target::State;

fn refused_outcome(cluster: &mut Cluster, reason: Reason) -> Outcome {
    let refusal = cluster.take_refusal().expect("a refusal should be sent");
    assert_eq!(refusal.reason(), reason);
    refusal.outcome()
}

#[test]
fn a_stop_lets_running_requests_finish() {
    let mut cluster = Cluster::bound(3);
    let token = cluster.open(FLOW);
    let holder = holder(token);
    cluster.send(&request(FLOW, REQUEST, token));
    cluster.event(holder, Event::Stop);
    assert!(cluster.exited.is_empty());
    cluster.finish_with("finished");
    assert_eq!(cluster.take_answer(REQUEST).unwrap(), b"finished");
    assert_eq!(cluster.exited, vec![holder]);
    assert_eq!(cluster.announced.last(), Some(&State::Left));
}

#[test]
fn a_stop_refuses_new_requests_as_not_run() {
    let mut cluster = Cluster::bound(3);
    let token = cluster.open(FLOW);
    cluster.send(&request(FLOW, 1, token));
    cluster.event(holder(token), Event::Stop);
    cluster.send(&request(FLOW, 2, token));
    assert_eq!(
        refused_outcome(&mut cluster, Reason::Draining),
        Outcome::NotRun
    );
    cluster.send(&request(FLOW, 2, token));
    assert_eq!(
        refused_outcome(&mut cluster, Reason::Draining),
        Outcome::NotRun
    );
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_stopping_agent_accepts_no_new_flow() {
    let mut cluster = Cluster::bound(3);
    let token = cluster.open(FLOW);
    let stopping = holder(token);
    cluster.send(&request(FLOW, 1, token));
    cluster.event(stopping, Event::Stop);
    for flow in 1..30 {
        assert_ne!(holder(cluster.open(flow)), stopping);
    }
}

#[test]
fn a_stop_ends_at_its_deadline() {
    let mut cluster = Cluster::bound(2);
    let token = cluster.open(FLOW);
    let holder = holder(token);
    cluster.send(&with_deadline(FLOW, REQUEST, token, 600_000));
    cluster.event(holder, Event::Stop);
    cluster.advance_time(settings().leave.grace_period);
    assert_eq!(cluster.exited, vec![holder]);
    assert_eq!(
        refused_outcome(&mut cluster, Reason::HolderAway),
        Outcome::Unknown
    );
}

#[test]
fn an_idle_agent_stops_at_once() {
    let mut cluster = Cluster::bound(1);
    cluster.event(0, Event::Stop);
    assert_eq!(cluster.exited, vec![0]);
}

#[test]
fn a_stop_of_an_independent_service_hands_its_flows_to_a_peer() {
    let mut cluster = Cluster::new(3, settings(), independent());
    let token = cluster.open(FLOW);
    let stopped = holder(token);
    cluster.send(&request(FLOW, 1, token));
    cluster.finish_with("first");
    cluster.event(stopped, Event::Stop);
    cluster.deliver_all();
    assert_eq!(cluster.exited, vec![stopped]);
    cluster.remove_from_views(stopped);
    cluster.replies.clear();
    cluster.send(&request(FLOW, 1, token));
    assert_eq!(cluster.take_answer(1).unwrap(), b"first");
    cluster.send(&request(FLOW, 2, token));
    cluster.finish_with("second");
    assert_eq!(cluster.take_answer(2).unwrap(), b"second");
    assert_eq!(cluster.runs.len(), 2);
}

/// All agents of an independent service but one stop in turn. Each hands its
/// flows over to a peer, and every flow must still be served.
#[test]
fn no_independent_flow_breaks_while_agents_stop() {
    let mut cluster = Cluster::new(4, settings(), independent());
    let tokens: Vec<Token> = (1..=40).map(|flow| cluster.open(flow)).collect();
    for (stopped, id) in (0..3).zip(1..) {
        cluster.event(stopped, Event::Stop);
        cluster.deliver_all();
        assert!(cluster.exited.contains(&stopped));
        cluster.update_views();
        for (flow, &token) in (1..).zip(&tokens) {
            cluster.send(&request(flow, id, token));
            cluster.finish_with("served");
            assert_eq!(cluster.take_answer(id).unwrap(), b"served", "flow {flow}");
        }
    }
}

/// Entries learn of a stop before the other agents do, and send packets to
/// homes that have not seen the change. These must find the flows at the
/// adopting peer.
#[test]
fn adopted_flows_are_found_before_the_agents_know_of_the_stop() {
    let mut cluster = Cluster::new(5, settings(), independent());
    let tokens: Vec<Token> = (1..=40).map(|flow| cluster.open(flow)).collect();
    let stopped = holder(tokens[0]);
    cluster.event(stopped, Event::Stop);
    cluster.deliver_all();
    assert_eq!(cluster.exited, vec![stopped]);
    let mut unserved = Vec::new();
    for (flow, &token) in (1..).zip(&tokens) {
        cluster.send(&request(flow, REQUEST, token));
        if cluster.running.is_empty() {
            unserved.push(flow);
            continue;
        }
        cluster.finish_with("served");
        assert_eq!(cluster.take_answer(REQUEST).unwrap(), b"served");
    }
    assert_eq!(unserved, Vec::<u64>::new());
}

#[test]
fn queued_requests_do_not_run_when_the_deadline_of_a_stop_is_reached() {
    let mut settings = settings();
    settings.gate.slots = 1;
    let mut cluster = Cluster::new(1, settings, agent::view::Service::default());
    let token = cluster.open(FLOW);
    for id in 1..=3 {
        cluster.send(&with_deadline(FLOW, id, token, 29_000));
    }
    cluster.event(0, Event::Stop);
    cluster.advance_time(agent::settings::Leave::default().grace_period);
    assert_eq!(cluster.exited, vec![0]);
    assert_eq!(cluster.runs.len(), 1);
}
