//! Stand-in of the clients, and of the routers that hand their packets to gateways.
use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::packet::ACK;
use crate::packet::FIN;
use crate::packet::Packet;
use crate::packet::RST;
use crate::packet::SYN;
use crate::record::Record;
use crate::target::FlowKey;

const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPENING: Duration = Duration::from_millis(1_400);
const RESEND: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(1_600));
/// Distance from the client's last `ack` within which a reset is accepted.
const RESET_WINDOW: u32 = 76_800;

/// The routers of a zone: hand each packet to a gateway in rotation.
pub struct Router {
    gateways: Mutex<Vec<(Ipv4Addr, Arc<AtomicBool>)>>,
    socket: UdpSocket,
    record: Arc<Record>,
}

impl Router {
    pub fn start(address: Ipv4Addr, gateways: &[Ipv4Addr], record: &Arc<Record>) -> Arc<Self> {
        let router = Arc::new(Self {
            gateways: Mutex::default(),
            socket: UdpSocket::bind((address, 0)).expect("router"),
            record: Arc::clone(record),
        });
        router.replace(gateways);
        router
    }

    /// Replaces the gateways of the zone, after machines were removed and added.
    pub fn replace(self: &Arc<Self>, gateways: &[Ipv4Addr]) {
        let all: Vec<_> = gateways
            .iter()
            .map(|gateway| (*gateway, Arc::new(AtomicBool::new(false))))
            .collect();
        for (gateway, in_rotation) in all.clone() {
            let shared = Arc::clone(self);
            thread::spawn(move || shared.probe(gateway, &in_rotation));
        }
        *self.gateways.lock().unwrap() = all;
    }

    /// Sends the readiness check twice a second; out of rotation after two misses.
    fn probe(&self, gateway: Ipv4Addr, in_rotation: &AtomicBool) {
        let mut misses = 0;
        loop {
            let start = Instant::now();
            let is_ready = get_ready(SocketAddr::from((gateway, 8167)));
            misses = if is_ready { 0 } else { misses + 1 };
            let was = in_rotation.load(Ordering::Relaxed);
            if is_ready != was && (is_ready || misses >= 2) {
                in_rotation.store(is_ready, Ordering::Relaxed);
                let state = if is_ready { "in" } else { "out of" };
                self.record.write(&format!("{gateway} is {state} rotation"));
            }
            thread::sleep(Duration::from_millis(500).saturating_sub(start.elapsed()));
        }
    }

    pub fn ready(&self) -> usize {
        let gateways = self.gateways.lock().unwrap();
        gateways.iter().filter(|(_, ready)| ready.load(Ordering::Relaxed)).count()
    }

    /// Returns the gateway that a flow's packets go to now.
    pub fn gateway(&self, flow: &FlowKey) -> Ipv4Addr {
        let ready = self.ready();
        let gateways = self.gateways.lock().unwrap();
        let use_all = ready * 2 < gateways.len();
        let rotation = gateways
            .iter()
            .filter(|(_, ready)| use_all || ready.load(Ordering::Relaxed));
        let score = |gateway: Ipv4Addr| {
            let mut hasher = DefaultHasher::new();
            (gateway, flow).hash(&mut hasher);
            hasher.finish()
        };
        rotation
            .map(|(gateway, _)| *gateway)
            .max_by_key(|gateway| score(*gateway))
            .unwrap_or(gateways[0].0)
    }

    fn send(&self, packet: &Packet) {
        let flow = (packet.src, packet.sport, packet.dst, packet.dport);
        let to = SocketAddr::from((self.gateway(&flow), 8172));
        let _ = self.socket.send_to(&packet.encode(), to);
    }
}

fn get_ready(address: SocketAddr) -> bool {
    let limit = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, limit) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(limit));
    let text = format!("GET /readiness HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let mut answer = [0; 12];
    stream.write_all(text.as_bytes()).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && &answer == b"HTTP/1.1 200"
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    Opening,
    Open,
    /// Closed by both ends, or given up.
    Closed,
    /// Reset by the system.
    SystemReset,
    /// Reset by the target.
    TargetReset,
}

pub struct Flow {
    pub key: FlowKey,
    pub phase: Phase,
    pub opened_at: Option<Instant>,
    pub ended_at: Option<Instant>,
    pub sent: u32,
    pub answered: u32,
    /// Whether a request waits for its answer.
    pub is_waiting: bool,
    /// When the last request was sent first.
    pub asked_at: Option<Instant>,
    started: Instant,
    copies: usize,
    isn: u32,
    next: u32,
    expected: u32,
    resend: Option<(Packet, Instant, Duration)>,
}

/// Called when the system resets a flow: whether the target holds it open then.
pub type Judge = Box<dyn Fn(&FlowKey) -> Option<String> + Send + Sync>;

pub struct Client {
    address: Ipv4Addr,
    socket: UdpSocket,
    router: Arc<Router>,
    record: Arc<Record>,
    pub flows: Mutex<HashMap<FlowKey, Flow>>,
    /// Resets of the system on flows that a living target held open.
    pub false_resets: Mutex<Vec<String>>,
    judge: Judge,
}

impl Client {
    pub fn start(
        address: Ipv4Addr,
        router: &Arc<Router>,
        record: &Arc<Record>,
        judge: Judge,
    ) -> Arc<Self> {
        let socket = UdpSocket::bind((address, 8172)).expect("client");
        socket
            .set_read_timeout(Some(Duration::from_millis(10)))
            .expect("timeout");
        let client = Arc::new(Self {
            address,
            socket,
            router: Arc::clone(router),
            record: Arc::clone(record),
            flows: Mutex::new(HashMap::new()),
            false_resets: Mutex::new(Vec::new()),
            judge,
        });
        let shared = Arc::clone(&client);
        thread::spawn(move || shared.run());
        client
    }

    /// Opens a flow from a port of this client to a route.
    pub fn open(&self, sport: u16, route: (Ipv4Addr, u16)) -> FlowKey {
        let key = (self.address, sport, route.0, route.1);
        let isn = crate::random();
        let flow = Flow {
            key,
            phase: Phase::Opening,
            opened_at: None,
            ended_at: None,
            sent: 0,
            answered: 0,
            is_waiting: false,
            asked_at: None,
            started: Instant::now(),
            copies: 0,
            isn,
            next: isn.wrapping_add(1),
            expected: 0,
            resend: None,
        };
        let packet = flow.packet(SYN, isn, 0, Vec::new());
        self.flows.lock().unwrap().insert(key, flow);
        self.record.write(&format!("flow {} sends SYN", crate::flow_name(&key)));
        self.router.send(&packet);
        key
    }

    /// Sends a request on an open flow that waits for no answer.
    pub fn ask(&self, key: &FlowKey) -> bool {
        let mut flows = self.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(key) else { return false };
        if flow.phase != Phase::Open || flow.is_waiting {
            return false;
        }
        flow.sent += 1;
        let data = format!("request {}#{}", crate::flow_name(key), flow.sent).into_bytes();
        let packet = flow.packet(ACK, flow.next, flow.expected, data);
        flow.next = flow.next.wrapping_add(packet.data.len() as u32);
        flow.is_waiting = true;
        flow.asked_at = Some(Instant::now());
        let text = format!("sent {}", String::from_utf8_lossy(&packet.data));
        flow.resend = Some((packet.clone(), Instant::now() + RESEND.0, RESEND.0));
        drop(flows);
        self.record.write(&text);
        self.router.send(&packet);
        true
    }

    /// Closes a flow.
    pub fn close(&self, key: &FlowKey) {
        let mut flows = self.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(key).filter(|flow| flow.phase == Phase::Open) else {
            return;
        };
        let packet = flow.packet(FIN | ACK, flow.next, flow.expected, Vec::new());
        flow.phase = Phase::Closed;
        flow.resend = None;
        drop(flows);
        self.record.write(&format!("flow {} sends FIN", crate::flow_name(key)));
        self.router.send(&packet);
    }

    fn run(&self) {
        let mut buffer = [0; 2_048];
        loop {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                self.receive(&buffer[..length]);
            }
            self.send_again();
        }
    }

    fn receive(&self, bytes: &[u8]) {
        let Some((packet, sum)) = Packet::decode(bytes) else {
            return self.record.write("a client got bytes that are no packet");
        };
        let is_system = sum == 0 && packet.flags == RST && packet.data.is_empty();
        if !is_system && Packet::genuine(bytes).is_none() {
            return self.record.write("a client got a packet that its sender did not write so");
        }
        let key = (packet.dst, packet.dport, packet.src, packet.sport);
        let name = crate::flow_name(&key);
        let mut flows = self.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(&key) else {
            return self.record.write(&format!("a packet of the unknown flow {name}"));
        };
        if matches!(flow.phase, Phase::Closed | Phase::SystemReset | Phase::TargetReset) {
            return;
        }
        if packet.has(RST) {
            let is_open = flow.phase == Phase::Open;
            let distance = packet.seq.wrapping_sub(flow.expected);
            let is_near = distance.min(distance.wrapping_neg()) <= RESET_WINDOW;
            if is_open && !is_near {
                return self.record.write(&format!("flow {name}: a reset out of the window"));
            }
            flow.phase = match is_system {
                true => Phase::SystemReset,
                false => Phase::TargetReset,
            };
            flow.ended_at = Some(Instant::now());
            flow.resend = None;
            let by = if is_system { "the system" } else { "its target" };
            let state = if is_open { "open" } else { "opening" };
            self.record.write(&format!("flow {name}, {state}, was reset by {by}"));
            drop(flows);
            if is_open && is_system
                && let Some(holder) = (self.judge)(&key)
            {
                let text = format!("flow {name} was reset by the system while {holder} held it open");
                self.record.write(&format!("BROKEN FLOW: {text}"));
                self.false_resets.lock().unwrap().push(text);
            }
            return;
        }
        if packet.has(SYN) && packet.has(ACK) {
            if flow.phase == Phase::Opening {
                flow.phase = Phase::Open;
                flow.opened_at = Some(Instant::now());
                flow.expected = packet.seq.wrapping_add(1);
                let ack = flow.packet(ACK, flow.next, flow.expected, Vec::new());
                self.record.write(&format!("flow {name} is open"));
                self.router.send(&ack);
            } else if packet.seq.wrapping_add(1) == flow.expected {
                let ack = flow.packet(ACK, flow.next, flow.expected, Vec::new());
                self.router.send(&ack);
            }
            return;
        }
        if !packet.data.is_empty() {
            if packet.seq == flow.expected {
                flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
                flow.answered += 1;
                flow.is_waiting = false;
                flow.resend = None;
                let text = String::from_utf8_lossy(&packet.data).into_owned();
                self.record.write(&format!("got {text}"));
                let own = format!("answer to request {name}#{}", flow.sent);
                if text != own {
                    self.record.write(&format!("{own} was expected instead"));
                }
            }
            let ack = flow.packet(ACK, flow.next, flow.expected, Vec::new());
            self.router.send(&ack);
        }
    }

    /// Sends the copies of opening packets and the requests again that are due.
    fn send_again(&self) {
        let now = Instant::now();
        let mut packets = Vec::new();
        for flow in self.flows.lock().unwrap().values_mut() {
            if flow.phase == Phase::Opening {
                let age = now - flow.started;
                if flow.copies < COPIES.len() && age >= COPIES[flow.copies] {
                    flow.copies += 1;
                    packets.push(flow.packet(SYN, flow.isn, flow.copies as u32, Vec::new()));
                }
                if age >= OPENING {
                    flow.phase = Phase::Closed;
                    flow.ended_at = Some(now);
                    let name = crate::flow_name(&flow.key);
                    self.record.write(&format!("flow {name} did not open"));
                }
            }
            if let Some((packet, due, interval)) = &mut flow.resend
                && *due <= now
            {
                *interval = (*interval * 2).min(RESEND.1);
                *due = now + *interval;
                packets.push(packet.clone());
            }
        }
        for packet in packets {
            self.router.send(&packet);
        }
    }
}

impl Flow {
    fn packet(&self, flags: u8, seq: u32, ack: u32, data: Vec<u8>) -> Packet {
        Packet {
            src: self.key.0,
            sport: self.key.1,
            dst: self.key.2,
            dport: self.key.3,
            echo: 0,
            seq,
            ack,
            flags,
            pad: [0; 3],
            data,
        }
    }
}
