//! The backend server's worker and its ledger.
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::block_on;
use futures_lite::future::poll_once;
use standin::backend::Outcome;
use standin::backend::Run;
use standin::backend::Settings;
use standin::backend::Work;
use standin::backend::Worker;
use standin::backend::answer;
use standin::backend::request_name;

const HOUR: Duration = Duration::from_hours(1);

fn worker(settings: Settings) -> Rc<Worker> {
    Rc::new(Worker::new(settings))
}

/// A server whose requests end at once.
fn quick() -> Rc<Worker> {
    worker(Settings {
        time: Duration::ZERO,
        ..Settings::default()
    })
}

/// A server with one slot whose requests do not end.
fn slow(queue: u32) -> Rc<Worker> {
    worker(Settings {
        time: HOUR,
        spread: 0,
        slots: 1,
        queue,
        ..Settings::default()
    })
}

fn work(name: &str) -> Work {
    Work {
        name: name.into(),
        idempotent: false,
        deadline: HOUR,
    }
}

#[test]
fn ledger_counts_each_run() {
    let worker = quick();
    for name in ["a", "b", "a"] {
        assert_eq!(block_on(worker.run(work(name))), Outcome::Finished);
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
    let worker = slow(0);
    {
        let mut running = pin!(worker.run(work("a")));
        assert!(block_on(poll_once(&mut running)).is_none());
        assert_eq!(worker.reported().active, 1);
    }
    assert_eq!(worker.reported().active, 0);
    let run = worker.ledger().runs["a"];
    assert_eq!((run.begun, run.finished, run.cancelled), (1, 0, 1));
}

#[test]
fn full_queue_sheds_without_a_run() {
    let worker = slow(1);
    let mut running = pin!(worker.run(work("a")));
    let mut waiting = pin!(worker.run(work("b")));
    assert!(block_on(poll_once(&mut running)).is_none());
    assert!(block_on(poll_once(&mut waiting)).is_none());
    assert_eq!(worker.reported().queued, 1);
    assert_eq!(block_on(worker.run(work("c"))), Outcome::Shed);
    let ledger = worker.ledger();
    assert_eq!(ledger.shed, 1);
    assert!(!ledger.runs.contains_key("b") && !ledger.runs.contains_key("c"));
}

#[test]
fn late_request_does_not_run() {
    let worker = quick();
    let late = Work {
        deadline: Duration::ZERO,
        ..work("a")
    };
    assert_eq!(block_on(worker.run(late)), Outcome::Late);
    assert!(worker.ledger().runs.is_empty());
}

#[test]
fn draining_server_sheds() {
    let worker = quick();
    worker.drain();
    assert_eq!(block_on(worker.run(work("a"))), Outcome::Shed);
    assert!(worker.reported().draining);
}

#[test]
fn lagging_report_is_old() {
    let worker = worker(Settings {
        lag: HOUR,
        ..Settings::default()
    });
    worker.drain();
    assert!(!worker.reported().draining);
}

#[test]
fn misleading_report_is_idle_and_healthy() {
    let worker = worker(Settings {
        mislead: true,
        ..Settings::default()
    });
    worker.drain();
    assert!(!worker.reported().draining);
}

#[test]
fn cold_server_is_slower() {
    let settings = Settings {
        time: Duration::from_millis(10),
        spread: 50,
        cold: Duration::from_secs(4),
        cold_factor: 3,
        ..Settings::default()
    };
    let time = |age, dice| settings.run_time(Duration::from_secs(age), dice);
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
