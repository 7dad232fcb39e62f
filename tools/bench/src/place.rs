//! Imbalance and latency of the ways to place flows.
//!
//! A small discrete event program drives the real order, hunting and gates with
//! the sizes of the customers in the brief; only the backend servers' service
//! times, the callers and the delays between hosts are made up.
mod outcome;
mod plot;
mod policy;
mod report;
mod server;
mod simulation;
mod trial;

use std::error::Error;

use crate::options;

/// Runs all trials.
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
