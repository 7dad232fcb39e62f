//! Measures the parts of the system: `measure SUBJECT`.
//!
//! Each subject prints a table and writes its figures as JSON under `out/`.
mod relay;
mod report;

use std::env;
use std::process::ExitCode;

const USAGE: &str = "Usage: measure SUBJECT

Subjects:
  relay   packets a second through an entry, against a bare UDP relay";

fn main() -> ExitCode {
    let result = match env::args().nth(1).as_deref() {
        Some("relay") => relay::run(),
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::FAILURE
        }
    }
}
