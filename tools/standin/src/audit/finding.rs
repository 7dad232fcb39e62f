//! What the reports and the ledgers of one service say together.
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;

use crate::backend::Ledger;
use crate::backend::Run;

/// The part of a caller's report that is used here.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Report {
    /// Name of the service.
    pub service: String,
    /// Operations that were started.
    pub sent: u64,
    /// Operations that were answered.
    pub answered: u64,
    /// Operations that did not run, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Operations that may have run, by reason.
    pub unknown: BTreeMap<String, u64>,
    /// Operations without an ending.
    pub lost: u64,
    /// Answers from another service.
    pub wrong_service: u64,
    /// Answers to other requests.
    pub mismatched: u64,
    /// Flows that were lost, by reason.
    pub broken: BTreeMap<String, u64>,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: u64,
    /// Names of the requests refused as not run.
    pub not_run: Vec<String>,
}

/// What the reports and the ledgers of one service say together.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The caller's report.
    pub report: Report,
    /// Non-idempotent requests that were begun more than once.
    pub run_twice: u64,
    /// Requests that were begun although refused as not run.
    pub ran_refused: u64,
    /// Largest busy time of a slot over the mean, by backend server.
    pub imbalance: f64,
    /// Requests that backend servers shed.
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
            ran_refused: ran_refused as u64,
            imbalance: imbalance(ledgers),
            shed: ledgers.iter().map(|ledger| ledger.shed).sum(),
            report,
        }
    }

    /// Whether a promise was broken.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        let report = &self.report;
        let counts = [
            self.run_twice,
            self.ran_refused,
            report.wrong_service,
            report.mismatched,
            report.lost,
            report.broken.values().sum(),
        ];
        counts.iter().any(|count| *count > 0) || report.answered == 0
    }
}

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

/// Largest utilisation over the mean utilisation; 1 is perfect balance.
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
