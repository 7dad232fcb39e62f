//! Comparison of a caller's report with the ledgers of its service.
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;

use crate::backend::Ledger;
use crate::backend::Run;

/// The fields of a caller's report that the audit uses.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Report {
    /// Name of the service.
    pub service: String,
    /// Number of operations started.
    pub sent: u64,
    /// Number of operations answered.
    pub answered: u64,
    /// Number of operations that did not run, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Number of operations that may have run, by reason.
    pub unknown: BTreeMap<String, u64>,
    /// Number of operations that ended neither with an answer nor with an error.
    pub lost: u64,
    /// Number of answers from another service.
    pub wrong_service: u64,
    /// Number of answers that belong to another request.
    pub mismatched: u64,
    /// Number of flows that broke, by reason.
    pub broken: BTreeMap<String, u64>,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: u64,
    /// Names of the requests that were refused with the outcome `NOT_RUN`.
    pub not_run: Vec<String>,
}

/// Comparison of a caller's report with the ledgers of its service.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Report of the caller.
    pub report: Report,
    /// Number of non-idempotent requests that started to run more than once.
    pub run_twice: u64,
    /// Number of requests that started to run although they were refused with
    /// the outcome `NOT_RUN`.
    pub ran_after_refusal: u64,
    /// Busy time per slot of the busiest backend server, divided by the mean
    /// over all slots; 0 if nothing ran.
    pub imbalance: f64,
    /// Number of requests that backend servers refused without running them.
    pub shed: u64,
}

impl Finding {
    /// Compares a report with the ledgers of its service.
    #[must_use]
    pub fn new(report: Report, ledgers: &[Ledger]) -> Self {
        let runs = merge(ledgers);
        let twice = |run: &&Run| !run.idempotent && run.begun > 1;
        let run_twice = runs.values().filter(twice).count();
        let not_run: BTreeSet<&String> = report.not_run.iter().collect();
        let ran_refused = not_run
            .iter()
            .filter(|name| runs.contains_key(**name))
            .count();
        Self {
            run_twice: run_twice as u64,
            ran_after_refusal: ran_refused as u64,
            imbalance: imbalance(ledgers),
            shed: ledgers.iter().map(|ledger| ledger.shed).sum(),
            report,
        }
    }

    /// Returns true if a guarantee was violated or no operation was answered.
    #[must_use]
    pub fn has_violation(&self) -> bool {
        let report = &self.report;
        let counts = [
            self.run_twice,
            self.ran_after_refusal,
            report.wrong_service,
            report.mismatched,
            report.lost,
            report.broken.values().sum(),
        ];
        counts.iter().any(|count| *count > 0) || report.answered == 0
    }
}

/// Sums the runs of each request over all backend servers.
fn merge(ledgers: &[Ledger]) -> BTreeMap<String, Run> {
    let mut merged = BTreeMap::<String, Run>::new();
    for (name, run) in ledgers.iter().flat_map(|ledger| &ledger.runs) {
        let total = merged.entry(name.clone()).or_default();
        total.idempotent |= run.idempotent;
        total.begun += run.begun;
        total.finished += run.finished;
        total.cancelled += run.cancelled;
    }
    merged
}

/// Returns the largest utilisation divided by the mean utilisation: 1 is
/// perfect balance, 0 means that nothing ran.
fn imbalance(ledgers: &[Ledger]) -> f64 {
    let mut busy = 0.0;
    let mut slots = 0.0;
    let mut largest = 0.0_f64;
    for ledger in ledgers {
        let time = std::time::Duration::from_millis(ledger.busy_ms).as_secs_f64();
        busy += time;
        slots += f64::from(ledger.slots);
        largest = largest.max(time / f64::from(ledger.slots));
    }
    if busy > 0.0 {
        largest / (busy / slots)
    } else {
        0.0
    }
}
