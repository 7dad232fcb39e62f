//! A small deployment: some gateways in a zone each, and targets of one service.
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::client::Host;
use crate::client::Member;
use crate::client::Routers;
use crate::store::Store;
use crate::system::Deployment;
use crate::system::Machine;
use crate::system::Net;
use crate::system::Process;
use crate::target::Place;
use crate::target::Target;
use crate::util::random;
use crate::util::record;
use crate::util::sleep_ms;

pub const SERVICE: &str = "advice-desk-x";

/// Service that gets no traffic in the cases.
pub const OTHER: &str = "log-intake-x";
pub struct Small {
    pub net: Net,
    pub store: Store,
    pub deployment: Deployment,
    pub fronts: Vec<Machine>,
    pub sides: Vec<Machine>,
    pub gateways: Vec<Process>,
    pub sidecars: Vec<Process>,
    pub routers: Routers,
    pub route: SocketAddrV4,
    /// Targets of the other service.
    pub others: Vec<Target>,
}

impl Small {
    /// Starts the store, `fronts` gateways and `sides` sidecars, and waits until the
    /// gateways are in rotation.
    /// Beside them run `others` sidecars with targets of another service.
    pub fn start(fronts: u8, sides: u8, others: u8, heartbeat_ms: u64) -> Result<Self, String> {
        Self::start_with(fronts, sides, others, heartbeat_ms, &[])
    }

    /// Starts it with further bounds in the settings.
    pub fn start_with(
        fronts: u8,
        sides: u8,
        others: u8,
        heartbeat_ms: u64,
        bounds: &[(&'static str, &'static str)],
    ) -> Result<Self, String> {
        let net = Net::find();
        let store = Store::start(net.store).map_err(|error| error.to_string())?;
        let route = SocketAddrV4::new(net.host(200), 8443);
        let other = SocketAddrV4::new(net.host(201), 8443);
        store.put("op/config", &config(7, &[(route, SERVICE), (other, OTHER)]));
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), random() % 100_000));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let zones: Vec<(String, String)> =
            (0..fronts).map(|zone| (format!("zone-{}", (b'a' + zone) as char), "region".to_owned())).collect();
        let zone = |number: u8| zones[usize::from(number % fronts)].0.clone();
        let machine = |kind: &str, number: u8, base: u8, service: Option<&str>| Machine {
            name: format!("{kind}-{}", number + 1),
            number: base + number,
            zone: zone(number),
            service: service.map(str::to_owned),
        };
        let front_machines: Vec<Machine> = (0..fronts).map(|number| machine("front", number, 11, None)).collect();
        let service = |number: u8| if number < sides { SERVICE } else { OTHER };
        let side_machines: Vec<Machine> =
            (0..sides + others).map(|number| machine("side", number, 31, Some(service(number)))).collect();
        let deployment = Deployment {
            net: net.clone(),
            zones,
            seeds: front_machines.iter().map(|machine| machine.number).take(3).collect(),
            folder,
            bounds: [("grace_s", "6"), ("reuse_after_s", "2"), ("max_flow_s", "60")].into_iter().chain(bounds.iter().copied()).collect(),
            heartbeat_ms,
        };
        let start = |machines: &[Machine]| machines.iter().map(|machine| deployment.start(machine, true)).collect();
        let gateways: Vec<Process> = start(&front_machines);
        let sidecars: Vec<Process> = start(&side_machines);
        let members = front_machines.iter().map(|machine| Member {
            name: machine.name.clone(),
            datagrams: net.at(machine.number, net.datagrams),
            ready: net.at(machine.number, net.ready),
            is_in: false.into(),
        });
        let routers = Routers::start(members.collect());
        let mut small = Self {
            net,
            store,
            deployment,
            fronts: front_machines,
            sides: side_machines,
            gateways,
            sidecars,
            routers,
            route,
            others: Vec::new(),
        };
        for _ in 0..1_000 {
            if small.routers.all_in() {
                for side in sides..sides + others {
                    let target = small.start_target(small.place(usize::from(side)))?;
                    small.others.push(target);
                }
                return Ok(small);
            }
            sleep_ms(10);
        }
        Err("the gateways are not ready".to_owned())
    }

    /// Returns the place of the target beside a sidecar.
    pub fn place(&self, side: usize) -> Place {
        let (net, machine) = (&self.net, &self.sides[side]);
        Place {
            id: format!("i-{:08x}", random() as u32),
            service: machine.service.clone().unwrap_or_default(),
            zone: machine.zone.clone(),
            app: net.at(machine.number, net.app),
            outbound: net.at(machine.number, net.outbound),
            control: net.at(machine.number, net.control),
            heartbeat: Duration::from_millis(self.deployment.heartbeat_ms),
            work: Duration::from_millis(15),
            clock_ahead: Duration::ZERO,
        }
    }

    /// Starts a target and waits until it has registered.
    pub fn start_target(&self, place: Place) -> Result<Target, String> {
        let target = Target::start(place).map_err(|error| error.to_string())?;
        for _ in 0..500 {
            if target.is_acknowledged() {
                return Ok(target);
            }
            sleep_ms(10);
        }
        Err("a target did not register".to_owned())
    }

    pub fn client(&self, number: u8) -> Result<Arc<Host>, String> {
        let address = SocketAddrV4::new(self.net.host(number), self.net.datagrams);
        Host::start(address, self.routers.clone()).map_err(|error| error.to_string())
    }

    /// Ends all processes, and keeps the logs where `REVIEW_LOGS` names a folder.
    pub fn end(&mut self) {
        self.gateways.clear();
        self.sidecars.clear();
        if let Ok(logs) = std::env::var("REVIEW_LOGS") {
            let _ = std::fs::create_dir_all(&logs);
            for file in std::fs::read_dir(&self.deployment.folder).into_iter().flatten().flatten() {
                let _ = std::fs::copy(file.path(), PathBuf::from(&logs).join(file.file_name()));
            }
        }
        let _ = std::fs::remove_dir_all(&self.deployment.folder);
    }
}

impl Drop for Small {
    fn drop(&mut self) {
        self.end();
    }
}

/// Returns a configuration of routes, each with its service.
pub fn config(version: u64, routes: &[(SocketAddrV4, &str)]) -> String {
    let rows: Vec<String> = routes.iter().enumerate().map(|(number, (route, service))| {
        format!(
            "{{\"name\":\"r-{number}\",\"hostname\":\"{}\",\"prefix\":\"/{}/\",\"type\":\"safe\",\"timeout_ms\":1000,\"target_latency_ms\":100,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2}}",
            route.ip(),
            route.port()
        )
    }).collect();
    let services: Vec<String> = routes.iter().map(|(_, service)| {
        format!("{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false}}")
    }).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        rows.join(","),
        services.join(",")
    )
}

/// Sends requests on flows of their own until each of the targets has answered.
pub fn serve_all(host: &Arc<Host>, route: SocketAddrV4, targets: &[&str]) -> Result<(), String> {
    let mut seen = BTreeSet::new();
    for number in 0..400 {
        if let Ok(mut flow) = host.open(route) {
            if let Ok(answer) = flow.request(&format!("warm-{number}"), Duration::from_millis(1_000)) {
                let target = answer.signature.rsplit_once('-').map(|(id, _)| id.to_owned());
                seen.extend(target);
            }
            flow.close();
        }
        if targets.iter().all(|target| seen.contains(*target)) {
            record(format!("all of {targets:?} have answered a request"));
            return Ok(());
        }
        sleep_ms(20);
    }
    Err(format!("only {seen:?} have answered"))
}
