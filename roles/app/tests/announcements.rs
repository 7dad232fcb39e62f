//! Guards against a sidecar that stops following its backend server because another writer
//! announced one that is odd.
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use app::clock;
use app::sidecar::announcements::Backend;
use app::sidecar::announcements::notice_from;
use forward::agent::Announcement;
use forward::agent::State;
use platform::announcement::Call;
use platform::name::service_address;
use wire::id::target_id;

const SERVER: &str = "10.1.0.9:8080";

const SETTINGS: &str = r#"{"host":"side-1","address":"10.1.0.9","zone":"a","zones":{"a":"r"},
"listen":{"packets":"10.1.0.9:8172","ready":"10.1.0.9:8167"},"internal_ports":[7720,7735],
"seeds":[],"store":"10.200.1.7:8169","is_first_start":false,"backend":"10.1.0.9:8080",
"service":"SERVICE"}"#;

fn boot(name: &str) -> PathBuf {
    let name = format!("greengagelug-announcements-{}-{name}", std::process::id());
    std::env::temp_dir().join(name)
}

fn own(service: Option<&str>, boot: PathBuf) -> Backend {
    Backend {
        address: SERVER.parse().unwrap(),
        service: service.map(str::to_owned),
        boot,
        origin: Instant::now(),
        filter: Arc::default(),
    }
}

/// Returns whether an announcement with this service, start and sequence number is taken.
fn takes(own: &Backend, service: &str, start: u64, sequence: u64) -> bool {
    let service = service_address(service);
    let announcement = Announcement {
        name: "server-1".to_owned(),
        service,
        target: target_id(service, own.address),
        start,
        age: None,
        sequence,
        slots: 2,
        state: State::Ready,
        warm_up: Duration::ZERO,
    };
    let call = Call::Announce {
        address: own.address,
        announcement,
    };
    notice_from(call, own).is_some()
}

fn now() -> u64 {
    u64::try_from(clock::unix_time().as_millis()).unwrap()
}

#[test]
fn announcement_of_the_service_in_the_settings_is_taken() {
    let own = own(Some("a"), boot("missing"));
    assert!(takes(&own, "a", now(), 1));
    assert!(!takes(&own, "b", now(), 1));
}

#[test]
fn announcement_of_any_service_is_taken_where_the_settings_name_none() {
    assert!(takes(&own(None, boot("missing")), "b", now(), 1));
}

/// The settings file may change without a signal.
#[test]
fn service_is_read_again_from_the_settings() {
    let path = boot("changed");
    fs::write(&path, SETTINGS.replace("SERVICE", "b")).unwrap();
    let own = own(Some("a"), path.clone());
    assert!(takes(&own, "b", now(), 1));
    assert!(!takes(&own, "c", now(), 1));
    fs::remove_file(path).unwrap();
}

#[test]
fn announcement_of_a_start_or_number_that_cannot_be_is_not_taken() {
    let own = own(Some("a"), boot("missing"));
    assert!(!takes(&own, "a", u64::MAX, 1));
    assert!(!takes(&own, "a", now(), u64::MAX));
}

/// Guards against servers that never serve because they number their announcements from a
/// large number. A single one, as of another writer, must not silence the server.
#[test]
fn announcements_numbered_from_a_large_number_are_taken_from_the_second_on() {
    for first in [4_000_000, 1_796_000_000_000, u64::MAX - 3] {
        let (own, start) = (own(Some("a"), boot("missing")), now());
        let taken = [first, first + 1, first + 2].map(|number| takes(&own, "a", start, number));
        assert_eq!(taken, [false, true, true], "{first}");
        // A later start numbers anew.
        assert!(takes(&own, "a", start + 5, 1));
    }
}

#[test]
fn two_odd_announcements_that_do_not_follow_each_other_are_not_taken() {
    let (own, start) = (own(Some("a"), boot("missing")), now());
    assert!(!takes(&own, "a", start, 4_000_000));
    assert!(!takes(&own, "a", start, u64::MAX));
    assert!(!takes(&own, "a", start, 4_000_001));
    assert!(takes(&own, "a", start, 4_000_002));
    assert!(takes(&own, "a", start, 7));
}
