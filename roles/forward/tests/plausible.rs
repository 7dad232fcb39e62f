//! Guards against announcements of another writer after which all that the backend server
//! announces itself counts as older.
mod fixtures;

use std::time::Duration;

use fixtures::announcement;
use fixtures::ms;
use forward::agent::State;

/// Time since the Unix epoch.
const NOW: Duration = Duration::from_secs(1_796_000_000);

const NOW_MS: u64 = 1_796_000_000_000;

fn is_plausible((start, sequence): (u64, u64)) -> bool {
    announcement(1, start, sequence, State::Ready).is_plausible(NOW)
}

fn is_taken(stated: (u64, u64)) {
    assert!(is_plausible(stated), "{stated:?}");
}

fn is_refused(stated: (u64, u64)) {
    assert!(!is_plausible(stated), "{stated:?}");
}

cases::cases! { is_taken;
    first_announcement: (NOW_MS, 1),
    server_whose_clock_is_seconds_ahead: (NOW_MS + 5_000, 9),
    server_that_runs_for_days: (NOW_MS - 864_000_000, 1_200_000),
    many_announcements_after_the_clock_went_back: (NOW_MS, 5_000),
    server_that_states_no_start: (0, 7_000_000),
}

cases::cases! { is_refused;
    start_in_a_year: (NOW_MS + 31_536_000_000, 1),
    largest_start: (u64::MAX, 1),
    largest_sequence_number: (NOW_MS - 60_000, u64::MAX),
    sequence_number_of_a_faster_server: (NOW_MS - 60_000, 1 << 32),
}

/// Guards against the end of a server by the deregistration of an earlier one.
#[test]
fn deregistration_of_an_earlier_server_is_not_about_the_present_one() {
    let present = announcement(1, NOW_MS, 3, State::Ready);
    let name = present.name.as_str();
    assert!(!present.is_ended_by(name, Some(NOW_MS - 9_000)));
    assert!(!present.is_ended_by("another", Some(NOW_MS)));
    assert!(present.is_ended_by(name, Some(NOW_MS)));
    assert!(present.is_ended_by(name, None));
}

/// The host's clock may be at its beginning.
#[test]
fn no_clock_makes_the_check_overflow() {
    for now in [ms(0), Duration::MAX] {
        for start in [0, u64::MAX] {
            for sequence in [0, u64::MAX] {
                let _ = announcement(1, start, sequence, State::Ready).is_plausible(now);
            }
        }
    }
}
