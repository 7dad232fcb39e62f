//! Plays overload while the reports of agents to entries are lost, late or wrong, and
//! checks that entries refuse classes only where that is right.
#![expect(
    clippy::unnecessary_wraps,
    reason = "all ways of reporting share a signature"
)]
mod fixtures;

use std::time::Duration;

use fixtures::classes::Simulation;
use fixtures::ms;
use fixtures::scenario::*;
use wire::Transit;
use wire::transit::Busy;
use wire::transit::Held;

type Reports = fn(Duration, Transit) -> Option<(Duration, Transit)>;

fn run(load: f64, reports: Reports) -> Report {
    let scenario = Scenario {
        loads: vec![(ms(0), vec![load; 3]), (ms(12_000), vec![0.6; 3])],
        duration: ms(16_000),
        reports,
        ..overload(load)
    };
    let report = Simulation::new(scenario).run();
    println!("{report:?}");
    report
}

/// Loses the classes that agents refuse, as an agent of an earlier version does.
fn without_classes(transit: Transit) -> Transit {
    match transit {
        Transit::Busy(busy) => Transit::Busy(Busy {
            refused_from: None,
            ..busy
        }),
        transit => transit,
    }
}

fn exact(_: Duration, transit: Transit) -> Option<(Duration, Transit)> {
    Some((Duration::ZERO, transit))
}

fn unknown(_: Duration, transit: Transit) -> Option<(Duration, Transit)> {
    Some((Duration::ZERO, without_classes(transit)))
}

/// Loses half of the reports of load; the report that names a holder arrives without.
fn half_lost(now: Duration, transit: Transit) -> Option<(Duration, Transit)> {
    if now.as_micros().is_multiple_of(2) {
        return exact(now, transit);
    }
    match transit {
        Transit::Busy(_) => None,
        Transit::Held(held) => Some((Duration::ZERO, Transit::Held(Held { load: None, ..held }))),
        transit => exact(now, transit),
    }
}

fn late(_: Duration, transit: Transit) -> Option<(Duration, Transit)> {
    let delay = match transit {
        Transit::Busy(_) => ms(250),
        _ => Duration::ZERO,
    };
    Some((delay, transit))
}

/// Reports a tenth of the load, and no class as refused.
fn optimistic(_: Duration, transit: Transit) -> Option<(Duration, Transit)> {
    let mut transit = without_classes(transit);
    let load = match &mut transit {
        Transit::Busy(busy) => Some(&mut busy.load),
        Transit::Held(held) => held.load.as_mut(),
        _ => None,
    };
    if let Some(load) = load {
        load.running /= 10;
        load.held_us /= 10;
        load.service_us /= 10;
    }
    Some((Duration::ZERO, transit))
}

/// Flows that are refused everywhere visited three agents each.
#[test]
fn entries_refuse_classes_that_are_refused_everywhere() {
    let (with, without) = (run(3.0, exact), run(3.0, unknown));
    assert!(with.refused_by_entries > 1_000, "{with:?}");
    assert!(
        with.opening_frames < without.opening_frames * 9 / 10,
        "{} frames, {} without",
        with.opening_frames,
        without.opening_frames
    );
}

/// Checks that urgent requests are served, and that others are again once the overload
/// has ended.
fn check_reports(reports: Reports) {
    let report = run(2.0, reports);
    assert!(report.outcomes[URGENT].prompt_share() >= 0.95, "{report:?}");
    assert!(report.useful >= 0.8, "{report:?}");
}

cases::cases! {
    check_reports;
    exact_reports: exact,
    half_of_the_reports_are_lost: half_lost,
    reports_are_late: late,
    reports_are_ten_times_too_optimistic: optimistic,
}
