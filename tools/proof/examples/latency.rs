//! Compares the latency of calls through the system with that of direct calls
//! to a backend server: `cargo run --release -p proof --example latency`.
use std::error::Error;
use std::time::Duration;
use std::time::Instant;

use net::backend::Client;
use net::backend::Run;
use proof::Deployment;
use proof::Service;

/// Number of consecutive direct calls.
const CALLS: u64 = 500;

/// Duration of the load through the system, in seconds.
const LOAD_SECONDS: u32 = 10;

/// Size limit of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

fn main() -> Result<(), Box<dyn Error>> {
    let mut deployment = Deployment::start(122, Some(&[]))?;
    for target in 1..=4 {
        let name = format!("backend-{target}");
        deployment.signal(&name, proof::Signal::Kill)?;
        deployment.wait_for_exit(&name)?;
        deployment.start_backend_with(Service::Roster, target, 0)?;
    }
    let load = deployment.start_load(Service::Roster, LOAD_SECONDS, 1)?;
    let path = deployment.finish_load(load)?.finding.report;
    let direct = smol::block_on(direct(deployment.backend_address(1).parse()?))?;
    let median = direct[direct.len() / 2];
    let tail = direct[direct.len() * 99 / 100];
    println!("| way | p50 us | p99 us |");
    println!("|---|--:|--:|");
    println!("| direct | {} | {} |", median.as_micros(), tail.as_micros());
    println!("| through the system | {} | {} |", path.p50_us, path.p99_us);
    Ok(())
}

/// Returns the sorted times of calls to one backend server.
async fn direct(backend: std::net::SocketAddr) -> Result<Vec<Duration>, net::backend::Error> {
    let client = Client::new(backend, MAX_ANSWER_BYTES);
    let mut times = Vec::new();
    for request in 1..=CALLS {
        let start = Instant::now();
        let run = Run {
            request,
            idempotent: request % 2 == 0,
            timeout: Duration::from_secs(5),
            payload: vec![0; 64].into(),
        };
        client.run(run).await?;
        times.push(start.elapsed());
    }
    times.sort();
    Ok(times)
}
