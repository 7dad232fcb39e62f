//! Tests of leases whose holders are paused and whose calls fail.
use std::time::Duration;

use config::Fault;
use config::KeyValue;
use config::Lease;
use config::Listing;
use config::lease::Action;
use config::lease::Answer;
use config::lease::Call;
use config::lease::Settings;

const SECOND: Duration = Duration::from_secs(1);
const NANO: Duration = Duration::from_nanos(1);

fn lease() -> Lease {
    let keys = vec!["seat/0".to_owned(), "seat/1".to_owned()];
    let mut lease = Lease::new(Settings::default(), "seat/".to_owned(), keys, 1);
    lease.set_wanted(true);
    lease
}

/// Returns the time after a renewal for which the holder may use the lease.
fn usable_time() -> Duration {
    let settings = Settings::default();
    settings.ttl.saturating_sub(settings.margin)
}

/// Returns the only action of `actions`.
fn single(actions: Vec<Action>) -> Action {
    assert_eq!(actions.len(), 1, "{actions:?}");
    actions.into_iter().next().expect("one action")
}

/// Returns a listing of the given keys, which are held by others.
fn listing_of(keys: &[&str]) -> Listing {
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

/// Returns a lease that acquired the key `seat/1` at `now`.
fn held_lease(now: Duration) -> Lease {
    acquire(lease(), now)
}

/// Acquires `seat/1` at `now`; `seat/0` is held by another.
fn acquire(mut lease: Lease, now: Duration) -> Lease {
    let list = single(lease.tick(now));
    let listing = Answer::Listed(Ok(listing_of(&["seat/0"])));
    let grant = single(lease.on_answer(now, list.id, listing));
    let granted = Answer::Granted(Ok("id".to_owned()));
    let acquire = single(lease.on_answer(now, grant.id, granted));
    let call = Call::Acquire {
        key: "seat/1".to_owned(),
        lease: "id".to_owned(),
    };
    assert_eq!(acquire.call, call);
    let acquired = Answer::Acquired(Ok(true));
    assert_eq!(lease.on_answer(now, acquire.id, acquired), []);
    assert!(lease.holds(now));
    lease
}

/// A holder that continues after a pause must not write under an expired lease.
#[test]
fn a_paused_holder_has_no_fence() {
    let lease = held_lease(SECOND);
    let last = SECOND + usable_time();
    let before = last.saturating_sub(NANO);
    assert_eq!(
        lease.fence(before).map(|fence| fence.key.as_str()),
        Some("seat/1")
    );
    assert_eq!(lease.fence(last), None);
    assert_eq!(lease.fence(1000 * SECOND), None);
}

/// The holder is paused while a renewal is in flight. Its lease may have expired
/// meanwhile, so the late answer must not count as a renewal.
#[test]
fn a_renewal_answered_after_expiry_does_not_revive_the_lease() {
    let mut lease = held_lease(SECOND);
    let renew = single(lease.tick(5 * SECOND));
    assert!(matches!(renew.call, Call::Renew { .. }));
    let late = 60 * SECOND;
    let revoke = single(lease.on_answer(late, renew.id, Answer::Renewed(Ok(()))));
    assert!(matches!(revoke.call, Call::Revoke { .. }));
    assert!(!lease.holds(late));
}

#[test]
fn a_renewal_extends_the_lease_from_when_it_was_sent() {
    let mut lease = held_lease(SECOND);
    let renew = single(lease.tick(5 * SECOND));
    assert_eq!(
        lease.on_answer(9 * SECOND, renew.id, Answer::Renewed(Ok(()))),
        []
    );
    let last = 5 * SECOND + usable_time();
    assert!(lease.holds(last.saturating_sub(NANO)));
    assert!(!lease.holds(last));
}

/// The process is paused while the grant is in flight, and the lease may have
/// expired meanwhile.
#[test]
fn a_lease_granted_after_its_usable_time_is_revoked() {
    let mut lease = lease();
    let list = single(lease.tick(SECOND));
    let grant = single(lease.on_answer(SECOND, list.id, Answer::Listed(Ok(listing_of(&[])))));
    let granted = Answer::Granted(Ok("id".to_owned()));
    let revoke = single(lease.on_answer(60 * SECOND, grant.id, granted));
    assert!(matches!(revoke.call, Call::Revoke { .. }));
}

#[test]
fn a_lease_that_the_store_reports_expired_is_not_held() {
    let mut lease = held_lease(SECOND);
    let renew = single(lease.tick(5 * SECOND));
    lease.on_answer(5 * SECOND, renew.id, Answer::Renewed(Err(Fault::Expired)));
    assert!(!lease.holds(5 * SECOND));
}

/// A renewal is in flight when the lease expires locally and another lease is
/// acquired; its late answer must not apply to the new lease.
#[test]
fn an_answer_about_an_earlier_lease_does_not_end_the_current_one() {
    let mut lease = held_lease(SECOND);
    let renew = single(lease.tick(5 * SECOND));
    lease.tick(60 * SECOND);
    let mut lease = acquire(lease, 60 * SECOND);
    lease.on_answer(60 * SECOND, renew.id, Answer::Renewed(Err(Fault::Expired)));
    assert!(lease.holds(60 * SECOND));
}

#[test]
fn a_failed_renewal_is_repeated_until_the_lease_ends() {
    let mut lease = held_lease(SECOND);
    let mut now = SECOND;
    let mut renewals = 0;
    while lease.holds(now) {
        now = lease.next_deadline().expect("a deadline");
        for action in lease.tick(now) {
            renewals += u32::from(matches!(action.call, Call::Renew { .. }));
            lease.on_answer(now, action.id, Answer::Renewed(Err(Fault::Unreachable)));
        }
    }
    assert!(renewals > 2, "{renewals}");
    assert_eq!(now, SECOND + usable_time());
}

#[test]
fn a_search_that_finds_no_free_key_is_repeated_later() {
    let mut lease = lease();
    let list = single(lease.tick(SECOND));
    let listing = Answer::Listed(Ok(listing_of(&["seat/0", "seat/1"])));
    assert_eq!(lease.on_answer(SECOND, list.id, listing), []);
    let due = lease.next_deadline().expect("a deadline");
    assert!(due >= SECOND + Settings::default().search_interval / 2);
    assert_eq!(lease.tick(due.saturating_sub(NANO)), []);
    assert!(matches!(single(lease.tick(due)).call, Call::List { .. }));
}

#[test]
fn a_lease_that_is_not_wanted_makes_no_call() {
    let mut lease = lease();
    lease.set_wanted(false);
    assert_eq!(lease.next_deadline(), None);
    assert_eq!(lease.tick(1000 * SECOND), []);
}

/// Checks that the lease of a failed acquisition is revoked and that another
/// attempt is made later.
fn acquisition_fails(answer: Answer) {
    let mut lease = lease();
    let list = single(lease.tick(SECOND));
    let grant = single(lease.on_answer(SECOND, list.id, Answer::Listed(Ok(listing_of(&[])))));
    let granted = Answer::Granted(Ok("id".to_owned()));
    let acquire = single(lease.on_answer(SECOND, grant.id, granted));
    let revoke = single(lease.on_answer(SECOND, acquire.id, answer));
    assert!(matches!(revoke.call, Call::Revoke { .. }));
    assert!(!lease.holds(SECOND));
    assert!(lease.next_deadline().expect("a deadline") > SECOND);
}

cases::cases! { acquisition_fails;
    a_key_held_by_another_lease_is_not_acquired: Answer::Acquired(Ok(false)),
    a_key_is_not_held_if_the_answer_was_lost:
        Answer::Acquired(Err(Fault::Lost { maybe_applied: true })),
}

#[test]
fn a_released_key_has_its_lease_revoked() {
    let mut lease = held_lease(SECOND);
    let revoke = single(lease.release(2 * SECOND));
    assert!(matches!(revoke.call, Call::Revoke { .. }));
    assert!(!lease.holds(2 * SECOND));
    assert_eq!(lease.next_deadline(), None);
}
