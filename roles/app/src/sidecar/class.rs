//! Counts decisions on new flows by class.
use std::time::Duration;

use forward::agent::Step;
use wire::Priority;

use crate::forwarder::event::priority_name;
use crate::forwarder::link::Link;

/// Counts a decision on a new flow.
pub fn count(link: &Link, priority: Priority, step: Step) {
    let reason = priority_name(priority);
    let metric = match step {
        Step::Arrived => "carried.class.arrived",
        Step::Admitted(waited) => {
            let waited = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
            let counts = &link.telemetry.counts;
            counts.add_many("carried.class.wait", reason, waited);
            "carried.class.admitted"
        }
        Step::Waits => "carried.class.waited",
        Step::TooLate => "carried.class.too_late",
        Step::SoonerElsewhere => "carried.class.elsewhere",
        Step::Expired => "carried.class.expired",
    };
    link.count(metric, reason);
}

/// Returns the text of the time for which a backend server stays cold.
pub fn cold_time(left: Option<Duration>) -> String {
    match left {
        Some(left) => format!("{} ms", left.as_millis()),
        None => "a time that it has not announced yet".to_owned(),
    }
}
