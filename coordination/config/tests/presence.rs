//! Staying listed in the store, through its faults.
use std::time::Duration;

use config::Fault;
use config::Item;
use config::Listing;
use config::Presence;
use config::presence::Action;
use config::presence::Event;
use config::presence::Settings;

const OWN: &str = "entries/own";

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn listing(keys: &[&str]) -> Listing {
    let item = |key: &&str| Item {
        key: (*key).to_owned(),
        value: Vec::new(),
        revision: 1,
    };
    Listing {
        items: keys.iter().map(item).collect(),
        index: 1,
    }
}

fn listed(keys: &[&str]) -> Event {
    Event::Listed(Ok(listing(keys)))
}

/// A process that is listed since the start.
fn listed_presence() -> Presence {
    let mut presence = Presence::new(Settings::default(), OWN, 1, ms(0));
    assert_eq!(presence.next(ms(0)), Action::List);
    presence.handle(ms(0), listed(&["entries/other"]));
    assert_eq!(presence.next(ms(0)), Action::Grant(Settings::default().ttl));
    presence.handle(ms(1), Event::Granted(Ok("lease".to_owned())));
    assert_eq!(presence.next(ms(1)), Action::Acquire("lease".to_owned()));
    presence.handle(ms(2), Event::Acquired(Ok(true)));
    assert!(matches!(presence.next(ms(2)), Action::Sleep(_)));
    presence
}

#[test]
fn the_list_tells_of_the_others() {
    let mut presence = Presence::new(Settings::default(), OWN, 1, ms(0));
    let keys = presence.handle(ms(0), listed(&["entries/a", "entries/b"]));
    assert_eq!(keys, ["entries/a", "entries/b"]);
}

#[test]
fn a_lease_is_renewed_in_time() {
    let mut presence = listed_presence();
    let due = Settings::default().ttl / 2;
    presence.handle(due, listed(&[OWN]));
    assert_eq!(presence.next(due), Action::Renew("lease".to_owned()));
    presence.handle(due, Event::Renewed(Ok(())));
    assert!(matches!(presence.next(due), Action::Sleep(_)));
}

/// The key may vanish while its lease looks intact.
#[test]
fn a_key_that_vanished_is_written_again() {
    let mut presence = listed_presence();
    let check = Settings::default().list_interval + ms(10);
    assert_eq!(presence.next(check), Action::List);
    presence.handle(check, listed(&["entries/other"]));
    assert_eq!(presence.next(check), Action::Acquire("lease".to_owned()));
}

#[test]
fn a_lease_that_lapsed_is_replaced() {
    let mut presence = listed_presence();
    presence.handle(ms(5), Event::Renewed(Err(Fault::Lapsed)));
    assert_eq!(presence.next(ms(5)), Action::Grant(Settings::default().ttl));
}

/// Entries that lapsed during an outage are back soon after it.
#[test]
fn an_outage_is_over_within_two_seconds_of_its_end() {
    let mut presence = listed_presence();
    let mut now = ms(0);
    let end = ms(60_000);
    while now < end {
        now += if let Action::Sleep(pause) = presence.next(now) {
            pause
        } else {
            presence.handle(now, Event::Listed(Err(Fault::Unreachable)));
            ms(1)
        };
    }
    let mut is_acquired = false;
    while !is_acquired {
        now += match presence.next(now) {
            Action::Sleep(pause) => pause,
            Action::List => {
                presence.handle(now, listed(&[]));
                ms(4)
            }
            Action::Renew(_) => {
                presence.handle(now, Event::Renewed(Err(Fault::Lapsed)));
                ms(4)
            }
            Action::Grant(_) => {
                presence.handle(now, Event::Granted(Ok("new".to_owned())));
                ms(4)
            }
            Action::Acquire(lease) if lease == "lease" => {
                presence.handle(now, Event::Acquired(Err(Fault::Lapsed)));
                ms(4)
            }
            Action::Acquire(_) => {
                is_acquired = true;
                ms(4)
            }
        };
        assert!(now < end + ms(2_000), "still not listed");
    }
}

/// A lost answer of a write is no reason to give the lease up.
#[test]
fn a_lost_answer_is_tried_again_after_a_pause() {
    let mut presence = Presence::new(Settings::default(), OWN, 1, ms(0));
    presence.handle(ms(0), listed(&[]));
    presence.handle(ms(1), Event::Granted(Ok("lease".to_owned())));
    let lost = Fault::Lost {
        maybe_applied: true,
    };
    presence.handle(ms(2), Event::Acquired(Err(lost)));
    let Action::Sleep(pause) = presence.next(ms(2)) else {
        panic!("no pause");
    };
    assert_eq!(
        presence.next(ms(2) + pause),
        Action::Acquire("lease".to_owned())
    );
}
