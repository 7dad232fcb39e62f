//! Holds callers' reports against backend servers' ledgers.
use std::process::ExitCode;

/// Prints the table of promises.
#[must_use]
pub fn main(_args: &[String]) -> ExitCode {
    ExitCode::SUCCESS
}
