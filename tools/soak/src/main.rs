//! `soak`: executes runs of the given seeds, prints violations of invariants,
//! and exits with status 1 if there were any.
use std::env;
use std::error::Error;
use std::fs;
use std::io::Write;
use std::io::stdout;
use std::path::PathBuf;
use std::process::Command;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Matches;
use getopts::Options;
use soak::address::Network;
use soak::plan;
use soak::plan::Disturbance;
use soak::plan::Kind;
use soak::run;
use soak::run::Plan;
use soak::topology::Topology;

/// Time within which disturbances begin, in seconds.
const SECONDS: u64 = 12;

/// Largest number of backend servers of a deployment.
const SERVERS: usize = 12;

/// Second octet of the loopback addresses.
const NETWORK: u8 = 90;

fn main() -> ExitCode {
    match run_all() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the first run; default: random", "N");
    options.optopt(
        "",
        "runs",
        "number of runs, with consecutive seeds; default 1",
        "N",
    );
    options.optopt(
        "",
        "seconds",
        "time within which disturbances begin, in seconds; default 12",
        "S",
    );
    options.optopt(
        "",
        "servers",
        "largest number of backend servers; default 12",
        "N",
    );
    options.optopt(
        "",
        "network",
        "second octet of the loopback addresses; default 90",
        "N",
    );
    options.optopt(
        "",
        "slow-mbps",
        "rate of the network links of every other entry host; default: not stated",
        "MBPS",
    );
    options.optmulti(
        "",
        "trouble",
        "disturbance KIND@AT+LASTS, with times in seconds, instead of random ones; may be repeated",
        "T",
    );
    options.optopt(
        "",
        "folder",
        "folder for the logs of runs with violations; default: the temporary folder",
        "PATH",
    );
    options.optflag(
        "",
        "regressions",
        "executes the seeds that once led to a violation",
    );
    options.optflag("", "keep", "keeps the logs of all runs");
    options.optflag("", "kinds", "prints all kinds of disturbances");
    options.optflag("", "help", "prints this help");
    options
}

/// Executes all runs that were asked for; returns whether all invariants held.
fn run_all() -> Result<bool, Box<dyn Error>> {
    let options = options();
    let matches = options.parse(env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: soak [FLAGS]"));
        return Ok(true);
    }
    if matches.opt_present("kinds") {
        for kind in Kind::ALL {
            println!("{:16} {}", kind.name(), kind.help());
        }
        return Ok(true);
    }
    let first: u64 = matches
        .opt_get("seed")?
        .unwrap_or_else(|| fastrand::u64(..1 << 40));
    let runs: u64 = matches.opt_get_default("runs", 1)?;
    if matches.opt_present("regressions") {
        let mut seeds = regressions();
        return seeds.try_fold(true, |kept, seed| Ok(run_in_child(&matches, seed)? && kept));
    }
    if runs == 1 {
        return run_here(&matches, first);
    }
    let mut all_kept = true;
    for seed in first..first + runs {
        all_kept &= run_in_child(&matches, seed)?;
    }
    Ok(all_kept)
}

/// Returns the seeds that once led to a violation of an invariant.
fn regressions() -> impl Iterator<Item = u64> {
    let lines = include_str!("../regressions.txt").lines();
    lines.filter_map(|line| line.split_once(' ')?.0.parse().ok())
}

/// Executes a run in a child process, so that its sockets are closed
/// afterwards.
fn run_in_child(matches: &Matches, seed: u64) -> Result<bool, Box<dyn Error>> {
    let mut command = Command::new(env::current_exe()?);
    command.args(["--seed", &seed.to_string()]);
    for name in [
        "seconds",
        "servers",
        "network",
        "folder",
        "slow-mbps",
        "trouble",
    ] {
        for value in matches.opt_strs(name) {
            command.arg(format!("--{name}")).arg(value);
        }
    }
    Ok(command.status()?.success())
}

fn run_here(matches: &Matches, seed: u64) -> Result<bool, Box<dyn Error>> {
    let seconds: u64 = matches.opt_get_default("seconds", SECONDS)?;
    let servers: usize = matches.opt_get_default("servers", SERVERS)?;
    let network: u8 = matches.opt_get_default("network", NETWORK)?;
    let folder = matches.opt_get("folder")?.unwrap_or_else(env::temp_dir);
    let folder: PathBuf = folder.join(format!("soak-{network}-{seed}"));
    let mut disturbances = Vec::new();
    for text in matches.opt_strs("trouble") {
        disturbances.push(text.parse::<Disturbance>()?);
    }
    if disturbances.is_empty() {
        disturbances = plan::draw(seed, Duration::from_secs(seconds));
    }
    let plan = Plan {
        topology: Topology {
            slow_mbps: matches.opt_get("slow-mbps")?,
            ..Topology::draw(seed, servers)
        },
        disturbances,
        network: Network(network),
        folder,
    };
    describe(&plan);
    let result = run::execute(&plan)?;
    for violation in &result.checker.violations {
        println!(
            "  BROKEN {:?} at {:.3?}: {}",
            violation.invariant, violation.at, violation.text
        );
    }
    let (all, last) = result.served;
    println!(
        "  served {all:.3}, at the end {last:.3}; calls of the store {}",
        result.store_calls
    );
    println!("  {:?}", result.checker.counts);
    stdout().flush()?;
    let all_kept = result.checker.violations.is_empty();
    if all_kept && !matches.opt_present("keep") {
        fs::remove_dir_all(&plan.folder)?;
    } else {
        println!("  logs: {}", plan.folder.display());
    }
    Ok(all_kept)
}

fn describe(plan: &Plan) {
    let topology = &plan.topology;
    let (seed, gateways, zones) = (topology.seed, topology.gateways, topology.zones);
    println!("seed {seed}: {gateways} gateways in {zones} zones");
    println!("  {:?}", topology.origins);
    for service in &topology.services {
        println!("  {service:?}");
    }
    for disturbance in &plan.disturbances {
        let (at, duration) = (disturbance.at, disturbance.duration);
        println!(
            "  {} at {at:.1?} for {duration:.1?}",
            disturbance.kind.name()
        );
    }
}
