//! The estimated probability that a backend server fails a request.
use std::time::Duration;

use limit::Risk;
use limit::risk::Settings;

const START: Duration = Duration::ZERO;

fn risk(answered: u32, failed: u32) -> Risk {
    let mut risk = Risk::new(Settings::default(), START);
    for _ in 0..answered {
        risk.record_answer(START);
    }
    for _ in 0..failed {
        risk.record_failure(START);
    }
    risk
}

#[test]
fn a_server_that_answers_all_requests_has_no_cost() {
    assert_eq!(risk(50, 0).expected_cost(START), Duration::ZERO);
}

#[test]
fn one_failure_among_many_answers_gives_a_low_share() {
    assert!(risk(50, 1).share(START) < 0.02);
}

#[test]
fn a_single_failure_without_answers_gives_a_low_share() {
    assert!(risk(0, 1).share(START) <= 0.2);
}

#[test]
fn a_server_that_fails_all_requests_has_almost_the_full_cost() {
    let wait = risk(0, 40).expected_cost(START);
    assert!(wait > Settings::default().cost.mul_f64(0.9), "{wait:?}");
}

#[test]
fn twenty_requests_suffice_to_estimate_the_failed_share() {
    let share = risk(13, 7).share(START);
    assert!((0.25..0.35).contains(&share), "{share}");
}

#[test]
fn old_outcomes_decay() {
    let later = START + Settings::default().decay_time * 4;
    assert!(risk(0, 10).share(later) < 0.05);
}
