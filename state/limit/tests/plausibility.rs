//! Tests which answers count as implausible.
use std::time::Duration;

use limit::Plausibility;

/// Returns the record of a server that has answered in 20 ms with 900 bytes.
fn usual() -> Plausibility {
    let mut plausibility = Plausibility::default();
    for _ in 0..100 {
        plausibility.record_answer(Duration::from_millis(20), 900);
    }
    plausibility
}

fn is_plausible((micros, length, expected): (u64, u16, bool)) {
    let took = Duration::from_micros(micros);
    assert_eq!(usual().record_answer(took, length), expected);
}

cases::cases! { is_plausible;
    error_at_once: (500, 150, false),
    usual_answer: (20_000, 900, true),
    short_answer_after_the_usual_time: (15_000, 150, true),
    long_answer_at_once: (500, 900, true),
    slow_and_short: (200_000, 100, true),
}

/// A server that answers faster and shorter for good, as from a cache.
#[test]
fn lasting_change_becomes_usual() {
    let mut plausibility = usual();
    let suspected = (0..5_000)
        .take_while(|_| !plausibility.record_answer(Duration::from_micros(500), 150))
        .count();
    assert!((100..4_000).contains(&suspected), "{suspected}");
}

#[test]
fn first_answers_are_plausible() {
    let mut plausibility = Plausibility::default();
    assert!(plausibility.record_answer(Duration::from_millis(20), 900));
    assert!(plausibility.record_answer(Duration::from_micros(500), 100));
}
