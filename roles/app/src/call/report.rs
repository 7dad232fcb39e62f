//! Report of a load run: counts, latencies and violations of the load
//! balancer's guarantees.
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use wire::caller::Outcome;
use wire::caller::Reason;

use super::Action;
use super::Ending;
use super::series::Interval;
use super::series::Series;

const LARGEST_LATENCY_US: u64 = 600_000_000;
const LATENCY_DIGITS: u8 = 3;
const MEDIAN: f64 = 0.50;
const TAIL: f64 = 0.99;

/// Report of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the service.
    pub service: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Operations started.
    pub sent: u64,
    /// Operations that ended with a complete and correct answer.
    pub answered: u64,
    /// Operations that ended refused and were not run, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Operations that ended refused and may have been run, by reason.
    pub unknown: BTreeMap<String, u64>,
    /// Operations without a complete answer or a refusal before their deadline.
    pub lost: u64,
    /// Operations that were answered by another service.
    pub wrong_service: u64,
    /// Operations whose answer was malformed or belonged to another request.
    pub mismatched: u64,
    /// Flows opened, replacements of lost flows included.
    pub opened: u64,
    /// Refusals of opens, each of which was retried, by reason.
    pub opens_refused: BTreeMap<String, u64>,
    /// Open flows lost, by reason.
    pub broken: BTreeMap<String, u64>,
    /// Flows whose close was confirmed.
    pub closed: u64,
    /// Requests refused, retried or not, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Retransmissions and fetches of missing chunks.
    pub repeated: u64,
    /// Received packets that were ignored.
    pub ignored: u64,
    /// Median latency of the answered operations in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the same latencies in microseconds.
    pub p99_us: u64,
    /// Largest of the same latencies in microseconds.
    pub max_us: u64,
    /// Names of the requests refused with the outcome that they were not run.
    pub not_run: Vec<String>,
    /// Results by interval of the run.
    pub series: Vec<Interval>,
    #[serde(skip)]
    running: Series,
    #[serde(skip)]
    latency: Option<Histogram<u64>>,
}

impl Report {
    /// Creates an empty report for a service.
    #[must_use]
    pub fn new(service: String, seed: u64) -> Self {
        Self {
            service,
            seed,
            sent: 0,
            answered: 0,
            refused: BTreeMap::new(),
            unknown: BTreeMap::new(),
            lost: 0,
            wrong_service: 0,
            mismatched: 0,
            opened: 0,
            opens_refused: BTreeMap::new(),
            broken: BTreeMap::new(),
            closed: 0,
            refusals: BTreeMap::new(),
            repeated: 0,
            ignored: 0,
            p50_us: 0,
            p99_us: 0,
            max_us: 0,
            not_run: Vec::new(),
            series: Vec::new(),
            running: Series::default(),
            latency: Histogram::new_with_max(LARGEST_LATENCY_US, LATENCY_DIGITS).ok(),
        }
    }

    /// Counts an action of the caller at `now`, the time since the start of the
    /// run.
    pub fn add(&mut self, now: Duration, action: &Action) {
        match action {
            Action::Send(_) => {}
            Action::Ended(_, ending) => {
                self.running.add(now, ending);
                self.add_ending(ending);
            }
            Action::Refused {
                name,
                reason,
                outcome,
            } => {
                count(&mut self.refusals, *reason);
                if *outcome == Outcome::NotRun {
                    self.not_run.push(name.clone());
                }
            }
            Action::Opened => self.opened += 1,
            Action::OpenRefused(reason) => count(&mut self.opens_refused, *reason),
            Action::Broken(reason) => count(&mut self.broken, *reason),
            Action::Closed => self.closed += 1,
            Action::Retransmitted => self.repeated += 1,
            Action::Ignored => self.ignored += 1,
        }
    }

    /// Ends the run and stores its intervals.
    pub fn finish(&mut self) {
        self.series = self.running.finish();
    }

    /// Returns true if the load balancer violated a guarantee that holds during
    /// planned changes: a lost operation or flow, or an answer that came from
    /// another service or belongs to another request.
    #[must_use]
    pub fn has_violations(&self) -> bool {
        self.wrong_service > 0 || self.mismatched > 0 || self.lost > 0 || !self.broken.is_empty()
    }

    fn add_ending(&mut self, ending: &Ending) {
        match ending {
            Ending::Answered { latency } => {
                self.answered += 1;
                self.add_latency(*latency);
            }
            Ending::Refused(reason) => count(&mut self.refused, *reason),
            Ending::Unknown(reason) => count(&mut self.unknown, *reason),
            Ending::Lost => self.lost += 1,
            Ending::WrongService => self.wrong_service += 1,
            Ending::Mismatch => self.mismatched += 1,
        }
    }

    fn add_latency(&mut self, latency: Duration) {
        let Some(histogram) = &mut self.latency else {
            return;
        };
        histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        self.p50_us = histogram.value_at_quantile(MEDIAN);
        self.p99_us = histogram.value_at_quantile(TAIL);
        self.max_us = histogram.max();
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut row = |name: &str, value: &str| writeln!(formatter, "{name:<16} {value}");
        row("service", &self.service)?;
        row("seed", &self.seed.to_string())?;
        row("sent", &self.sent.to_string())?;
        row("answered", &self.answered.to_string())?;
        row("refused", &reasons(&self.refused))?;
        row("unknown", &reasons(&self.unknown))?;
        row("lost", &self.lost.to_string())?;
        row("wrong service", &self.wrong_service.to_string())?;
        row("mismatched", &self.mismatched.to_string())?;
        row("flows opened", &self.opened.to_string())?;
        row("opens refused", &reasons(&self.opens_refused))?;
        row("broken flows", &reasons(&self.broken))?;
        row("flows closed", &self.closed.to_string())?;
        row("refusals", &reasons(&self.refusals))?;
        row("repeated", &self.repeated.to_string())?;
        row("ignored", &self.ignored.to_string())?;
        row("p50 ms", &milliseconds(self.p50_us))?;
        row("p99 ms", &milliseconds(self.p99_us))?;
        row("max ms", &milliseconds(self.max_us))
    }
}

fn count(counts: &mut BTreeMap<String, u64>, reason: Reason) {
    *counts.entry(reason.as_str_name().into()).or_default() += 1;
}

fn reasons(counts: &BTreeMap<String, u64>) -> String {
    let total: u64 = counts.values().sum();
    let parts = counts
        .iter()
        .map(|(reason, count)| format!("{reason} {count}"));
    let parts: Vec<String> = parts.collect();
    match parts.as_slice() {
        [] => total.to_string(),
        parts => format!("{total} ({})", parts.join(", ")),
    }
}

fn milliseconds(microseconds: u64) -> String {
    format!("{}.{}", microseconds / 1000, microseconds % 1000 / 100)
}
