//! Tests of keeping a process registered in a store that fails.
use std::time::Duration;

use config::Fault;
use config::KeyValue;
use config::Listing;
use config::Registration;
use config::registration::Action;
use config::registration::Event;
use config::registration::Settings;

const OWN: &str = "entries/own";

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn listing(keys: &[&str]) -> Listing {
    let item = |key: &&str| KeyValue {
        key: (*key).to_owned(),
        value: Vec::new(),
        revision: 1,
    };
    Listing {
        items: keys.iter().map(item).collect(),
        index: 1,
    }
}

/// Returns the answer to a list that contains `keys`.
fn listed(keys: &[&str]) -> Event {
    Event::Listed(Ok(listing(keys)))
}

/// Returns a process that registered at the start.
fn registered_process() -> Registration {
    let mut registration = Registration::new(Settings::default(), OWN, 1, ms(0));
    assert_eq!(registration.next(ms(0)), Action::List);
    registration.handle(ms(0), listed(&["entries/other"]));
    assert_eq!(
        registration.next(ms(0)),
        Action::Grant(Settings::default().ttl)
    );
    registration.handle(ms(1), Event::Granted(Ok("lease".to_owned())));
    assert_eq!(
        registration.next(ms(1)),
        Action::Acquire("lease".to_owned())
    );
    registration.handle(ms(2), Event::Acquired(Ok(true)));
    assert!(matches!(registration.next(ms(2)), Action::Sleep(_)));
    registration
}

#[test]
fn a_list_returns_the_registered_keys() {
    let mut registration = Registration::new(Settings::default(), OWN, 1, ms(0));
    let keys = registration.handle(ms(0), listed(&["entries/a", "entries/b"]));
    assert_eq!(keys, ["entries/a", "entries/b"]);
}

#[test]
fn a_lease_is_renewed_in_time() {
    let mut registration = registered_process();
    let due = Settings::default().ttl / 2;
    registration.handle(due, listed(&[OWN]));
    assert_eq!(registration.next(due), Action::Renew("lease".to_owned()));
    registration.handle(due, Event::Renewed(Ok(())));
    assert!(matches!(registration.next(due), Action::Sleep(_)));
}

/// The store may lose the key although the lease can still be renewed.
#[test]
fn a_key_that_vanished_is_acquired_again() {
    let mut registration = registered_process();
    let check = Settings::default().list_interval + ms(10);
    assert_eq!(registration.next(check), Action::List);
    registration.handle(check, listed(&["entries/other"]));
    assert_eq!(
        registration.next(check),
        Action::Acquire("lease".to_owned())
    );
}

#[test]
fn an_expired_lease_is_replaced() {
    let mut registration = registered_process();
    registration.handle(ms(5), Event::Renewed(Err(Fault::Expired)));
    assert_eq!(
        registration.next(ms(5)),
        Action::Grant(Settings::default().ttl)
    );
}

/// During a long outage the lease expires and the backoff grows to its maximum.
/// The process must nevertheless register again within two seconds of the end.
#[test]
fn a_process_registers_again_within_two_seconds_of_an_outage() {
    let mut registration = registered_process();
    let mut now = ms(0);
    let end = ms(60_000);
    while now < end {
        now += if let Action::Sleep(pause) = registration.next(now) {
            pause
        } else {
            registration.handle(now, Event::Listed(Err(Fault::Unreachable)));
            ms(1)
        };
    }
    let mut is_acquired = false;
    while !is_acquired {
        now += match registration.next(now) {
            Action::Sleep(pause) => pause,
            Action::List => {
                registration.handle(now, listed(&[]));
                ms(4)
            }
            Action::Renew(_) => {
                registration.handle(now, Event::Renewed(Err(Fault::Expired)));
                ms(4)
            }
            Action::Grant(_) => {
                registration.handle(now, Event::Granted(Ok("new".to_owned())));
                ms(4)
            }
            Action::Acquire(lease) if lease == "lease" => {
                registration.handle(now, Event::Acquired(Err(Fault::Expired)));
                ms(4)
            }
            Action::Acquire(_) => {
                is_acquired = true;
                ms(4)
            }
        };
        assert!(
            now < end + ms(2_000),
            "not registered again within 2 s of the end of the outage"
        );
    }
}

/// The write may have been applied although its answer was lost, so the lease is
/// kept and the key acquired again under it.
#[test]
fn an_acquisition_is_repeated_after_a_lost_answer() {
    let mut registration = Registration::new(Settings::default(), OWN, 1, ms(0));
    registration.handle(ms(0), listed(&[]));
    registration.handle(ms(1), Event::Granted(Ok("lease".to_owned())));
    let lost = Fault::Lost {
        maybe_applied: true,
    };
    registration.handle(ms(2), Event::Acquired(Err(lost)));
    let Action::Sleep(pause) = registration.next(ms(2)) else {
        panic!("no pause");
    };
    assert_eq!(
        registration.next(ms(2) + pause),
        Action::Acquire("lease".to_owned())
    );
}

/// A restored store may lack the lease, or have given its id to another process.
#[test]
fn a_process_registers_anew_within_two_seconds_of_a_restore() {
    for seed in 0..100 {
        let mut registration = Registration::new(Settings::default(), OWN, seed, ms(0));
        registration.handle(ms(0), listed(&[]));
        registration.handle(ms(1), Event::Granted(Ok("old".to_owned())));
        registration.handle(ms(2), Event::Acquired(Ok(true)));
        registration.on_restored(ms(500));
        let mut now = ms(500);
        loop {
            assert!(now < ms(2_500), "seed {seed}");
            now += match registration.next(now) {
                Action::Sleep(pause) => pause,
                Action::List => {
                    registration.handle(now, listed(&[OWN]));
                    ms(4)
                }
                Action::Grant(_) => {
                    registration.handle(now, Event::Granted(Ok("new".to_owned())));
                    ms(4)
                }
                Action::Renew(lease) => panic!("{lease} was renewed after the restore"),
                Action::Acquire(lease) => {
                    assert_eq!(lease, "new", "seed {seed}");
                    break;
                }
            };
        }
    }
}
