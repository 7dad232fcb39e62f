//! Tests the division of a backend server among classes of work.
use std::time::Duration;

use limit::Overload;
use limit::overload::Change;
use limit::overload::Settings;

const NOW: Duration = Duration::ZERO;

fn overload() -> Overload {
    let mut overload = Overload::new(Settings::default());
    overload.record_arrival(NOW, 1, true);
    overload.record_arrival(NOW, 2, true);
    overload
}

/// Returns how many of 800 slots the less urgent class gets while both classes wait, if
/// `requests` more come on its open flows after each.
fn slots_of_the_other(requests: u32) -> u32 {
    let mut overload = overload();
    let mut slots = 0;
    for _ in 0..800 {
        let due = overload.due();
        slots += u32::from(due.is_some());
        overload.record_admission(NOW, due.unwrap_or(1), [2].into_iter());
        if due.is_some() {
            (0..requests).for_each(|_| overload.record_held_request(Some(2)));
        }
    }
    slots
}

#[test]
fn class_that_is_passed_over_gets_one_slot_in_eight() {
    assert_eq!(slots_of_the_other(0), 100);
}

/// Long flows get their share by the requests on them: a turn for each new flow would
/// give them many times that share.
#[test]
fn requests_on_open_flows_count_as_slots_of_their_class() {
    assert!(slots_of_the_other(3) <= 29);
}

/// The least urgent class has none that could make room for it.
#[test]
fn wait_of_the_least_urgent_class_is_no_sign_of_overload() {
    let mut overload = overload();
    overload.record_sign(NOW, 2);
    assert_eq!(overload.take_change(NOW), None);
}

#[test]
fn overload_ends_a_second_after_its_last_sign() {
    let mut overload = overload();
    overload.record_sign(NOW, 1);
    let began = Change::Began { priority: 1 };
    assert_eq!(overload.take_change(NOW), Some(began));
    let later = Duration::from_millis(700);
    overload.record_sign(later, 1);
    assert_eq!(overload.take_change(Duration::from_millis(1_600)), None);
    let lasted = Duration::from_millis(1_700);
    assert_eq!(overload.take_change(lasted), Some(Change::Ended { lasted }));
}
