//! Compares the reports of callers with the ledgers of backend servers, and
//! prints a table with the violations of the system's guarantees.
pub mod fetch;
mod finding;
mod table;

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::process::ExitCode;

use getopts::Options;

use crate::backend::Ledger;
use crate::options;

pub use finding::Finding;
pub use finding::Report;

const BRIEF: &str = "Usage: standin audit --report FILE... --backend ADDRESS...";
/// Exit code for a violated guarantee.
const EXIT_VIOLATION: u8 = 3;

/// Runs `standin audit`; the exit code is 3 if a guarantee was violated.
#[must_use]
pub fn main(args: &[String]) -> ExitCode {
    match run(args) {
        Ok(true) => ExitCode::from(EXIT_VIOLATION),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => options::exit_code(Err(error)),
    }
}

/// Prints the table and returns true if a guarantee was violated.
fn run(args: &[String]) -> Result<bool, Box<dyn std::error::Error>> {
    let mut flags = Options::new();
    flags.optmulti(
        "",
        "report",
        "report of `greengagelug call`; may be repeated",
        "FILE",
    );
    flags.optmulti(
        "",
        "backend",
        "address of a backend server; may be repeated",
        "ADDRESS",
    );
    let Some(matches) = options::parse(&mut flags, BRIEF, args)? else {
        return Ok(false);
    };
    let mut ledgers = BTreeMap::<String, Vec<Ledger>>::new();
    for address in options::repeated::<SocketAddr>(&matches, "backend")? {
        let ledger = smol::block_on(fetch::ledger(address))?;
        ledgers
            .entry(ledger.service.clone())
            .or_default()
            .push(ledger);
    }
    let mut findings = Vec::new();
    for file in matches.opt_strs("report") {
        let report: Report = serde_json::from_slice(&fs::read(file)?)?;
        let ledgers = ledgers.get(&report.service).map_or(&[][..], Vec::as_slice);
        findings.push(Finding::new(report, ledgers));
    }
    print!("{}", table::Table(&findings));
    Ok(findings.iter().any(Finding::has_violation))
}
