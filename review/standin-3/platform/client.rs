//! Clients of one zone: their flows, and the router that hands packets to gateways.
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::packet::ACK;
use crate::packet::FIN;
use crate::packet::Packet;
use crate::packet::RST;
use crate::packet::SYN;
use crate::record::Record;
use crate::record::random;

/// Times at which the copies of an opening packet are sent, and at which the client
/// gives up.
const COPIES: [u64; 2] = [200, 600];
const OPENING_MS: u64 = 1_400;

/// Pause of a flow that stays open until its client is told to send.
pub const IDLE_MS: u64 = 3_600_000;

/// Interval of the readiness probes.
const PROBE: Duration = Duration::from_millis(500);

/// A gateway, as the platform's routers see it.
pub struct Gateway {
    pub name: String,
    pub zone: usize,
    pub packets: SocketAddrV4,
    pub ready: SocketAddr,
    pub in_rotation: AtomicBool,
    /// Readiness probes without an answer of 200, one after the other.
    pub misses: AtomicU32,
    pub probes: AtomicU32,
}

/// How the routers choose among the gateways in rotation.
#[derive(Clone, Copy, PartialEq)]
pub enum Scheme {
    /// Only the flows of a gateway that joins or leaves move.
    Steady,
    /// Nearly all flows move.
    Mod,
}

/// The platform's routers.
#[derive(Clone)]
pub struct Router(pub Arc<Mutex<Vec<Arc<Gateway>>>>, pub Scheme);

impl Router {
    pub fn new(scheme: Scheme) -> Self {
        Self(Arc::default(), scheme)
    }

    /// Adds a gateway and probes it twice a second from now on.
    pub fn add(&self, gateway: Gateway, record: &Record) -> Arc<Gateway> {
        let gateway = Arc::new(gateway);
        self.0.lock().unwrap().push(Arc::clone(&gateway));
        let (probed, record) = (Arc::clone(&gateway), record.clone());
        thread::spawn(move || {
            let mut misses = 0;
            let mut next = Instant::now();
            loop {
                let answer = http::call(probed.ready, "GET", "/readiness", "", PROBE * 9 / 10);
                let is_ready = answer.is_ok_and(|(status, _)| status == 200);
                misses = if is_ready { 0 } else { misses + 1 };
                probed.misses.store(misses, Ordering::SeqCst);
                probed.probes.fetch_add(1, Ordering::SeqCst);
                let was_in = probed.in_rotation.load(Ordering::SeqCst);
                let is_in = is_ready || was_in && misses < 2;
                if is_in != was_in {
                    let text = if is_in { "in" } else { "out of" };
                    record.line(&format!("router: {} is {text} rotation", probed.name));
                    probed.in_rotation.store(is_in, Ordering::SeqCst);
                }
                next += PROBE;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
        gateway
    }

    /// Returns the gateway of a flow: one of the zone, or of the others if none is in
    /// rotation there, by a steady hash.
    fn select(&self, zone: usize, src: SocketAddrV4, dst: SocketAddrV4) -> Option<SocketAddrV4> {
        let all = self.0.lock().unwrap();
        let is_in = |gateway: &&Arc<Gateway>| gateway.in_rotation.load(Ordering::SeqCst);
        let mut usable: Vec<_> = all
            .iter()
            .filter(is_in)
            .filter(|one| one.zone == zone)
            .collect();
        if usable.is_empty() {
            usable = all.iter().filter(is_in).collect();
        }
        let hash = |text: String| {
            let bytes = text.bytes();
            let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
            });
            (hash ^ hash >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 7
        };
        if self.1 == Scheme::Mod {
            usable.sort_by_key(|gateway| gateway.packets);
            let number = hash(format!("{src} {dst}")) as usize;
            return number
                .checked_rem(usable.len())
                .map(|index| usable[index].packets);
        }
        let rank = |gateway: &&&Arc<Gateway>| hash(format!("{src} {dst} {}", gateway.packets));
        usable
            .iter()
            .max_by_key(rank)
            .map(|gateway| gateway.packets)
    }
}

/// What a client does on one flow.
#[derive(Clone)]
pub struct Plan {
    pub name: String,
    pub dst: SocketAddrV4,
    /// Work of each request in milliseconds, and the pause after its answer.
    pub requests: Vec<(u64, u64)>,
    pub deadline: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Opening,
    Open,
    Done,
    /// It never opened.
    NotOpened,
    /// A reset of the system before it opened.
    Refused,
    /// A reset of the system when it was open.
    Broken,
    /// A request was not answered in time.
    Late,
}

struct Flow {
    plan: Plan,
    src: SocketAddrV4,
    started: Instant,
    copies: usize,
    opening: u32,
    seq: u32,
    received: u32,
    outcome: Outcome,
    /// Request that is not answered: its packet, the time at which it is due again, the
    /// interval, and the time of its deadline.
    pending: Option<(Packet, Instant, Duration, Instant)>,
    sent: usize,
    answered: usize,
    next: Instant,
    ended: Option<Instant>,
}

/// End of a flow.
#[derive(Clone)]
pub struct Ended {
    pub name: String,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub outcome: Outcome,
    pub answered: usize,
    pub at: Option<Instant>,
}

#[derive(Clone)]
pub struct Clients {
    flows: Arc<Mutex<BTreeMap<SocketAddrV4, Flow>>>,
    address: Ipv4Addr,
    next_port: Arc<Mutex<u16>>,
    /// Resets of the system on flows that their clients had opened.
    pub resets: Arc<Mutex<Vec<(SocketAddrV4, SocketAddrV4, Instant)>>>,
}

impl Clients {
    /// Starts the clients of a zone at one address.
    pub fn start(
        address: Ipv4Addr,
        port: u16,
        zone: usize,
        router: &Router,
        record: &Record,
    ) -> Self {
        let clients = Self {
            flows: Arc::default(),
            address,
            next_port: Arc::new(Mutex::new(20_000)),
            resets: Arc::default(),
        };
        let socket = UdpSocket::bind(SocketAddrV4::new(address, port)).expect("client address");
        socket
            .set_read_timeout(Some(Duration::from_millis(2)))
            .expect("timeout");
        let (flows, router, record) = (Arc::clone(&clients.flows), router.clone(), record.clone());
        let resets = Arc::clone(&clients.resets);
        thread::spawn(move || {
            let mut buffer = [0; 2048];
            loop {
                let received = socket.recv_from(&mut buffer).ok();
                let packet = received.and_then(|(length, _)| Packet::decode(&buffer[..length]));
                let mut flows = flows.lock().unwrap();
                let mut out = Vec::new();
                if let Some(packet) = packet {
                    receive(&mut flows, &packet, &mut out, &record, &resets);
                }
                for flow in flows.values_mut() {
                    flow.advance(&mut out, &record);
                }
                for packet in out {
                    if let Some(to) = router.select(zone, packet.src, packet.dst) {
                        let _ = socket.send_to(&packet.encode(), to);
                    }
                }
            }
        });
        clients
    }

    /// Opens a flow from a port that was not used before.
    pub fn open(&self, plan: Plan) -> SocketAddrV4 {
        let mut port = self.next_port.lock().unwrap();
        *port += 1;
        let src = SocketAddrV4::new(self.address, *port);
        let (now, opening) = (Instant::now(), random() as u32);
        let flow = Flow {
            plan,
            src,
            started: now,
            copies: 0,
            opening,
            seq: opening,
            received: 0,
            outcome: Outcome::Opening,
            pending: None,
            sent: 0,
            answered: 0,
            next: now,
            ended: None,
        };
        self.flows.lock().unwrap().insert(src, flow);
        src
    }

    /// Sends another request on an open flow.
    pub fn ask(&self, src: SocketAddrV4, work: u64) {
        self.ask_all(&[src], work);
    }

    /// Sends another request on each of some open flows, at the same time.
    pub fn ask_all(&self, all: &[SocketAddrV4], work: u64) {
        let mut flows = self.flows.lock().unwrap();
        for src in all {
            if let Some(flow) = flows.get_mut(src) {
                let at = flow.sent;
                flow.plan.requests.insert(at, (work, IDLE_MS));
                flow.next = Instant::now();
            }
        }
    }

    pub fn all(&self) -> Vec<Ended> {
        let flows = self.flows.lock().unwrap();
        let all = flows.values().map(|flow| Ended {
            name: flow.plan.name.clone(),
            src: flow.src,
            dst: flow.plan.dst,
            outcome: flow.outcome.clone(),
            answered: flow.answered,
            at: flow.ended,
        });
        all.collect()
    }
}

fn receive(
    flows: &mut BTreeMap<SocketAddrV4, Flow>,
    packet: &Packet,
    out: &mut Vec<Packet>,
    record: &Record,
    resets: &Mutex<Vec<(SocketAddrV4, SocketAddrV4, Instant)>>,
) {
    let Some(flow) = flows.get_mut(&packet.dst) else {
        return record.line(&format!("MIXED: no client has sent from {}", packet.dst));
    };
    let name = flow.plan.name.clone();
    let is_own_reset = packet.has(RST) && packet.sum == 0 && packet.data.is_empty();
    if !is_own_reset && !packet.is_genuine() {
        return record.line(&format!("MIXED: client of {name} gets {packet:?}"));
    }
    if packet.has(RST) {
        let is_near = packet.seq.wrapping_sub(flow.received.wrapping_sub(76_800)) <= 153_600;
        let from = if is_own_reset {
            "the system"
        } else {
            "its target"
        };
        if is_own_reset && flow.outcome == Outcome::Open {
            resets
                .lock()
                .unwrap()
                .push((flow.src, flow.plan.dst, Instant::now()));
            let (src, seq) = (flow.src, packet.seq);
            let line = format!(
                "client of {name} {src}: gets a reset of the system on an open flow, seq {seq}"
            );
            record.line(&line);
        }
        match flow.outcome {
            Outcome::Opening => flow.end(Outcome::Refused),
            Outcome::Open if is_near && is_own_reset => flow.end(Outcome::Broken),
            Outcome::Open if !is_own_reset => flow.end(Outcome::Late),
            _ => return,
        }
        let (src, outcome) = (flow.src, flow.outcome.clone());
        return record.line(&format!(
            "client of {name} {src}: reset by {from}: {outcome:?}"
        ));
    }
    if packet.has(SYN) {
        if flow.outcome == Outcome::Opening {
            flow.outcome = Outcome::Open;
            flow.received = packet.seq;
            let waited = flow.started.elapsed().as_millis();
            record.line(&format!(
                "client of {name} {}: opens after {waited} ms",
                flow.src
            ));
            flow.next = Instant::now();
            flow.advance(out, record);
        }
        return;
    }
    if flow.outcome != Outcome::Open || packet.data.is_empty() {
        return;
    }
    if packet.seq == flow.received {
        flow.received = packet.seq.wrapping_add(packet.data.len() as u32);
        flow.answered += 1;
        flow.pending = None;
        let text = String::from_utf8_lossy(&packet.data);
        let is_right = text.contains(&format!("answer to {name}-{} by", flow.answered));
        let verdict = if is_right { "" } else { "MIXED: " };
        let line = format!(
            "{verdict}client of {name}: answer {} arrives",
            flow.answered
        );
        record.line(&line);
        let pause = flow
            .plan
            .requests
            .get(flow.sent - 1)
            .map_or(0, |(_, pause)| *pause);
        flow.next = Instant::now() + Duration::from_millis(pause);
    }
    out.push(flow.packet(ACK, &[]));
}

impl Flow {
    fn packet(&self, flags: u8, data: &[u8]) -> Packet {
        Packet::new(
            self.src,
            self.plan.dst,
            flags,
            self.seq,
            self.received,
            data,
        )
    }

    fn end(&mut self, outcome: Outcome) {
        self.outcome = outcome;
        self.pending = None;
        self.ended = Some(Instant::now());
    }

    fn advance(&mut self, out: &mut Vec<Packet>, record: &Record) {
        let now = Instant::now();
        match self.outcome {
            Outcome::Opening => {
                let waited = now.saturating_duration_since(self.started).as_millis() as u64;
                if waited >= OPENING_MS {
                    record.line(&format!("client of {}: not opened", self.plan.name));
                    return self.end(Outcome::NotOpened);
                }
                let is_due = match self.copies {
                    0 => true,
                    count => COPIES.get(count - 1).is_some_and(|due| waited >= *due),
                };
                if is_due {
                    let copy = self.copies as u32;
                    self.copies += 1;
                    let (src, dst) = (self.src, self.plan.dst);
                    out.push(Packet::new(src, dst, SYN, self.opening, copy, &[]));
                    if copy == 0 {
                        record.line(&format!("client of {} {src}: sends SYN", self.plan.name));
                    }
                }
            }
            Outcome::Open => {
                if let Some((packet, due, interval, deadline)) = &mut self.pending {
                    if now >= *deadline {
                        record.line(&format!("client of {}: gives up", self.plan.name));
                        return self.end(Outcome::Late);
                    }
                    if now >= *due {
                        *interval = (*interval * 2).min(Duration::from_millis(1_600));
                        *due = now + *interval;
                        out.push(packet.clone());
                    }
                    return;
                }
                if now < self.next {
                    return;
                }
                let Some((work, _)) = self.plan.requests.get(self.sent) else {
                    out.push(self.packet(ACK | FIN, &[]));
                    return self.end(Outcome::Done);
                };
                self.sent += 1;
                let text = format!(
                    "POST /work HTTP/1.1\r\nRequest-Id: {}-{}\r\nWork-Ms: {work}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.plan.name, self.sent
                );
                let packet = self.packet(ACK, text.as_bytes());
                self.seq = self.seq.wrapping_add(text.len() as u32);
                let interval = Duration::from_millis(200);
                let deadline = now + self.plan.deadline;
                self.pending = Some((packet.clone(), now + interval, interval, deadline));
                out.push(packet);
            }
            _ => {}
        }
    }
}
