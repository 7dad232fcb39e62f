//! The ledger prevents non-idempotent requests from running twice, within its
//! memory limit.
use std::time::Duration;

use bytes::Bytes;
use flow::Answer;
use flow::Ledger;
use flow::Record;
use flow::State;
use flow::ledger::Admission;
use flow::ledger::RECORD_BYTES;
use flow::ledger::Settings;
use flow::record::Key;
use flow::record::Refusal;
use flow::seen::IDS_PER_FLOW;
use flow::seen::Seen;
use proptest::prelude::*;
use wire::caller::Reason;

const DEADLINE: Duration = Duration::from_secs(10);

fn key(request: u64) -> Key {
    Key { flow: 7, request }
}

fn ledger(max_bytes: usize) -> Ledger {
    let settings = Settings {
        max_bytes,
        ..Settings::default()
    };
    Ledger::new(settings, 1)
}

fn refusal() -> Refusal {
    Refusal {
        reason: Reason::Overloaded,
        retry_after: Duration::from_secs(1),
    }
}

fn done(len: usize) -> State {
    State::Done(Answer::new(Bytes::from(vec![7; len])).unwrap())
}

/// Records a request and moves it to a final state.
fn finish(ledger: &mut Ledger, request: u64, state: State) {
    assert_eq!(ledger.admit(key(request), false, DEADLINE), Admission::New);
    assert!(ledger.advance(Duration::ZERO, key(request), State::Running));
    assert!(ledger.advance(Duration::ZERO, key(request), state));
}

struct Transition {
    from: State,
    to: State,
    allowed: bool,
}

fn the_transition_is_allowed_as_expected(transition: Transition) {
    let Transition { from, to, allowed } = transition;
    assert_eq!(to.follows(&from), allowed);
}

cases::cases! { the_transition_is_allowed_as_expected;
    a_recorded_request_may_run: Transition {
        from: State::Recorded, to: State::Running, allowed: true,
    },
    a_queued_request_may_run: Transition {
        from: State::Queued, to: State::Running, allowed: true,
    },
    a_running_request_does_not_run_again: Transition {
        from: State::Running, to: State::Running, allowed: false,
    },
    a_running_request_does_not_queue: Transition {
        from: State::Running, to: State::Queued, allowed: false,
    },
    a_refused_request_does_not_run: Transition {
        from: State::NotRun(refusal()), to: State::Running, allowed: false,
    },
    an_unknown_request_does_not_run: Transition {
        from: State::Unknown(refusal()), to: State::Running, allowed: false,
    },
    an_answered_request_is_not_refused: Transition {
        from: done(1), to: State::NotRun(refusal()), allowed: false,
    },
    a_queued_request_has_no_answer: Transition {
        from: State::Queued, to: done(1), allowed: false,
    },
    an_unknown_request_gets_no_late_answer: Transition {
        from: State::Unknown(refusal()), to: done(1), allowed: false,
    },
}

#[test]
fn a_repeated_request_gets_the_recorded_state() {
    let mut ledger = ledger(1 << 20);
    finish(&mut ledger, 1, done(100));
    let admission = ledger.admit(key(1), false, DEADLINE);
    assert_eq!(admission, Admission::Final(done(100)));
    assert_eq!(ledger.admit(key(2), false, DEADLINE), Admission::New);
    assert_eq!(ledger.admit(key(2), false, DEADLINE), Admission::Pending);
}

#[test]
fn a_record_expires_one_duplicate_window_after_its_deadline() {
    let mut ledger = ledger(1 << 20);
    finish(&mut ledger, 1, State::NotRun(refusal()));
    let end = DEADLINE + Settings::default().duplicate_window;
    assert_eq!(ledger.next_deadline(), Some(end));
    ledger.expire(end.saturating_sub(Duration::from_millis(1)));
    assert_eq!(ledger.get(key(1)), Some(&State::NotRun(refusal())));
    ledger.expire(end);
    assert_eq!(ledger.get(key(1)), None);
}

#[test]
fn a_request_with_an_expired_record_is_not_new() {
    let mut ledger = ledger(1 << 20);
    finish(&mut ledger, 5, done(1));
    ledger.expire(Duration::from_hours(1));
    let admission = ledger.admit(key(5), false, DEADLINE);
    assert_eq!(admission, Admission::RecordExpired);
    assert_eq!(ledger.admit(key(4), false, DEADLINE), Admission::New);
    ledger.remove_seen(7);
    assert_eq!(ledger.admit(key(5), false, DEADLINE), Admission::New);
}

#[test]
fn ids_beyond_the_stored_number_raise_the_floor() {
    let mut seen = Seen::default();
    let count = IDS_PER_FLOW as u64 + 5;
    for id in 1..=count {
        seen.insert(id * 10);
    }
    assert_eq!(seen.floor(), 50);
    assert!((1..=count).all(|id| seen.contains(id * 10)));
    assert!(seen.contains(45));
    assert!(!seen.contains(55));
}

#[test]
fn answers_are_evicted_before_tombstones() {
    let mut ledger = ledger(4 * RECORD_BYTES + 200);
    finish(&mut ledger, 1, State::NotRun(refusal()));
    finish(&mut ledger, 2, done(300));
    assert_eq!(
        ledger.get(key(2)).map(State::is_final),
        Some(true),
        "the answer is evicted, and its request has a final state"
    );
    finish(&mut ledger, 3, State::NotRun(refusal()));
    assert!(matches!(ledger.get(key(2)), Some(State::Unknown(_))));
    assert_eq!(ledger.get(key(1)), Some(&State::NotRun(refusal())));
}

#[test]
fn the_oldest_answer_is_evicted_first() {
    let mut ledger = ledger(6 * RECORD_BYTES + 1_000);
    finish(&mut ledger, 1, done(400));
    finish(&mut ledger, 2, done(400));
    finish(&mut ledger, 3, done(400));
    assert!(matches!(ledger.get(key(1)), Some(State::Unknown(_))));
    assert!(matches!(ledger.get(key(3)), Some(State::Done(_))));
}

#[test]
fn a_ledger_full_of_tombstones_refuses_new_requests() {
    let mut ledger = ledger(2 * RECORD_BYTES);
    finish(&mut ledger, 1, State::NotRun(refusal()));
    finish(&mut ledger, 2, State::NotRun(refusal()));
    assert_eq!(ledger.admit(key(3), false, DEADLINE), Admission::Full);
    assert_eq!(ledger.get(key(3)), None);
}

#[test]
fn ids_are_folded_at_the_memory_limit() {
    let mut ledger = ledger(4 * RECORD_BYTES);
    for flow in 1..=100 {
        let key = Key { flow, request: 9 };
        let admission = ledger.admit(key, false, Duration::ZERO);
        if admission == Admission::New {
            assert!(ledger.advance(Duration::ZERO, key, State::NotRun(refusal())));
        }
        ledger.expire(Duration::from_hours(1));
        assert!(ledger.bytes() <= 4 * RECORD_BYTES + 400);
    }
}

#[test]
fn a_restored_record_is_final_and_does_not_replace_another() {
    let mut ledger = ledger(1 << 20);
    let record = Record {
        idempotent: false,
        deadline: DEADLINE,
        state: done(3),
    };
    assert!(ledger.restore(Duration::ZERO, key(1), record.clone()));
    assert_eq!(ledger.get(key(1)), Some(&done(3)));
    assert!(!ledger.restore(Duration::ZERO, key(1), record));
    let pending = Record {
        idempotent: false,
        deadline: DEADLINE,
        state: State::Running,
    };
    assert!(!ledger.restore(Duration::ZERO, key(2), pending));
}

#[derive(Clone, Debug)]
enum Event {
    Admit { request: u64, idempotent: bool },
    Run(u64),
    Answer { request: u64, len: usize },
    Refuse(u64),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1..12_u64, any::<bool>())
            .prop_map(|(request, idempotent)| Event::Admit { request, idempotent }),
        3 => (1..12_u64).prop_map(Event::Run),
        2 => (1..12_u64, 0..500_usize)
            .prop_map(|(request, len)| Event::Answer { request, len }),
        2 => (1..12_u64).prop_map(Event::Refuse),
        1 => (1..60_u64).prop_map(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    /// For any sequence of events, a non-idempotent request runs at most once
    /// while its flow is held, and memory stays within the limit.
    #[test]
    fn no_non_idempotent_request_runs_twice(
        events in prop::collection::vec(event(), 1..200),
        records in 2..10_usize,
    ) {
        let max_bytes = records * RECORD_BYTES;
        let mut ledger = ledger(max_bytes);
        let mut now = Duration::ZERO;
        let mut runs = std::collections::BTreeMap::new();
        let mut non_idempotent = std::collections::BTreeMap::new();
        for event in events {
            match event {
                Event::Admit { request, idempotent } => {
                    let idempotent = *non_idempotent.entry(request).or_insert(idempotent);
                    drop(ledger.admit(key(request), idempotent, now + DEADLINE));
                }
                Event::Run(request) => {
                    if ledger.advance(now, key(request), State::Running) {
                        *runs.entry(request).or_insert(0) += 1;
                    }
                }
                Event::Answer { request, len } => {
                    let _ = ledger.advance(now, key(request), done(len));
                }
                Event::Refuse(request) => {
                    let _ = ledger.advance(now, key(request), State::NotRun(refusal()));
                }
                Event::Wait(seconds) => now += Duration::from_secs(seconds),
            }
            ledger.expire(now);
            // The ids of the single flow use memory in addition to the records.
            prop_assert!(ledger.bytes() <= max_bytes + 1_000);
        }
        for (request, count) in runs {
            prop_assert!(non_idempotent[&request] || count <= 1, "{request} ran {count} times");
        }
    }
}
