//! Ranking of backend servers for new flows that cannot be moved later.
mod fixtures;

use std::time::Duration;

use fixtures::target;
use route::Placement;
use route::placement::Need;
use route::placement::Settings;
use wire::Target;
use wire::TargetId;
use wire::ZoneId;
use wire::transit::Load;

const OWN_ZONE: ZoneId = 1;
const OTHER_ZONE: ZoneId = 2;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn load(running: u16, service_ms: u32) -> Load {
    Load {
        running,
        slots: 2,
        service_us: service_ms * 1_000,
        held_us: 0,
        risk_us: 0,
        used_permille: None,
    }
}

fn place() -> Placement {
    let settings = Settings {
        jitter: Duration::ZERO,
        ..Settings::default()
    };
    Placement::new(settings, OWN_ZONE, 1)
}

fn first(place: &mut Placement, now: Duration, targets: &[Target]) -> TargetId {
    place.rank(now, &Need::default(), targets.iter(), 1)[0].id
}

#[test]
fn the_own_zone_ranks_first() {
    let targets = [target(1, OTHER_ZONE), target(2, OWN_ZONE)];
    assert_eq!(first(&mut place(), ms(0), &targets), 2);
}

/// A cost of crossing below the noise of reported service times sends flows to other
/// zones although the own one answers in time.
#[test]
fn a_wait_within_a_share_of_the_target_latency_stays_in_the_zone() {
    let targets = [target(1, OTHER_ZONE), target(2, OWN_ZONE)];
    let need = Need {
        target_latency: ms(200),
        ..Need::default()
    };
    let mut place = place();
    place.record_load(ms(0), 1, load(0, 20));
    for (running, expected) in [(4, 2), (5, 2), (7, 1)] {
        place.record_load(ms(0), 2, load(running, 20));
        let ranked = place.rank(ms(0), &need, targets.iter(), 1);
        assert_eq!(ranked[0].id, expected, "{running} running");
    }
}

#[test]
fn a_short_target_latency_does_not_make_crossing_cheap() {
    let place = place();
    let cost = |target_latency| {
        place.crossing_cost(
            &Need {
                target_latency,
                ..Need::default()
            },
            None,
        )
    };
    assert_eq!(cost(ms(20)), Settings::default().cross_zone_cost);
    assert_eq!(cost(ms(0)), Settings::default().cross_zone_cost);
    assert_eq!(cost(ms(800)), ms(200));
}

#[test]
fn a_wait_above_the_cross_zone_cost_sends_flows_to_another_zone() {
    let targets = [target(1, OTHER_ZONE), target(2, OWN_ZONE)];
    let mut place = place();
    place.record_load(ms(0), 1, load(0, 20));
    place.record_load(ms(0), 2, load(6, 20));
    assert_eq!(first(&mut place, ms(0), &targets), 1);
}

#[test]
fn a_faster_server_ranks_first() {
    let targets = [target(1, OWN_ZONE), target(2, OWN_ZONE)];
    let mut place = place();
    place.record_load(ms(0), 1, load(0, 30));
    place.record_load(ms(0), 2, load(0, 10));
    assert_eq!(first(&mut place, ms(0), &targets), 2);
}

#[test]
fn flows_sent_since_the_last_reported_load_count() {
    let targets = [target(1, OWN_ZONE), target(2, OWN_ZONE)];
    let mut place = place();
    place.record_load(ms(0), 1, load(0, 20));
    place.record_load(ms(0), 2, load(1, 20));
    for _ in 0..3 {
        place.record_sent(1);
    }
    assert_eq!(first(&mut place, ms(0), &targets), 2);
}

#[test]
fn an_old_reported_queue_counts_as_served() {
    let targets = [target(1, OWN_ZONE), target(2, OWN_ZONE)];
    let mut place = place();
    place.record_load(ms(0), 1, load(8, 10));
    place.record_load(ms(0), 2, load(0, 15));
    assert_eq!(first(&mut place, ms(0), &targets), 2);
    assert_eq!(first(&mut place, ms(200), &targets), 1);
}

#[test]
fn an_unresponsive_server_ranks_last_for_the_configured_time() {
    let targets = [target(1, OWN_ZONE), target(2, OTHER_ZONE)];
    let mut place = place();
    place.mark_unresponsive(ms(0), 1);
    assert_eq!(first(&mut place, ms(1), &targets), 2);
    assert_eq!(
        first(
            &mut place,
            ms(0) + Settings::default().unresponsive_time,
            &targets
        ),
        1
    );
}

/// Each flow to a lost zone would try one of its servers after the other, and its
/// caller gives up after three.
#[test]
fn a_zone_whose_servers_do_not_answer_ranks_last() {
    let mut targets: Vec<Target> = (1..=5).map(|id| target(id, OWN_ZONE)).collect();
    targets.push(target(6, OTHER_ZONE));
    let mut place = place();
    for id in 1..=6 {
        place.record_load(ms(0), id, load(2, 20));
    }
    place.mark_unresponsive(ms(300), 1);
    assert_ne!(first(&mut place, ms(301), &targets), 6);
    place.mark_unresponsive(ms(310), 2);
    assert_eq!(first(&mut place, ms(311), &targets), 6);
    let back = ms(310) + Settings::default().unresponsive_time;
    assert_ne!(first(&mut place, back, &targets), 6);
}

/// Two servers that fail do not empty the zone of the others.
#[test]
fn a_zone_with_servers_that_answer_keeps_its_flows() {
    let mut targets: Vec<Target> = (1..=3).map(|id| target(id, OWN_ZONE)).collect();
    targets.push(target(4, OTHER_ZONE));
    let mut place = place();
    place.mark_unresponsive(ms(300), 1);
    place.mark_unresponsive(ms(310), 2);
    place.record_load(ms(250), 3, load(0, 20));
    assert_eq!(first(&mut place, ms(311), &targets), 3);
}

/// A flow that finds all servers of its path full waits there although another zone
/// has room.
#[test]
fn a_path_within_a_busy_zone_ends_in_another() {
    let mut targets: Vec<Target> = (1..=5).map(|id| target(id, OWN_ZONE)).collect();
    targets.push(target(6, OTHER_ZONE));
    let path = |running, are_bids_priced| {
        let mut place = place();
        for id in 1..=5 {
            place.record_load(ms(0), id, load(running, 20));
        }
        let need = Need {
            target_latency: ms(400),
            are_bids_priced,
            ..Need::default()
        };
        let ranked = place.rank(ms(0), &need, targets.iter(), 3);
        ranked.iter().map(|target| target.zone).collect::<Vec<_>>()
    };
    assert_eq!(path(1, true), [OWN_ZONE; 3], "idle");
    assert_eq!(path(3, true), [OWN_ZONE, OWN_ZONE, OTHER_ZONE], "busy");
    assert_eq!(path(3, false), [OWN_ZONE; 3], "bids without zones");
}

fn used(permille: u16) -> Load {
    Load {
        used_permille: Some(permille),
        ..load(0, 20)
    }
}

const NEED: Need = Need {
    target_latency: Duration::from_millis(200),
    are_bids_priced: true,
    requests: 20.0,
    request_bytes: 1_000.0,
};

/// Returns the cost of leaving the own zone after its use was reported every 100 ms.
fn cost_after(reports: impl Iterator<Item = u16>) -> Duration {
    let targets = [target(1, OWN_ZONE), target(2, OTHER_ZONE)];
    let mut place = place();
    for (time, permille) in (0..).step_by(100).map(ms).zip(reports) {
        place.record_load(time, 1, used(permille));
        place.rank(time, &NEED, targets.iter(), 1);
    }
    place.crossing_cost(&NEED, Some(targets[0].service))
}

#[test]
fn flows_leave_a_zone_before_it_is_full() {
    let costs = [0, 740, 850, 950, 1_000].map(|used| cost_after([used; 50].into_iter()));
    assert_eq!(costs[..2], [ms(50); 2]);
    assert!(costs.is_sorted_by(|one, next| one >= next), "{costs:?}");
    assert!(costs[2] < ms(35), "{costs:?}");
    assert_eq!(costs[4], Settings::default().cross_zone_cost);
}

/// Long flows cannot be moved once the zone has filled up.
#[test]
fn flows_leave_a_zone_sooner_while_its_demand_rises() {
    let steady = cost_after([800; 50].into_iter());
    let rising = cost_after((0..50).map(|step| 550 + 5 * step));
    let falling = cost_after((0..50).map(|step| 1_000 - 4 * step));
    assert!(rising < steady, "{rising:?} {steady:?}");
    assert!(falling >= steady, "{falling:?} {steady:?}");
}

/// Reports that jump, for example because a process was frozen, must not empty a zone
/// that is little used.
#[test]
fn a_wrong_forecast_is_bounded() {
    let jump = cost_after([300; 50].into_iter().chain([500; 2]));
    assert_eq!(jump, ms(50));
}

/// A process of an earlier version does not report the share of used slots.
#[test]
fn a_zone_without_reported_use_keeps_the_full_cost() {
    let targets = [target(1, OWN_ZONE), target(2, OTHER_ZONE)];
    let mut place = place();
    place.record_load(ms(0), 1, load(2, 20));
    place.rank(ms(0), &NEED, targets.iter(), 1);
    let cost = place.crossing_cost(&NEED, Some(targets[0].service));
    assert_eq!(cost, ms(50));
}

/// Entries that all follow the latest reports fill one zone after the other.
#[test]
fn flows_that_leave_a_zone_spread_by_what_others_can_take() {
    let targets = [(1, 2, 200), (2, 3, 600), (3, 4, 900)];
    let known = targets.map(|(id, zone, _)| target(id, zone));
    let mut place = place();
    for (id, _, permille) in targets {
        place.record_load(ms(0), id, used(permille));
    }
    let mut counts = [0; 3];
    for _ in 0..2_600 {
        let ranked = place.rank(ms(0), &NEED, known.iter(), 1);
        counts[usize::try_from(ranked[0].id - 1).unwrap()] += 1;
    }
    // 0.8, 0.4 and 0.1 of the slots are free.
    for (count, expected) in counts.into_iter().zip([1_600, 800, 200]) {
        assert!(
            (expected - 130..expected + 130).contains(&count),
            "{counts:?}"
        );
    }
}

/// Requests that carry much cost more to send to another zone, up to half of the
/// target latency.
#[test]
fn large_requests_cross_at_a_higher_cost() {
    let place = place();
    let cost = |request_bytes| {
        let need = Need {
            request_bytes,
            ..NEED
        };
        place.crossing_cost(&need, None)
    };
    assert_eq!(cost(1_000.0), ms(50));
    assert_eq!(cost(9_000.0), ms(75));
    assert_eq!(cost(40_000.0), ms(100));
}

#[test]
fn a_fixed_cost_of_crossing_replaces_the_derived_one() {
    let settings = Settings {
        fixed_crossing_cost: Some(ms(5)),
        ..Settings::default()
    };
    let place = Placement::new(settings, OWN_ZONE, 1);
    assert_eq!(place.crossing_cost(&NEED, None), ms(5));
}

/// Entries with the same information must not all choose the same server.
#[test]
fn entries_with_equal_information_spread_their_flows() {
    let targets: Vec<Target> = (1..=4).map(|id| target(id, OWN_ZONE)).collect();
    let mut counts = [0; 4];
    for seed in 0..400 {
        let mut place = Placement::new(Settings::default(), OWN_ZONE, seed);
        let index = usize::try_from(first(&mut place, ms(0), &targets) - 1).unwrap();
        counts[index] += 1;
    }
    assert!(
        counts.iter().all(|count| (60..140).contains(count)),
        "{counts:?}"
    );
}
