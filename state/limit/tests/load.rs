//! The load estimate grows with requests, decays, and stays bounded.
use std::time::Duration;

use limit::Load;
use limit::load::Settings;
use proptest::prelude::*;

fn settings() -> Settings {
    Settings {
        smoothing: Duration::from_secs(5),
        full: Duration::from_millis(100),
    }
}

const WEIGHT: u32 = 100;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a load with one request every `every` milliseconds until `end`.
fn steady(every: u64, end: u64) -> Load {
    let mut load = Load::new(settings(), ms(0));
    for time in (0..end).step_by(usize::try_from(every).unwrap()) {
        load.record_request(ms(time));
    }
    load
}

#[test]
fn the_bid_of_a_new_estimate_is_zero() {
    let load = Load::new(settings(), ms(0));
    assert_eq!(load.bid(ms(0), WEIGHT), Duration::ZERO);
}

#[test]
fn flows_that_use_the_full_capacity_bid_the_full_load() {
    let bid = steady(10, 60_000).bid(ms(60_000), WEIGHT);
    assert!((ms(99)..=ms(101)).contains(&bid), "{bid:?}");
}

#[test]
fn the_bid_decays_without_requests() {
    let load = steady(10, 60_000);
    let later = [0, 5_000, 10_000, 60_000].map(|age| load.bid(ms(60_000 + age), WEIGHT));
    assert!(later.is_sorted_by(|a, b| a > b), "{later:?}");
    assert!(later[3] < ms(1), "{later:?}");
}

#[test]
fn the_bid_falls_as_capacity_grows() {
    let load = steady(10, 60_000);
    assert!(load.bid(ms(60_000), 2 * WEIGHT) < load.bid(ms(60_000), WEIGHT));
}

proptest! {
    /// For any request times, the bid is at most that of all requests at the
    /// same time.
    #[test]
    fn a_bid_is_at_most_that_of_all_requests_at_once(
        times in proptest::collection::vec(0_u64..1_000_000, 0..200),
        now in any::<u32>(),
        weight in any::<u32>(),
    ) {
        let mut load = Load::new(settings(), ms(0));
        for &time in &times {
            load.record_request(ms(time));
        }
        let requests = u32::try_from(times.len()).unwrap();
        let most = settings().full * requests / 5;
        prop_assert!(load.bid(ms(u64::from(now)), weight) <= most + ms(1));
    }
}
