//! What an entry does about services that it does not know.
use std::net::SocketAddr;
use std::time::Duration;

use app::entry::seek::Seek;
use app::entry::seek::Settings;
use app::entry::seek::Verdict;
use wire::ServiceAddress;

fn service(host: u8) -> ServiceAddress {
    SocketAddr::from(([10, 0, 0, host], 5_000))
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_service_that_nobody_knows_is_refused_and_then_sought_anew() {
    let mut seek = Seek::new(Settings::default());
    assert!(seek.start(at(0), service(1)));
    assert!(!seek.start(at(0), service(1)), "one search at a time");
    assert_eq!(seek.due(Duration::from_millis(999)), []);
    assert_eq!(seek.due(at(1)), [Verdict::Absent(service(1))]);
    assert!(seek.is_over(service(1)));
    assert_eq!(seek.due(at(2)), [], "told once");
    assert_eq!(seek.due(at(30)), [Verdict::Forgotten(service(1))]);
    assert!(seek.start(at(30), service(1)));
}

#[test]
fn a_service_that_is_found_is_not_refused() {
    let mut seek = Seek::new(Settings::default());
    seek.start(at(0), service(1));
    seek.found(service(1));
    assert_eq!(seek.due(at(5)), []);
    assert!(!seek.is_over(service(1)));
}

#[test]
fn searches_are_bounded() {
    let settings = Settings {
        max_services: 2,
        ..Settings::default()
    };
    let mut seek = Seek::new(settings);
    assert!(seek.start(at(0), service(1)));
    assert!(seek.start(at(0), service(2)));
    assert!(!seek.start(at(0), service(3)));
}
