//! Tests of the discovery of services that an entry does not know.
use std::net::SocketAddr;
use std::time::Duration;

use app::entry::discovery::Discovery;
use app::entry::discovery::Outcome;
use app::entry::discovery::Settings;
use wire::ServiceAddress;

fn service(host: u8) -> ServiceAddress {
    SocketAddr::from(([10, 0, 0, host], 5_000))
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_service_that_no_peer_knows_is_refused_until_the_refusal_expires() {
    let mut discovery = Discovery::new(Settings::default());
    assert!(discovery.start(at(0), service(1)));
    assert!(
        !discovery.start(at(0), service(1)),
        "a service must have one query at a time"
    );
    assert_eq!(discovery.take_due(Duration::from_millis(999)), []);
    assert_eq!(discovery.take_due(at(1)), [Outcome::Absent(service(1))]);
    assert!(discovery.has_timed_out(service(1)));
    assert_eq!(
        discovery.take_due(at(2)),
        [],
        "the time-out must be reported once"
    );
    assert_eq!(discovery.take_due(at(30)), [Outcome::Expired(service(1))]);
    assert!(discovery.start(at(30), service(1)));
}

#[test]
fn a_service_that_was_found_is_not_refused() {
    let mut discovery = Discovery::new(Settings::default());
    discovery.start(at(0), service(1));
    discovery.finish(service(1));
    assert_eq!(discovery.take_due(at(5)), []);
    assert!(!discovery.has_timed_out(service(1)));
}

#[test]
fn the_number_of_pending_queries_is_bounded() {
    let settings = Settings {
        max_services: 2,
        ..Settings::default()
    };
    let mut discovery = Discovery::new(settings);
    assert!(discovery.start(at(0), service(1)));
    assert!(discovery.start(at(0), service(2)));
    assert!(!discovery.start(at(0), service(3)));
}
