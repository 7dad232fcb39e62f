//! Measures the time of a routing decision and the memory per pinned flow.
mod baseline;
mod order;
mod pins;

use std::error::Error;
use std::fs;

use serde::Serialize;

use crate::options;
use crate::table;

/// Results of all measurements.
#[derive(Debug, Serialize)]
struct Results {
    orders: Vec<order::Row>,
    pins: Vec<pins::Row>,
}

/// Runs all measurements, prints their tables and writes `route.json`.
///
/// # Errors
///
/// An invalid option, or the error of the operating system if the file cannot
/// be written.
pub fn run(arguments: &[String]) -> Result<(), Box<dyn Error>> {
    let settings = options::parse(arguments)?;
    let results = Results {
        orders: order::measure(),
        pins: pins::measure(),
    };
    println!("Ranking the targets of a flow (one core)\n");
    table::print(&order::HEADER, &order::cells(&results.orders));
    println!("Pins (one core)\n");
    table::print(&pins::HEADER, &pins::cells(&results.pins));
    fs::create_dir_all(&settings.out)?;
    let json = serde_json::to_string_pretty(&results)?;
    fs::write(settings.out.join("route.json"), json)?;
    Ok(())
}
