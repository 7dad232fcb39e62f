//! Case: a configuration sends new flows of a route to another service, and a gateway
//! is stopped and started. The flows that are open stay where they are.
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::client::Phase;
use crate::system;
use crate::system::System;

const SERVICES: [&str; 6] = ["desk", "desk", "desk", "intake", "intake", "intake"];
const FLOWS: u16 = 60;

pub fn run(record: &str, trouble: bool) -> Outcome {
    let mut system = match System::new(record, 3, &SERVICES) {
        Ok(system) => system,
        Err(reason) => return Outcome::CouldNotRun(reason),
    };
    let services = ["desk", "intake"];
    let first = system::config(4, &[(1, "desk"), (2, "intake")], &services);
    system.store.write_config(&first);
    if let Err(reason) = system.start(&SERVICES) {
        return Outcome::CouldNotRun(reason);
    }
    let client = system.client(1);
    let route = system::route_address(1);
    let flows: Vec<_> = (0..FLOWS)
        .map(|number| {
            thread::sleep(Duration::from_millis(20));
            client.open(20_000 + number, route)
        })
        .collect();
    let ask_all = |seconds: u64| {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(seconds) {
            for flow in &flows {
                client.ask(flow);
                thread::sleep(Duration::from_millis(15));
            }
        }
    };
    ask_all(3);
    let open = |phase| {
        let flows = client.flows.lock().unwrap();
        flows.values().filter(|flow| flow.phase == phase).count()
    };
    if open(Phase::Open) < usize::from(FLOWS) {
        return Outcome::CouldNotRun("not all flows were opened before the disruption".to_owned());
    }
    // CONTROL=stop leaves out the configuration, CONTROL=config the gateway's stop.
    let control = std::env::var("CONTROL").unwrap_or_default();
    if trouble && control != "stop" {
        let second = system::config(8, &[(1, "intake"), (2, "intake")], &services);
        system.record.write("the operator moves route 1 from desk to intake");
        system.store.write_config(&second);
        system.record.write("the store has acknowledged version 8");
    }
    // Longer than config_apply_ms.
    ask_all(5);
    let before = client.false_resets.lock().unwrap().len();
    system.record.write(&format!("{before} flows were reset before the gateway's stop"));
    if trouble && control != "config" {
        system.record.write("gateway-1 gets SIGTERM");
        let mut gateway = system.gateways.remove(0);
        let stop = thread::spawn(move || {
            let took = gateway.stop();
            gateway.start(false);
            (gateway, took)
        });
        ask_all(12);
        if let Ok((gateway, took)) = stop.join() {
            system.record.write(&format!("gateway-1 ended after {took:?} and was started again"));
            system.gateways.insert(0, gateway);
        }
    }
    ask_all(6);
    let flows = client.flows.lock().unwrap();
    let answered: u32 = flows.values().map(|flow| flow.answered).sum();
    let sent: u32 = flows.values().map(|flow| flow.sent).sum();
    drop(flows);
    let broken = client.false_resets.lock().unwrap().len();
    let summary = format!(
        "{} flows open, {broken} reset by the system while their target held them open; {sent} requests sent, {answered} answered",
        open(Phase::Open)
    );
    system.record.write(&summary);
    println!("{summary}");
    if let Some(name) = system.ended_process() {
        return Outcome::CouldNotRun(format!("{name} ended by itself"));
    }
    if broken > 0 { Outcome::Broken } else { Outcome::Held }
}
