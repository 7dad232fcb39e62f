//! Measurements of a run.
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::trial::RUN_END;
use super::trial::WARM_UP_END;

/// Upper limit of the latency histogram, in microseconds; larger latencies
/// count as this one.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Latencies and counts of one run. The counts start after the warm-up, except
/// that refused opens are always counted.
#[derive(Debug)]
pub struct Recorder {
    /// Latencies after the warm-up, in microseconds.
    latency: Histogram<u64>,
    /// Latencies by second of the whole run, in microseconds.
    seconds: Vec<Vec<u64>>,
    /// Number of requests issued.
    pub issued: u64,
    /// Number of requests refused or expired, and of refused opens.
    pub refused: u64,
    /// Number of requests that another agent than the holder ran.
    pub forwarded: u64,
    /// Number of messages between agents.
    pub messages: u64,
}

/// Figures of a run, or the medians of several runs.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// Requests refused or expired, and refused opens, as a share of the
    /// requests issued.
    pub refused: f64,
    /// Largest utilisation of a target divided by the mean utilisation.
    pub imbalance: f64,
    /// Share of requests that another agent than the holder ran.
    pub travelled: f64,
    /// Messages between agents per request.
    pub messages: f64,
    /// Changes of its weight that a target announced per minute, on average.
    pub weight_changes: f64,
    /// 99th percentile of the latency by second of the run, in milliseconds.
    pub p99_by_second_ms: Vec<f64>,
}

impl Recorder {
    /// Creates a recorder without measurements.
    pub fn new() -> Self {
        Self {
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
                .expect("the bounds are in range"),
            seconds: vec![Vec::new(); usize::try_from(RUN_END.as_secs()).unwrap_or(0) + 1],
            issued: 0,
            refused: 0,
            forwarded: 0,
            messages: 0,
        }
    }

    /// Records the latency of an answer.
    pub fn record_answer(&mut self, now: Duration, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let second = usize::try_from(now.as_secs()).unwrap_or(usize::MAX);
        if let Some(second) = self.seconds.get_mut(second) {
            second.push(micros);
        }
        if now >= WARM_UP_END {
            self.latency.saturating_record(micros);
        }
    }

    /// Computes the figures from the records, the utilisation of each target
    /// and the number of weight changes.
    #[allow(clippy::cast_precision_loss)]
    pub fn finish(mut self, utilisation: &[f64], changes: u64) -> Outcome {
        let issued = self.issued.max(1) as f64;
        let quantile = |q| self.latency.value_at_quantile(q) as f64 / 1e3;
        let mean = utilisation.iter().sum::<f64>() / utilisation.len() as f64;
        let most = utilisation.iter().copied().fold(0.0, f64::max);
        let minutes = RUN_END.saturating_sub(WARM_UP_END).as_secs_f64() / 60.0;
        Outcome {
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            refused: self.refused as f64 / issued,
            imbalance: most / mean,
            travelled: self.forwarded as f64 / issued,
            messages: self.messages as f64 / issued,
            weight_changes: changes as f64 / utilisation.len() as f64 / minutes,
            p99_by_second_ms: self.seconds.iter_mut().map(|second| p99(second)).collect(),
        }
    }
}

/// Returns the 99th percentile of latencies in microseconds, in milliseconds;
/// 0 if there are none.
#[allow(clippy::cast_precision_loss)]
fn p99(latencies: &mut [u64]) -> f64 {
    latencies.sort_unstable();
    let index = latencies.len() * 99 / 100;
    latencies
        .get(index)
        .map_or(0.0, |&micros| micros as f64 / 1e3)
}

impl Outcome {
    /// Returns the median of each figure.
    pub fn median(outcomes: &[Self]) -> Self {
        let median_of = |figure: &dyn Fn(&Self) -> f64| {
            let mut values: Vec<f64> = outcomes.iter().map(figure).collect();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        let seconds = outcomes[0].p99_by_second_ms.len();
        Self {
            p50_ms: median_of(&|outcome| outcome.p50_ms),
            p99_ms: median_of(&|outcome| outcome.p99_ms),
            refused: median_of(&|outcome| outcome.refused),
            imbalance: median_of(&|outcome| outcome.imbalance),
            travelled: median_of(&|outcome| outcome.travelled),
            messages: median_of(&|outcome| outcome.messages),
            weight_changes: median_of(&|outcome| outcome.weight_changes),
            p99_by_second_ms: (0..seconds)
                .map(|second| median_of(&|outcome| outcome.p99_by_second_ms[second]))
                .collect(),
        }
    }
}
