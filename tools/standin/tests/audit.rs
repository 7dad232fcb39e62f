//! Tests of the audit, which compares reports with ledgers.
use standin::audit::Finding;
use standin::audit::Report;
use standin::backend::Ledger;

/// Creates a ledger with one finished run of each name; a name that starts with
/// `i` is idempotent.
fn ledger(slots: u32, busy_ms: u64, runs: &[&str]) -> Ledger {
    let mut ledger = Ledger::new("roster".into(), slots);
    ledger.busy_ms = busy_ms;
    for name in runs {
        ledger.begin(name, name.starts_with('i'));
        ledger.finish(name);
    }
    ledger
}

/// Creates a report without a violation.
fn report() -> Report {
    Report {
        service: "roster".into(),
        sent: 10,
        answered: 10,
        ..Report::default()
    }
}

#[test]
fn consistent_report_violates_no_guarantee() {
    let ledgers = [ledger(4, 0, &["a", "b"]), ledger(4, 0, &["c"])];
    let finding = Finding::new(report(), &ledgers);
    assert!(!finding.has_violation(), "{finding:?}");
}

#[test]
fn second_run_on_another_server_is_detected() {
    let ledgers = [ledger(4, 0, &["a", "b"]), ledger(4, 0, &["b"])];
    let finding = Finding::new(report(), &ledgers);
    assert_eq!(finding.run_twice, 1);
    assert!(finding.has_violation());
}

#[test]
fn idempotent_request_may_run_twice() {
    let ledgers = [ledger(4, 0, &["i1"]), ledger(4, 0, &["i1"])];
    assert!(!Finding::new(report(), &ledgers).has_violation());
}

#[test]
fn run_of_a_request_refused_as_not_run_is_detected() {
    let report = Report {
        not_run: vec!["a".into(), "z".into()],
        ..report()
    };
    let finding = Finding::new(report, &[ledger(4, 0, &["a"])]);
    assert_eq!(finding.ran_after_refusal, 1);
    assert!(finding.has_violation());
}

/// Asserts that a report violates a guarantee after one change.
fn violates_a_guarantee(change: fn(&mut Report)) {
    let mut report = report();
    change(&mut report);
    assert!(Finding::new(report, &[]).has_violation());
}

cases::cases! { violates_a_guarantee;
    lost_operation: |report| report.lost = 1,
    wrong_service: |report| report.wrong_service = 1,
    mismatched_answer: |report| report.mismatched = 1,
    broken_flow: |report| { report.broken.insert("FLOW_UNKNOWN".into(), 1); },
    no_answer_at_all: |report| report.answered = 0,
}

#[test]
fn imbalance_is_relative_to_slots() {
    let even = Finding::new(report(), &[ledger(4, 400, &[]), ledger(2, 200, &[])]);
    assert!((even.imbalance - 1.0).abs() < 1e-9, "{}", even.imbalance);
    let uneven = Finding::new(report(), &[ledger(1, 300, &[]), ledger(1, 100, &[])]);
    assert!(
        (uneven.imbalance - 1.5).abs() < 1e-9,
        "{}",
        uneven.imbalance
    );
}
