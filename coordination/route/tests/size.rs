//! What the flows of a route carry is learned from the packets of their callers.
use std::time::Duration;

use route::Size;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn long_and_short_flows_are_told_apart() {
    let (mut long, mut short) = (Size::default(), Size::default());
    for at in 0..100 {
        long.record_flow(seconds(at));
        short.record_flow(seconds(at));
        for request in 0..20 {
            long.record_packet(seconds(at), true, 1_000);
            if request == 0 {
                short.record_packet(seconds(at), true, 20_000);
            }
        }
    }
    assert!(long.requests() > 15.0, "{long:?}");
    assert!((900.0..1_100.0).contains(&long.request_bytes()), "{long:?}");
    assert!((1.0..1.1).contains(&short.requests()), "{short:?}");
    assert!(short.request_bytes() > 15_000.0, "{short:?}");
}

#[test]
fn a_change_of_the_workload_shows_within_minutes() {
    let mut size = Size::default();
    for at in 0..600 {
        size.record_flow(seconds(at));
        size.record_packet(seconds(at), true, if at < 300 { 20_000 } else { 1_000 });
    }
    assert!(size.request_bytes() < 1_500.0, "{size:?}");
}

#[test]
fn without_flows_the_means_stay_defined() {
    let mut size = Size::default();
    size.record_packet(seconds(86_400), false, 0);
    assert!(size.requests() >= 1.0 && size.request_bytes().is_finite());
}
