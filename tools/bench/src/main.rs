//! Measures the decisions of greengagelug on one machine.
//!
//! Each subcommand prints a table and writes the same figures as data.
mod gate;
mod member;
mod options;
mod place;
mod relay;
mod report;
mod route;
mod table;
mod timing;

use std::env;
use std::error::Error;
use std::process::ExitCode;

const USAGE: &str = "\
Usage: measure COMMAND [OPTIONS]

Commands:
  gate    queue disciplines of a gate, and the cost of its decisions
  member  membership: spreading, detection, loss of a zone, directory
  place   imbalance and latency of the ways to place flows
  relay   packets a second through an entry, against a bare UDP relay
  route   cost of a routing decision, bytes of a flow
";

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &[String]) -> Result<(), Box<dyn Error>> {
    let (command, options) = arguments.split_first().ok_or(USAGE)?;
    match command.as_str() {
        "gate" => gate::run(options),
        "member" => Ok(member::run()?),
        "place" => place::run(options),
        "relay" => Ok(relay::run()?),
        "route" => route::run(options),
        "--help" | "-h" => {
            print!("{USAGE}");
            Ok(())
        }
        _ => Err(USAGE.into()),
    }
}
