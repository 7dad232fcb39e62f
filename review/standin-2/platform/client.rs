//! A client host, and the routers before the system.
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::packet::ACK;
use crate::packet::FIN;
use crate::packet::Packet;
use crate::packet::RST;
use crate::packet::SYN;
use crate::util::random;
use crate::util::record;
use crate::util::sleep_ms;

/// Largest distance of a reset's `seq` from the client's last `ack`.
const MAX_RESET_DISTANCE: u32 = 76_800;

/// A gateway as the routers see it.
pub struct Member {
    pub name: String,
    pub datagrams: SocketAddr,
    pub ready: SocketAddr,
    pub is_in: AtomicBool,
}

/// The platform's routers: select a gateway by a hash of the flow that moves only the
/// flows of a gateway that leaves or joins.
#[derive(Clone)]
pub struct Routers(pub Arc<Vec<Member>>);

impl Routers {
    pub fn start(members: Vec<Member>) -> Self {
        let routers = Self(Arc::new(members));
        for index in 0..routers.0.len() {
            let shared = routers.clone();
            thread::spawn(move || {
                let mut misses = 0;
                loop {
                    let member = &shared.0[index];
                    let status = http::call(member.ready, "GET", "/readiness", "", Duration::from_millis(400));
                    misses = if status == Some(200) { 0 } else { misses + 1 };
                    let was = member.is_in.load(Ordering::SeqCst);
                    let is = misses == 0 || was && misses < 2;
                    member.is_in.store(is, Ordering::SeqCst);
                    if was != is {
                        record(format!("routers: {} is {} rotation", member.name, if is { "in" } else { "out of" }));
                    }
                    sleep_ms(500);
                }
            });
        }
        routers
    }

    pub fn all_in(&self) -> bool {
        self.0.iter().all(|member| member.is_in.load(Ordering::SeqCst))
    }

    fn select(&self, src: Ipv4Addr, sport: u16, dst: Ipv4Addr, dport: u16) -> &Member {
        let flow = u64::from(src.to_bits()) << 32 ^ u64::from(dst.to_bits()) ^ u64::from(sport) << 16 ^ u64::from(dport) << 40;
        let score = |index: usize| {
            let mut hash = (flow ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xff51_afd7_ed55_8ccd);
            hash ^= hash >> 33;
            hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53) ^ hash >> 29
        };
        let count = self.0.iter().filter(|member| member.is_in.load(Ordering::SeqCst)).count();
        let all = count * 2 < self.0.len();
        let members = self.0.iter().enumerate();
        let able = members.filter(|(_, member)| all || member.is_in.load(Ordering::SeqCst));
        able.max_by_key(|(index, _)| score(*index)).map(|(_, member)| member).unwrap()
    }
}

/// A client's host.
pub struct Host {
    address: Ipv4Addr,
    socket: UdpSocket,
    routers: Routers,
    flows: Mutex<HashMap<u16, Sender<Packet>>>,
    next_port: AtomicU16,
}

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No target accepted the flow in time.
    NotOpened,
    /// The system reset the flow before it was open.
    RefusedBySystem,
    /// The system reset the open flow.
    ResetBySystem,
    /// The target reset the flow.
    ResetByTarget,
    /// The deadline passed.
    Deadline,
}

/// A flow that was opened.
pub struct Flow {
    host: Arc<Host>,
    route: SocketAddrV4,
    pub port: u16,
    incoming: Receiver<Packet>,
    next: u32,
    received: u32,
    input: Vec<u8>,
    pub is_closed: bool,
}

/// Answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub signature: String,
    pub body: String,
}

impl Host {
    pub fn start(address: SocketAddrV4, routers: Routers) -> std::io::Result<Arc<Self>> {
        let socket = UdpSocket::bind(address)?;
        let host = Arc::new(Self {
            address: *address.ip(),
            socket,
            routers,
            flows: Mutex::default(),
            next_port: AtomicU16::new(20_000 + (random() % 20_000) as u16),
        });
        let shared = Arc::clone(&host);
        thread::spawn(move || {
            let mut buffer = vec![0; 2048];
            loop {
                let Ok((length, _)) = shared.socket.recv_from(&mut buffer) else {
                    continue;
                };
                let Some(packet) = Packet::decode(&buffer[..length]) else {
                    continue;
                };
                if let Some(flow) = shared.flows.lock().unwrap().get(&packet.dport) {
                    let _ = flow.send(packet);
                }
            }
        });
        Ok(host)
    }

    fn send(&self, packet: &Packet) {
        let to = self.routers.select(packet.src, packet.sport, packet.dst, packet.dport);
        let _ = self.socket.send_to(&packet.encode(), to.datagrams);
    }

    pub fn address(&self) -> Ipv4Addr {
        self.address
    }

    /// Opens a flow from a new port.
    pub fn open(self: &Arc<Self>, route: SocketAddrV4) -> Result<Flow, Failure> {
        let port = self.next_port.fetch_add(1, Ordering::SeqCst);
        let (sender, incoming) = channel();
        self.flows.lock().unwrap().insert(port, sender);
        let first = random() as u32;
        let mut flow = Flow {
            host: Arc::clone(self),
            route,
            port,
            incoming,
            next: first.wrapping_add(1),
            received: 0,
            input: Vec::new(),
            is_closed: false,
        };
        let start = Instant::now();
        let copies = [0, 200, 600];
        let mut copy = 0;
        while start.elapsed() < Duration::from_millis(1_400) {
            if copy < copies.len() && start.elapsed() >= Duration::from_millis(copies[copy]) {
                let syn = Packet { seq: first, ack: copy as u32, ..flow.packet(SYN, Vec::new()) };
                self.send(&syn);
                copy += 1;
            }
            let Ok(packet) = flow.incoming.recv_timeout(Duration::from_millis(10)) else {
                continue;
            };
            if packet.has(RST) && packet.sum == 0 {
                return Err(Failure::RefusedBySystem);
            }
            if packet.has(SYN) && packet.has(ACK) && packet.is_genuine() {
                flow.received = packet.seq.wrapping_add(1);
                return Ok(flow);
            }
        }
        Err(Failure::NotOpened)
    }
}

impl Flow {
    fn packet(&self, flags: u8, data: Vec<u8>) -> Packet {
        Packet {
            src: self.host.address,
            sport: self.port,
            dst: *self.route.ip(),
            dport: self.route.port(),
            flags,
            seq: self.next,
            ack: self.received,
            data,
            sum: 0,
        }
    }

    /// Sends a request and waits for its answer.
    pub fn request(&mut self, id: &str, timeout: Duration) -> Result<Answer, Failure> {
        let text = format!("GET /x HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\n\r\n");
        let mut packet = self.packet(ACK, text.into_bytes());
        let end = packet.seq.wrapping_add(packet.data.len() as u32);
        self.next = end;
        let deadline = Instant::now() + timeout;
        let (mut due, mut wait) = (Instant::now(), Duration::from_millis(200));
        let mut is_received = false;
        while Instant::now() < deadline {
            if !is_received && Instant::now() >= due {
                packet.ack = self.received;
                self.host.send(&packet);
                due = Instant::now() + wait;
                wait = (wait * 2).min(Duration::from_millis(1_600));
            }
            let Ok(packet) = self.incoming.recv_timeout(Duration::from_millis(5)) else {
                continue;
            };
            if packet.has(RST) {
                let distance = packet.seq.wrapping_sub(self.received);
                let distance = distance.min(distance.wrapping_neg());
                if packet.sum == 0 && distance <= MAX_RESET_DISTANCE {
                    self.is_closed = true;
                    return Err(Failure::ResetBySystem);
                }
                if packet.sum != 0 && packet.is_genuine() {
                    self.is_closed = true;
                    return Err(Failure::ResetByTarget);
                }
                continue;
            }
            if !packet.is_genuine() {
                record(format!("client {}:{}: got a packet that nobody wrote so: {packet:?}", self.host.address, self.port));
                continue;
            }
            is_received |= packet.ack == end;
            if !packet.data.is_empty() {
                if packet.seq == self.received {
                    self.received = self.received.wrapping_add(packet.data.len() as u32);
                    self.input.extend_from_slice(&packet.data);
                    if packet.has(FIN) {
                        self.received = self.received.wrapping_add(1);
                        self.is_closed = true;
                    }
                }
                self.host.send(&self.packet(ACK, Vec::new()));
            }
            if let Some(answer) = self.take_answer() {
                return Ok(answer);
            }
        }
        Err(Failure::Deadline)
    }

    fn take_answer(&mut self) -> Option<Answer> {
        let text = String::from_utf8_lossy(&self.input).into_owned();
        let head = text.find("\r\n\r\n")?;
        let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
        let length: usize = field("Content-Length: ")?.parse().ok()?;
        if self.input.len() < head + 4 + length {
            return None;
        }
        let body = text[head + 4..head + 4 + length].to_owned();
        let signature = field("Server-Signature: ").unwrap_or("").to_owned();
        self.input.drain(..head + 4 + length);
        Some(Answer { signature, body })
    }

    /// Closes the flow.
    pub fn close(self) {
        self.host.send(&self.packet(ACK | FIN, Vec::new()));
    }
}
