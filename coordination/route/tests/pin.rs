//! The pin table is bounded, renews pins, and expires them in buckets.
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use route::pin::Holder;
use route::pin::Outcome;
use route::pin::Settings;
use route::pin::Table;
use wire::FlowKey;
use wire::ServiceAddress;
use wire::Token;

const SETTINGS: Settings = Settings {
    capacity: 50,
    lifetime: Duration::from_secs(16),
};

fn service(index: u8) -> ServiceAddress {
    SocketAddr::from(([192, 0, 2, index], 53))
}

fn holder(target: u64, incarnation: u64) -> Holder {
    Holder {
        token: Token {
            target,
            incarnation,
        },
        address: SocketAddr::from(([198, 51, 100, 1], 7000)),
    }
}

#[test]
fn a_full_table_renews_pins_but_adds_none() {
    let mut table = Table::new(SETTINGS);
    let now = Duration::ZERO;
    for flow in 0..50 {
        let outcome = table.pin(now, service(1), flow, holder(1, 1));
        assert_eq!(outcome, Outcome::Pinned);
    }
    assert_eq!(table.pin(now, service(1), 50, holder(1, 1)), Outcome::Full);
    assert_eq!(
        table.pin(now, service(1), 49, holder(2, 1)),
        Outcome::Pinned
    );
    assert!(table.unpin(service(1), 49, holder(2, 1).token));
    assert_eq!(
        table.pin(now, service(1), 50, holder(1, 1)),
        Outcome::Pinned
    );
}

#[test]
fn an_older_incarnation_neither_pins_nor_unpins() {
    let mut table = Table::new(SETTINGS);
    let now = Duration::ZERO;
    table.pin(now, service(1), 1, holder(1, 2));
    assert_eq!(table.pin(now, service(1), 1, holder(1, 1)), Outcome::Stale);
    assert!(!table.unpin(service(1), 1, holder(1, 1).token));
    assert_eq!(table.get(service(1), 1), Some(holder(1, 2)));
}

#[test]
fn pins_of_different_services_are_separate() {
    let mut table = Table::new(SETTINGS);
    table.pin(Duration::ZERO, service(1), 1, holder(1, 1));
    assert_eq!(table.get(service(2), 1), None);
    assert!(!table.unpin(service(2), 1, holder(1, 1).token));
}

#[test]
fn memory_stays_bounded_under_churn() {
    let mut table = Table::new(SETTINGS);
    for flow in 0..100_000 {
        table.pin(Duration::ZERO, service(1), flow, holder(flow, 1));
        table.unpin(service(1), flow, holder(flow, 1).token);
    }
    assert!(table.is_empty());
    assert!(table.bytes() < 50_000, "{} bytes", table.bytes());
}

#[test]
fn a_pin_uses_less_than_sixty_four_bytes() {
    let mut table = Table::new(Settings::default());
    for flow in 0..500_000 {
        let now = Duration::from_micros(flow);
        table.pin(now, service(1), flow, holder(flow % 1000, 1));
    }
    let bytes = table.bytes() / table.len();
    assert!(bytes < 64, "{bytes} bytes per pin");
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Pin { target: u64 },
    Unpin { target: u64 },
    Expire,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0_u64..3).prop_map(|target| Event::Pin { target }),
        1 => (0_u64..3).prop_map(|target| Event::Unpin { target }),
        1 => Just(Event::Expire),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Key {
    service: ServiceAddress,
    flow: FlowKey,
}

#[derive(Clone, Copy)]
struct Expected {
    holder: Holder,
    renewed: Duration,
}

proptest! {
    /// Compares the table with a plain map: a pin lasts for its lifetime after
    /// the last renewal, and at most one bucket longer.
    #[test]
    fn pins_expire_at_the_end_of_their_lifetime(
        events in vec((event(), 1_u8..3, 0_u64..40, 0_u64..4000), 1..400),
    ) {
        let mut table = Table::new(SETTINGS);
        let mut model: HashMap<Key, Expected> = HashMap::new();
        let mut now = Duration::ZERO;
        let width = SETTINGS.lifetime / 16;
        for (event, index, flow, pause) in events {
            now += Duration::from_millis(pause);
            let service = service(index);
            let key = Key { service, flow };
            match event {
                Event::Pin { target } => {
                    let holder = holder(target, 1);
                    if table.pin(now, service, flow, holder) == Outcome::Pinned {
                        model.insert(key, Expected { holder, renewed: now });
                    }
                }
                Event::Unpin { target } => {
                    if table.unpin(service, flow, holder(target, 1).token) {
                        model.remove(&key);
                    }
                }
                Event::Expire => {
                    table.expire(now);
                    prop_assert!(table.next_deadline().is_none_or(|deadline| deadline > now));
                    model.retain(|key, expected| {
                        let live = table.get(key.service, key.flow).is_some();
                        let age = now.saturating_sub(expected.renewed);
                        assert!(live || age >= SETTINGS.lifetime);
                        assert!(!live || age <= SETTINGS.lifetime + width);
                        live
                    });
                }
            }
            prop_assert_eq!(table.len(), model.len());
            prop_assert!(table.len() <= SETTINGS.capacity);
            for (key, expected) in &model {
                prop_assert_eq!(table.get(key.service, key.flow), Some(expected.holder));
            }
        }
        table.expire(now + SETTINGS.lifetime * 2);
        prop_assert!(table.is_empty());
        prop_assert_eq!(table.next_deadline(), None);
    }
}
