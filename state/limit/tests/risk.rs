//! The likelihood that a backend server fails a request.
use std::time::Duration;

use limit::Risk;
use limit::risk::Settings;

const START: Duration = Duration::ZERO;

fn risk(answered: u32, failed: u32) -> Risk {
    let mut risk = Risk::new(Settings::default(), START);
    for _ in 0..answered {
        risk.answered(START);
    }
    for _ in 0..failed {
        risk.failed(START);
    }
    risk
}

#[test]
fn a_server_that_answers_is_no_risk() {
    assert_eq!(risk(50, 0).wait(START), Duration::ZERO);
}

#[test]
fn one_failure_among_many_answers_says_little() {
    assert!(risk(50, 1).share(START) < 0.02);
}

#[test]
fn one_failure_without_answers_does_not_condemn() {
    assert!(risk(0, 1).share(START) <= 0.2);
}

#[test]
fn a_server_that_fails_everything_costs_almost_a_whole_request() {
    let wait = risk(0, 40).wait(START);
    assert!(wait > Settings::default().cost.mul_f64(0.9), "{wait:?}");
}

#[test]
fn a_third_of_failures_is_seen_among_twenty_requests() {
    let share = risk(13, 7).share(START);
    assert!((0.25..0.35).contains(&share), "{share}");
}

#[test]
fn evidence_fades() {
    let later = START + Settings::default().memory * 4;
    assert!(risk(0, 10).share(later) < 0.05);
}
