//! Measures the time until a change of configuration is in force at every
//! entry: `cargo run --release -p proof --example inforce`.
use std::error::Error;
use std::time::Duration;
use std::time::Instant;

use proof::Deployment;
use proof::Service;

/// Number of consecutive changes.
const CHANGES: usize = 20;

fn main() -> Result<(), Box<dyn Error>> {
    let deployment = Deployment::start(121, Some(&[]))?;
    let address = deployment.service_address(Service::Roster);
    let mut times = Vec::with_capacity(CHANGES);
    for change in 0..CHANGES {
        let hunt = (change % 3 + 1).to_string();
        let accepted = deployment.operate_until_success(&["update", &address, "--hunt", &hunt])?;
        let revision = revision(&accepted).ok_or("no revision in the output of the update")?;
        let start = Instant::now();
        let line = format!("in force: {address} revision {revision}");
        while !deployment.all_entries_report(&line) {}
        times.push(start.elapsed());
    }
    times.sort();
    let median = times[CHANGES / 2].as_millis();
    let largest = times.last().map_or(0, Duration::as_millis);
    println!(
        "{CHANGES} changes in force at 3 entries after {median} ms (median), {largest} ms (largest)"
    );
    Ok(())
}

/// Parses the revision from the output of `operate`.
fn revision(printed: &str) -> Option<u64> {
    let mut words = printed.split_whitespace();
    words.find(|word| *word == "revision")?;
    let digits = words.next()?;
    digits
        .trim_matches(|letter: char| !letter.is_ascii_digit())
        .parse()
        .ok()
}
