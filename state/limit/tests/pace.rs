//! The service time that is compared between servers follows a change of speed, and
//! single long requests do not turn a comparison over.
use std::time::Duration;

use limit::Occupancy;
use limit::Pace;

const SERVICE_TIME: Duration = Duration::from_millis(19);

/// Rate of a server with two slots that are 43% used.
const REQUESTS_PER_SECOND: u32 = 45;

fn pace_at(service_time: Duration) -> Pace {
    let mut pace = Pace::new(Duration::from_millis(20));
    for _ in 0..200 {
        pace.add(service_time);
    }
    pace
}

/// Three requests of a hundred take seven times as long as the others; a mean over 16
/// requests moved by 37% with each of them, and servers differ by less.
#[test]
fn a_long_request_moves_the_service_time_by_less_than_a_tenth() {
    let mut pace = pace_at(SERVICE_TIME);
    pace.add(SERVICE_TIME * 7);
    assert!(pace.mean() < SERVICE_TIME.mul_f64(1.1), "{pace:?}");
}

#[test]
fn an_occupancy_reports_a_service_time_without_the_tail() {
    let mut occupancy = Occupancy::new(2, SERVICE_TIME);
    let mut now = Duration::ZERO;
    for request in 0..200 {
        let start = occupancy.begin(now);
        now += SERVICE_TIME * if request == 199 { 7 } else { 1 };
        occupancy.finish(now, start);
    }
    let measured = occupancy.service_time();
    assert!(measured < SERVICE_TIME.mul_f64(1.1), "{measured:?}");
}

fn check_change_of_speed(factor: f64) {
    let mut pace = pace_at(SERVICE_TIME);
    let changed = SERVICE_TIME.mul_f64(factor);
    for _ in 0..2 * REQUESTS_PER_SECOND {
        pace.add(changed);
    }
    let error = pace.mean().as_secs_f64() / changed.as_secs_f64() - 1.0;
    assert!(error.abs() < 0.15, "{pace:?}");
}

cases::cases! { check_change_of_speed;
    half_speed_shows_within_two_seconds: 2.0,
    double_speed_shows_within_two_seconds: 0.5,
    a_server_that_stalls_shows_within_two_seconds: 8.0,
}
