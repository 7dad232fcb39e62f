//! Simulates policies that place flows, and compares load imbalance and
//! latency.
//!
//! A discrete event simulation drives the real target order, the real bidding for
//! flows (`route::hunt`) and the real admission gates, with the numbers of
//! targets and slots that the customers have. Only service times, callers and
//! network delays are modelled.
mod outcome;
mod plot;
mod policy;
mod report;
mod server;
mod simulation;
mod trial;

use std::error::Error;

use crate::options;

/// Runs the selected trials, prints their tables, and writes `place.json` and
/// the plots.
///
/// # Errors
///
/// An invalid option, or the error of a file that cannot be written.
pub fn run(arguments: &[String]) -> Result<(), Box<dyn Error>> {
    let settings = options::parse(arguments)?;
    let mut results = Vec::new();
    for trial in trial::all() {
        if trial.name.contains(&settings.only) {
            results.push(report::run(&trial, settings.seeds));
        }
    }
    report::save(&results, &settings.out)?;
    plot::save(&results, &settings.plots)
}
