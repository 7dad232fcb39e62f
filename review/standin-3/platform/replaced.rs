//! All machines lose power. The side machines come back, and other front machines take the
//! place of those that were lost, at new addresses.
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::client::Clients;
use crate::client::Outcome;
use crate::client::Plan;
use crate::deployment::Bounds;
use crate::deployment::Deployment;
use crate::deployment::SIGKILL;
use crate::record::Record;
use crate::target::Target;

const SERVICE: &str = "intake";
const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];

/// Bound of the rule.
const RECOVERY: Duration = Duration::from_secs(12);

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let bounds = Bounds {
        heartbeat_ms: 770,
        reuse_s: 2,
        grace_s: 6,
        max_flow_s: 60,
        evacuate_ms: None,
        cold: None,
    };
    let mut net = Deployment::new(record, &ZONES, bounds);
    let route = net.route(1);
    net.configure(11, &[(route, SERVICE, 2_000, 200)], &[SERVICE], 0.0);
    for zone in 0..4 {
        net.gateway(zone as u8, zone, true);
        net.sidecar(zone as u8, zone, SERVICE, true);
    }
    sleep(Duration::from_millis(300));
    let start = |net: &Deployment| -> Vec<Target> {
        let targets =
            (0..4).map(|zone| Target::start(net.target(zone as u8, zone, SERVICE, 4), record));
        targets.collect()
    };
    let mut targets = start(&net);
    let clients: Vec<Clients> = (0..4).map(|zone| net.clients(zone)).collect();
    sleep(Duration::from_secs(10));
    let send = |name: &str, time: Duration| {
        let until = Instant::now() + time;
        let mut number = 0;
        while Instant::now() < until {
            clients[number % 4].open(Plan {
                name: format!("{name}-{number}"),
                dst: route,
                requests: vec![(20, 0)],
                deadline: Duration::from_secs(2),
            });
            number += 1;
            sleep(Duration::from_millis(50));
        }
    };
    send("before", Duration::from_secs(5));
    net.configure(14, &[(route, SERVICE, 2_500, 200)], &[SERVICE], 0.0);
    if has_trouble {
        for number in 0..4 {
            net.signal(&format!("gateway-{number}"), SIGKILL);
            net.signal(&format!("sidecar-{number}"), SIGKILL);
        }
        targets.drain(..).for_each(|target| target.crash());
        for number in 0..4 {
            net.wait_end(&format!("gateway-{number}"), Duration::from_secs(1));
            net.wait_end(&format!("sidecar-{number}"), Duration::from_secs(1));
        }
        sleep(Duration::from_secs(1));
        for zone in 0..4 {
            net.sidecar(zone as u8, zone, SERVICE, false);
        }
        targets = start(&net);
        sleep(Duration::from_secs(1));
        for zone in 0..4 {
            net.gateway(10 + zone as u8, zone, false);
        }
        record.line("the machines are back");
    }
    send("meanwhile", RECOVERY);
    send("after", Duration::from_secs(15));
    sleep(Duration::from_secs(3));
    let in_rotation = net
        .router
        .0
        .lock()
        .unwrap()
        .iter()
        .filter(|one| one.in_rotation.load(Ordering::SeqCst))
        .count();
    record.line(&format!("gateways in rotation: {in_rotation}"));
    let all: Vec<_> = clients.iter().flat_map(Clients::all).collect();
    let served = |name: &str| {
        let flows = all.iter().filter(|flow| flow.name.starts_with(name));
        let done = flows
            .clone()
            .filter(|flow| flow.outcome == Outcome::Done)
            .count();
        record.line(&format!(
            "{name}: {done} of {} requests were served",
            flows.clone().count()
        ));
        (done, flows.count())
    };
    let (before, meanwhile, after) = (served("before"), served("meanwhile"), served("after"));
    let _ = meanwhile;
    drop(targets);
    let was_served = before.0 * 4 >= before.1;
    let is_served = after.0 * 4 >= after.1;
    match (was_served, is_served) {
        (false, _) => 2,
        (true, true) => 0,
        (true, false) => 1,
    }
}
