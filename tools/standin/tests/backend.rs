//! Tests of the backend server: worker, ledger and run times.
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::block_on;
use futures_lite::future::poll_once;
use standin::backend::Job;
use standin::backend::Outcome;
use standin::backend::Run;
use standin::backend::Settings;
use standin::backend::Worker;
use standin::backend::answer;
use standin::backend::request_name;

const HOUR: Duration = Duration::from_hours(1);

fn worker(settings: Settings) -> Rc<Worker> {
    Rc::new(Worker::new(settings))
}

/// Creates a server whose requests take no time.
fn instant() -> Rc<Worker> {
    worker(Settings {
        mean_time: Duration::ZERO,
        ..Settings::default()
    })
}

/// Creates a server with one slot whose requests do not end during a test.
fn never_ending(queue_limit: u32) -> Rc<Worker> {
    worker(Settings {
        mean_time: HOUR,
        spread_percent: 0,
        slots: 1,
        queue_limit,
        ..Settings::default()
    })
}

fn job(name: &str) -> Job {
    Job {
        name: name.into(),
        idempotent: false,
        deadline: HOUR,
    }
}

#[test]
fn ledger_counts_each_run() {
    let worker = instant();
    for name in ["a", "b", "a"] {
        assert_eq!(block_on(worker.run(job(name))), Outcome::Finished);
    }
    let ledger = worker.ledger();
    let twice = Run {
        idempotent: false,
        begun: 2,
        finished: 2,
        cancelled: 0,
    };
    assert_eq!(ledger.runs["a"], twice);
    assert_eq!(ledger.runs["b"].begun, 1);
}

#[test]
fn dropped_run_is_cancelled_and_frees_its_slot() {
    let worker = never_ending(0);
    {
        let mut running = pin!(worker.run(job("a")));
        assert!(block_on(poll_once(&mut running)).is_none());
        assert_eq!(worker.reported_load().active, 1);
    }
    assert_eq!(worker.reported_load().active, 0);
    let run = worker.ledger().runs["a"];
    assert_eq!((run.begun, run.finished, run.cancelled), (1, 0, 1));
}

#[test]
fn full_queue_sheds_without_a_run() {
    let worker = never_ending(1);
    let mut running = pin!(worker.run(job("a")));
    let mut waiting = pin!(worker.run(job("b")));
    assert!(block_on(poll_once(&mut running)).is_none());
    assert!(block_on(poll_once(&mut waiting)).is_none());
    assert_eq!(worker.reported_load().queued, 1);
    assert_eq!(block_on(worker.run(job("c"))), Outcome::Shed);
    let ledger = worker.ledger();
    assert_eq!(ledger.shed, 1);
    assert!(!ledger.runs.contains_key("b") && !ledger.runs.contains_key("c"));
}

#[test]
fn request_past_its_deadline_does_not_run() {
    let worker = instant();
    let expired_job = Job {
        deadline: Duration::ZERO,
        ..job("a")
    };
    assert_eq!(block_on(worker.run(expired_job)), Outcome::Expired);
    assert!(worker.ledger().runs.is_empty());
}

#[test]
fn draining_server_sheds() {
    let worker = instant();
    worker.drain();
    assert_eq!(block_on(worker.run(job("a"))), Outcome::Shed);
    assert!(worker.reported_load().draining);
}

#[test]
fn delayed_report_omits_the_latest_change() {
    let worker = worker(Settings {
        report_age: HOUR,
        ..Settings::default()
    });
    worker.drain();
    assert!(!worker.reported_load().draining);
}

#[test]
fn misleading_server_reports_that_it_is_not_draining() {
    let worker = worker(Settings {
        mislead: true,
        ..Settings::default()
    });
    worker.drain();
    assert!(!worker.reported_load().draining);
}

#[test]
fn run_time_falls_during_the_cold_start() {
    let settings = Settings {
        mean_time: Duration::from_millis(10),
        spread_percent: 50,
        cold_start: Duration::from_secs(4),
        cold_factor: 3,
        ..Settings::default()
    };
    let time = |age, uniform| settings.run_time(Duration::from_secs(age), uniform);
    assert_eq!(time(0, 0.5), Duration::from_millis(30));
    assert_eq!(time(2, 0.5), Duration::from_millis(20));
    assert_eq!(time(4, 0.5), Duration::from_millis(10));
    assert_eq!(time(9, 0.0), Duration::from_millis(5));
    assert_eq!(time(9, 1.0), Duration::from_millis(15));
}

#[test]
fn answer_repeats_the_payload() {
    assert_eq!(answer("rota", b"abc", 0), b"rota\nabc");
    assert_eq!(answer("rota", b"abc", 12), b"rota\nabcabca");
    assert_eq!(answer("rota", b"", 12), b"rota\n");
}

#[test]
fn request_is_named_by_its_first_line() {
    assert_eq!(request_name(b"a-1\nrest", "7"), "a-1");
    assert_eq!(request_name(b"", "7"), "7");
    assert_eq!(request_name(b"\xff\n", "7"), "7");
}
