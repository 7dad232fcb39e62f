//! Case: the sidecar beside a target that has just started is killed and started again,
//! and seconds later a gateway is stopped. The flows that the target holds stay open.
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::client::Phase;
use crate::process::Process;
use crate::system;
use crate::system::System;

const SERVICES: [&str; 3] = ["desk", "desk", "desk"];
const FLOWS: u16 = 450;

pub fn run(record: &str, trouble: bool) -> Outcome {
    let control = std::env::var("CONTROL").unwrap_or_default();
    let mut system = match System::new(record, 3, &SERVICES) {
        Ok(system) => system,
        Err(reason) => return Outcome::CouldNotRun(reason),
    };
    let first = system::config(4, &[(1, "desk")], &["desk"]);
    system.store.write_config(&first);
    if let Err(reason) = system.start(&SERVICES) {
        return Outcome::CouldNotRun(reason);
    }
    let client = system.client(1);
    let route = system::route_address(1);
    system.record.write("release: a machine with sidecar-4 is added");
    let added = system.add_sidecar("desk");
    system.sidecars[added].start(false);
    thread::sleep(Duration::from_millis(400));
    system.record.write("its target i-4 starts");
    let start = Instant::now();
    let target = system.start_target(added, "i-4", "desk");
    let old = std::sync::Arc::clone(&system.targets.lock().unwrap()[0]);
    old.drain();
    thread::sleep(Duration::from_millis(50));
    let mut flows = Vec::new();
    let mut asked = 0;
    while start.elapsed() < Duration::from_millis(700) {
        if flows.len() < usize::from(FLOWS) {
            flows.push(client.open(20_000 + flows.len() as u16, route));
        }
        thread::sleep(Duration::from_millis(1));
        asked = ask_open(&client, &flows, asked);
    }
    if trouble && control != "stop" {
        system.record.write("sidecar-4 is killed and started again");
        let sidecar: &mut Process = &mut system.sidecars[added];
        sidecar.kill();
        thread::sleep(Duration::from_millis(50));
        sidecar.start(false);
    }
    // Longer than stable_window_ms, shorter than idle_timeout_ms.
    thread::sleep(Duration::from_secs(7));
    let held = flows.iter().filter(|flow| target.holds(flow)).count();
    system.record.write(&format!("i-4 holds {held} of {} flows", flows.len()));
    if held < 10 {
        return Outcome::CouldNotRun(format!("the new target got only {held} flows"));
    }
    let mut stop = None;
    if trouble && control != "kill" {
        system.record.write("gateway-1 gets SIGTERM");
        let mut gateway = system.gateways.remove(0);
        stop = Some(thread::spawn(move || {
            let took = gateway.stop();
            gateway.start(false);
            (gateway, took)
        }));
        thread::sleep(Duration::from_millis(1_800));
    }
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(10) {
        for flow in &flows {
            client.ask(flow);
            thread::sleep(Duration::from_millis(2));
        }
        thread::sleep(Duration::from_secs(1));
    }
    if let Some((gateway, took)) = stop.and_then(|stop| stop.join().ok()) {
        system.record.write(&format!("gateway-1 ended after {took:?} and was started again"));
        system.gateways.insert(0, gateway);
    }
    let table = client.flows.lock().unwrap();
    let open = table.values().filter(|flow| flow.phase == Phase::Open).count();
    let answered: u32 = table.values().map(|flow| flow.answered).sum();
    let sent: u32 = table.values().map(|flow| flow.sent).sum();
    drop(table);
    let broken = client.false_resets.lock().unwrap().len();
    let summary = format!(
        "i-4 held {held} flows; {open} flows open, {broken} reset by the system while their target held them open; {sent} requests sent, {answered} answered"
    );
    system.record.write(&summary);
    println!("{summary}");
    if let Some(name) = system.ended_process() {
        return Outcome::CouldNotRun(format!("{name} ended by itself"));
    }
    if broken > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Sends the first request on each flow that has opened since.
fn ask_open(
    client: &crate::client::Client,
    flows: &[crate::target::FlowKey],
    from: usize,
) -> usize {
    let mut next = from;
    for flow in &flows[from..] {
        if !client.ask(flow) {
            let is_opening = {
                let table = client.flows.lock().unwrap();
                table.get(flow).is_some_and(|flow| flow.phase == Phase::Opening)
            };
            if is_opening {
                return next;
            }
        }
        next += 1;
    }
    next
}
