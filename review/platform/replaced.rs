//! Case: all gateway machines lose power for good, and as many are added at new
//! addresses. The sidecars and their targets run on.
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::client::Client;
use crate::client::Phase;
use crate::system;
use crate::system::System;

const SERVICES: [&str; 3] = ["desk", "desk", "desk"];
/// `bounds.recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);
/// Flows a second; each carries one request.
const RATE: u32 = 20;

pub fn run(record: &str, trouble: bool) -> Outcome {
    // CONTROL=3 has as many gateways as the settings name seeds.
    let count = match std::env::var("CONTROL").as_deref() {
        Ok("3") => 3,
        _ => 4,
    };
    let mut system = match System::new(record, count, &SERVICES) {
        Ok(system) => system,
        Err(reason) => return Outcome::CouldNotRun(reason),
    };
    let config = system::config(4, &[(1, "desk")], &["desk"]);
    system.store.write_config(&config);
    if let Err(reason) = system.start(&SERVICES) {
        return Outcome::CouldNotRun(reason);
    }
    let client = system.client(1);
    let mut port = 20_000;
    // Longer than 20 s, so that the first listings of the store are long past.
    let before = play(&client, &mut port, Duration::from_secs(20));
    system.record.write(&format!("before: {} of {} served", before.0, before.1));
    if trouble {
        system.record.write("all gateway machines lose power and do not come back");
        for gateway in &mut system.gateways {
            gateway.kill();
        }
        system.gateways.clear();
        let lost = play(&client, &mut port, Duration::from_secs(1));
        system.record.write(&format!("no gateways: {} of {} served", lost.0, lost.1));
        let new: Vec<_> = (1..=count).map(|number| system.add_gateway(100 + number)).collect();
        for gateway in &mut system.gateways {
            gateway.start(false);
        }
        system.router.replace(&new);
        system.record.write("as many gateways are added at new addresses");
    }
    let during = play(&client, &mut port, RECOVERY);
    system.record.write(&format!("within recovery_s: {} of {} served", during.0, during.1));
    let ready = system.router.ready();
    let after = play(&client, &mut port, Duration::from_secs(40));
    let summary = format!(
        "before {} of {} served; {ready} gateways in rotation; later than recovery_s {} of {} served",
        before.0, before.1, after.0, after.1
    );
    system.record.write(&summary);
    println!("{summary}");
    if let Some(name) = system.ended_process() {
        return Outcome::CouldNotRun(format!("{name} ended by itself"));
    }
    let is_quarter = |(served, sent): (u32, u32)| served * 4 >= sent;
    match (is_quarter(before), is_quarter(after)) {
        (false, _) => Outcome::CouldNotRun("too little was served before".to_owned()),
        (true, true) => Outcome::Held,
        (true, false) => Outcome::Broken,
    }
}

/// Opens a flow for each request; returns how many were answered, and how many sent.
fn play(client: &Client, port: &mut u16, time: Duration) -> (u32, u32) {
    let start = Instant::now();
    let mut flows = Vec::new();
    while start.elapsed() < time {
        flows.push(client.open(*port, system::route_address(1)));
        *port += 1;
        thread::sleep(Duration::from_secs(1) / RATE);
        for flow in &flows {
            let is_answered = {
                let table = client.flows.lock().unwrap();
                table.get(flow).is_some_and(|flow| flow.answered > 0)
            };
            match is_answered {
                true => client.close(flow),
                false => drop(client.ask(flow)),
            }
        }
    }
    thread::sleep(Duration::from_millis(300));
    let mut table = client.flows.lock().unwrap();
    let served = flows
        .iter()
        .filter(|key| table.get(*key).is_some_and(|flow| flow.answered > 0))
        .count();
    table.retain(|_, flow| flow.phase == Phase::Opening || flow.phase == Phase::Open);
    (served as u32, flows.len() as u32)
}
