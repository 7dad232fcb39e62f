//! A target starts, and its sidecar is killed before the target's second heartbeat. Some
//! seconds later a gateway is stopped. The targets number their heartbeats from 0.
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::client::IDLE_MS;
use crate::client::Outcome;
use crate::client::Plan;
use crate::deployment::Bounds;
use crate::deployment::Deployment;
use crate::deployment::SIGKILL;
use crate::deployment::SIGTERM;
use crate::record::Record;
use crate::target;
use crate::target::Target;

const SERVICE: &str = "alerts";

/// Targets that run from the beginning.
const OLD: u8 = 6;

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let bounds = Bounds {
        heartbeat_ms: 1_200,
        reuse_s: 2,
        grace_s: 6,
        max_flow_s: 60,
        evacuate_ms: None,
        cold: None,
    };
    let mut net = Deployment::new(record, &["zone-a", "zone-b"], bounds);
    let route = net.route(1);
    net.configure(11, &[(route, SERVICE, 5_000, 200)], &[SERVICE], 0.0);
    net.gateway(0, 0, true);
    net.gateway(1, 1, true);
    for number in 0..OLD {
        net.sidecar(number, 1, SERVICE, true);
    }
    sleep(Duration::from_millis(300));
    let start = |settings: target::Settings| {
        let settings = target::Settings {
            first_sequence: 0,
            ..settings
        };
        Target::start(settings, record)
    };
    let old: Vec<Target> = (0..OLD)
        .map(|number| start(net.target(number, 1, SERVICE, 4)))
        .collect();
    let clients = net.clients(1);
    // A gateway that has run for a while trusts that it knows all sidecars.
    sleep(Duration::from_secs(17));
    net.sidecar(OLD, 1, SERVICE, false);
    sleep(Duration::from_millis(400));
    let plan = |number: usize| Plan {
        name: format!("feed-{number}"),
        dst: route,
        requests: vec![(5, IDLE_MS)],
        deadline: Duration::from_secs(5),
    };
    let mut number = 0;
    let mut open = |time: u64| {
        let until = Instant::now() + Duration::from_millis(time);
        while Instant::now() < until {
            clients.open(plan(number));
            number += 1;
            sleep(Duration::from_millis(1));
        }
    };
    open(150);
    let new = start(net.target(OLD, 1, SERVICE, 4));
    open(450);
    sleep(Duration::from_millis(250));
    let name = format!("sidecar-{OLD}");
    if has_trouble {
        net.signal(&name, SIGKILL);
        net.wait_end(&name, Duration::from_secs(1));
        sleep(Duration::from_millis(50));
        net.sidecar(OLD, 1, SERVICE, false);
    }
    sleep(Duration::from_secs(6));
    if has_trouble {
        net.signal("gateway-1", SIGTERM);
    }
    sleep(Duration::from_secs(2));
    // All clients send again: first those of the other targets, then those of the new one.
    let shared = new.shared();
    let at_new = |src| shared.open.lock().unwrap().contains_key(&(src, route));
    let flows: Vec<_> = clients.all().iter().map(|flow| flow.src).collect();
    let (last, first): (Vec<_>, Vec<_>) = flows.into_iter().partition(|src| at_new(*src));
    let (first, others) = first.split_at(first.len() / 2);
    for src in first {
        clients.ask(*src, 5);
        sleep(Duration::from_millis(1));
    }
    clients.ask_all(&[others, last.as_slice()].concat(), 5);
    sleep(Duration::from_secs(6));
    let mut targets = old;
    targets.push(new);
    let mut broken = 0;
    for flow in clients.all() {
        let (name, src, outcome) = (&flow.name, flow.src, &flow.outcome);
        record.line(&format!(
            "{name} from {src}: {outcome:?}, {} answers",
            flow.answered
        ));
        let id = (flow.src, flow.dst);
        let is_open = |target: &Target| target.shared().open.lock().unwrap().contains_key(&id);
        broken += i32::from(flow.outcome == Outcome::Broken && targets.iter().any(is_open));
    }
    record.line(&format!("open flows that the system has reset: {broken}"));
    i32::from(broken > 0)
}
