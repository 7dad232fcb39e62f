//! Flows survive the replacement of their agent.
mod cluster;

use std::time::Duration;

use agent::Event;
use agent::park::Grant;
use agent::status::Counter;
use cluster::Cluster;
use cluster::FLOW;
use cluster::Message;
use cluster::close;
use cluster::holder;
use cluster::open;
use cluster::request;
use cluster::settings;
use wire::Token;
use wire::caller::Outcome;
use wire::caller::Reason;
use wire::caller::packet::Body;

fn refused_outcome(cluster: &mut Cluster, reason: Reason) -> Outcome {
    let refusal = cluster.take_refusal().expect("a refusal should be sent");
    assert_eq!(refusal.reason(), reason);
    refusal.outcome()
}

/// A flow with one answered request, whose holder has parked its state and
/// exited.
struct Replaced {
    cluster: Cluster,
    token: Token,
    holder: usize,
}

fn replaced(agents: usize) -> Replaced {
    let mut cluster = Cluster::bound(agents);
    let token = cluster.open(FLOW);
    let holder = holder(token);
    cluster.send(&request(FLOW, 1, token));
    cluster.finish_with("first");
    cluster.replies.clear();
    cluster.event(holder, Event::Replace);
    cluster.deliver_all();
    assert_eq!(cluster.exited, vec![holder]);
    cluster.remove_from_views(holder);
    Replaced {
        cluster,
        token,
        holder,
    }
}

impl Replaced {
    /// Starts the successor and lets it claim the state.
    fn start_successor(&mut self) {
        self.cluster.restart(self.holder);
        self.cluster.update_views();
    }
}

#[test]
fn flows_survive_a_replacement() {
    let mut replaced = replaced(3);
    replaced.start_successor();
    let Replaced {
        mut cluster,
        token,
        holder,
    } = replaced;
    cluster.send(&request(FLOW, 2, token));
    assert_eq!(cluster.runs[1].agent, holder);
    cluster.finish_with("second");
    assert_eq!(cluster.take_answer(2).unwrap(), b"second");
    assert_eq!(cluster.open(FLOW), token);
}

/// Guards against flows that are given up because processes were paused: no peer
/// answers the successor's claim for longer than one attempt may take.
#[test]
fn flows_survive_peers_that_are_paused_while_the_successor_claims_them() {
    let mut replaced = replaced(3);
    let peers: Vec<usize> = (0..3).filter(|peer| *peer != replaced.holder).collect();
    for peer in &peers {
        replaced.cluster.freeze(*peer);
    }
    replaced.start_successor();
    replaced.cluster.advance_time(Duration::from_secs(7));
    for peer in &peers {
        replaced.cluster.thaw(*peer);
    }
    let Replaced {
        mut cluster, token, ..
    } = replaced;
    cluster.update_views();
    cluster.send(&request(FLOW, 2, token));
    cluster.finish_with("second");
    assert_eq!(cluster.take_answer(2).unwrap(), b"second");
}

#[test]
fn a_recorded_answer_survives_a_replacement() {
    let mut replaced = replaced(3);
    replaced.start_successor();
    let mut cluster = replaced.cluster;
    cluster.send(&request(FLOW, 1, replaced.token));
    assert_eq!(cluster.take_answer(1).unwrap(), b"first");
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_not_run_outcome_survives_a_replacement() {
    let mut cluster = Cluster::bound(3);
    let token = cluster.open(FLOW);
    let holder = holder(token);
    cluster.send(&request(FLOW, 1, token));
    cluster.event(holder, Event::Replace);
    cluster.send(&request(FLOW, 2, token));
    assert_eq!(
        refused_outcome(&mut cluster, Reason::HolderAway),
        Outcome::NotRun
    );
    cluster.finish_with("first");
    cluster.deliver_all();
    cluster.remove_from_views(holder);
    cluster.restart(holder);
    cluster.update_views();
    cluster.replies.clear();
    cluster.send(&request(FLOW, 2, token));
    assert_eq!(
        refused_outcome(&mut cluster, Reason::HolderAway),
        Outcome::NotRun
    );
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_request_whose_record_has_expired_does_not_run_after_a_replacement() {
    let mut cluster = Cluster::bound(3);
    let token = cluster.open(FLOW);
    let holder = holder(token);
    cluster.send(&request(FLOW, 9, token));
    cluster.finish_with("ninth");
    cluster.advance_time(Duration::from_mins(5));
    cluster.event(holder, Event::Replace);
    cluster.deliver_all();
    cluster.remove_from_views(holder);
    cluster.restart(holder);
    cluster.update_views();
    cluster.replies.clear();
    cluster.send(&request(FLOW, 9, token));
    assert_eq!(
        refused_outcome(&mut cluster, Reason::TableFull),
        Outcome::Unknown
    );
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn a_peer_answers_recorded_requests_while_the_holder_is_away() {
    let mut replaced = replaced(3);
    replaced.cluster.send(&request(FLOW, 1, replaced.token));
    assert_eq!(replaced.cluster.take_answer(1).unwrap(), b"first");
}

#[test]
fn a_refusal_that_was_handed_over_has_a_retry_delay() {
    let mut cluster = Cluster::bound(3);
    let token = cluster.open(FLOW);
    let holder = holder(token);
    cluster.send(&request(FLOW, 1, token));
    cluster.event(holder, Event::Replace);
    cluster.send(&request(FLOW, 2, token));
    cluster.finish_with("first");
    cluster.remove_from_views(holder);
    cluster.replies.clear();
    cluster.send(&request(FLOW, 2, token));
    let refusal = cluster.take_refusal().unwrap();
    assert_eq!(refusal.outcome(), Outcome::NotRun);
    assert!(refusal.retry_after_ms > 0);
}

#[test]
fn a_peer_does_not_answer_new_requests_while_the_holder_is_away() {
    let mut replaced = replaced(3);
    replaced.cluster.send(&request(FLOW, 2, replaced.token));
    assert!(replaced.cluster.replies.is_empty());
    replaced.start_successor();
    replaced.cluster.send(&request(FLOW, 2, replaced.token));
    assert_eq!(replaced.cluster.runs.len(), 2);
}

#[test]
fn a_peer_refuses_to_open_a_flow_that_is_parked_there() {
    let mut replaced = replaced(2);
    replaced.cluster.send(&open(FLOW));
    let outcome = refused_outcome(&mut replaced.cluster, Reason::HolderAway);
    assert_eq!(outcome, Outcome::NotRun);
}

#[test]
fn a_close_reaches_the_successor() {
    let mut replaced = replaced(3);
    replaced.start_successor();
    let token = replaced.token;
    replaced.cluster.send(&close(FLOW, token));
    let closed = replaced.cluster.replies.pop().and_then(|it| it.body);
    assert!(matches!(closed, Some(Body::Closed(_))));
}

#[test]
fn a_successor_without_state_answers_unknown() {
    let mut cluster = Cluster::bound(3);
    let token = cluster.open(FLOW);
    let holder = holder(token);
    cluster.send(&request(FLOW, 1, token));
    cluster.restart(holder);
    cluster.update_views();
    cluster.send(&request(FLOW, 1, token));
    assert_eq!(
        refused_outcome(&mut cluster, Reason::FlowUnknown),
        Outcome::Unknown
    );
}

#[test]
fn a_successor_does_not_answer_before_it_has_claimed() {
    let Replaced {
        mut cluster,
        token,
        holder,
    } = replaced(3);
    cluster.restart(holder);
    cluster.send_along(&request(FLOW, 1, token), &[holder]);
    assert!(cluster.replies.is_empty());
    let status = cluster.status(holder);
    assert_eq!(status.counters.get(Counter::AwaitingState), 1);
}

#[test]
fn a_claim_without_replies_times_out() {
    let mut cluster = Cluster::bound(2);
    let token = cluster.open(FLOW);
    let holder = holder(token);
    cluster.restart(holder);
    cluster.update_view(holder);
    cluster.messages.clear();
    cluster.advance_time(settings().leave.claim_timeout);
    cluster.send_along(&request(FLOW, 1, token), &[holder]);
    assert_eq!(
        refused_outcome(&mut cluster, Reason::FlowUnknown),
        Outcome::Unknown
    );
}

/// The first successor has claimed the state and run a request, then crashes. A
/// second successor that claimed the same state would run the request again.
#[test]
fn a_state_can_be_claimed_by_one_incarnation_only() {
    let mut replaced = replaced(3);
    replaced.start_successor();
    replaced.cluster.send(&request(FLOW, 2, replaced.token));
    assert_eq!(replaced.cluster.runs.len(), 2);
    replaced.start_successor();
    replaced.cluster.send(&request(FLOW, 2, replaced.token));
    let outcome = refused_outcome(&mut replaced.cluster, Reason::FlowUnknown);
    assert_eq!(outcome, Outcome::Unknown);
    assert_eq!(replaced.cluster.runs.len(), 2);
}

#[test]
fn flows_survive_a_second_replacement() {
    let mut replaced = replaced(3);
    for _ in 0..2 {
        replaced.start_successor();
        let Replaced {
            cluster, holder, ..
        } = &mut replaced;
        cluster.event(*holder, Event::Replace);
        cluster.deliver_all();
        cluster.remove_from_views(*holder);
    }
    replaced.start_successor();
    let Replaced {
        mut cluster, token, ..
    } = replaced;
    cluster.send(&request(FLOW, 1, token));
    assert_eq!(cluster.take_answer(1).unwrap(), b"first");
    cluster.send(&request(FLOW, 2, token));
    assert_eq!(cluster.runs.len(), 2);
}

/// The acknowledgement of the last part is lost. The peer may hold the whole
/// state, so no other peer may receive it.
#[test]
fn a_lost_acknowledgement_of_the_last_part_leaves_one_copy() {
    let mut cluster = Cluster::bound(4);
    let token = cluster.open(FLOW);
    let holder = holder(token);
    cluster.event(holder, Event::Replace);
    while let Some(message) = cluster.take_message() {
        match message {
            Message::Parked { index: 1, .. } => break,
            message => cluster.deliver(message),
        }
    }
    let lost = Message::Parked {
        to: holder,
        index: 1,
        accepted: false,
    };
    cluster.deliver(lost);
    cluster.deliver_all();
    cluster.advance_time(settings().leave.handover_timeout);
    assert_eq!(cluster.exited, vec![holder]);
    let parked: Vec<usize> = (0..4)
        .filter(|&index| index != holder)
        .map(|index| cluster.status(index).parked)
        .collect();
    assert_eq!(parked.iter().sum::<usize>(), 1);
}

#[test]
fn a_peer_that_refuses_a_handover_is_skipped() {
    let mut cluster = Cluster::bound(3);
    let token = cluster.open(FLOW);
    let holder = holder(token);
    for index in (0..3).filter(|&index| index != holder).take(1) {
        cluster.event(index, Event::Drain);
    }
    cluster.event(holder, Event::Replace);
    cluster.deliver_all();
    assert_eq!(cluster.exited, vec![holder]);
    let parked: usize = (0..3)
        .filter(|&index| index != holder)
        .map(|index| cluster.status(index).parked)
        .sum();
    assert_eq!(parked, 1);
}

#[test]
fn an_incomplete_state_is_not_granted() {
    let mut cluster = Cluster::bound(2);
    let token = cluster.open(FLOW);
    let holder = holder(token);
    cluster.event(holder, Event::Replace);
    let first = cluster.take_message().unwrap();
    cluster.deliver(first);
    cluster.messages.clear();
    cluster.restart(holder);
    cluster.update_view(holder);
    let mut grants = Vec::new();
    while let Some(message) = cluster.take_message() {
        match message {
            Message::Claimed { grant, .. } => grants.push(grant),
            message => cluster.deliver(message),
        }
    }
    assert_eq!(grants, vec![Grant::Nothing]);
}

#[test]
fn a_large_state_is_sent_in_parts() {
    let mut settings = settings();
    settings.leave.max_part_bytes = 1_000;
    let mut cluster = Cluster::new(2, settings, agent::view::Service::default());
    let tokens: Vec<Token> = (1..=100).map(|flow| cluster.open_at(flow, 0)).collect();
    cluster.event(0, Event::Replace);
    cluster.deliver_all();
    assert_eq!(cluster.status(1).parked, 100);
    cluster.remove_from_views(0);
    cluster.restart(0);
    cluster.update_views();
    assert_eq!(cluster.status(0).flows, 100);
    cluster.send_along(&request(50, 1, tokens[49]), &[0]);
    assert_eq!(cluster.runs.len(), 1);
}

#[test]
fn parked_state_expires() {
    let mut replaced = replaced(2);
    let peer = 1 - replaced.holder;
    assert_eq!(replaced.cluster.status(peer).parked, 1);
    replaced
        .cluster
        .advance_time(settings().leave.parked_lifetime);
    assert_eq!(replaced.cluster.status(peer).parked, 0);
    replaced.cluster.send(&request(FLOW, 1, replaced.token));
    let outcome = refused_outcome(&mut replaced.cluster, Reason::FlowUnknown);
    assert_eq!(outcome, Outcome::Unknown);
}

#[test]
fn an_answer_too_large_to_hand_over_is_unknown() {
    let mut settings = settings();
    settings.leave.max_part_bytes = 1_000;
    let mut cluster = Cluster::new(2, settings, agent::view::Service::default());
    let token = cluster.open_at(FLOW, 0);
    for id in [1, 2] {
        cluster.send_along(&request(FLOW, id, token), &[0]);
        cluster.finish_with(&"x".repeat(600));
    }
    cluster.event(0, Event::Replace);
    cluster.deliver_all();
    cluster.remove_from_views(0);
    cluster.restart(0);
    cluster.update_views();
    cluster.replies.clear();
    cluster.send_along(&request(FLOW, 1, token), &[0]);
    assert_eq!(
        refused_outcome(&mut cluster, Reason::TableFull),
        Outcome::Unknown
    );
    cluster.send_along(&request(FLOW, 2, token), &[0]);
    assert_eq!(cluster.take_answer(2).unwrap().len(), 600);
}

/// Every agent is replaced in turn while 40 flows are in use. A flow whose
/// state is lost on the way would no longer be served.
#[test]
fn no_flow_breaks_while_every_agent_is_replaced() {
    let mut cluster = Cluster::bound(4);
    let tokens: Vec<Token> = (1..=40).map(|flow| cluster.open(flow)).collect();
    let mut id = 0;
    for replaced in 0..4 {
        cluster.event(replaced, Event::Replace);
        cluster.deliver_all();
        cluster.remove_from_views(replaced);
        cluster.restart(replaced);
        cluster.update_views();
        id += 1;
        for (flow, &token) in (1..).zip(&tokens) {
            cluster.send(&request(flow, id, token));
            cluster.finish_with("served");
            assert_eq!(cluster.take_answer(id).unwrap(), b"served", "flow {flow}");
        }
    }
    assert_eq!(cluster.runs.len(), 160);
}

/// Returns the agent at which the state of a replaced one is parked.
fn parking_peer(cluster: &Cluster, departed: usize) -> usize {
    (0..3)
        .filter(|&index| index != departed)
        .find(|&index| cluster.status(index).parked > 0)
        .expect("a peer should hold the parked flows")
}

#[test]
fn a_parking_peer_that_leaves_waits_for_the_successor() {
    let mut replaced = replaced(3);
    let peer = parking_peer(&replaced.cluster, replaced.holder);
    replaced.cluster.event(peer, Event::Replace);
    replaced.cluster.deliver_all();
    assert_eq!(replaced.cluster.exited, vec![replaced.holder]);
    replaced.start_successor();
    replaced.cluster.deliver_all();
    assert_eq!(replaced.cluster.exited, vec![replaced.holder, peer]);
    let Replaced {
        mut cluster,
        token,
        holder,
    } = replaced;
    cluster.send(&request(FLOW, 2, token));
    assert_eq!(cluster.runs[1].agent, holder);
    cluster.finish_with("second");
    assert_eq!(cluster.take_answer(2).unwrap(), b"second");
}

#[test]
fn a_parking_peer_that_leaves_exits_without_the_successor_at_its_deadline() {
    let mut replaced = replaced(3);
    let peer = parking_peer(&replaced.cluster, replaced.holder);
    replaced.cluster.event(peer, Event::Replace);
    replaced.cluster.advance_time(Duration::from_mins(1));
    assert_eq!(replaced.cluster.exited, vec![replaced.holder, peer]);
}

#[test]
fn an_agent_without_a_peer_waits_for_one_to_join() {
    let mut cluster = Cluster::bound(2);
    let token = cluster.open(FLOW);
    let holder = holder(token);
    cluster.update_view_of(holder, vec![cluster.targets[holder].clone()]);
    cluster.event(holder, Event::Replace);
    cluster.deliver_all();
    assert_eq!(cluster.exited, vec![]);
    cluster.update_views();
    cluster.advance_time(Duration::from_secs(1));
    assert_eq!(cluster.exited, vec![holder]);
    cluster.remove_from_views(holder);
    cluster.restart(holder);
    cluster.update_views();
    cluster.send(&request(FLOW, 2, token));
    assert_eq!(cluster.runs[0].agent, holder);
}

#[test]
fn an_agent_without_a_peer_exits_at_its_deadline() {
    let mut cluster = Cluster::bound(1);
    cluster.open(FLOW);
    cluster.event(0, Event::Replace);
    cluster.advance_time(Duration::from_mins(1));
    assert_eq!(cluster.exited, vec![0]);
}
