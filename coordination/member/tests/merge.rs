//! Tests of records that arrive stale, twice and in any order.
mod net;

use std::time::Duration;

use bytes::Bytes;
use member::Action;
use member::Entry;
use member::Identity;
use member::Message;
use member::Record;
use member::Registry;
use member::Service;
use member::Settings;
use member::message::Push;
use member::record::Report;
use member::record::Statement;
use member::record::report_key;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::Revision;
use wire::ServiceAddress;

use crate::net::entry;
use crate::net::shared_service;
use crate::net::target;

const NOW: Duration = Duration::ZERO;

fn registry(number: u8) -> Registry {
    let identity = Identity {
        address: entry(number),
        zone: 1,
        incarnation: 1,
    };
    Registry::new(Settings::default(), identity, number.into(), NOW)
}

fn push(registry: &mut Registry, records: Vec<Record>) {
    let push = Push {
        is_rumor: false,
        records,
    };
    registry.handle(NOW, entry(9), Message::Push(push), &mut Vec::new());
}

fn service(number: u8, revision: Revision) -> Service {
    Service {
        address: ServiceAddress::from(([10, 1, 0, number], 80)),
        revision,
        body: Bytes::from(revision.to_string()),
    }
}

fn statement(subject: u8, observer: u8, sequence: u64, silent: bool) -> Statement {
    // Heartbeats from number 4 on name other watchers.
    let watchers = if sequence < 4 { 1..=3 } else { 2..=4 };
    Statement {
        subject: target(subject, 1, 2).id,
        incarnation: 2,
        observer: entry(observer),
        sequence,
        silent,
        watchers: watchers.map(entry).collect(),
    }
}

fn any_record() -> impl Strategy<Value = Record> {
    let services = (1..4_u8, 0..6_u128)
        .prop_map(|(number, revision)| Record::Service(service(number, revision)));
    let targets = (1..4_u8, 1..4_u64, 0..3_u32).prop_map(|(number, incarnation, version)| {
        let mut target = target(number, 1, incarnation);
        target.version = version;
        Record::Target(target)
    });
    let entries = (1..4_u8, 1..4_u64, any::<bool>()).prop_map(|(number, incarnation, left)| {
        Record::Entry(Entry {
            address: entry(number),
            zone: 1,
            incarnation,
            has_left: left,
        })
    });
    let statements = (1..4_u8, 1..6_u8, 0..8_u64, any::<bool>()).prop_map(
        |(subject, observer, sequence, silent)| {
            Record::Statement(statement(subject, observer, sequence, silent))
        },
    );
    let reports = (1..6_u8, 0..4_u32, 0..3_u16).prop_map(|(observer, version, silent)| {
        Record::Report(Report {
            zone: 2,
            observer: entry(observer),
            observer_zone: 1,
            incarnation: 1,
            version,
            silent,
            watched: 3,
        })
    });
    prop_oneof![services, targets, entries, statements, reports]
}

/// Returns the records without reports that have the key and version of an
/// earlier one, since an observer sends only one report with each version.
fn without_conflicting_reports(records: Vec<Record>) -> Vec<Record> {
    let mut kept: Vec<Record> = Vec::new();
    for record in records {
        let rivals = kept.iter().filter(|held| held.key() == record.key());
        let clash = rivals.into_iter().any(|held| match (held, &record) {
            (Record::Report(held), Record::Report(new)) => held.version == new.version,
            _ => false,
        });
        if !clash {
            kept.push(record);
        }
    }
    kept
}

/// Delivers all messages between two registries until none is left.
fn exchange(first: &mut Registry, second: &mut Registry, now: Duration) {
    let mut queue: Vec<(u8, Message)> = Vec::new();
    let mut actions = Vec::new();
    first.tick(now, &mut actions);
    let sends = |to: u8, actions: &mut Vec<Action>| -> Vec<(u8, Message)> {
        let actions = actions.drain(..);
        actions
            .map(|Action::Send { message, .. }| (to, message))
            .collect()
    };
    queue.extend(sends(2, &mut actions));
    while let Some((to, message)) = queue.pop() {
        if to == 2 {
            second.handle(now, entry(7), message, &mut actions);
            queue.extend(sends(1, &mut actions));
        } else {
            first.handle(now, entry(8), message, &mut actions);
            queue.extend(sends(2, &mut actions));
        }
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_configuration_revision_never_decreases(
        revisions in prop::collection::vec((1..4_u8, 0..20_u128), 1..60),
    ) {
        let mut registry = registry(1);
        let mut newest = std::collections::BTreeMap::new();
        for (number, revision) in revisions {
            push(&mut registry, vec![Record::Service(service(number, revision))]);
            let largest: &mut Revision = newest.entry(number).or_default();
            *largest = revision.max(*largest);
            let wanted = service(number, *largest);
            let view = registry.view(&wanted.address);
            prop_assert_eq!(view.and_then(|view| view.config.as_ref()), Some(&wanted));
        }
    }

    #[test]
    fn merged_records_do_not_depend_on_the_order_of_arrival(
        records in prop::collection::vec(any_record(), 1..60).prop_map(without_conflicting_reports),
        seed in any::<u64>(),
    ) {
        let (mut first, mut second) = (registry(6), registry(6));
        let mut shuffled = records.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        // A statement about an unknown process is refused, and merged by a
        // later push once the process is known.
        for _ in 0..3 {
            push(&mut first, records.clone());
            push(&mut second, shuffled.clone());
        }
        prop_assert_eq!(first.digest(), second.digest());
    }

    #[test]
    fn two_entries_agree_after_anti_entropy(
        records in prop::collection::vec(any_record(), 0..60).prop_map(without_conflicting_reports),
        seed in any::<u64>(),
    ) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut first, mut second) = (registry(7), registry(8));
        for record in records {
            let receiver = if rng.bool() { &mut first } else { &mut second };
            push(receiver, vec![record.clone()]);
            if rng.bool() {
                push(receiver, vec![record]);
            }
        }
        first.join(NOW, &[entry(8)]);
        for seconds in 1..40 {
            exchange(&mut first, &mut second, Duration::from_secs(seconds));
            if first.digest() == second.digest() {
                break;
            }
        }
        prop_assert_eq!(first.digest(), second.digest());
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..1_300)) {
        if let Ok(message) = Message::decode(&bytes) {
            registry(1).handle(NOW, entry(2), message, &mut Vec::new());
        }
    }
}

#[test]
fn only_a_newer_revision_replaces_a_configuration() {
    let mut registry = registry(1);
    push(&mut registry, vec![Record::Service(service(1, 4))]);
    assert!(!registry.put_service(NOW, service(1, 4)));
    assert!(registry.put_service(NOW, service(1, 5)));
    assert!(registry.view(&shared_service()).is_some());
}

#[test]
fn the_number_of_observers_of_a_zone_is_bounded() {
    let mut registry = registry(1);
    let report = |observer| Report {
        zone: 2,
        observer: entry(observer),
        observer_zone: 1,
        incarnation: 1,
        version: 1,
        silent: 1,
        watched: 1,
    };
    let reports = (0..200).map(report);
    let keys: Vec<u64> = (0..200)
        .map(|number| report_key(2, entry(number)))
        .collect();
    push(&mut registry, reports.map(Record::Report).collect());
    let mut actions = Vec::new();
    for keys in keys.chunks(50) {
        registry.handle(NOW, entry(2), Message::Pull(keys.to_vec()), &mut actions);
    }
    let kept = actions
        .iter()
        .map(|Action::Send { message, .. }| match message {
            Message::Push(push) => push.records.len(),
            _ => 0,
        });
    assert_eq!(kept.sum::<usize>(), 16);
}
