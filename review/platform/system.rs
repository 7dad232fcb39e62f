//! A small deployment on loopback addresses: a store, gateways, and sidecars with
//! their targets.
use std::fs;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::client::Judge;
use crate::client::Router;
use crate::process::Process;
use crate::record::Record;
use crate::store::Store;
use crate::target::FlowKey;
use crate::target::Target;

pub struct System {
    network: u8,
    pub folder: PathBuf,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub gateways: Vec<Process>,
    pub sidecars: Vec<Process>,
    pub targets: Arc<std::sync::Mutex<Vec<Arc<Target>>>>,
    pub router: Arc<Router>,
    pub heartbeat_ms: u64,
    seeds: Vec<Ipv4Addr>,
}

/// A route: its number, which gives its address, and its service.
pub fn route_address(number: u8) -> (Ipv4Addr, u16) {
    (Ipv4Addr::new(127, 200, 0, number), 443)
}

/// The operator's configuration.
pub fn config(version: u64, routes: &[(u8, &str)], services: &[&str]) -> String {
    let rows: Vec<String> = routes
        .iter()
        .map(|(number, service)| {
            let (ip, port) = route_address(*number);
            format!(
                r#"{{"name":"r-{number}","hostname":"{ip}","prefix":"/{port}/","type":"unsafe","timeout_ms":1200,"target_latency_ms":120,"priority":1,"service":"{service}","max_attempts":2}}"#
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","health_path":"/health","max_connections":2000,"protocol":"h1","tls":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        rows.join(","),
        services.join(",")
    )
}

impl System {
    /// Prepares gateways and sidecars; `services` names the service of each sidecar.
    pub fn new(record: &str, gateways: u8, services: &[&str]) -> Result<Self, String> {
        let network = free_network()?;
        let record = Arc::new(Record::create(record));
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let ip = |kind: u8, number: u8| Ipv4Addr::new(127, network, kind, number);
        let store_ip = ip(0, 1);
        let store = Store::start((store_ip, 8169).into()).map_err(|error| error.to_string())?;
        let entries: Vec<Ipv4Addr> = (1..=gateways).map(|number| ip(1, number)).collect();
        let seeds: Vec<Ipv4Addr> = entries.iter().take(3).copied().collect();
        let heartbeat_ms = 1_200;
        let gateways = entries
            .iter()
            .enumerate()
            .map(|(index, address)| {
                let name = format!("gateway-{}", index + 1);
                Process::new(
                    &name, "gateway", *address, "zone-a", None, &folder, &seeds, store_ip,
                    heartbeat_ms,
                )
            })
            .collect();
        let router = Router::start(ip(3, 1), &entries, &record);
        let mut system = Self {
            network,
            folder,
            record,
            store,
            gateways,
            sidecars: Vec::new(),
            targets: Arc::default(),
            router,
            heartbeat_ms,
            seeds,
        };
        for service in services {
            system.add_sidecar(service);
        }
        Ok(system)
    }

    /// Prepares one more sidecar; returns its index.
    pub fn add_sidecar(&mut self, service: &str) -> usize {
        let index = self.sidecars.len();
        let address = Ipv4Addr::new(127, self.network, 2, index as u8 + 1);
        let name = format!("sidecar-{}", index + 1);
        let zone = if index % 2 == 0 { "zone-a" } else { "zone-b" };
        self.sidecars.push(Process::new(
            &name,
            "sidecar",
            address,
            zone,
            Some(service),
            &self.folder,
            &self.seeds,
            Ipv4Addr::new(127, self.network, 0, 1),
            self.heartbeat_ms,
        ));
        index
    }

    /// Prepares a gateway on a machine with a new address.
    pub fn add_gateway(&mut self, number: u8) -> Ipv4Addr {
        let address = Ipv4Addr::new(127, self.network, 1, number);
        let name = format!("gateway-{number}");
        self.gateways.push(Process::new(
            &name,
            "gateway",
            address,
            "zone-a",
            None,
            &self.folder,
            &self.seeds,
            Ipv4Addr::new(127, self.network, 0, 1),
            self.heartbeat_ms,
        ));
        address
    }

    /// Starts the target beside a sidecar.
    pub fn start_target(&self, sidecar: usize, name: &str, service: &str) -> Arc<Target> {
        let address = self.sidecars[sidecar].address;
        let target = Target::start(name, address, service, self.heartbeat_ms, &self.record);
        self.targets.lock().unwrap().push(Arc::clone(&target));
        target
    }

    /// Starts all processes and targets for the first time, and waits until the
    /// gateways are in rotation and settled.
    pub fn start(&mut self, services: &[&str]) -> Result<(), String> {
        for process in self.gateways.iter_mut().chain(&mut self.sidecars) {
            process.start(true);
        }
        for (index, service) in services.iter().enumerate() {
            self.start_target(index, &format!("i-{}", index + 1), service);
        }
        let start = Instant::now();
        while self.router.ready() < self.gateways.len() {
            if start.elapsed() > Duration::from_secs(10) {
                return Err("the gateways are not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_secs(5));
        Ok(())
    }

    pub fn client(&self, number: u8) -> Arc<Client> {
        let address = Ipv4Addr::new(127, self.network, 4, number);
        let targets = Arc::clone(&self.targets);
        let judge: Judge = Box::new(move |flow: &FlowKey| {
            let targets = targets.lock().unwrap();
            let holder = targets.iter().find(|target| target.holds(flow));
            holder.map(|target| target.name.clone())
        });
        Client::start(address, &self.router, &self.record, judge)
    }

    /// Returns the name of a process that ended by itself.
    pub fn ended_process(&mut self) -> Option<String> {
        let all = self.gateways.iter_mut().chain(&mut self.sidecars);
        let mut ended = all.filter_map(|process| process.has_ended().then(|| process.name.clone()));
        ended.next()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for target in self.targets.lock().unwrap().iter() {
            target.end();
        }
        for process in self.gateways.iter_mut().chain(&mut self.sidecars) {
            process.kill();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the second octet of loopback addresses whose ports are free.
fn free_network() -> Result<u8, String> {
    let first = (std::process::id() % 90) as u8;
    (0..90)
        .map(|step| 100 + (first + step) % 90)
        .find(|network| {
            let is_free = |kind, number, port| {
                TcpListener::bind((Ipv4Addr::new(127, *network, kind, number), port)).is_ok()
            };
            is_free(0, 1, 8169) && is_free(1, 1, 8167) && is_free(2, 1, 8167)
        })
        .ok_or_else(|| "no free loopback network".to_owned())
}
