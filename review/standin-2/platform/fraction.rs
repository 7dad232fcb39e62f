//! Case: the settings change, and a bound in milliseconds becomes a fraction. Processes that
//! are stopped and started in turn after that do not start.
use std::time::Duration;

use crate::small::Small;
use crate::small::serve_all;
use crate::system::Process;
use crate::system::SIGHUP;
use crate::util::elapsed;
use crate::util::record;
use crate::util::sleep_ms;

/// Time after which the platform starts a process again.
const RESTART_MS: u64 = 700;

/// Ends of processes by themselves on one machine that count as a fault.
const ENDS: u32 = 3;

pub fn run(trouble: bool) -> Result<bool, String> {
    let mut small = Small::start_with(3, 4, 0, 770, &[("evacuate_ms", "5000")])?;
    let mut targets = Vec::new();
    for side in 0..4 {
        targets.push(small.start_target(small.place(side))?);
    }
    let host = small.client(101)?;
    let ids: Vec<&str> = targets.iter().map(|target| target.place.id.as_str()).collect();
    serve_all(&host, small.route, &ids)?;

    let value = if trouble { "4500.5" } else { "4500" };
    record(format!("the settings of all machines change: evacuate_ms is {value}"));
    for bound in small.deployment.bounds.iter_mut().filter(|(name, _)| *name == "evacuate_ms") {
        bound.1 = value;
    }
    for process in small.gateways.iter().chain(&small.sidecars) {
        small.deployment.write_settings(&process.machine, false);
    }
    // The others learn of the change without a signal.
    for process in small.gateways.iter().take(2).chain(small.sidecars.iter().take(2)) {
        process.signal(SIGHUP);
    }
    sleep_ms(1_000);
    record("one gateway and one sidecar are stopped and started in turn");
    let gateway = small.gateways.remove(0);
    let (gateway, gateway_ends) = restart(&small, gateway);
    sleep_ms(1_300);
    let sidecar = small.sidecars.remove(0);
    let (sidecar, sidecar_ends) = restart(&small, sidecar);
    record(format!("ends by themselves: {gateway_ends} on front-1, {sidecar_ends} on side-1"));
    let mut served = 0;
    for number in 0..40 {
        if let Ok(mut flow) = host.open(small.route) {
            served += u32::from(flow.request(&format!("after-{number}"), Duration::from_millis(1_000)).is_ok());
            flow.close();
        }
    }
    record(format!("{served} of 40 requests served by what is left; the run took {:.1} s", elapsed().as_secs_f64()));
    drop((gateway, sidecar));
    small.end();
    Ok(gateway_ends >= ENDS && sidecar_ends >= ENDS)
}

/// Stops a process and starts it again, as often as it ends by itself within 2 s.
fn restart(small: &Small, process: Process) -> (Process, u32) {
    let machine = process.machine.clone();
    process.stop(6_000);
    let mut ends = 0;
    loop {
        sleep_ms(RESTART_MS);
        let mut process = small.deployment.start(&machine, false);
        for _ in 0..100 {
            if !process.is_running() {
                break;
            }
            sleep_ms(20);
        }
        if process.is_running() {
            record(format!("platform: {} runs", machine.name));
            return (process, ends);
        }
        ends += 1;
        record(format!("platform: {} has ended by itself: {}", machine.name, small.deployment.last_line(&machine)));
        if ends == ENDS {
            return (process, ends);
        }
    }
}
