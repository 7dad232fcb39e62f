//! Results of a load run by interval.
use std::time::Duration;

use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Ending;

/// Length of an interval.
pub const INTERVAL: Duration = Duration::from_millis(500);

const MEDIAN_PERCENT: usize = 50;
const TAIL_PERCENT: usize = 99;
const PERCENT: usize = 100;

/// Results of one interval.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Interval {
    /// Start of the interval, as time since the start of the run.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "start_ms")]
    pub start: Duration,
    /// Operations answered in the interval.
    pub answered: u64,
    /// Operations that ended in the interval without a correct answer.
    pub failed: u64,
    /// Median latency of the answered operations in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the same latencies in microseconds.
    pub p99_us: u64,
    /// Largest of the same latencies in microseconds.
    pub max_us: u64,
}

/// Collects the results of a run by interval.
#[derive(Clone, Debug, Default)]
pub struct Series {
    intervals: Vec<Interval>,
    start: Duration,
    failed: u64,
    latencies_us: Vec<u64>,
}

impl Series {
    /// Adds an operation that ended at `now`, the time since the start of the
    /// run. Calls must come in the order of time.
    pub fn add(&mut self, now: Duration, ending: &Ending) {
        while now >= self.start + INTERVAL {
            self.close_interval();
        }
        match ending {
            Ending::Answered { latency } => {
                let latency = u64::try_from(latency.as_micros());
                self.latencies_us.push(latency.unwrap_or(u64::MAX));
            }
            _ => self.failed += 1,
        }
    }

    /// Closes the current interval and returns all intervals.
    #[must_use]
    pub fn finish(&mut self) -> Vec<Interval> {
        self.close_interval();
        std::mem::take(&mut self.intervals)
    }

    fn close_interval(&mut self) {
        let mut latencies = std::mem::take(&mut self.latencies_us);
        latencies.sort_unstable();
        self.intervals.push(Interval {
            start: self.start,
            answered: latencies.len() as u64,
            failed: std::mem::take(&mut self.failed),
            p50_us: percentile(&latencies, MEDIAN_PERCENT),
            p99_us: percentile(&latencies, TAIL_PERCENT),
            max_us: latencies.last().copied().unwrap_or_default(),
        });
        self.start += INTERVAL;
    }
}

/// Returns the smallest value that at least `percent` of the sorted values do
/// not exceed, or 0 if there are no values.
fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let rank = (sorted.len() * percent).div_ceil(PERCENT);
    let value = rank.checked_sub(1).and_then(|rank| sorted.get(rank));
    value.copied().unwrap_or_default()
}
