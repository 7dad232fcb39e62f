//! Plays loads of several priorities that the backend servers cannot serve, and checks
//! what the callers of each class get.
mod fixtures;

use std::time::Duration;

use fixtures::classes::Simulation;
use fixtures::ms;
use fixtures::scenario::Report;
use fixtures::scenario::Scenario;
use fixtures::scenario::Work;

/// Long flows of unimportant requests, urgent single requests and unimportant single
/// ones, in the shares of a deployment whose urgent requests were served worst.
fn works() -> Vec<Work> {
    let long = Work {
        priority: 2,
        share: 0.715,
        service_time: ms(22),
        target: ms(200),
        timeout: ms(1_500),
        is_long: true,
    };
    let urgent = Work {
        priority: 1,
        share: 0.27,
        service_time: ms(29),
        target: ms(250),
        timeout: ms(2_000),
        is_long: false,
    };
    let single = Work {
        priority: 2,
        share: 0.015,
        service_time: ms(5),
        target: ms(800),
        timeout: ms(6_000),
        is_long: false,
    };
    vec![long, urgent, single]
}

/// Index of the urgent requests.
const URGENT: usize = 1;

fn scenario(load: f64) -> Scenario {
    Scenario {
        works: works(),
        servers: 8,
        loads: vec![(ms(0), vec![load; 3])],
        duration: Duration::from_secs(20),
        has_demands: true,
        warm_up: Duration::ZERO,
        cold_rate: 0,
        cold: None,
        reports: |_, transit| Some((Duration::ZERO, transit)),
        first_slowness: 1.0,
        counted_from: Duration::from_secs(8),
    }
}

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
    let report = run(scenario(load));
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

/// Urgent requests, each of which needs a new flow, were served worst.
#[test]
fn urgent_requests_are_not_served_without_demands() {
    let report = run(Scenario {
        has_demands: false,
        ..scenario(1.5)
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
        ..scenario(0.6)
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
