//! Tests of the metrics: table, reading and text formats.
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use app::metric;
use app::metric::Error;
use app::metric::Instruments;
use app::metric::METRICS;
use app::metric::Metrics;
use app::metric::Sample;
use wire::Target;
use wire::target::State;

fn sample(name: &str, reason: &str, value: u64) -> Sample {
    Sample {
        name: name.into(),
        reason: reason.into(),
        value,
    }
}

#[test]
fn metrics_page_matches_the_table() {
    let page = include_str!("../../../docs/METRICS.md");
    assert!(
        page == metric::page(),
        "regenerate it with `greengagelug help metrics > docs/METRICS.md`"
    );
}

#[test]
fn metric_names_are_unique() {
    for metric in METRICS {
        let count = METRICS
            .iter()
            .filter(|other| other.name == metric.name)
            .count();
        assert_eq!(count, 1, "{}", metric.name);
    }
}

#[test]
fn reading_returns_current_counters_by_reason_and_gauges() {
    let metrics = Metrics::new();
    let overloaded = metrics
        .cell("requests.refused", "overloaded")
        .expect("is in the table");
    let deadline = metrics
        .cell("requests.refused", "deadline")
        .expect("is in the table");
    let flows = metrics.cell("flows", "").expect("is in the table");
    overloaded.fetch_add(2, Ordering::Relaxed);
    deadline.fetch_add(1, Ordering::Relaxed);
    flows.store(7, Ordering::Relaxed);
    let first = metrics.read().expect("can be read");
    assert_eq!(
        first,
        [
            sample("flows", "", 7),
            sample("requests.refused", "deadline", 1),
            sample("requests.refused", "overloaded", 2),
        ]
    );
    overloaded.fetch_add(1, Ordering::Relaxed);
    flows.store(5, Ordering::Relaxed);
    let second = metrics.read().expect("can be read");
    assert_eq!(second[0], sample("flows", "", 5));
    assert_eq!(second[2], sample("requests.refused", "overloaded", 3));
}

#[test]
fn registering_a_metric_outside_the_table_fails() {
    let result = Metrics::new().cell("flaws", "");
    assert!(matches!(result, Err(Error::Unknown(name)) if name == "flaws"));
}

#[test]
fn all_metrics_of_an_agent_are_in_the_table() {
    let address = SocketAddr::from(([127, 0, 0, 1], 7000));
    let target = Target {
        id: 1,
        service: address,
        address,
        control: address,
        zone: 1,
        incarnation: 1,
        version: 0,
        weight: 20,
        slots: 1,
        state: State::Ready,
    };
    let core = agent::Agent::new(agent::Settings::default(), target, 1, Duration::ZERO);
    let mut instruments = Instruments::default();
    metric::agent::publish(&mut instruments, &core.status()).expect("all are in the table");
    let samples = instruments.read().expect("can be read");
    assert!(samples.contains(&sample("flows", "", 0)), "{samples:?}");
    assert!(metric::line(&samples).contains("flows=0 "));
}

#[test]
fn line_shows_the_reason_in_braces() {
    let samples = [sample("port.refused", "bad_tag", 3), sample("flows", "", 1)];
    assert_eq!(metric::line(&samples), "port.refused{bad_tag}=3 flows=1");
}

#[test]
fn prometheus_text_contains_buckets_sum_and_count_of_a_histogram() {
    let instruments = Instruments::default();
    let histogram = instruments.histogram("carried.open.time").unwrap();
    for time in [150, 150, 3_000] {
        histogram.record(time, &[]);
    }
    let text = metric::text(&instruments.read().unwrap());
    for line in [
        "# TYPE greengagelug_carried_open_time histogram",
        "greengagelug_carried_open_time_bucket{le=\"100\"} 0",
        "greengagelug_carried_open_time_bucket{le=\"200\"} 2",
        "greengagelug_carried_open_time_bucket{le=\"+Inf\"} 3",
        "greengagelug_carried_open_time_sum 3300",
        "greengagelug_carried_open_time_count 3",
    ] {
        assert!(
            text.lines().any(|other| other == line),
            "{line} is not in\n{text}"
        );
    }
}

#[test]
fn prometheus_text_labels_counters_with_their_reason() {
    let mut instruments = Instruments::default();
    instruments
        .set("carried.flows.reset", "no_slot", 4)
        .unwrap();
    let text = metric::text(&instruments.read().unwrap());
    let line = "greengagelug_carried_flows_reset{reason=\"no_slot\"} 4";
    assert!(text.contains(line), "{text}");
}

#[test]
fn creating_a_histogram_for_a_counter_fails() {
    let result = Instruments::default().histogram("carried.dropped");
    assert!(matches!(result, Err(Error::Unknown(_))));
}
