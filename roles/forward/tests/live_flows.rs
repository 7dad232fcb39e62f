//! Tests that a flow is never reset while its server holds it, over random orders of
//! loss and return, cuts of zones, lost and late frames, and agents that are unknown
//! or marked down.
mod fixtures;
mod simulation;

use std::time::Duration;

use fastrand::Rng;
use fixtures::ms;
use simulation::Simulation;

const ENTRIES: usize = 3;
const SERVERS: u64 = 9;
const FLOWS: u16 = 60;

/// Number of orders that are played each time; [`all_orders`] plays more by hand.
const SEEDS: u64 = 25;
const ALL_SEEDS: u64 = 1_000;

/// Faults of one order.
#[derive(Clone, Copy, Debug)]
enum Fault {
    RestartEntry,
    StopEntry,
    StopAgent,
    RestartServer,
    RestartServerThenAgent,
    LoseHost,
    CutZone,
    Disturb,
    LosePower,
    StopAllProcesses,
    StopProcessesOfCutZone,
    AddServer,
}

const FAULTS: [Fault; 12] = [
    Fault::RestartEntry,
    Fault::StopEntry,
    Fault::StopAgent,
    Fault::RestartServer,
    Fault::RestartServerThenAgent,
    Fault::LoseHost,
    Fault::CutZone,
    Fault::Disturb,
    Fault::LosePower,
    Fault::StopAllProcesses,
    Fault::StopProcessesOfCutZone,
    Fault::AddServer,
];

fn inflict(simulation: &mut Simulation, rng: &mut Rng, fault: Fault, added: &mut u64) {
    let entry = rng.usize(0..ENTRIES);
    let id = rng.u64(1..=SERVERS);
    match fault {
        Fault::RestartEntry => simulation.restart_entry(entry),
        Fault::StopEntry => simulation.stop_entry(entry, rng.u64(100..3_000)),
        Fault::StopAgent => simulation.stop_agent(id, rng.u64(50..8_000)),
        Fault::RestartServer => simulation.restart_server(id),
        Fault::RestartServerThenAgent => {
            simulation.restart_server(id);
            simulation.run_until(simulation.now + ms(rng.u64(20..1_500)));
            simulation.stop_agent(id, rng.u64(20..300));
        }
        Fault::LoseHost => simulation.lose_host(id),
        Fault::CutZone => simulation.cut_zone(id, rng.u64(300..9_000)),
        Fault::Disturb => {
            let (loss, jitter) = (rng.f64() * 0.4, rng.u64(0..400));
            simulation.disturb(loss, jitter, rng.u64(500..6_000));
        }
        Fault::LosePower => simulation.lose_power(),
        Fault::StopAllProcesses => {
            for number in 0..ENTRIES {
                simulation.stop_entry(number, rng.u64(50..1_000));
            }
            for id in 1..=SERVERS {
                simulation.stop_agent(id, rng.u64(50..4_000));
            }
        }
        // The processes that start know nothing of those beyond the cut.
        Fault::StopProcessesOfCutZone => {
            simulation.cut_zone(id, rng.u64(300..6_000));
            for number in (0..ENTRIES).filter(|number| *number as u64 % 3 == id % 3) {
                simulation.stop_entry(number, rng.u64(50..500));
            }
            for other in (1..=SERVERS).filter(|other| other % 3 == id % 3) {
                simulation.stop_agent(other, rng.u64(50..500));
            }
        }
        Fault::AddServer => {
            *added += 1;
            simulation.add_server(SERVERS + *added);
        }
    }
}

/// What was seen in one order.
#[derive(Default)]
struct Outcome {
    /// Descriptions of resets of flows that were alive.
    broken: Vec<String>,
    resets: usize,
    /// Flows with packets that reached only servers which do not hold them, as probes do
    /// while the holder is cut off.
    misdelivered: usize,
}

/// Plays one order.
fn play(seed: u64) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let mut simulation = Simulation::new(ENTRIES, SERVERS, seed);
    simulation.delay_membership();
    simulation.open_flows(FLOWS);
    simulation.run_until(Duration::from_secs(rng.u64(3..25)));
    let mut added = 0;
    let mut order = Vec::new();
    for _ in 0..rng.u32(2..6) {
        let fault = FAULTS[rng.usize(0..FAULTS.len())];
        order.push((simulation.now, fault));
        inflict(&mut simulation, &mut rng, fault, &mut added);
        let next = simulation.now + ms(rng.u64(0..4_000));
        simulation.run_until(next);
    }
    let end = simulation.now + Duration::from_secs(12);
    simulation.run_until(end);
    let faults = simulation.faults.into_iter();
    let broken = faults.filter(|fault| fault.contains("was reset"));
    Outcome {
        broken: broken
            .take(3)
            .map(|fault| format!("seed {seed}: {order:?}: {fault}"))
            .collect(),
        resets: simulation.count.resets.len(),
        misdelivered: simulation.misdelivered_flows.len(),
    }
}

fn check(seeds: impl Iterator<Item = u64>) {
    let mut all = Outcome::default();
    for seed in seeds {
        let outcome = play(seed);
        all.broken.extend(outcome.broken);
        all.resets += outcome.resets;
        all.misdelivered += outcome.misdelivered;
    }
    println!("{} resets, {} misdelivered", all.resets, all.misdelivered);
    assert!(all.broken.is_empty(), "{}", all.broken.join("\n"));
    assert!(all.resets > 0, "no flow was reset, so nothing was tested");
}

/// A reset on a flow that is alive breaks it.
#[test]
fn no_live_flow_is_reset() {
    check(0..SEEDS);
}

#[test]
#[ignore = "takes minutes; run by hand"]
fn no_live_flow_is_reset_in_all_orders() {
    check(0..ALL_SEEDS);
}
