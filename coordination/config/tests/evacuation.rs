//! Tests of which evacuated zones are in force.
use std::time::Duration;

use wire::Revision;

use config::Evacuations;
use config::era;
use config::evacuation::RESTORE_DELAY;
use config::evacuation::Tracker;

fn list(zones: &[(u16, Revision)]) -> Evacuations {
    Evacuations {
        zones: zones.iter().copied().collect(),
    }
}

fn tracker(revision: Revision, zones: &[(u16, Revision)]) -> Tracker {
    let mut tracker = Tracker::default();
    tracker.observe(Duration::ZERO, revision, list(zones));
    tracker
}

fn in_force(tracker: &mut Tracker, now: Duration) -> Evacuations {
    tracker.advance(now);
    tracker.current().clone()
}

/// A late or repeated message must not restore a zone, nor evacuate it again.
#[test]
fn an_older_list_changes_nothing() {
    for (revision, zones) in [(9, vec![]), (10, vec![(2, 4)])] {
        let mut tracker = tracker(10, &[(1, 8)]);
        tracker.observe(Duration::ZERO, revision, list(&zones));
        assert_eq!(in_force(&mut tracker, Duration::ZERO), list(&[(1, 8)]));
    }
}

#[test]
fn a_zone_is_restored_at_once_by_its_operator() {
    let mut tracker = tracker(10, &[(1, 8), (2, 9)]);
    tracker.observe(Duration::ZERO, 11, list(&[(2, 9)]));
    assert_eq!(in_force(&mut tracker, Duration::ZERO), list(&[(2, 9)]));
}

/// The store was restored from a copy that is older than the evacuation.
#[test]
fn a_zone_that_a_restored_store_lacks_stays_evacuated_until_the_delay_is_over() {
    let mut tracker = tracker(era::revision(1, 10), &[(1, 8)]);
    let now = Duration::from_secs(20);
    tracker.observe(now, era::revision(2, 3), list(&[]));
    tracker.observe(
        now + RESTORE_DELAY / 2,
        era::revision(2, 4),
        list(&[(5, 4)]),
    );
    let soon = now + RESTORE_DELAY.mul_f64(0.99);
    assert_eq!(in_force(&mut tracker, soon), list(&[(1, 8), (5, 4)]));
    assert_eq!(in_force(&mut tracker, now + RESTORE_DELAY), list(&[(5, 4)]));
}

#[test]
fn a_zone_that_is_written_again_after_a_restore_stays_evacuated() {
    let mut tracker = tracker(era::revision(1, 10), &[(1, 8)]);
    tracker.observe(Duration::ZERO, era::revision(2, 3), list(&[]));
    let again = list(&[(1, era::revision(2, 5))]);
    tracker.observe(Duration::from_secs(1), era::revision(2, 5), again.clone());
    assert_eq!(in_force(&mut tracker, RESTORE_DELAY), again);
    tracker.observe(RESTORE_DELAY, era::revision(2, 6), list(&[]));
    assert_eq!(in_force(&mut tracker, RESTORE_DELAY), list(&[]));
}

/// The index rises with each write of any key; a record for each would be gossiped
/// all the time.
#[test]
fn only_a_newer_list_with_another_content_is_gossiped() {
    let (known, changed) = (list(&[(1, 8)]), list(&[]));
    assert!(known.supersedes(3, None));
    assert!(!known.supersedes(11, Some((10, &known))));
    assert!(changed.supersedes(11, Some((10, &known))));
    assert!(!changed.supersedes(10, Some((10, &known))));
}
