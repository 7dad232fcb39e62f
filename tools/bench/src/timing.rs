//! Measures the run time of an operation that takes nanoseconds.
use std::time::Duration;
use std::time::Instant;

/// Number of measurements, of which the median is taken.
const REPEATS: usize = 5;
/// Minimum time of one measurement.
const MIN_REPEAT_TIME: Duration = Duration::from_millis(50);

/// Returns the time of one call in nanoseconds, as the median of [`REPEATS`]
/// measurements. Passes the number of the call within its measurement to
/// `operation`.
pub fn nanos(mut operation: impl FnMut(u64)) -> f64 {
    let mut repeats: Vec<f64> = (0..REPEATS).map(|_| repeat(&mut operation)).collect();
    repeats.sort_by(f64::total_cmp);
    repeats[REPEATS / 2]
}

#[allow(clippy::cast_precision_loss)]
fn repeat(operation: &mut impl FnMut(u64)) -> f64 {
    const BATCH: u64 = 64;
    let start = Instant::now();
    let mut calls = 0;
    while start.elapsed() < MIN_REPEAT_TIME {
        for call in calls..calls + BATCH {
            operation(call);
        }
        calls += BATCH;
    }
    start.elapsed().as_secs_f64() * 1e9 / calls as f64
}
