//! A small deployment on loopback addresses: processes of the system, started with the
//! commands and the environment of the deploy file.
use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::client::Clients;
use crate::client::Gateway;
use crate::client::Router;
use crate::json::quote;
use crate::record::Record;
use crate::record::random;
use crate::store::Store;
use crate::target;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

const PACKETS: u16 = 8172;
const READY: u16 = 8167;
const CONTROL: u16 = 8166;
const OUTBOUND: u16 = 8170;
const APP: u16 = 8080;
const STORE: u16 = 8169;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// Bounds and limits of the deployment that the settings state.
#[derive(Clone)]
pub struct Bounds {
    pub heartbeat_ms: u64,
    pub reuse_s: u64,
    pub grace_s: u64,
    pub max_flow_s: u64,
    pub evacuate_ms: Option<u64>,
    pub cold: Option<(f64, f64)>,
}

pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub router: Router,
    pub bounds: Bounds,
    pub zones: Vec<String>,
    /// Priorities of routes in the next configuration, where they are not 1.
    pub priorities: BTreeMap<SocketAddrV4, u64>,
    /// Idle timeout in the next configuration.
    pub idle_ms: u64,
    net: u8,
    folder: PathBuf,
    processes: Arc<Mutex<BTreeMap<String, Child>>>,
    starts: BTreeMap<String, u32>,
    seeds: Vec<SocketAddrV4>,
}

impl Deployment {
    /// Starts the store at addresses that are free; ends the run with status 2 if there
    /// are none.
    pub fn new(record: &Record, zones: &[&str], bounds: Bounds) -> Self {
        Self::with_revision(record, zones, bounds, 100)
    }

    /// Starts the store with this revision.
    pub fn with_revision(record: &Record, zones: &[&str], bounds: Bounds, revision: u64) -> Self {
        let free = (0..50).map(|_| (random() % 240) as u8 + 5).find(|net| {
            let address = |last: [u8; 2], port| {
                SocketAddrV4::new(Ipv4Addr::new(127, *net, last[0], last[1]), port)
            };
            let needed = [
                address([3, 1], STORE),
                address([1, 10], 9464),
                address([2, 10], 9464),
            ];
            needed
                .iter()
                .all(|address| TcpListener::bind(address).is_ok())
        });
        let net = free.unwrap_or_else(|| stop("no free loopback addresses"));
        let folder = std::env::temp_dir().join(format!("review-3-{}-{net}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|_| stop("no temporary folder"));
        let store = Store::start(
            SocketAddr::from(SocketAddrV4::new(Ipv4Addr::new(127, net, 3, 1), STORE)),
            revision,
        );
        let store = store.unwrap_or_else(|_| stop("the store's address is not free"));
        let deployment = Self {
            record: record.clone(),
            store,
            priorities: BTreeMap::new(),
            idle_ms: 15_000,
            router: Router::new(crate::client::Scheme::Steady),
            bounds,
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            net,
            folder,
            processes: Arc::default(),
            starts: BTreeMap::new(),
            seeds: (10..13)
                .map(|last| SocketAddrV4::new(Ipv4Addr::new(127, net, 1, last), CONTROL))
                .collect(),
        };
        // A run never lasts longer, and leaves no process behind.
        let (processes, record) = (Arc::clone(&deployment.processes), record.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(110));
            record.line("the run takes too long");
            end_all(&processes);
            std::process::exit(2);
        });
        deployment
    }

    pub fn route(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 9, number), 443)
    }

    /// Writes a configuration: routes as address and service.
    pub fn configure(
        &self,
        version: u64,
        routes: &[(SocketAddrV4, &str, u64, u64)],
        services: &[&str],
        warmup_per_s: f64,
    ) {
        let rows = routes.iter().map(|(address, service, timeout, aim)| {
            format!(
                "{{\"name\":\"r{}\",\"hostname\":\"{}\",\"prefix\":\"/{}/\",\"service\":{},\"type\":\"unsafe\",\
                 \"timeout_ms\":{timeout},\"target_latency_ms\":{aim},\"max_attempts\":1,\"priority\":{}}}",
                address.ip().octets()[3],
                address.ip(),
                address.port(),
                quote(service),
                self.priorities.get(address).unwrap_or(&1),
            )
        });
        let rows: Vec<String> = rows.collect();
        let names = services.iter().map(|name| {
            format!(
                "{{\"name\":{},\"health_path\":\"/health\",\"max_connections\":2000,\"warmup_s\":2.0,\
                 \"warmup_per_s\":{warmup_per_s:.1}}}",
                quote(name)
            )
        });
        let names: Vec<String> = names.collect();
        self.record
            .line(&format!("the operator writes version {version}"));
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"idle_timeout_ms\":{}}}}}",
            rows.join(","),
            names.join(","),
            self.idle_ms,
        );
        self.store.put("op/config", &text);
    }

    fn settings(
        &self,
        name: &str,
        ip: Ipv4Addr,
        zone: usize,
        target: Option<&str>,
        is_first: bool,
    ) -> String {
        let zones: Vec<String> = self
            .zones
            .iter()
            .map(|zone| format!("{}:\"region\"", quote(zone)))
            .collect();
        let at = |port: u16| format!("\"{ip}:{port}\"");
        let listen = match target {
            Some(_) => format!(
                "\"announcements\":{},\"servers\":{},",
                at(CONTROL),
                at(OUTBOUND)
            ),
            None => format!("\"announcements\":{},", at(CONTROL)),
        };
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let backend = target.map_or(String::new(), |service| {
            format!("\"backend\":{},\"service\":{},", at(APP), quote(service))
        });
        let bounds = &self.bounds;
        let evacuation = bounds
            .evacuate_ms
            .map_or(String::new(), |time| format!("\"evacuation_ms\":{time},"));
        let cold = bounds.cold.map_or(String::new(), |(factor, slack)| {
            format!("\"cold_factor\":{factor},\"cold_slack\":{slack},")
        });
        format!(
            "{{\"host\":{},\"address\":\"{ip}\",\"zone\":{},\"zones\":{{{}}},\"listen\":{{{listen}\"packets\":{},\
             \"ready\":{}}},\"internal_ports\":[7720,7735],\"seeds\":[{}],\"store\":\"127.{}.3.1:{STORE}\",{backend}\
             \"heartbeat_ms\":{},\"stop_s\":{},\"reuse_s\":{},\"oldest_flow_s\":{},{evacuation}{cold}\
             \"link_mbps\":1000.0,\"is_first_start\":{is_first}}}",
            quote(name),
            quote(&self.zones[zone]),
            zones.join(","),
            at(PACKETS),
            at(READY),
            seeds.join(","),
            self.net,
            bounds.heartbeat_ms,
            bounds.grace_s,
            bounds.reuse_s,
            bounds.max_flow_s,
        )
    }

    fn spawn(&mut self, name: &str, role: &str, settings: &str) {
        let boot = self.folder.join(format!("{name}.json"));
        fs::write(&boot, settings).unwrap_or_else(|_| stop("the settings file cannot be written"));
        let count = self.starts.entry(name.to_owned()).or_default();
        *count += 1;
        let log = self.folder.join(format!("{name}-{count}.log"));
        let log = File::create(log).unwrap_or_else(|_| stop("no log file"));
        let errors = log.try_clone().unwrap_or_else(|_| stop("no log file"));
        let mut command = Command::new("target/release/greengagelug");
        command
            .arg(role)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("HOME", "/tmp")
            .env("LANG", "C")
            .env("GREENGAGELUG_BOOT", &boot)
            .env(
                "GREENGAGELUG_SIGN_KEY",
                "1:6772656e676167656772656e676167656772656e676167656772656e67616765",
            )
            .env("GREENGAGELUG_LOG_FORMAT", "compact")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        // The process ends with this one, also if this one is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .spawn()
            .unwrap_or_else(|_| stop("target/release/greengagelug cannot be started; build it"));
        self.record.line(&format!("{name} starts"));
        self.processes
            .lock()
            .unwrap()
            .insert(name.to_owned(), child);
    }

    /// Starts a gateway process and has the routers probe it.
    pub fn gateway(&mut self, number: u8, zone: usize, is_first: bool) -> Arc<Gateway> {
        let name = format!("gateway-{number}");
        let ip = Ipv4Addr::new(127, self.net, 1, 10 + number);
        let settings = self.settings(&name, ip, zone, None, is_first);
        self.spawn(&name, "gateway", &settings);
        let gateway = Gateway {
            name,
            zone,
            packets: SocketAddrV4::new(ip, PACKETS),
            ready: SocketAddr::from(SocketAddrV4::new(ip, READY)),
            in_rotation: false.into(),
            misses: 0.into(),
            probes: 0.into(),
        };
        self.router.add(gateway, &self.record)
    }

    /// Starts a gateway process again, which the routers still probe.
    pub fn restart_gateway(&mut self, number: u8, zone: usize) {
        let name = format!("gateway-{number}");
        let ip = Ipv4Addr::new(127, self.net, 1, 10 + number);
        let settings = self.settings(&name, ip, zone, None, false);
        self.spawn(&name, "gateway", &settings);
    }

    /// Waits until a gateway has been probed once more.
    pub fn wait_probe(&self, gateway: &Gateway) {
        let count = || gateway.probes.load(std::sync::atomic::Ordering::SeqCst);
        let before = count();
        while count() == before {
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Starts a sidecar process for a target of a service.
    pub fn sidecar(&mut self, number: u8, zone: usize, service: &str, is_first: bool) {
        let name = format!("sidecar-{number}");
        let ip = Ipv4Addr::new(127, self.net, 2, 10 + number);
        let settings = self.settings(&name, ip, zone, Some(service), is_first);
        self.spawn(&name, "sidecar", &settings);
    }

    /// Returns the settings of the target beside a sidecar.
    pub fn target(&self, number: u8, zone: usize, service: &str, slots: usize) -> target::Settings {
        let ip = Ipv4Addr::new(127, self.net, 2, 10 + number);
        target::Settings {
            name: format!("i-{number:02}"),
            service: service.to_owned(),
            zone: self.zones[zone].clone(),
            app: SocketAddrV4::new(ip, APP),
            outbound: SocketAddrV4::new(ip, OUTBOUND),
            control: SocketAddrV4::new(ip, CONTROL),
            slots,
            queue: 6,
            heartbeat: Duration::from_millis(self.bounds.heartbeat_ms),
            warmup: Duration::ZERO,
            pace: 1.0,
            first_sequence: 1,
        }
    }

    pub fn clients(&self, zone: usize) -> Clients {
        let ip = Ipv4Addr::new(127, self.net, 4, 10 + zone as u8);
        Clients::start(ip, PACKETS, zone, &self.router, &self.record)
    }

    pub fn signal(&self, name: &str, signal: i32) {
        self.record.line(&format!("{name} gets signal {signal}"));
        if let Some(child) = self.processes.lock().unwrap().get(name) {
            // The process was started by this run and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until a process has ended, and then kills it. Returns whether it ended by itself.
    pub fn wait_end(&self, name: &str, time: Duration) -> bool {
        let until = std::time::Instant::now() + time;
        let Some(mut child) = self.processes.lock().unwrap().remove(name) else {
            return true;
        };
        while std::time::Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                self.record.line(&format!("{name} has ended: {status}"));
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        self.record.line(&format!("{name} is killed"));
        false
    }

    /// Returns true while a process runs.
    pub fn is_running(&self, name: &str) -> bool {
        let mut processes = self.processes.lock().unwrap();
        let child = processes.get_mut(name);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        end_all(&self.processes);
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn end_all(processes: &Mutex<BTreeMap<String, Child>>) {
    let mut processes = match processes.lock() {
        Ok(processes) => processes,
        Err(poisoned) => poisoned.into_inner(),
    };
    for child in processes.values_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    processes.clear();
}

/// Ends a run that cannot take place.
pub fn stop(reason: &str) -> ! {
    eprintln!("{reason}");
    std::process::exit(2);
}
