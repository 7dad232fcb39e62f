//! Long flows through restarts: none is broken by the system.
mod common;
mod world;

use std::time::Duration;

use common::ms;
use world::World;

const FLOWS: u16 = 1_000;

/// Backend servers of the deployment.
const SERVERS: u64 = 20;

/// A deployment whose flows are all open and answered.
fn settled(seed: u64) -> World {
    let mut world = World::new(4, SERVERS, seed);
    world.open_flows(FLOWS);
    world.run_until(Duration::from_secs(4));
    assert_eq!(world.open_count(), usize::from(FLOWS));
    assert_eq!(world.faults, Vec::<String>::new());
    world
}

/// Time in which flows are served again after restarts.
const RESTARTED: Duration = Duration::from_secs(12);

/// Runs on, and checks that every flow is served again in time and none was
/// broken.
fn ends_well(mut world: World, time: Duration) {
    let end = world.now + time;
    world.run_until(end);
    assert_eq!(world.faults, Vec::<String>::new());
    let waiting = world.waiting();
    assert!(
        waiting <= usize::from(FLOWS) / 10,
        "{waiting} requests wait"
    );
}

fn survives_a_roll_of_the_entries(seed: u64) {
    let mut world = settled(seed);
    for number in 0..4 {
        world.restart_entry(number);
        let next = world.now + ms(1_200);
        world.run_until(next);
    }
    ends_well(world, RESTARTED);
}

fn survives_a_restart_of_all_agents(seed: u64) {
    let mut world = settled(seed);
    for id in 1..=SERVERS {
        world.restart_agent(id);
    }
    ends_well(world, RESTARTED);
}

fn survives_a_restart_of_everything(seed: u64) {
    let mut world = settled(seed);
    for id in 1..=SERVERS {
        world.restart_agent(id);
    }
    for number in 0..4 {
        world.restart_entry(number);
    }
    ends_well(world, RESTARTED);
}

/// New servers come while an entry, which knows none of the flows, starts.
fn survives_a_roll_and_a_release_at_once(seed: u64) {
    let mut world = settled(seed);
    for step in 0..4 {
        world.restart_entry(usize::try_from(step).unwrap());
        world.add_server(SERVERS + 1 + step);
        world.restart_agent(1 + step);
        let next = world.now + ms(700);
        world.run_until(next);
    }
    ends_well(world, RESTARTED);
}

/// Callers hold flows whose backend servers are gone: they are told so, and open
/// new ones.
fn tells_callers_after_a_loss_of_power(seed: u64) {
    let mut world = settled(seed);
    world.lose_power();
    ends_well(world, Duration::from_secs(3));
}

cases::cases! { tells_callers_after_a_loss_of_power;
    loss_of_power_seed_1: 1,
    loss_of_power_seed_2: 2,
}

cases::cases! { survives_a_roll_of_the_entries;
    roll_of_entries_seed_1: 1,
    roll_of_entries_seed_2: 2,
}

cases::cases! { survives_a_restart_of_all_agents;
    restart_of_agents_seed_1: 1,
    restart_of_agents_seed_2: 2,
}

cases::cases! { survives_a_restart_of_everything;
    restart_of_everything_seed_1: 1,
    restart_of_everything_seed_2: 2,
}

cases::cases! { survives_a_roll_and_a_release_at_once;
    roll_and_release_seed_1: 1,
    roll_and_release_seed_2: 2,
}
