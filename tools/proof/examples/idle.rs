//! Measures memory, processor time and control traffic of idle processes in a
//! small deployment: `cargo run --release -p proof --example idle`.
use std::error::Error;
use std::fs;
use std::thread;
use std::time::Duration;

use proof::Deployment;

/// Time over which the processes are observed.
const OBSERVATION: Duration = Duration::from_secs(20);

/// Names of the observed processes.
const NAMES: [&str; 2] = ["entry-1", "agent-1"];

/// Resource usage of a process.
struct Usage {
    resident_kib: u64,
    cpu: Duration,
}

fn main() -> Result<(), Box<dyn Error>> {
    let deployment = Deployment::start(120, Some(&[]))?;
    let before = observe(&deployment)?;
    let bytes_before = control_bytes(&deployment)?;
    thread::sleep(OBSERVATION);
    let after = observe(&deployment)?;
    let bytes = control_bytes(&deployment)? - bytes_before;
    println!("| process | resident KiB | processor % |");
    println!("|---|--:|--:|");
    for ((name, before), after) in NAMES.iter().zip(before).zip(after) {
        let busy = after.cpu.saturating_sub(before.cpu).as_secs_f64() / OBSERVATION.as_secs_f64();
        println!("| {name} | {} | {:.2} |", after.resident_kib, busy * 100.0);
    }
    println!(
        "control bytes a second of entry-1: {}",
        bytes / OBSERVATION.as_secs()
    );
    Ok(())
}

fn observe(deployment: &Deployment) -> Result<Vec<Usage>, Box<dyn Error>> {
    NAMES
        .iter()
        .map(|name| usage(deployment.pid(name)?))
        .collect()
}

fn usage(pid: u32) -> Result<Usage, Box<dyn Error>> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident_kib = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .ok_or("no VmRSS in the status of the process")?
        .parse()?;
    let mut cpu = Duration::ZERO;
    for thread in fs::read_dir(format!("/proc/{pid}/task"))? {
        let stat = fs::read_to_string(thread?.path().join("schedstat"))?;
        let nanos = stat
            .split_whitespace()
            .next()
            .ok_or("empty schedstat of a thread")?;
        cpu += Duration::from_nanos(nanos.parse()?);
    }
    Ok(Usage { resident_kib, cpu })
}

/// Returns the bytes of control traffic that the first entry has sent and
/// received.
fn control_bytes(deployment: &Deployment) -> Result<u64, Box<dyn Error>> {
    let status = deployment.operate_until_success(&["status"])?;
    let values = status
        .lines()
        .filter(|line| line.contains("control") && line.contains("bytes"))
        .filter_map(|line| line.split_whitespace().last()?.parse::<u64>().ok());
    Ok(values.sum())
}
