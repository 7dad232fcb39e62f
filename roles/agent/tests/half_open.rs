//! A flow that two agents took, of which the caller uses one.
mod world;

use agent::Event;
use wire::Token;
use world::FLOW;
use world::World;
use world::holder;
use world::independent;
use world::request;
use world::settings;

const AGENTS: usize = 4;

/// A flow that is held, and half open at another agent.
struct Twice {
    world: World,
    token: Token,
    holder: usize,
    other: usize,
}

/// The other agent is so many after the holder; the next one gets its state.
fn twice(mut world: World, distance: usize) -> Twice {
    let token = world.open(FLOW);
    let holder = holder(token);
    world.send(&request(FLOW, 1, token));
    world.answer("first");
    world.replies.clear();
    let other = (holder + distance) % AGENTS;
    assert_ne!(world.open_at(FLOW, other), token);
    Twice {
        world,
        token,
        holder,
        other,
    }
}

fn replaced_holder_gets_its_flow_back(distance: usize) {
    let mut twice = twice(World::bound(AGENTS), distance);
    let world = &mut twice.world;
    world.event(twice.holder, Event::Replace);
    world.settle();
    world.tell_others(twice.holder);
    world.replies.clear();
    world.send_along(&request(FLOW, 2, twice.token), &[twice.other]);
    assert!(world.replies.is_empty(), "{:?}", world.replies);
    world.restart(twice.holder);
    world.tell_all();
    world.send_along(&request(FLOW, 2, twice.token), &[twice.other]);
    assert_eq!(world.runs.len(), 2);
    assert_eq!(world.runs[1].agent, twice.holder);
}

cases::cases! { replaced_holder_gets_its_flow_back;
    a_half_open_flow_at_the_keeper_does_not_hide_the_kept_one: 1,
    a_half_open_flow_elsewhere_does_not_break_a_replaced_one: 2,
    a_half_open_flow_far_away_does_not_break_a_replaced_one: 3,
}

fn peer_that_adopted_the_flow_is_found(distance: usize) {
    let world = World::new(AGENTS, settings(), independent());
    let mut twice = twice(world, distance);
    let world = &mut twice.world;
    world.event(twice.holder, Event::Stop);
    world.settle();
    world.tell_others(twice.holder);
    world.replies.clear();
    world.send_along(&request(FLOW, 2, twice.token), &[twice.other]);
    world.answer("second");
    assert_eq!(world.take_answer(2).unwrap(), b"second");
}

cases::cases! { peer_that_adopted_the_flow_is_found;
    a_half_open_flow_gives_way_to_an_adopted_one: 1,
    a_half_open_flow_elsewhere_does_not_break_an_adopted_one: 2,
    a_half_open_flow_far_away_does_not_break_an_adopted_one: 3,
}
