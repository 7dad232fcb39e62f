//! Processes of the system, started as the deploy file says.
use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;

/// `bounds.grace_s`.
const GRACE: Duration = Duration::from_secs(6);

/// The key of the deploy file.
const SIGN_KEY: &str = "1:6772656e676167656772656e676167656772656e676167656772656e67616765";

pub struct Process {
    pub name: String,
    pub address: Ipv4Addr,
    role: &'static str,
    zone: &'static str,
    service: Option<String>,
    folder: PathBuf,
    seeds: Vec<Ipv4Addr>,
    store: Ipv4Addr,
    heartbeat_ms: u64,
    child: Option<Child>,
}

impl Process {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        name: &str,
        role: &'static str,
        address: Ipv4Addr,
        zone: &'static str,
        service: Option<&str>,
        folder: &Path,
        seeds: &[Ipv4Addr],
        store: Ipv4Addr,
        heartbeat_ms: u64,
    ) -> Self {
        Self {
            name: name.to_owned(),
            address,
            role,
            zone,
            service: service.map(str::to_owned),
            folder: folder.to_owned(),
            seeds: seeds.to_owned(),
            store,
            heartbeat_ms,
            child: None,
        }
    }

    /// The settings file, as the template `deploy/settings.json` gives it.
    fn settings(&self, is_first_start: bool) -> String {
        let ip = self.address;
        let outbound = match self.service {
            Some(_) => format!("\"servers\": \"{ip}:8162\","),
            None => String::new(),
        };
        let app = match &self.service {
            Some(service) => {
                format!("\"backend\": \"{ip}:8165\", \"service\": \"{service}\",")
            }
            None => String::new(),
        };
        let seeds: Vec<String> = self.seeds.iter().map(|ip| format!("\"{ip}:8166\"")).collect();
        format!(
            r#"{{"host": "{}", "address": "{ip}", "zone": "{}",
 "zones": {{"zone-a": "region", "zone-b": "region"}},
 "listen": {{"announcements": "{ip}:8166", {outbound} "packets": "{ip}:8172", "ready": "{ip}:8167"}},
 "internal_ports": [7720, 7735], "seeds": [{}], "store": "{}:8169", {app}
 "heartbeat_ms": {}, "stop_s": 6, "reuse_s": 2, "oldest_flow_s": 60, "link_mbps": 1000.0,
 "is_first_start": {is_first_start}}}"#,
            self.name,
            self.zone,
            seeds.join(", "),
            self.store,
            self.heartbeat_ms
        )
    }

    pub fn start(&mut self, is_first_start: bool) {
        let boot = self.folder.join(format!("{}.json", self.name));
        fs::write(&boot, self.settings(is_first_start)).expect("settings");
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).expect("log");
        let child = Command::new("target/release/greengagelug")
            .arg(self.role)
            .env("GREENGAGELUG_BOOT", boot)
            .env("GREENGAGELUG_SIGN_KEY", SIGN_KEY)
            .env("GREENGAGELUG_LOG_FORMAT", "compact")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("greengagelug");
        self.child = Some(child);
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // The process is a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after the grace.
    /// Returns the time that it took to end.
    pub fn stop(&mut self) -> Duration {
        let start = Instant::now();
        self.signal(SIGTERM);
        if let Some(child) = &mut self.child {
            while start.elapsed() < GRACE && matches!(child.try_wait(), Ok(None)) {
                std::thread::sleep(Duration::from_millis(10));
            }
        }
        self.kill();
        start.elapsed()
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns true if the process ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
