//! The flow table respects its capacity and expires flows in time.
use std::net::SocketAddr;
use std::time::Duration;

use flow::Table;
use flow::table::Error;
use flow::table::Phase;
use flow::table::Settings;
use proptest::prelude::*;
use wire::Token;

const TOKEN: Token = Token {
    target: 1,
    incarnation: 1,
};

fn caller() -> SocketAddr {
    "203.0.113.5:4000".parse().unwrap()
}

fn settings() -> Settings {
    Settings {
        capacity: 4,
        idle_timeout: Duration::from_mins(10),
        half_open_timeout: Duration::from_secs(30),
        duplicate_window: Duration::from_mins(1),
        timer_resolution: Duration::from_secs(1),
    }
}

fn table() -> Table {
    Table::new(settings(), 1, Duration::ZERO)
}

fn expire(table: &mut Table, now: Duration) -> Vec<u64> {
    let mut expired = Vec::new();
    table.expire(now, &mut expired);
    let mut keys: Vec<u64> = expired.into_iter().map(|flow| flow.key).collect();
    keys.sort_unstable();
    keys
}

struct Lifetime {
    /// Seconds at which packets are received.
    packets: Vec<u64>,
    /// Second at which the flow is closed.
    closed: Option<u64>,
    /// Second before which the flow must not expire.
    held_until: u64,
}

fn flow_expires_on_time(lifetime: Lifetime) {
    let Lifetime {
        packets,
        closed,
        held_until,
    } = lifetime;
    let mut table = table();
    table.open(Duration::ZERO, 7, TOKEN, caller()).unwrap();
    let mut expired_at = None;
    for second in 0..4_000 {
        let now = Duration::from_secs(second);
        if packets.contains(&second) {
            table.touch(now, 7);
        }
        if closed == Some(second) {
            table.close(now, 7);
        }
        if !expire(&mut table, now).is_empty() {
            expired_at = Some(second);
        }
    }
    let expired_at = expired_at.expect("the flow should expire within 4000 s");
    let latest = held_until + 2;
    assert!(
        (held_until..=latest).contains(&expired_at),
        "expired at {expired_at} s, expected {held_until} s to {latest} s"
    );
}

cases::cases! { flow_expires_on_time;
    a_half_open_flow_expires_after_the_half_open_timeout: Lifetime {
        packets: vec![],
        closed: None,
        held_until: 30,
    },
    an_open_flow_expires_after_the_idle_timeout: Lifetime {
        packets: vec![10],
        closed: None,
        held_until: 610,
    },
    packets_extend_the_lifetime_of_an_open_flow: Lifetime {
        packets: (1..2_000).step_by(500).collect(),
        closed: None,
        held_until: 2_101,
    },
    a_closed_flow_is_kept_for_the_duplicate_window: Lifetime {
        packets: vec![10],
        closed: Some(20),
        held_until: 80,
    },
    a_closed_flow_expires_one_duplicate_window_after_the_close: Lifetime {
        packets: vec![10],
        closed: Some(20),
        held_until: 80,
    },
}

#[test]
fn a_repeated_open_returns_the_existing_flow() {
    let mut table = table();
    let first = table.open(Duration::ZERO, 7, TOKEN, caller()).unwrap();
    let other = Token {
        target: 2,
        incarnation: 2,
    };
    let second = table
        .open(Duration::from_secs(1), 7, other, caller())
        .unwrap();
    assert_eq!(second.token, first.token);
    assert_eq!(second.phase, Phase::HalfOpen);
    assert_eq!(table.len(), 1);
}

#[test]
fn a_closed_flow_is_not_opened_again() {
    let mut table = table();
    table.open(Duration::ZERO, 7, TOKEN, caller()).unwrap();
    table.close(Duration::ZERO, 7);
    let result = table.open(Duration::from_secs(1), 7, TOKEN, caller());
    assert_eq!(result, Err(Error::Closed));
}

#[test]
fn a_flow_key_of_another_caller_is_refused() {
    let mut table = table();
    table.open(Duration::ZERO, 7, TOKEN, caller()).unwrap();
    let other = "203.0.113.6:4000".parse().unwrap();
    let result = table.open(Duration::ZERO, 7, TOKEN, other);
    assert_eq!(result, Err(Error::KeyInUse));
}

#[test]
fn a_full_table_refuses_until_a_flow_expires() {
    let mut table = table();
    for key in 1..=4 {
        table.open(Duration::ZERO, key, TOKEN, caller()).unwrap();
    }
    let result = table.open(Duration::ZERO, 5, TOKEN, caller());
    assert_eq!(result, Err(Error::Full));
    let now = Duration::from_secs(32);
    assert_eq!(expire(&mut table, now), vec![1, 2, 3, 4]);
    table.open(now, 5, TOKEN, caller()).unwrap();
}

#[test]
fn a_flow_with_pending_requests_does_not_expire() {
    let mut table = table();
    table.open(Duration::ZERO, 7, TOKEN, caller()).unwrap();
    table.get_mut(7).unwrap().pending = 1;
    let now = Duration::from_hours(5);
    assert_eq!(expire(&mut table, now), Vec::<u64>::new());
    let flow = table.get_mut(7).unwrap();
    flow.pending = 0;
    flow.last_seen = now;
    assert_eq!(expire(&mut table, now + Duration::from_mins(12)), vec![7]);
}

#[test]
fn memory_for_each_flow_is_bounded() {
    let settings = Settings {
        capacity: 100_000,
        ..settings()
    };
    let mut table = Table::new(settings, 1, Duration::ZERO);
    for key in 1..=100_000 {
        table.open(Duration::ZERO, key, TOKEN, caller()).unwrap();
    }
    let bytes = table.bytes() / table.len();
    assert!(bytes <= 256, "{bytes} bytes per flow");
    expire(&mut table, Duration::from_mins(1));
    assert!(table.is_empty());
}

#[derive(Clone, Debug)]
enum Event {
    Open(u64),
    Touch(u64),
    Close(u64),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (1..8_u64).prop_map(Event::Open),
        (1..8_u64).prop_map(Event::Touch),
        (1..8_u64).prop_map(Event::Close),
        (1..400_u64).prop_map(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    /// A flow does not expire before its timeout, and the table is empty once
    /// all timeouts have passed.
    #[test]
    fn flows_do_not_expire_early_and_all_expire(events in prop::collection::vec(event(), 1..100)) {
        let mut table = table();
        let mut now = Duration::ZERO;
        for event in events {
            match event {
                Event::Open(key) => drop(table.open(now, key, TOKEN, caller())),
                Event::Touch(key) => table.touch(now, key),
                Event::Close(key) => table.close(now, key),
                Event::Wait(seconds) => now += Duration::from_secs(seconds),
            }
            let before: Vec<_> = table.iter().copied().collect();
            let expired = expire(&mut table, now);
            for flow in before {
                let timeout = match flow.phase {
                    Phase::HalfOpen => settings().half_open_timeout,
                    Phase::Open => settings().idle_timeout,
                    Phase::Closed => settings().duplicate_window,
                };
                let is_due = flow.last_seen + timeout <= now;
                prop_assert!(is_due || !expired.contains(&flow.key));
            }
            prop_assert!(table.len() <= settings().capacity);
        }
        now += Duration::from_hours(1);
        expire(&mut table, now);
        now += Duration::from_mins(2);
        expire(&mut table, now);
        prop_assert!(table.is_empty());
    }
}
