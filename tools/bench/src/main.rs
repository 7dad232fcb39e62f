//! Benchmarks and simulations of greengagelug on one machine.
//!
//! Each subcommand prints tables and writes the same figures as JSON.
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
  gate    queue disciplines of an admission gate, and the time of a decision
  member  membership: gossip, failure detection, loss of a zone, directory size
  place   load imbalance and latency of the policies that place flows
  relay   packets per CPU second through an entry, against a bare UDP relay
  route   time of a routing decision, and memory per flow
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
