//! The project's processes, started with the commands of the deploy file.
use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use crate::util::random;
use crate::util::record;
use crate::util::sleep_ms;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Option of `prctl`: a signal to the process once its parent has ended.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Addresses of a run: one loopback address a machine, the same ports on all.
#[derive(Clone)]
pub struct Net {
    prefix: (u8, u8),
    pub datagrams: u16,
    pub ready: u16,
    pub control: u16,
    pub outbound: u16,
    pub app: u16,
    pub internal: u16,
    pub store: SocketAddr,
}

impl Net {
    /// Finds free addresses and ports.
    pub fn find() -> Self {
        loop {
            let prefix = (20 + (random() % 200) as u8, (random() % 250) as u8);
            let base = 21_000 + (random() % 9_000) as u16;
            let net = Self {
                prefix,
                datagrams: base,
                ready: base + 1,
                control: base + 2,
                outbound: base + 3,
                app: base + 4,
                internal: base + 10,
                store: SocketAddr::from(([127, prefix.0, prefix.1, 5], base + 5)),
            };
            let is_free = (1..120).step_by(7).all(|host| {
                (base..base + 26).all(|port| {
                    let address = SocketAddrV4::new(net.host(host), port);
                    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
                })
            });
            if is_free {
                return net;
            }
        }
    }

    pub fn host(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix.0, self.prefix.1, number)
    }

    pub fn at(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.host(number), port))
    }
}

/// A machine of the deployment.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub number: u8,
    pub zone: String,
    /// Name of the service of its target; `None` on front machines.
    pub service: Option<String>,
}

/// What all processes are started with.
#[derive(Clone)]
pub struct Deployment {
    pub net: Net,
    pub zones: Vec<(String, String)>,
    pub seeds: Vec<u8>,
    pub folder: PathBuf,
    /// Name and JSON value of each bound of the settings.
    pub bounds: Vec<(&'static str, &'static str)>,
    pub heartbeat_ms: u64,
}

/// A process of the project.
pub struct Process {
    pub machine: Machine,
    child: Child,
}

struct Role {
    run: Vec<String>,
    template: String,
    env: Vec<(String, String)>,
}

/// Reads a role of the deploy file.
fn role(name: &str) -> Role {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let section = text.split(&format!("[roles.{name}]")).nth(1).expect("the role");
    let section = section.split("\n[").next().unwrap_or_default();
    let field = |field: &str| {
        let mut lines = section.lines();
        let line = lines.find(|line| line.starts_with(&format!("{field} =")));
        line.and_then(|line| line.split_once('=')).map(|(_, value)| value.trim().to_owned()).unwrap_or_default()
    };
    let env = field("env");
    let words: Vec<&str> = env.split('"').collect();
    let pairs = words.chunks(2).filter(|pair| pair.len() == 2);
    let pairs = pairs.map(|pair| {
        let name = pair[0].trim_matches([' ', '{', ',', '=', '}']);
        (name.to_owned(), pair[1].to_owned())
    });
    Role {
        run: field("run").trim_matches('"').split(' ').map(str::to_owned).collect(),
        template: field("template").trim_matches('"').to_owned(),
        env: pairs.collect(),
    }
}

fn role_of(machine: &Machine) -> Role {
    role(if machine.service.is_some() { "sidecar" } else { "gateway" })
}

impl Deployment {
    /// Starts the process of a machine.
    pub fn start(&self, machine: &Machine, is_first: bool) -> Process {
        let role = role_of(machine);
        let path = self.write_settings(machine, is_first);
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = File::options().create(true).append(true).open(log).expect("the log");
        let mut command = Command::new(&role.run[0]);
        command.args(&role.run[1..]).env_clear().env("GREENGAGELUG_BOOT", &path);
        command.envs(role.env).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("the log")).stderr(log);
        // Ends the process if the stand-in is ended from outside.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command.spawn().expect("the program");
        record(format!("platform: started {} (process {})", machine.name, child.id()));
        Process { machine: machine.clone(), child }
    }

    /// Places the settings file of a machine; returns its path.
    pub fn write_settings(&self, machine: &Machine, is_first: bool) -> PathBuf {
        let path = self.folder.join(format!("{}.json", machine.name));
        let template = fs::read_to_string(role_of(machine).template).expect("the template");
        fs::write(&path, render(&template, &self.fields(machine, is_first))).expect("the settings");
        path
    }

    /// Returns the last line that the process of a machine has written.
    pub fn last_line(&self, machine: &Machine) -> String {
        let log = self.folder.join(format!("{}.log", machine.name));
        let text = fs::read_to_string(log).unwrap_or_default();
        text.trim_end().lines().last().unwrap_or_default().to_owned()
    }

    fn fields(&self, machine: &Machine, is_first: bool) -> BTreeMap<String, String> {
        let text = |text: &dyn std::fmt::Display| format!("\"{text}\"");
        let net = &self.net;
        let at = |port| text(&net.at(machine.number, port));
        let mut fields = BTreeMap::new();
        let mut set = |name: &str, value: String| fields.insert(name.to_owned(), value);
        set("node_name", text(&machine.name));
        set("ip", text(&net.host(machine.number)));
        set("zone", text(&machine.zone));
        let zones: Vec<String> = self.zones.iter().map(|(zone, region)| format!("\"{zone}\":\"{region}\"")).collect();
        set("zones", format!("{{{}}}", zones.join(",")));
        set("listen_addrs.datagram_addr", at(net.datagrams));
        set("listen_addrs.ready", at(net.ready));
        set("listen_addrs.control", at(net.control));
        set("internal_port_range", format!("[{},{}]", net.internal, net.internal + 15));
        let seeds: Vec<String> = self.seeds.iter().map(|seed| text(&net.at(*seed, net.control))).collect();
        set("seeds", format!("[{}]", seeds.join(",")));
        set("platform.address", text(&net.store));
        set("heartbeat_ms", self.heartbeat_ms.to_string());
        for (name, value) in &self.bounds {
            set(&format!("bounds.{name}"), (*value).to_owned());
        }
        set("limits.link_mbps", "1000.0".to_owned());
        set("bootstrap", is_first.to_string());
        if let Some(service) = &machine.service {
            set("listen_addrs.outbound", at(net.outbound));
            set("app", at(net.app));
            set("service", text(service));
        }
        fields
    }
}

/// Fills in a template: values as JSON, and sections that are there if the value is.
fn render(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("an end");
        let name = text[start + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = text.find(&close).expect("the end of a section");
        let inner = text[name_end + 2..end].to_owned();
        let inner = if fields.contains_key(&name) { inner } else { String::new() };
        text.replace_range(start..end + close.len(), &inner);
    }
    while let Some(start) = text.find("{{") {
        let end = start + text[start..].find("}}").expect("an end");
        let name = text[start + 2..end].trim_end_matches("|json").to_owned();
        let value = fields.get(&name).cloned().unwrap_or_else(|| "null".to_owned());
        text.replace_range(start..end + 2, &value);
    }
    text
}

impl Process {
    pub fn signal(&self, signal: i32) {
        record(format!("platform: signal {signal} to {}", self.machine.name));
        // The process was started here and has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and waits for its end.
    pub fn kill(mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, and SIGKILL after the grace time.
    pub fn stop(mut self, grace_ms: u64) {
        self.signal(SIGTERM);
        for _ in 0..grace_ms / 20 {
            if !self.is_running() {
                record(format!("platform: {} has ended", self.machine.name));
                return;
            }
            sleep_ms(20);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
