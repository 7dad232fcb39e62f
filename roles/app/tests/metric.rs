//! The metrics of a process.
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use app::metric;
use app::metric::Board;
use app::metric::Error;
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
fn page_matches_the_code() {
    let page = include_str!("../../../docs/METRICS.md");
    assert!(
        page == metric::page(),
        "write it again with `greengagelug help metrics > docs/METRICS.md`"
    );
}

#[test]
fn names_are_unique() {
    for metric in METRICS {
        let count = METRICS
            .iter()
            .filter(|other| other.name == metric.name)
            .count();
        assert_eq!(count, 1, "{}", metric.name);
    }
}

#[test]
fn reads_counters_by_reason_and_gauges() {
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
fn refuses_a_metric_that_is_not_in_the_table() {
    let result = Metrics::new().cell("flaws", "");
    assert!(matches!(result, Err(Error::Unknown(name)) if name == "flaws"));
}

#[test]
fn status_of_an_agent_is_in_the_table() {
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
    let mut board = Board::default();
    metric::agent::publish(&mut board, &core.status()).expect("all are in the table");
    let samples = board.read().expect("can be read");
    assert!(samples.contains(&sample("flows", "", 0)), "{samples:?}");
    assert!(metric::line(&samples).contains("flows=0 "));
}

#[test]
fn reason_is_shown_in_braces() {
    let samples = [sample("port.refused", "bad_tag", 3), sample("flows", "", 1)];
    assert_eq!(metric::line(&samples), "port.refused{bad_tag}=3 flows=1");
}

#[test]
fn a_histogram_is_written_with_its_buckets() {
    let board = Board::default();
    let histogram = board.histogram("carried.open.time").unwrap();
    for time in [150, 150, 3_000] {
        histogram.record(time, &[]);
    }
    let text = metric::text(&board.read().unwrap());
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
fn counters_are_written_with_their_reason() {
    let mut board = Board::default();
    board.set("carried.flows.reset", "no_slot", 4).unwrap();
    let text = metric::text(&board.read().unwrap());
    let line = "greengagelug_carried_flows_reset{reason=\"no_slot\"} 4";
    assert!(text.contains(line), "{text}");
}

#[test]
fn a_counter_is_no_histogram() {
    let result = Board::default().histogram("carried.dropped");
    assert!(matches!(result, Err(Error::Unknown(_))));
}
