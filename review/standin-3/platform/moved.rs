//! A gateway is added, and stopped some seconds later, while a target is replaced: another
//! one starts first, then the old one drains, leaves and starts again. The first gateway
//! has seen the first copy of an opening only, and takes that restart for the end of a flow
//! that is open at the other target.
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::client::IDLE_MS;
use crate::client::Outcome;
use crate::client::Plan;
use crate::deployment::Bounds;
use crate::deployment::Deployment;
use crate::deployment::SIGTERM;
use crate::record::Record;
use crate::target::Target;

const SERVICE: &str = "intake";

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let bounds = Bounds {
        heartbeat_ms: 770,
        reuse_s: 2,
        grace_s: 6,
        max_flow_s: 60,
        evacuate_ms: None,
        cold: None,
    };
    let mut net = Deployment::new(record, &["zone-a"], bounds);
    let route = net.route(1);
    net.configure(11, &[(route, SERVICE, 8_000, 1_000)], &[SERVICE], 0.0);
    net.gateway(0, 0, true);
    net.sidecar(0, 0, SERVICE, true);
    sleep(Duration::from_millis(300));
    let old = Target::start(net.target(0, 0, SERVICE, 4), record);
    let clients = net.clients(0);
    sleep(Duration::from_secs(5));
    net.sidecar(1, 0, SERVICE, false);
    sleep(Duration::from_secs(5));
    let plan = |name: String, requests: &[(u64, u64)]| Plan {
        name,
        dst: route,
        requests: requests.to_vec(),
        deadline: Duration::from_secs(8),
    };
    // Terminals keep flows open, and all send a request that takes long.
    let terminals: Vec<_> = (0..10)
        .map(|number| {
            sleep(Duration::from_millis(60));
            clients.open(plan(format!("terminal-{number}"), &[(20, IDLE_MS)]))
        })
        .collect();
    sleep(Duration::from_secs(1));
    for src in terminals {
        clients.ask(src, 2_500);
    }
    sleep(Duration::from_millis(100));
    // A machine is added. Meanwhile flows with short requests arrive.
    let added = has_trouble.then(|| net.gateway(1, 0, false));
    let is_in = || {
        added
            .as_ref()
            .is_some_and(|one| one.in_rotation.load(Ordering::SeqCst))
    };
    let start = Instant::now();
    let mut number = 0;
    while !is_in() && start.elapsed() < Duration::from_millis(1_500) {
        clients.open(plan(format!("short-{number}"), &[(20, 6_800), (20, 500)]));
        number += 1;
        sleep(Duration::from_millis(15));
    }
    let new = Target::start(net.target(1, 0, SERVICE, 4), record);
    for number in 0..20 {
        sleep(Duration::from_millis(25));
        clients.open(plan(format!("later-{number}"), &[(20, 6_800), (20, 500)]));
    }
    sleep(Duration::from_millis(1_000));
    let mut again = None;
    if has_trouble {
        old.drain();
        // `drain_ms` after the acknowledgement and a little longer.
        sleep(Duration::from_millis(3_200));
        old.leave();
        sleep(Duration::from_millis(300));
        again = Some(Target::start(net.target(0, 0, SERVICE, 4), record));
        net.signal("gateway-1", SIGTERM);
        net.wait_end("gateway-1", Duration::from_secs(6));
        sleep(Duration::from_millis(700));
        net.restart_gateway(1, 0);
    }
    sleep(Duration::from_secs(8));
    let mut broken = 0;
    let shared = new.shared();
    for flow in clients.all() {
        record.line(&format!(
            "{} from {}: {:?}, {} answers",
            flow.name, flow.src, flow.outcome, flow.answered
        ));
        let is_open = shared
            .open
            .lock()
            .unwrap()
            .contains_key(&(flow.src, flow.dst));
        if flow.outcome == Outcome::Broken && is_open {
            broken += 1;
            record.line(&format!(
                "{}: the system has reset it, its target lives and holds it",
                flow.name
            ));
        }
    }
    drop(again);
    record.line(&format!("open flows that the system has reset: {broken}"));
    i32::from(broken > 0)
}
