//! Counts decisions on new flows by class.
use std::time::Duration;

use forward::agent::Step;

use crate::forwarder::event::priority_name;
use crate::forwarder::link::Link;

/// Counts a decision on a new flow.
pub fn count(link: &Link, priority: u8, step: Step) {
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
        Step::Hopeless => "carried.class.hopeless",
        Step::SoonerElsewhere => "carried.class.elsewhere",
        Step::Expired => "carried.class.expired",
    };
    link.count(metric, reason);
}

/// Returns the text of the time for which a backend server stays cold.
pub fn cold_time(left: Duration) -> String {
    if left >= UNKNOWN {
        return "a time that it has not announced yet".to_owned();
    }
    format!("{} ms", left.as_millis())
}

/// Longer than any server is cold; stands for a time that is not known.
const UNKNOWN: Duration = Duration::from_hours(1);
