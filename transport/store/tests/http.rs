//! Tests of the HTTP client against the stand-in of the store.
mod standin_store;

use std::time::Duration;

use futures_lite::future;
use standin::platform::fault::Mode;
use store::Fault;
use store::Fence;
use store::Http;
use store::Store;
use store::Swap;
use store::http::Settings;
use wire::Revision;

use standin_store::with_store;

const WAIT: Duration = Duration::from_mins(1);
const TTL: Duration = Duration::from_mins(10);

fn swap(key: &str, value: &str, expected: Revision) -> Swap {
    Swap {
        key: key.to_owned(),
        value: value.as_bytes().to_vec(),
        expected,
        touch: None,
        fence: None,
    }
}

#[test]
fn a_swap_succeeds_only_on_the_revision_it_expects() {
    with_store(|http, _| async move {
        let first = http.swap(swap("a/1", "one", 0)).await.expect("a new key");
        assert_eq!(http.swap(swap("a/1", "two", 0)).await, Err(Fault::Conflict));
        let second = http.swap(swap("a/1", "two", first)).await.expect("a match");
        assert!(second > first);
        let item = http.get("a/1").await.expect("an answer").expect("a key");
        assert_eq!((item.value, item.revision), (b"two".to_vec(), second));
        assert_eq!(http.get("a/2").await, Ok(None));
    });
}

#[test]
fn a_list_contains_only_the_keys_under_its_prefix() {
    with_store(|http, _| async move {
        for key in ["a/1", "a/::1/2", "b/1"] {
            http.swap(swap(key, key, 0)).await.expect("a new key");
        }
        let listing = http.list("a/").await.expect("an answer");
        let keys: Vec<_> = listing.items.iter().map(|item| item.key.as_str()).collect();
        assert_eq!(keys, ["a/1", "a/::1/2"]);
        assert_eq!(http.list("c/").await.expect("an answer").items, []);
    });
}

#[test]
fn a_watch_ends_at_the_next_write_under_its_prefix() {
    with_store(|http, platform| async move {
        let first = http.swap(swap("a/1", "one", 0)).await.expect("a new key");
        let watch = http.watch("a/", first, WAIT);
        let write = async {
            while platform.calls().waiting == 0 {
                future::yield_now().await;
            }
            http.swap(swap("b/1", "other", 0)).await.expect("a new key");
            http.swap(swap("a/1", "two", first)).await
        };
        let (listing, second) = future::zip(watch, write).await;
        let listing = listing.expect("an answer");
        assert_eq!(Ok(listing.items[0].revision), second);
        assert_eq!(listing.index, listing.items[0].revision);
        assert_eq!(http.counts().watches, 1);
        assert_eq!((http.counts().waiting, platform.calls().waiting), (0, 0));
    });
}

#[test]
fn a_watch_of_an_empty_prefix_ends_at_the_first_write() {
    with_store(|http, platform| async move {
        let index = http.list("a/").await.expect("an answer").index;
        let watch = http.watch("a/", index, WAIT);
        let write = async {
            while platform.calls().waiting == 0 {
                future::yield_now().await;
            }
            http.swap(swap("a/1", "one", 0)).await
        };
        let (listing, revision) = future::zip(watch, write).await;
        let listing = listing.expect("an answer");
        assert_eq!(Ok(listing.items[0].revision), revision);
        assert!(listing.items[0].revision > index);
    });
}

#[test]
fn a_write_whose_answer_is_lost_may_have_been_applied() {
    with_store(|http, platform| async move {
        platform.set_faults(|faults| faults.lose_answers = 1);
        let fault = http.swap(swap("a/1", "one", 0)).await.expect_err("lost");
        assert!(fault.maybe_applied(), "{fault}");
        assert!(http.get("a/1").await.expect("an answer").is_some());
    });
}

/// Checks that a failed read is counted and reported as not applied, and that a
/// read succeeds once the store answers again.
fn reads_fail((mode, timeout): (Mode, Duration)) {
    with_store(|http, platform| async move {
        let failing = http.with_timeout(timeout);
        platform.set_faults(|faults| faults.mode = mode);
        let fault = failing.get("a/1").await.expect_err("no answer");
        assert!(!fault.maybe_applied(), "{fault}");
        platform.set_faults(|faults| faults.mode = Mode::Up);
        assert_eq!(http.get("a/1").await, Ok(None));
        assert_eq!((http.counts().reads, http.counts().failures), (2, 1));
    });
}

cases::cases! { reads_fail;
    a_read_fails_while_connections_are_dropped: (Mode::Down, WAIT),
    a_read_fails_while_the_store_fails: (Mode::Fail, WAIT),
    a_read_fails_while_the_store_hangs: (Mode::Hang, Duration::from_millis(50)),
}

#[test]
fn a_refused_connection_is_reported_as_unreachable() {
    smol::block_on(async {
        let listener = smol::net::TcpListener::bind("127.0.0.1:0").await;
        let address = listener.and_then(|listener| listener.local_addr());
        let http = Http::new(Settings::new(address.expect("a port freed again")));
        let fault = http.swap(swap("a/1", "one", 0)).await;
        assert_eq!(fault, Err(Fault::Unreachable));
    });
}

/// A write under an expired lease must fail, also after another lease has
/// acquired the key.
#[test]
fn a_fenced_write_fails_after_its_lease_has_expired() {
    with_store(|http, platform| async move {
        let lease = http.grant(TTL).await.expect("a lease");
        assert_eq!(http.acquire("lock", &lease).await, Ok(true));
        let fence = Some(Fence {
            key: "lock".to_owned(),
            lease: lease.clone(),
        });
        let fenced = |expected| Swap {
            fence: fence.clone(),
            ..swap("a/1", "one", expected)
        };
        let first = http.swap(fenced(0)).await.expect("the lease holds");
        platform.end_sessions();
        assert_eq!(http.swap(fenced(first)).await, Err(Fault::Expired));
        assert_eq!(http.renew(&lease).await, Err(Fault::Expired));
        let next = http.grant(TTL).await.expect("a lease");
        assert_eq!(http.acquire("lock", &next).await, Ok(true));
        assert_eq!(http.swap(fenced(first)).await, Err(Fault::Expired));
    });
}

#[test]
fn a_held_key_cannot_be_acquired_under_another_lease() {
    with_store(|http, _| async move {
        let one = http.grant(TTL).await.expect("a lease");
        let two = http.grant(TTL).await.expect("a lease");
        assert_eq!(http.acquire("lock", &one).await, Ok(true));
        assert_eq!(http.acquire("lock", &two).await, Ok(false));
        assert_eq!(http.renew(&one).await, Ok(()));
        assert_eq!(http.revoke(&one).await, Ok(()));
        assert_eq!(http.acquire("lock", &two).await, Ok(true));
    });
}
