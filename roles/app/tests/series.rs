//! Grouping of a load run's results into intervals.
use std::time::Duration;

use app::call::Ending;
use app::call::series::INTERVAL;
use app::call::series::Series;
use wire::caller::Reason;

fn answered(latency_ms: u64) -> Ending {
    let latency = Duration::from_millis(latency_ms);
    Ending::Answered { latency }
}

#[test]
fn percentiles_cover_one_interval_only() {
    let mut series = Series::default();
    for latency in (1..=100).rev() {
        series.add(Duration::ZERO, &answered(latency));
    }
    series.add(INTERVAL, &answered(7));
    let intervals = series.finish();
    assert_eq!(intervals.len(), 2);
    assert_eq!(intervals[0].answered, 100);
    assert_eq!(intervals[0].p50_us, 50_000);
    assert_eq!(intervals[0].p99_us, 99_000);
    assert_eq!(intervals[0].max_us, 100_000);
    assert_eq!(intervals[1].start, INTERVAL);
    assert_eq!(intervals[1].p50_us, 7_000);
    assert_eq!(intervals[1].p99_us, 7_000);
}

#[test]
fn time_without_results_gives_empty_intervals() {
    let mut series = Series::default();
    series.add(INTERVAL * 3, &Ending::Refused(Reason::Overloaded));
    let intervals = series.finish();
    assert_eq!(intervals.len(), 4);
    assert!(intervals[..3].iter().all(|interval| interval.failed == 0));
    assert_eq!(intervals[3].failed, 1);
    assert_eq!(intervals[3].p99_us, 0);
}
