//! Plays loads of several priorities that the backend servers cannot serve, and checks
//! what the callers of each class get.
mod fixtures;

use std::time::Duration;

use fixtures::classes::Simulation;
use fixtures::ms;
use fixtures::scenario::*;

fn run(scenario: Scenario) -> Report {
    let report = Simulation::new(scenario).run();
    for outcome in &report.outcomes {
        println!(
            "prompt {:.3} answered {:.3} {outcome:?}",
            outcome.prompt_share(),
            outcome.answered_share()
        );
    }
    println!(
        "useful {:.3}, most opened {}, waited {}, frames {}, refused by entries {}",
        report.useful,
        report.most_opened,
        report.waited,
        report.opening_frames,
        report.refused_by_entries
    );
    report
}

/// Checks that urgent requests are answered within their target latency while the
/// servers cannot serve all, and that these are still used.
fn check_urgent_requests_are_served(load: f64) {
    check_overload(overload(load));
}

fn check_overload(scenario: Scenario) {
    let report = run(scenario);
    assert!(report.outcomes[URGENT].prompt_share() >= 0.97, "{report:?}");
    assert!(report.useful >= 0.95, "{report:?}");
}

cases::cases! {
    check_urgent_requests_are_served;
    urgent_requests_are_served_at_a_load_of_1_2: 1.2,
    urgent_requests_are_served_at_a_load_of_1_5: 1.5,
    urgent_requests_are_served_at_a_load_of_2: 2.0,
    urgent_requests_are_served_at_a_load_of_3: 3.0,
}

/// Checks twice the load with other arrivals. With these seeds, long flows that were
/// accepted before the rate of urgent ones was known kept the servers full for ten seconds.
fn check_other_arrivals(seed: u64) {
    check_overload(Scenario {
        seed,
        ..overload(2.0)
    });
}

cases::cases! {
    check_other_arrivals;
    urgent_requests_are_served_with_arrivals_of_seed_15: 15,
    urgent_requests_are_served_with_arrivals_of_seed_17: 17,
}

/// Urgent requests, each of which needs a new flow, were served worst.
#[test]
fn urgent_requests_are_not_served_without_demands() {
    let report = run(Scenario {
        has_demands: false,
        ..overload(1.5)
    });
    assert!(report.outcomes[URGENT].prompt_share() < 0.5, "{report:?}");
}

/// Returns a steady load of 0.6 with a higher one of some routes for two seconds.
fn burst(loads: [f64; 3]) -> Scenario {
    let steady = vec![0.6; 3];
    let second = Duration::from_secs;
    Scenario {
        loads: vec![
            (second(0), steady.clone()),
            (second(6), loads.to_vec()),
            (second(8), steady),
        ],
        duration: second(12),
        counted_from: second(5),
        ..overload(0.6)
    }
}

/// Checks that a burst harms neither urgent requests nor more than itself.
fn check_burst(loads: [f64; 3]) {
    let report = run(burst(loads));
    assert!(report.outcomes[URGENT].prompt_share() >= 0.97, "{report:?}");
}

cases::cases! {
    check_burst;
    burst_of_the_least_urgent_single_requests: [0.6, 0.6, 60.0],
    burst_of_long_flows: [2.5, 0.6, 0.6],
    burst_of_the_most_urgent_requests: [0.6, 2.0, 0.6],
}

/// All servers are full for a moment, as after a restart of everything. Callers that
/// were refused lost all their attempts within milliseconds.
#[test]
fn callers_that_return_together_wait_for_a_slot() {
    let steady = vec![0.3; 3];
    let report = run(Scenario {
        loads: vec![
            (ms(0), steady.clone()),
            (ms(2_000), vec![0.3, 6.0, 30.0]),
            (ms(2_300), steady),
        ],
        duration: ms(5_000),
        counted_from: ms(1_500),
        ..overload(0.3)
    });
    let answered = |work: usize| report.outcomes[work].answered_share();
    assert!((0..3).all(|work| answered(work) >= 0.97), "{report:?}");
}

/// One server is slow while the others have room: a caller that is refused there is
/// answered sooner elsewhere than one that waits.
#[test]
fn callers_do_not_wait_for_a_slow_server() {
    let slow = |has_demands| {
        run(Scenario {
            first_slowness: 8.0,
            has_demands,
            duration: ms(10_000),
            counted_from: ms(3_000),
            ..overload(0.8)
        })
    };
    let (with, without) = (slow(true), slow(false));
    let prompt = |report: &Report| report.outcomes[URGENT].prompt_share();
    assert!(prompt(&with) >= 0.97, "{with:?}");
    assert!(prompt(&with) >= prompt(&without), "{with:?} {without:?}");
}

/// Requests that each open a flow, in the shares of a deployment whose work has shifted to
/// longer requests.
fn single_requests(load: f64) -> Scenario {
    let requests = |priority, share, service_time, target, timeout| Work {
        priority,
        share,
        service_time: ms(service_time),
        target: ms(target),
        timeout: ms(timeout),
        is_long: false,
    };
    Scenario {
        works: vec![
            requests(2, 0.605, 40, 300, 1_500),
            requests(1, 0.389, 52, 400, 2_000),
            requests(2, 0.006, 5, 800, 4_000),
        ],
        ..overload(load)
    }
}

fn check_single_requests(load: f64) {
    let report = run(single_requests(load));
    assert!(report.outcomes[URGENT].prompt_share() >= 0.97, "{report:?}");
    assert!(report.useful >= 0.95, "{report:?}");
}

cases::cases! {
    check_single_requests;
    single_requests_at_a_load_of_1_2: 1.2,
    single_requests_at_a_load_of_1_5: 1.5,
    single_requests_at_a_load_of_2: 2.0,
}
