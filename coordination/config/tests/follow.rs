//! Tests of following one key of a store that fails.
use std::time::Duration;

use wire::Revision;

use config::Fault;
use config::Follower;
use config::KeyValue;
use config::Listing;
use config::era;
use config::follower::Action;
use config::follower::Event;
use config::follower::Reachability;
use config::follower::Settings;

const KEY: &str = "settings";

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn item(revision: Revision) -> KeyValue {
    KeyValue {
        key: KEY.to_owned(),
        value: revision.to_string().into_bytes(),
        revision,
    }
}

fn follower() -> Follower {
    Follower::new(Settings::default(), KEY, 1)
}

fn changed(revision: Revision) -> Event {
    Event::Watched(Ok(Listing {
        items: vec![item(revision)],
        index: revision,
    }))
}

fn unchanged(index: Revision) -> Event {
    Event::Watched(Ok(Listing {
        items: Vec::new(),
        index,
    }))
}

/// Returns a follower that has read revision 5.
fn follower_at_5() -> Follower {
    let mut follower = follower();
    assert_eq!(follower.next(), Action::Read);
    let outcome = follower.handle(ms(0), Event::Read(Ok(Some(item(5)))));
    assert_eq!(outcome.value, Some(item(5)));
    follower
}

/// Returns the index after which the follower watches, or `None` if it reads.
fn watched_since(follower: &Follower) -> Option<Revision> {
    match follower.next() {
        Action::Watch { since, .. } => Some(since),
        Action::Read | Action::List => None,
    }
}

#[test]
fn a_change_is_returned_once() {
    let mut follower = follower_at_5();
    assert_eq!(watched_since(&follower), Some(5));
    assert_eq!(follower.handle(ms(1), changed(8)).value, Some(item(8)));
    assert_eq!(watched_since(&follower), Some(8));
    assert_eq!(follower.handle(ms(2), changed(8)).value, None);
}

#[test]
fn a_watch_without_a_change_advances_the_index() {
    let mut follower = follower_at_5();
    assert_eq!(follower.handle(ms(1), unchanged(40)).value, None);
    assert_eq!(watched_since(&follower), Some(40));
}

#[test]
fn an_older_value_is_never_returned() {
    let mut follower = follower_at_5();
    follower.handle(ms(1), changed(9));
    assert_eq!(follower.handle(ms(2), changed(7)).value, None);
    follower.handle(ms(3), Event::Watched(Err(Fault::Unreachable)));
    assert_eq!(
        follower.handle(ms(4), Event::Read(Ok(Some(item(6))))).value,
        None
    );
}

/// A change during an interrupted watch is not reported, so the key must be read
/// again.
#[test]
fn a_failed_watch_is_followed_by_a_read() {
    let mut follower = follower_at_5();
    let outcome = follower.handle(ms(1), Event::Watched(Err(Fault::Malformed)));
    assert_eq!(
        outcome.reachability,
        Some(Reachability::Lost(Fault::Malformed))
    );
    assert!(outcome.pause > Duration::ZERO);
    assert_eq!(follower.next(), Action::Read);
}

#[test]
fn pauses_grow_to_their_maximum_and_recovery_is_reported_once() {
    let mut follower = follower_at_5();
    let mut longest = Duration::ZERO;
    for _ in 0..20 {
        let outcome = follower.handle(ms(1), Event::Read(Err(Fault::Unreachable)));
        longest = longest.max(outcome.pause);
    }
    let settings = Settings::default();
    assert!(longest > settings.backoff.max / 2 && longest <= settings.backoff.max);
    let back = follower.handle(ms(2), Event::Read(Ok(Some(item(5)))));
    assert_eq!(
        (back.reachability, back.pause),
        (Some(Reachability::Regained), Duration::ZERO)
    );
    assert_eq!(follower.handle(ms(3), unchanged(6)).reachability, None);
}

#[test]
fn a_value_is_confirmed_only_for_the_confirmation_ttl() {
    let mut follower = follower_at_5();
    assert!(follower.is_confirmed(ms(100)));
    assert!(!follower.is_confirmed(Settings::default().confirmation_ttl));
    follower.handle(ms(5_000), unchanged(6));
    assert!(follower.is_confirmed(ms(5_100)));
}

#[test]
fn a_missing_key_is_read_again_after_a_pause() {
    let mut follower = follower();
    let outcome = follower.handle(ms(0), Event::Read(Ok(None)));
    assert!(outcome.pause > Duration::ZERO && outcome.value.is_none());
    assert_eq!(follower.next(), Action::Read);
}

/// Returns a revision of the era after the first restore.
fn restored(number: u64) -> Revision {
    era::revision(1, number)
}

/// The store came back without the last changes, and then gave the same
/// revisions to others.
#[test]
fn a_value_written_after_a_restore_is_returned_although_its_number_is_lower() {
    let mut follower = follower_at_5();
    let outcome = follower.handle(ms(1), changed(restored(3)));
    assert_eq!(outcome.value, Some(item(restored(3))));
    assert_eq!(outcome.restored, Some(1));
    assert_eq!(watched_since(&follower), Some(restored(3)));
    let next = follower.handle(ms(2), changed(restored(4)));
    assert_eq!((next.value.is_some(), next.restored), (true, None));
}

/// A replica may still show the state from before the restore.
#[test]
fn a_value_from_before_a_restore_is_not_returned_after_it() {
    let mut follower = follower_at_5();
    follower.handle(ms(1), changed(restored(3)));
    assert_eq!(follower.handle(ms(2), changed(9)).value, None);
    assert_eq!(watched_since(&follower), Some(restored(3)));
}

/// A store that answers each watch at once must not be called without a pause.
#[test]
fn a_watch_that_makes_no_progress_is_followed_by_a_pause() {
    let mut follower = follower_at_5();
    assert_eq!(follower.handle(ms(1), changed(8)).pause, Duration::ZERO);
    assert!(follower.handle(ms(2), changed(8)).pause > Duration::ZERO);
    assert_eq!(follower.handle(ms(3), unchanged(8)).pause, Duration::ZERO);
}

fn listing(keys: &[&str], index: Revision) -> Listing {
    let items = keys.iter().map(|key| KeyValue {
        key: (*key).to_owned(),
        ..item(index)
    });
    Listing {
        items: items.collect(),
        index,
    }
}

fn prefix_follower(keys: &[&str]) -> Follower {
    let mut follower = follower().with_prefix("s");
    assert_eq!(follower.next(), Action::List);
    let outcome = follower.handle(ms(0), Event::Listed(Ok(listing(keys, 5))));
    assert_eq!(outcome.listing, Some(listing(keys, 5)));
    follower
}

#[test]
fn a_followed_prefix_returns_each_list_and_the_value_only_if_it_changed() {
    let mut follower = prefix_follower(&[KEY, "s/1"]);
    let mut next = listing(&[KEY], 9);
    next.items[0].revision = 5;
    let outcome = follower.handle(ms(1), Event::Watched(Ok(next.clone())));
    assert_eq!((outcome.value, outcome.listing), (None, Some(next)));
    assert_eq!(follower.handle(ms(2), unchanged(10)).listing, None);
    assert_eq!(watched_since(&follower), Some(10));
}

/// The answer to a watch does not tell whether nothing changed or no key is left.
#[test]
fn a_prefix_without_the_key_is_listed_again() {
    let mut follower = prefix_follower(&["s/1"]);
    follower.handle(ms(1), unchanged(8));
    assert_eq!(follower.next(), Action::List);
    let outcome = follower.handle(ms(2), Event::Listed(Ok(listing(&[], 9))));
    assert_eq!(outcome.listing, Some(listing(&[], 9)));
    follower.handle(ms(3), unchanged(12));
    assert_eq!(watched_since(&follower), Some(12));
}

/// The copy that a store was restored from may have no keys under the prefix.
#[test]
fn a_prefix_is_listed_again_after_a_restore_to_an_empty_store() {
    let mut follower = prefix_follower(&[KEY, "s/1"]);
    let outcome = follower.handle(ms(1), unchanged(restored(2)));
    assert_eq!(outcome.restored, Some(1));
    assert_eq!(follower.next(), Action::List);
}
