//! A flow that two agents took, of which the caller uses one.
mod cluster;

use agent::Event;
use cluster::Cluster;
use cluster::FLOW;
use cluster::holder;
use cluster::independent;
use cluster::request;
use cluster::settings;
use wire::Token;

const AGENTS: usize = 4;

/// A flow that is held, and half open at another agent.
struct Duplicate {
    cluster: Cluster,
    token: Token,
    holder: usize,
    other: usize,
}

/// The other agent is so many after the holder; the next one gets its state.
fn open_twice(mut cluster: Cluster, distance: usize) -> Duplicate {
    let token = cluster.open(FLOW);
    let holder = holder(token);
    cluster.send(&request(FLOW, 1, token));
    cluster.finish_with("first");
    cluster.replies.clear();
    let other = (holder + distance) % AGENTS;
    assert_ne!(cluster.open_at(FLOW, other), token);
    Duplicate {
        cluster,
        token,
        holder,
        other,
    }
}

fn replaced_holder_gets_its_flow_back(distance: usize) {
    let mut duplicate = open_twice(Cluster::bound(AGENTS), distance);
    let cluster = &mut duplicate.cluster;
    cluster.event(duplicate.holder, Event::Replace);
    cluster.deliver_all();
    cluster.remove_from_views(duplicate.holder);
    cluster.replies.clear();
    cluster.send_along(&request(FLOW, 2, duplicate.token), &[duplicate.other]);
    assert!(cluster.replies.is_empty(), "{:?}", cluster.replies);
    cluster.restart(duplicate.holder);
    cluster.send_views();
    cluster.send_along(&request(FLOW, 2, duplicate.token), &[duplicate.other]);
    assert_eq!(cluster.runs.len(), 2);
    assert_eq!(cluster.runs[1].agent, duplicate.holder);
}

cases::cases! { replaced_holder_gets_its_flow_back;
    a_half_open_flow_at_the_keeper_does_not_hide_the_kept_one: 1,
    a_half_open_flow_elsewhere_does_not_break_a_replaced_one: 2,
    a_half_open_flow_far_away_does_not_break_a_replaced_one: 3,
}

fn peer_that_adopted_the_flow_is_found(distance: usize) {
    let cluster = Cluster::new(AGENTS, settings(), independent());
    let mut duplicate = open_twice(cluster, distance);
    let cluster = &mut duplicate.cluster;
    cluster.event(duplicate.holder, Event::Stop);
    cluster.deliver_all();
    cluster.remove_from_views(duplicate.holder);
    cluster.replies.clear();
    cluster.send_along(&request(FLOW, 2, duplicate.token), &[duplicate.other]);
    cluster.finish_with("second");
    assert_eq!(cluster.take_answer(2).unwrap(), b"second");
}

cases::cases! { peer_that_adopted_the_flow_is_found;
    a_half_open_flow_gives_way_to_an_adopted_one: 1,
    a_half_open_flow_elsewhere_does_not_break_an_adopted_one: 2,
    a_half_open_flow_far_away_does_not_break_an_adopted_one: 3,
}
