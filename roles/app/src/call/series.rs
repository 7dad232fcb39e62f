//! What a caller saw in each interval of a run.
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

/// What a caller saw in one interval.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Interval {
    /// When it began, since the start of the run.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "start_ms")]
    pub start: Duration,
    /// Operations that were answered in it.
    pub answered: u64,
    /// Operations that ended in it in another way.
    pub failed: u64,
    /// Median latency of those answered, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the same.
    pub p99_us: u64,
    /// Largest of the same.
    pub max_us: u64,
}

/// The intervals of a run.
#[derive(Clone, Debug, Default)]
pub struct Series {
    intervals: Vec<Interval>,
    start: Duration,
    failed: u64,
    latencies_us: Vec<u64>,
}

impl Series {
    /// Adds the ending of an operation.
    pub fn add(&mut self, now: Duration, ending: &Ending) {
        while now >= self.start + INTERVAL {
            self.cut();
        }
        match ending {
            Ending::Answered { latency } => {
                let latency = u64::try_from(latency.as_micros());
                self.latencies_us.push(latency.unwrap_or(u64::MAX));
            }
            _ => self.failed += 1,
        }
    }

    /// Ends the series and returns its intervals.
    #[must_use]
    pub fn finish(&mut self) -> Vec<Interval> {
        self.cut();
        std::mem::take(&mut self.intervals)
    }

    fn cut(&mut self) {
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

/// The smallest value that `percent` of the sorted values do not exceed, or 0
/// where there is none.
fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let rank = (sorted.len() * percent).div_ceil(PERCENT);
    let value = rank.checked_sub(1).and_then(|rank| sorted.get(rank));
    value.copied().unwrap_or_default()
}
