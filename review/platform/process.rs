//! Processes of the system, started as the deploy file says.
use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicI32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(signal: i32, handler: extern "C" fn(i32)) -> usize;
    fn alarm(seconds: u32) -> u32;
    fn _exit(code: i32) -> !;
}

/// Longest time of a case, in seconds.
const TIME_LIMIT_S: u32 = 115;

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGKILL: i32 = 9;
const SIGALRM: i32 = 14;

/// Ids of the processes that run; 0 in unused places.
static RUNNING: [AtomicI32; 64] = [const { AtomicI32::new(0) }; 64];

/// Ends all started processes and this one on a signal, and after the time limit.
pub fn end_on_signals() {
    extern "C" fn end(_: i32) {
        for place in &RUNNING {
            let pid = place.load(Ordering::SeqCst);
            if pid > 0 {
                unsafe { kill(pid, SIGKILL) };
            }
        }
        unsafe { _exit(2) }
    }
    unsafe {
        for number in [SIGHUP, SIGINT, SIGTERM, SIGALRM] {
            signal(number, end);
        }
        alarm(TIME_LIMIT_S);
    }
}

fn replace_running(from: i32, to: i32) {
    let mut places = RUNNING.iter();
    let is_replaced = places.any(|place| {
        let replaced = place.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst);
        replaced.is_ok()
    });
    assert!(is_replaced, "too many processes");
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
        replace_running(0, child.id() as i32);
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
            replace_running(child.id() as i32, 0);
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
