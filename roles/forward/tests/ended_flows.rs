//! Measures how soon the callers of ended flows get a reset, and what it costs.
mod fixtures;
mod simulation;

use std::time::Duration;

use fixtures::ms;
use simulation::Simulation;

/// What a loss of power or of all processes cost.
#[derive(Debug)]
#[allow(dead_code)]
struct Cost {
    flows: usize,
    /// Resets, and 95% of their times since the state of every server was known.
    resets: usize,
    resets_p95: Duration,
    search_frames: u64,
    probes: u64,
    /// Times of the last search and probe since the failure ended.
    last_search: Duration,
    last_probe: Duration,
    /// 95% of the times of the first answers on each flow since the failure ended.
    answers_p50: Duration,
    answers_p95: Duration,
    /// Flows without an answer.
    unanswered: usize,
}

const ENTRIES: usize = 4;
const SERVERS: u64 = 40;

/// Time for which no process runs.
const DARK: u64 = 1_000;

/// Fails all processes, or all hosts, of a deployment with open flows.
fn measure(flows: u16, seed: u64, fail: impl Fn(&mut Simulation)) -> Cost {
    let mut simulation = Simulation::new(ENTRIES, SERVERS, seed);
    simulation.open_flows(flows);
    simulation.delay_membership();
    simulation.run_until(Duration::from_secs(4));
    let open = simulation.open_count();
    simulation.count = simulation::count::Count::default();
    fail(&mut simulation);
    let back = simulation.now + ms(DARK);
    simulation.run_until(back + Duration::from_secs(8));
    assert_eq!(simulation.faults, Vec::<String>::new());
    let known_at = simulation.last_known_at.min(back + ms(1_500));
    let count = &simulation.count;
    let mut since_known: Vec<Duration> = count
        .resets
        .iter()
        .map(|at| at.saturating_sub(known_at))
        .collect();
    since_known.sort_unstable();
    let answers = count.first_answers.values();
    let mut answers: Vec<Duration> = answers.map(|at| at.saturating_sub(back)).collect();
    answers.sort_unstable();
    let p95 = since_known.get(since_known.len() * 95 / 100);
    Cost {
        flows: open,
        resets: count.resets.len(),
        resets_p95: p95.copied().unwrap_or_default(),
        search_frames: count.search_frames,
        probes: count.probes,
        last_search: count.last_search.saturating_sub(back),
        last_probe: count.last_probe.saturating_sub(back),
        answers_p50: answers[answers.len() / 2],
        answers_p95: answers[answers.len() * 95 / 100],
        unanswered: simulation.unanswered_count(),
    }
}

fn lose_power(simulation: &mut Simulation) {
    simulation.lose_power_for(DARK);
}

fn stop_all_processes(simulation: &mut Simulation) {
    for number in 0..ENTRIES {
        simulation.stop_entry(number, DARK + 20 * u64::try_from(number).unwrap());
    }
    for id in 1..=SERVERS {
        simulation.stop_agent(id, DARK + 30 + 3 * id);
    }
}

#[test]
fn measure_loss_of_power() {
    println!("{:#?}", measure(2_000, 1, lose_power));
}

#[test]
fn measure_loss_of_processes() {
    println!("{:#?}", measure(2_000, 1, stop_all_processes));
}

#[test]
#[ignore = "takes a minute; run by hand"]
fn measure_loss_of_power_with_10_000_flows() {
    println!("{:#?}", measure(10_000, 1, lose_power));
}

#[test]
#[ignore = "takes a minute; run by hand"]
fn measure_loss_of_processes_with_10_000_flows() {
    println!("{:#?}", measure(10_000, 1, stop_all_processes));
}
