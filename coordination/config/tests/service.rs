//! Tests of the validation and the codecs of a service's configuration.
use std::net::SocketAddr;
use std::time::Duration;

use config::Binding;
use config::Drained;
use config::Problem;
use config::Record;
use config::Service;
use config::diff::diff;
use config::key;
use proptest::prelude::*;

fn service() -> Service {
    Service {
        name: "roster".to_owned(),
        operation: "op-1".to_owned(),
        ..Service::new("192.0.2.1:5000".parse().expect("an address"))
    }
}

#[test]
fn the_defaults_lack_only_a_name_and_an_operation_id() {
    assert_eq!(service().validate(), Ok(()));
    let bare = Service::new(service().address);
    assert_eq!(
        bare.validate(),
        Err(vec![Problem::Name, Problem::Operation])
    );
}

#[test]
fn all_problems_are_reported_together_with_their_remedies() {
    let wrong = Service {
        address: "0.0.0.0:0".parse().expect("an address"),
        name: "two words".to_owned(),
        hunt: 0,
        queue_limit: Duration::from_mins(2),
        idle_timeout: Duration::ZERO,
        default_deadline: Duration::from_hours(3),
        largest_deadline: Duration::from_hours(2),
        largest_answer_bytes: 0,
        drained: (0..1025).map(Drained::Target).collect(),
        operation: "x".repeat(65),
        ..service()
    };
    let problems = wrong.validate().expect_err("problems");
    let expected = [
        Problem::AddressUnspecified,
        Problem::PortZero,
        Problem::Name,
        Problem::Hunt,
        Problem::QueueLimit,
        Problem::IdleTimeout,
        Problem::DefaultDeadlineOverLargest,
        Problem::LargestDeadline,
        Problem::LargestAnswer,
        Problem::Drained,
        Problem::Operation,
    ];
    assert_eq!(problems, expected);
    for problem in problems {
        assert!(problem.to_string().contains(';'), "{problem}");
    }
}

#[test]
fn fields_missing_from_a_record_get_the_defaults() {
    let json = br#"{"address":"192.0.2.1:5000","name":"roster","operation":"op-1"}"#;
    let record = Record::from_json(json).expect("a record");
    assert_eq!(record, Record::create(service()));
}

/// Target ids are strings because JSON decoders may round integers over 2^53.
#[test]
fn a_record_has_units_in_field_names_and_target_ids_as_strings() {
    let drained = [Drained::Target(u64::MAX), Drained::Zone(2)];
    let record = Record::create(Service {
        drained: drained.into_iter().collect(),
        binding: Binding::Independent,
        ..service()
    });
    let json = String::from_utf8(record.to_json().expect("JSON")).expect("text");
    for part in [
        r#""queue_limit_ms":500"#,
        r#""binding":"independent""#,
        r#"[{"target":"18446744073709551615"},{"zone":2}]"#,
    ] {
        assert!(json.contains(part), "{json}");
    }
}

#[test]
fn bytes_that_a_later_version_appended_are_ignored() {
    let mut bytes = service().to_bytes().expect("bytes");
    bytes.extend([1, 2, 3]);
    assert_eq!(Service::from_bytes(&bytes), Ok(service()));
}

#[test]
fn a_drain_covers_its_target_or_the_whole_zone() {
    let drained = [Drained::Target(7), Drained::Zone(2)];
    let service = Service {
        drained: drained.into_iter().collect(),
        ..service()
    };
    assert!(service.is_drained(7, 1));
    assert!(service.is_drained(8, 2));
    assert!(!service.is_drained(8, 1));
}

fn has_deadline((stated, in_force): (Duration, Duration)) {
    assert_eq!(service().deadline(stated), in_force);
}

cases::cases! { has_deadline;
    a_request_without_a_deadline_gets_the_default: (Duration::ZERO, Duration::from_secs(2)),
    a_short_deadline_is_kept: (Duration::from_millis(5), Duration::from_millis(5)),
    a_long_deadline_is_shortened: (Duration::from_mins(9), Duration::from_secs(30)),
}

#[test]
fn differences_name_each_changed_field_except_the_operation() {
    let after = Service {
        hunt: 1,
        operation: "op-2".to_owned(),
        drained: [Drained::Zone(2)].into_iter().collect(),
        ..service()
    };
    let lines: Vec<_> = diff(Some(&service()), &after)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(lines, [r#"drained: [] -> [{"zone":2}]"#, "hunt: 3 -> 1"]);
    assert_eq!(diff(Some(&after), &after), []);
    assert_eq!(diff(None, &after).len(), 11);
}

proptest! {
    #[test]
    fn no_decoder_panics_on_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Service::from_bytes(&bytes);
        let _ = Record::from_json(&bytes);
        let mut framed = vec![1];
        framed.extend(&bytes);
        let _ = Service::from_bytes(&framed);
    }

    #[test]
    fn a_configuration_is_unchanged_by_encoding_and_decoding(
        hunt: u8,
        queue_ms: u32,
        target: u64,
        zone: u16,
        name in "\\PC{0,8}",
    ) {
        let service = Service {
            hunt,
            name,
            queue_limit: Duration::from_millis(queue_ms.into()),
            drained: [Drained::Target(target), Drained::Zone(zone)].into_iter().collect(),
            ..service()
        };
        let bytes = service.to_bytes().expect("bytes");
        prop_assert_eq!(Service::from_bytes(&bytes), Ok(service.clone()));
        let record = Record::create(service);
        let json = record.to_json().expect("JSON");
        prop_assert_eq!(Record::from_json(&json), Ok(record));
    }

    #[test]
    fn a_key_is_parsed_to_its_bucket(ip: [u8; 4], port: u16) {
        let address = SocketAddr::from((ip, port));
        let bucket = key::bucket(address);
        prop_assert_eq!(key::marker_bucket(&key::change_marker(bucket)), Some(bucket));
        prop_assert_eq!(key::service_bucket(&key::service(address)), Some(bucket));
        prop_assert!(key::service(address).starts_with(&key::bucket_prefix(bucket)));
    }
}
