//! Long flows through restarts: none is broken by the system.
mod fixtures;
mod simulation;

use std::time::Duration;

use fixtures::ms;
use simulation::Simulation;

const FLOWS: u16 = 1_000;

/// Backend servers of the deployment.
const SERVERS: u64 = 20;

/// A deployment whose flows are all open and answered.
fn settled(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(4, SERVERS, seed);
    simulation.open_flows(FLOWS);
    simulation.run_until(Duration::from_secs(4));
    assert_eq!(simulation.open_count(), usize::from(FLOWS));
    assert_eq!(simulation.faults, Vec::<String>::new());
    simulation
}

/// Time in which flows are served again after restarts.
const RESTARTED: Duration = Duration::from_secs(12);

/// Runs on, and checks that every flow is served again in time and none was
/// broken.
fn ends_well(mut simulation: Simulation, time: Duration) {
    let end = simulation.now + time;
    simulation.run_until(end);
    assert_eq!(simulation.faults, Vec::<String>::new());
    let waiting = simulation.waiting();
    assert!(
        waiting <= usize::from(FLOWS) / 10,
        "{waiting} requests wait"
    );
}

fn serves_all_flows_after_rolling_restart_of_entries(seed: u64) {
    let mut simulation = settled(seed);
    for number in 0..4 {
        simulation.restart_entry(number);
        let next = simulation.now + ms(1_200);
        simulation.run_until(next);
    }
    ends_well(simulation, RESTARTED);
}

fn serves_all_flows_after_restart_of_agents(seed: u64) {
    let mut simulation = settled(seed);
    for id in 1..=SERVERS {
        simulation.restart_agent(id);
    }
    ends_well(simulation, RESTARTED);
}

fn serves_all_flows_after_restart_of_agents_and_entries(seed: u64) {
    let mut simulation = settled(seed);
    for id in 1..=SERVERS {
        simulation.restart_agent(id);
    }
    for number in 0..4 {
        simulation.restart_entry(number);
    }
    ends_well(simulation, RESTARTED);
}

/// New servers come while an entry, which knows none of the flows, starts.
fn serves_all_flows_after_restarts_while_servers_are_added(seed: u64) {
    let mut simulation = settled(seed);
    for step in 0..4 {
        simulation.restart_entry(usize::try_from(step).unwrap());
        simulation.add_server(SERVERS + 1 + step);
        simulation.restart_agent(1 + step);
        let next = simulation.now + ms(700);
        simulation.run_until(next);
    }
    ends_well(simulation, RESTARTED);
}

/// Callers hold flows whose backend servers are gone: they are told so, and open
/// new ones.
fn resets_flows_after_loss_of_power(seed: u64) {
    let mut simulation = settled(seed);
    simulation.lose_power();
    ends_well(simulation, Duration::from_secs(3));
}

cases::cases! { resets_flows_after_loss_of_power;
    loss_of_power_seed_1: 1,
    loss_of_power_seed_2: 2,
}

cases::cases! { serves_all_flows_after_rolling_restart_of_entries;
    rolling_restart_of_entries_seed_1: 1,
    rolling_restart_of_entries_seed_2: 2,
}

cases::cases! { serves_all_flows_after_restart_of_agents;
    restart_of_agents_seed_1: 1,
    restart_of_agents_seed_2: 2,
}

cases::cases! { serves_all_flows_after_restart_of_agents_and_entries;
    restart_of_agents_and_entries_seed_1: 1,
    restart_of_agents_and_entries_seed_2: 2,
}

cases::cases! { serves_all_flows_after_restarts_while_servers_are_added;
    restarts_while_servers_are_added_seed_1: 1,
    restarts_while_servers_are_added_seed_2: 2,
}
