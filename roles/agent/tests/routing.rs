//! Packets reach the holder of their flow, even if the views of entries and
//! agents differ.
mod cluster;

use std::time::Duration;

use agent::status::Counter;
use agent::view::Service;
use cluster::Cluster;
use cluster::FLOW;
use cluster::Message;
use cluster::REQUEST;
use cluster::close;
use cluster::fetch;
use cluster::holder;
use cluster::idempotent;
use cluster::independent;
use cluster::open;
use cluster::request;
use cluster::settings;
use wire::Frame;
use wire::Token;
use wire::caller::Outcome;
use wire::caller::Reason;
use wire::caller::packet::Body;
use wire::target::State;

/// A flow held by the second agent of its order, and the home of the flow.
struct ForwardedFlow {
    cluster: Cluster,
    token: Token,
    home: usize,
    holder: usize,
}

/// Opens [`FLOW`] while the home has a request running.
fn forwarded(agents: usize) -> ForwardedFlow {
    let mut cluster = Cluster::bound(agents);
    let home = cluster.home(FLOW);
    let busy = cluster.open_at(1, home);
    cluster.send_along(&request(1, 1, busy), &[home]);
    let token = cluster.open(FLOW);
    let holder = holder(token);
    assert_ne!(home, holder);
    ForwardedFlow {
        cluster,
        token,
        home,
        holder,
    }
}

#[test]
fn an_open_is_forwarded_by_a_busy_home() {
    let forwarded = forwarded(4);
    assert_eq!(forwarded.holder, forwarded.cluster.ranked(FLOW)[1]);
    assert_eq!(forwarded.cluster.status(forwarded.home).pins, 1);
}

/// Load that the home of [`FLOW`] has served before the flow is opened.
struct PastLoad {
    service: Service,
    flows: u64,
    requests: u64,
    /// Expected rank of the holder of [`FLOW`], opened while all slots are
    /// free.
    rank: usize,
}

fn opens_at_expected_rank(past: &PastLoad) {
    let mut cluster = Cluster::new(4, settings(), past.service);
    let home = cluster.home(FLOW);
    for flow in 1..=past.flows {
        let token = cluster.open_at(flow, home);
        for id in 1..=past.requests {
            cluster.send_along(&request(flow, id, token), &[home]);
            cluster.finish_with("done");
        }
    }
    assert!(cluster.running.is_empty());
    let holder = holder(cluster.open(FLOW));
    assert_eq!(holder, cluster.ranked(FLOW)[past.rank]);
}

cases::cases! { opens_at_expected_rank;
    many_requests_of_a_bound_flow_move_a_new_flow_off_its_home: &PastLoad { service: Service::default(), flows: 1, requests: 20, rank: 1 },
    many_requests_of_an_independent_flow_leave_a_new_flow_at_its_home: &PastLoad { service: independent(), flows: 1, requests: 20, rank: 0 },
    many_flows_of_one_request_leave_a_new_flow_at_its_home: &PastLoad { service: Service::default(), flows: 20, requests: 1, rank: 0 },
}

#[test]
fn a_repeated_open_finds_the_holder() {
    let mut forwarded = forwarded(4);
    let job = forwarded.cluster.running[0].job.clone();
    assert_eq!(job.flow, 1);
    // The home has no running request any more.
    forwarded.cluster.finish_with("done");
    assert_eq!(forwarded.cluster.open(FLOW), forwarded.token);
}

#[test]
fn the_home_forwards_to_the_pinned_holder() {
    let ForwardedFlow {
        mut cluster,
        token,
        home,
        holder,
    } = forwarded(4);
    cluster.send_along(&request(FLOW, REQUEST, token), &[home]);
    assert_eq!(cluster.runs.last().unwrap().agent, holder);
}

#[test]
fn an_idempotent_request_without_token_finds_the_pinned_holder() {
    let ForwardedFlow {
        mut cluster,
        home,
        holder,
        ..
    } = forwarded(6);
    cluster.send_along(&idempotent(FLOW, REQUEST), &[home]);
    assert_eq!(cluster.runs.last().unwrap().agent, holder);
}

/// An entry whose view is several seconds old sends the packet along agents
/// that are not at the top of the flow's order.
#[test]
fn a_packet_along_a_stale_path_finds_the_holder() {
    let ForwardedFlow {
        mut cluster,
        token,
        holder,
        ..
    } = forwarded(8);
    let ranked = cluster.ranked(FLOW);
    let stale: Vec<usize> = ranked[5..].to_vec();
    cluster.send_along(&request(FLOW, REQUEST, token), &stale);
    assert_eq!(cluster.runs.last().unwrap().agent, holder);
}

#[test]
fn a_packet_without_token_is_forwarded_along_the_order_of_its_flow() {
    let ForwardedFlow {
        mut cluster,
        holder,
        ..
    } = forwarded(8);
    let ranked = cluster.ranked(FLOW);
    cluster.send_along(&idempotent(FLOW, REQUEST), &[ranked[7]]);
    assert_eq!(cluster.runs.last().unwrap().agent, holder);
}

#[test]
fn a_close_along_a_stale_path_reaches_the_holder() {
    let ForwardedFlow {
        mut cluster,
        token,
        home,
        ..
    } = forwarded(8);
    let ranked = cluster.ranked(FLOW);
    cluster.send_along(&close(FLOW, token), &ranked[5..]);
    let closed = cluster.replies.pop().and_then(|packet| packet.body);
    assert!(matches!(closed, Some(Body::Closed(_))));
    assert_eq!(cluster.status(home).pins, 0);
}

#[test]
fn a_request_of_an_unknown_flow_is_refused_after_a_bounded_search() {
    let mut cluster = Cluster::bound(20);
    let token = Token {
        target: 1,
        incarnation: 1,
    };
    cluster.send(&request(FLOW, REQUEST, token));
    let refusal = cluster.take_refusal().unwrap();
    assert_eq!(refusal.reason(), Reason::FlowUnknown);
    assert_eq!(refusal.outcome(), Outcome::Unknown);
    let forwarded: u64 = (0..20)
        .map(|index| cluster.status(index).counters.get(Counter::PacketForwarded))
        .sum();
    assert_eq!(forwarded, 7);
}

/// Two entries with different views send copies of one open to different
/// agents.
#[test]
fn two_opens_at_different_agents_leave_a_half_open_flow_that_expires() {
    let mut cluster = Cluster::bound(4);
    let ranked = cluster.ranked(FLOW);
    let first = cluster.open_at(FLOW, ranked[0]);
    let second = cluster.open_at(FLOW, ranked[1]);
    assert_ne!(first, second);
    // The caller uses the second holder; an entry sends the request to the
    // first.
    cluster.send(&request(FLOW, REQUEST, second));
    assert_eq!(cluster.runs.len(), 1);
    assert_eq!(cluster.runs[0].agent, ranked[1]);
    cluster.finish_with("once");
    cluster.advance_time(Duration::from_mins(1));
    assert_eq!(cluster.status(ranked[0]).flows, 0);
    assert_eq!(cluster.status(ranked[1]).flows, 1);
}

#[test]
fn a_close_is_forwarded_past_a_half_open_copy_of_its_flow() {
    let mut cluster = Cluster::bound(4);
    let ranked = cluster.ranked(FLOW);
    cluster.open_at(FLOW, ranked[0]);
    let second = cluster.open_at(FLOW, ranked[1]);
    cluster.send(&close(FLOW, second));
    let closed = cluster.replies.pop().and_then(|packet| packet.body);
    assert!(matches!(closed, Some(Body::Closed(_))));
}

/// Two agents hold one flow, and a request names the one that has lost its
/// state in a restart. The request must not run at the other, since it may have
/// run before.
#[test]
fn a_request_never_runs_at_a_holder_that_it_does_not_name() {
    let mut cluster = Cluster::bound(4);
    let ranked = cluster.ranked(FLOW);
    let first = cluster.open_at(FLOW, ranked[0]);
    cluster.open_at(FLOW, ranked[1]);
    cluster.restart(ranked[0]);
    cluster.update_views();
    cluster.send(&request(FLOW, REQUEST, first));
    assert!(cluster.runs.is_empty());
    let refusal = cluster.take_refusal().unwrap();
    assert_eq!(refusal.outcome(), Outcome::Unknown);
}

#[test]
fn a_stale_pin_is_reported_to_its_home() {
    let ForwardedFlow {
        mut cluster,
        token,
        home,
        holder,
    } = forwarded(4);
    cluster.restart(holder);
    cluster.update_views();
    cluster.send_along(&request(FLOW, REQUEST, token), &[home]);
    let refusal = cluster.take_refusal().unwrap();
    assert_eq!(refusal.outcome(), Outcome::Unknown);
    assert_eq!(cluster.runs.len(), 1);
    assert!(cluster.status(holder).counters.get(Counter::StalePin) > 0);
}

#[test]
fn a_pin_to_a_target_that_left_is_not_used() {
    let ForwardedFlow {
        mut cluster,
        token,
        home,
        holder,
    } = forwarded(4);
    cluster.agents[holder] = None;
    let left = cluster.targets[holder].id;
    let remaining: Vec<_> = cluster
        .targets
        .iter()
        .filter(|target| target.id != left)
        .cloned()
        .collect();
    for index in 0..4 {
        cluster.update_view_of(index, remaining.clone());
    }
    cluster.deliver_all();
    cluster.send_along(&request(FLOW, REQUEST, token), &[home]);
    let refusal = cluster.take_refusal().unwrap();
    assert_eq!(refusal.reason(), Reason::FlowUnknown);
    assert_eq!(refusal.outcome(), Outcome::Unknown);
}

#[test]
fn a_target_that_joins_as_home_learns_the_holder() {
    let mut cluster = Cluster::bound(4);
    let home = cluster.home(FLOW);
    let others: Vec<_> = cluster
        .targets
        .iter()
        .filter(|target| target.id != cluster.targets[home].id)
        .cloned()
        .collect();
    for index in 0..4 {
        cluster.update_view_of(index, others.clone());
    }
    cluster.deliver_all();
    let old_home = cluster.ranked(FLOW)[1];
    let token = cluster.open_at(FLOW, old_home);
    cluster.advance_time(Duration::from_millis(10));
    cluster.update_views();
    cluster.advance_time(Duration::from_millis(10));
    assert_eq!(cluster.status(home).pins, 1);
    cluster.send_along(&idempotent(FLOW, REQUEST), &[home]);
    assert_eq!(cluster.runs[0].agent, holder(token));
}

#[test]
fn a_home_that_restarts_learns_the_holder_again() {
    let ForwardedFlow {
        mut cluster, home, ..
    } = forwarded(4);
    cluster.restart(home);
    cluster.update_views();
    cluster.advance_time(Duration::from_secs(1));
    assert_eq!(cluster.status(home).pins, 1);
}

/// Each change of the view starts a renewal round. Frequent changes must not
/// keep earlier rounds from reaching the end of the flow table.
#[test]
fn flows_are_pinned_while_the_view_keeps_changing() {
    let mut cluster = Cluster::bound(2);
    for flow in 1..=4_000 {
        cluster.open_at(flow, 0);
    }
    let expected_pins = (1..=4_000).filter(|&flow| cluster.home(flow) == 1).count();
    cluster.restart(1);
    for _ in 0..20 {
        cluster.update_views();
        cluster.advance_time(Duration::from_millis(40));
    }
    assert_eq!(cluster.status(1).pins, expected_pins);
}

#[test]
fn pins_are_renewed_while_their_flows_last() {
    let mut cluster = Cluster::bound(2);
    for flow in 1..301 {
        let token = cluster.open_at(flow, 1);
        cluster.send_along(&fetch(flow, 1, vec![0], token), &[1]);
    }
    let expected_pins = (1..301).filter(|&flow| cluster.home(flow) == 0).count();
    // The packets were sent along agent 1 only, which is therefore recorded as
    // the home of all flows until the view is sent again.
    cluster.update_views();
    cluster.advance_time(Duration::from_mins(10));
    assert_eq!(cluster.status(0).pins, expected_pins);
    cluster.advance_time(Duration::from_hours(1));
    assert_eq!(cluster.status(1).flows, 0);
    assert_eq!(cluster.status(0).pins, 0);
}

#[test]
fn a_full_home_forwards_an_open_to_the_agent_with_the_shortest_wait() {
    let mut cluster = Cluster::bound(3);
    for index in 0..3 {
        let flow = 100 + index as u64;
        let token = cluster.open_at(flow, index);
        let count = if index == 1 { 1 } else { 3 };
        for id in 1..=count {
            cluster.send_along(&request(flow, id, token), &[index]);
        }
    }
    assert_eq!(holder(cluster.open(FLOW)), 1);
}

#[test]
fn a_draining_target_accepts_no_flow_and_serves_those_it_holds() {
    let mut cluster = Cluster::bound(3);
    let token = cluster.open(FLOW);
    let drained = holder(token);
    cluster.announced.clear();
    cluster.event(drained, agent::Event::Drain);
    assert_eq!(cluster.announced, vec![State::Draining]);
    for flow in 1..50 {
        assert_ne!(holder(cluster.open(flow)), drained);
    }
    cluster.send(&request(FLOW, REQUEST, token));
    assert_eq!(cluster.runs[0].agent, drained);
    cluster.event(drained, agent::Event::Resume);
    assert_eq!(cluster.announced, vec![State::Draining, State::Ready]);
}

#[test]
fn an_open_is_refused_if_all_targets_are_draining() {
    let mut cluster = Cluster::bound(2);
    cluster.event(0, agent::Event::Drain);
    cluster.event(1, agent::Event::Drain);
    cluster.send(&open(FLOW));
    let refusal = cluster.take_refusal().unwrap();
    assert_eq!(refusal.reason(), Reason::Draining);
    assert_eq!(refusal.outcome(), Outcome::NotRun);
}

#[test]
fn a_pin_of_another_service_is_dropped() {
    let mut cluster = Cluster::bound(2);
    let pin = wire::frame::Pin {
        service: "192.0.2.2:53".parse().unwrap(),
        holder: Token {
            target: 9,
            incarnation: 1,
        },
        address: cluster.targets[1].address,
        flows: vec![FLOW],
    };
    let to = cluster.targets[0].address;
    cluster.deliver(Message::Frame {
        from: 1,
        to,
        frame: Frame::Pin(pin),
    });
    assert_eq!(cluster.status(0).pins, 0);
}
