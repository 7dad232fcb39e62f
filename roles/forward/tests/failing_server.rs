//! Simulates short flows to several backend servers, one of which fails its
//! requests while it announces that it is ready, and checks the share of
//! answered requests.
mod fixtures;

use std::time::Duration;

use fixtures::load::Failure;
use fixtures::load::Scenario;
use fixtures::load::Simulation;
use forward::agent;

/// Returns settings under which failures have no influence on bids.
fn without_risk_estimate() -> agent::Settings {
    let mut settings = agent::Settings::default();
    settings.risk.cost = Duration::ZERO;
    settings
}

/// Returns the time from which the server fails. Errors are told from the answers
/// that it gave before.
const fn failing_from(failure: Failure) -> Duration {
    match failure {
        Failure::Error => Duration::from_secs(2),
        Failure::Reset | Failure::Hang | Failure::Intermittent => Duration::ZERO,
    }
}

/// Checks that the failure estimate increases the share of answered requests,
/// and that the share reaches `min_share`.
fn check_answered_share(failure: Failure, min_share: f64) {
    let scenario = Scenario {
        failure: Some(failure),
        failing_from: failing_from(failure),
        burst: 0,
        attempts: 1,
        caller_timeout: Duration::from_secs(1),
    };
    let without_estimate = Simulation::new(scenario, &without_risk_estimate())
        .run()
        .answered;
    let with_estimate = Simulation::new(scenario, &agent::Settings::default())
        .run()
        .answered;
    println!(
        "{failure:?}: {without_estimate:.3} answered without the failure estimate, {with_estimate:.3} with it"
    );
    assert!(
        with_estimate > without_estimate,
        "share of answered requests: {with_estimate} with the failure estimate, {without_estimate} without it"
    );
    assert!(
        with_estimate >= min_share,
        "share of answered requests: {with_estimate}, expected at least {min_share}"
    );
}

#[test]
fn few_requests_fail_at_a_server_that_resets_them() {
    check_answered_share(Failure::Reset, 0.97);
}

#[test]
fn few_requests_fail_at_a_server_that_never_answers() {
    check_answered_share(Failure::Hang, 0.97);
}

#[test]
fn few_requests_fail_at_a_server_that_answers_two_of_three() {
    check_answered_share(Failure::Intermittent, 0.97);
}

/// The slots of such a server are always free, so that it attracted most requests.
#[test]
fn few_requests_fail_at_a_server_that_answers_with_errors() {
    check_answered_share(Failure::Error, 0.97);
}
