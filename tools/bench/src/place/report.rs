//! Runs a trial under each policy, prints its table and writes `place.json`.
use std::error::Error;
use std::fs;
use std::path::Path;

use serde::Serialize;

use super::outcome::Outcome;
use super::policy::Policy;
use super::simulation::Simulation;
use super::trial::Fault;
use super::trial::Fleet;
use super::trial::Trial;
use super::trial::Work;
use crate::table;

/// Results of a trial.
#[derive(Debug, Serialize)]
pub struct Results {
    /// Name of the trial.
    pub name: String,
    /// Targets of the service.
    pub fleet: Fleet,
    /// Flows and requests of the callers.
    pub work: Work,
    /// Fault that is injected.
    pub fault: Fault,
    /// Number of runs that the medians are taken over, each with its own seed.
    pub seeds: u64,
    /// One row per policy.
    pub rows: Vec<Row>,
}

/// Median figures of a policy.
#[derive(Debug, Serialize)]
pub struct Row {
    /// Name of the policy.
    pub name: String,
    /// Policy.
    pub policy: Policy,
    /// Median figures.
    pub outcome: Outcome,
}

const HEADER: [&str; 8] = [
    "policy",
    "p50 ms",
    "p99 ms",
    "refused %",
    "max/mean",
    "travelled %",
    "messages a request",
    "weight steps a minute",
];

/// Runs a trial under all its policies and prints the table of their medians.
pub fn run(trial: &Trial, seeds: u64) -> Results {
    let rows: Vec<Row> = trial
        .policies
        .iter()
        .map(|&policy| Row {
            name: policy.name(),
            policy,
            outcome: median(trial, policy, seeds),
        })
        .collect();
    println!("{} (median of {seeds} seeds)\n", trial.name);
    table::print(&HEADER, &rows.iter().map(cells).collect::<Vec<_>>());
    Results {
        name: trial.name.clone(),
        fleet: trial.fleet,
        work: trial.work,
        fault: trial.fault,
        seeds,
        rows,
    }
}

/// Writes the results to `place.json` in the folder `out`.
///
/// # Errors
///
/// The error of the operating system if the file cannot be written.
pub fn save(results: &[Results], out: &Path) -> Result<(), Box<dyn Error>> {
    fs::create_dir_all(out)?;
    let json = serde_json::to_string_pretty(results)?;
    fs::write(out.join("place.json"), json)?;
    Ok(())
}

fn median(trial: &Trial, policy: Policy, seeds: u64) -> Outcome {
    let outcomes: Vec<Outcome> = (1..=seeds)
        .map(|seed| Simulation::run(trial, policy, seed))
        .collect();
    Outcome::median(&outcomes)
}

fn cells(row: &Row) -> Vec<String> {
    let outcome = &row.outcome;
    vec![
        row.name.clone(),
        format!("{:.0}", outcome.p50_ms),
        format!("{:.0}", outcome.p99_ms),
        format!("{:.2}", outcome.refused * 100.0),
        format!("{:.3}", outcome.imbalance),
        format!("{:.0}", outcome.travelled * 100.0),
        format!("{:.2}", outcome.messages),
        format!("{:.1}", outcome.weight_changes),
    ]
}
