//! The operator raises the idle timeout. Flows that are idle for less than it, but for more
//! than a minute, are reset when their clients send again.
use std::thread::sleep;
use std::time::Duration;

use crate::client::Outcome;
use crate::client::Plan;
use crate::deployment::Bounds;
use crate::deployment::Deployment;
use crate::record::Record;
use crate::target::Target;

const SERVICE: &str = "alerts";

/// Idle timeouts before and after the change of the configuration.
const IDLE_MS: [u64; 2] = [15_000, 80_000];

/// Pause between two requests of a flow: longer than a minute, shorter than the new timeout.
const PAUSE_MS: u64 = 66_000;

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let bounds = Bounds {
        heartbeat_ms: 770,
        reuse_s: 2,
        grace_s: 6,
        max_flow_s: 120,
        evacuate_ms: None,
        cold: None,
    };
    let mut net = Deployment::new(record, &["zone-a", "zone-b"], bounds);
    let route = net.route(1);
    net.idle_ms = IDLE_MS[0];
    net.configure(11, &[(route, SERVICE, 2_000, 200)], &[SERVICE], 0.0);
    for number in 0..2 {
        net.gateway(number, usize::from(number), true);
        net.sidecar(number, usize::from(number), SERVICE, true);
    }
    sleep(Duration::from_millis(300));
    let start = |number| Target::start(net.target(number, usize::from(number), SERVICE, 4), record);
    let targets = [start(0), start(1)];
    let clients = [net.clients(0), net.clients(1)];
    sleep(Duration::from_secs(10));
    if has_trouble {
        net.idle_ms = IDLE_MS[1];
        net.configure(14, &[(route, SERVICE, 2_000, 200)], &[SERVICE], 0.0);
        sleep(Duration::from_secs(4));
    }
    for number in 0..20 {
        clients[number % 2].open(Plan {
            name: format!("feed-{number}"),
            dst: route,
            requests: vec![(20, PAUSE_MS), (20, 0)],
            deadline: Duration::from_secs(2),
        });
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_millis(PAUSE_MS + 4_000));
    let (mut broken, mut done) = (0, 0);
    for flow in clients.iter().flat_map(|clients| clients.all()) {
        let (name, src, outcome) = (&flow.name, flow.src, &flow.outcome);
        record.line(&format!(
            "{name} from {src}: {outcome:?}, {} answers",
            flow.answered
        ));
        let id = (flow.src, flow.dst);
        let is_open = |target: &Target| target.shared().open.lock().unwrap().contains_key(&id);
        broken += i32::from(flow.outcome == Outcome::Broken && targets.iter().any(is_open));
        done += i32::from(flow.outcome == Outcome::Done);
    }
    record.line(&format!(
        "open flows that the system has reset: {broken}; served in full: {done}"
    ));
    // Flows that are idle longer than the timeout in force are not counted.
    let is_counted = PAUSE_MS < net.idle_ms;
    i32::from(is_counted && broken > 0)
}
