//! A flow that two agents have accepted, of which the caller uses one. The
//! unused half-open copy must not hide the flow once its state is parked or
//! adopted.
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

/// A flow that is in use at its holder, with a half-open copy at another agent.
struct DuplicateFlow {
    cluster: Cluster,
    token: Token,
    holder: usize,
    other: usize,
}

/// Opens [`FLOW`] at its holder and at the agent `distance` places after it.
/// The agent one place after the holder is the peer that receives its state.
fn open_twice(mut cluster: Cluster, distance: usize) -> DuplicateFlow {
    let token = cluster.open(FLOW);
    let holder = holder(token);
    cluster.send(&request(FLOW, 1, token));
    cluster.finish_with("first");
    cluster.replies.clear();
    let other = (holder + distance) % AGENTS;
    assert_ne!(cluster.open_at(FLOW, other), token);
    DuplicateFlow {
        cluster,
        token,
        holder,
        other,
    }
}

fn successor_serves_its_parked_flow(distance: usize) {
    let mut duplicate = open_twice(Cluster::bound(AGENTS), distance);
    let cluster = &mut duplicate.cluster;
    cluster.event(duplicate.holder, Event::Replace);
    cluster.deliver_all();
    cluster.remove_from_views(duplicate.holder);
    cluster.replies.clear();
    cluster.send_along(&request(FLOW, 2, duplicate.token), &[duplicate.other]);
    assert!(cluster.replies.is_empty(), "{:?}", cluster.replies);
    cluster.restart(duplicate.holder);
    cluster.update_views();
    cluster.send_along(&request(FLOW, 2, duplicate.token), &[duplicate.other]);
    assert_eq!(cluster.runs.len(), 2);
    assert_eq!(cluster.runs[1].agent, duplicate.holder);
}

cases::cases! { successor_serves_its_parked_flow;
    a_half_open_copy_at_the_parking_peer_does_not_hide_the_parked_flow: 1,
    a_half_open_copy_two_agents_away_does_not_break_a_replaced_flow: 2,
    a_half_open_copy_three_agents_away_does_not_break_a_replaced_flow: 3,
}

fn adopting_peer_serves_the_flow(distance: usize) {
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

cases::cases! { adopting_peer_serves_the_flow;
    a_half_open_copy_is_replaced_by_the_adopted_flow: 1,
    a_half_open_copy_two_agents_away_does_not_break_an_adopted_flow: 2,
    a_half_open_copy_three_agents_away_does_not_break_an_adopted_flow: 3,
}
