//! Tests that no long flow is broken by restarts of entries, agents and backend
//! servers.
mod fixtures;
mod simulation;

use std::time::Duration;

use fixtures::ms;
use simulation::Simulation;

const FLOWS: u16 = 1_000;

/// Number of backend servers.
const SERVERS: u64 = 20;

/// Returns a simulation in which all flows are open and answered.
fn with_open_flows(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(4, SERVERS, seed);
    simulation.open_flows(FLOWS);
    simulation.run_until(Duration::from_secs(4));
    assert_eq!(simulation.open_count(), usize::from(FLOWS));
    assert_eq!(simulation.faults, Vec::<String>::new());
    simulation
}

/// Time within which flows are served again after restarts.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Runs the simulation on, and checks that no flow was broken and that at most
/// a tenth of the flows wait for an answer at the end.
fn check_recovery(mut simulation: Simulation, recovery_time: Duration) {
    let end = simulation.now + recovery_time;
    simulation.run_until(end);
    assert_eq!(simulation.faults, Vec::<String>::new());
    let unanswered = simulation.unanswered_count();
    assert!(
        unanswered <= usize::from(FLOWS) / 10,
        "{unanswered} of {FLOWS} flows wait for an answer"
    );
}

fn serves_all_flows_after_rolling_restart_of_entries(seed: u64) {
    let mut simulation = with_open_flows(seed);
    for number in 0..4 {
        simulation.restart_entry(number);
        let next = simulation.now + ms(1_200);
        simulation.run_until(next);
    }
    check_recovery(simulation, RECOVERY_TIME);
}

fn serves_all_flows_after_restart_of_agents(seed: u64) {
    let mut simulation = with_open_flows(seed);
    for id in 1..=SERVERS {
        simulation.restart_agent(id);
    }
    check_recovery(simulation, RECOVERY_TIME);
}

fn serves_all_flows_after_restart_of_agents_and_entries(seed: u64) {
    let mut simulation = with_open_flows(seed);
    for id in 1..=SERVERS {
        simulation.restart_agent(id);
    }
    for number in 0..4 {
        simulation.restart_entry(number);
    }
    check_recovery(simulation, RECOVERY_TIME);
}

/// New servers appear while restarted entries know none of the flows.
fn serves_all_flows_after_restarts_while_servers_are_added(seed: u64) {
    let mut simulation = with_open_flows(seed);
    for step in 0..4 {
        simulation.restart_entry(usize::try_from(step).unwrap());
        simulation.add_server(SERVERS + 1 + step);
        simulation.restart_agent(1 + step);
        let next = simulation.now + ms(700);
        simulation.run_until(next);
    }
    check_recovery(simulation, RECOVERY_TIME);
}

/// Callers still use flows whose backend servers lost them. The flows must be
/// reset, so that the callers open new ones.
fn resets_flows_after_loss_of_power(seed: u64) {
    let mut simulation = with_open_flows(seed);
    simulation.lose_power();
    check_recovery(simulation, Duration::from_secs(3));
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
