//! Stand-in of an application target beside a sidecar.
use std::collections::HashMap;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::packet::ACK;
use crate::packet::BOUNCED;
use crate::packet::FIN;
use crate::packet::Packet;
use crate::packet::RST;
use crate::packet::SYN;
use crate::record::Record;
use crate::store;

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);
/// First interval after which an answer is sent again, and the largest.
const RESEND: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(1_600));
/// Number of times that an answer is sent again.
const MOST_RESENDS: u32 = 8;

/// Heartbeats follow each other approximately, not exactly, after `heartbeat_ms`.
const BEAT_SHARE: f64 = 0.95;

pub type FlowKey = (Ipv4Addr, u16, Ipv4Addr, u16);

struct Flow {
    isn: u32,
    /// Next byte that is expected from the client.
    expected: u32,
    /// Next byte to send.
    next: u32,
    is_open: bool,
    /// Answer that is not acknowledged: the packet, when it is due, and the interval.
    unacked: Option<(Packet, Instant, Duration, u32)>,
}

struct State {
    flows: HashMap<FlowKey, Flow>,
    /// Ended flows, which are answered by an RST or an ACK.
    ended: HashMap<FlowKey, u32>,
    due: Vec<(Instant, FlowKey, Vec<u8>)>,
}

pub struct Target {
    pub name: String,
    pub address: Ipv4Addr,
    pub service: String,
    born: u64,
    state: Mutex<State>,
    socket: UdpSocket,
    outbound: SocketAddr,
    alive: AtomicBool,
    draining: AtomicBool,
    /// Number of the last heartbeat.
    sequence: AtomicU64,
    record: Arc<Record>,
    heartbeat: Duration,
}

impl Target {
    /// Starts a target that sends its first heartbeat at once.
    pub fn start(
        name: &str,
        address: Ipv4Addr,
        service: &str,
        heartbeat_ms: u64,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let socket = UdpSocket::bind((address, 8165)).expect("app");
        socket
            .set_read_timeout(Some(Duration::from_millis(10)))
            .expect("timeout");
        let listener = TcpListener::bind((address, 8165)).expect("app");
        let target = Arc::new(Self {
            name: name.to_owned(),
            address,
            service: service.to_owned(),
            born: crate::unix_millis(),
            state: Mutex::new(State {
                flows: HashMap::new(),
                ended: HashMap::new(),
                due: Vec::new(),
            }),
            socket,
            outbound: SocketAddr::from((address, 8162)),
            alive: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            record: Arc::clone(record),
            heartbeat: Duration::from_millis(heartbeat_ms),
        });
        let shared = Arc::clone(&target);
        thread::spawn(move || shared.read_packets());
        let shared = Arc::clone(&target);
        thread::spawn(move || shared.beat());
        let shared = Arc::clone(&target);
        thread::spawn(move || shared.answer_health(&listener));
        target
    }

    /// Says at once, and from then on, that the target is draining.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let is_acked = self.send_beat(sequence);
        self.record.write(&format!("{} drains, acknowledged: {is_acked}", self.name));
    }

    pub fn end(&self) {
        self.alive.store(false, Ordering::Relaxed);
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::Relaxed)
    }

    /// Returns true if the target holds this flow open.
    pub fn holds(&self, flow: &FlowKey) -> bool {
        let state = self.state.lock().unwrap();
        self.is_alive() && state.flows.get(flow).is_some_and(|flow| flow.is_open)
    }

    fn answer_health(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if !self.is_alive() {
                return;
            }
            let mut stream = stream;
            let Ok(clone) = stream.try_clone() else { continue };
            let _ = clone.set_read_timeout(Some(Duration::from_secs(2)));
            thread::spawn(move || {
                if store::read_request(&mut BufReader::new(clone)).is_some() {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                }
            });
        }
    }

    /// Sends heartbeats; one that is not acknowledged is sent again after 250 ms.
    fn beat(&self) {
        while self.is_alive() {
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let is_acked = self.send_beat(sequence);
            if sequence == 1 || !is_acked {
                let (name, result) = (&self.name, if is_acked { "200" } else { "no answer" });
                self.record
                    .write(&format!("heartbeat {sequence} of {name}: {result}"));
            }
            thread::sleep(if is_acked {
                self.heartbeat.mul_f64(BEAT_SHARE)
            } else {
                Duration::from_millis(250)
            });
        }
    }

    fn send_beat(&self, sequence: u64) -> bool {
        let state = match self.draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let body = format!(
            r#"{{"service":"{}","address":"{}:8165","zone":"zone-a","version":"v1","slots":4,"state":"{state}","warmup_left_ms":0,"sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.born
        );
        let path = format!("/Instances.Heartbeat/{}", self.name);
        crate::post(SocketAddr::from((self.address, 8166)), &path, &body)
    }

    fn read_packets(&self) {
        let mut buffer = [0; 2_048];
        while self.is_alive() {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, _)) => match Packet::genuine(&buffer[..length]) {
                    Some(packet) => self.handle(&packet),
                    None => self.record.write(&format!(
                        "target {} got a packet that its sender did not write so",
                        self.name
                    )),
                },
                Err(_) => {}
            }
            self.send_due();
        }
    }

    fn handle(&self, packet: &Packet) {
        let key = (packet.src, packet.sport, packet.dst, packet.dport);
        let mut state = self.state.lock().unwrap();
        if packet.has(SYN) && packet.has(ACK) {
            return self.record.write("a SYN+ACK reached a target");
        }
        if packet.has(SYN) {
            let isn = crate::random();
            let flow = state.flows.entry(key).or_insert(Flow {
                isn,
                expected: packet.seq.wrapping_add(1),
                next: isn.wrapping_add(1),
                is_open: false,
                unacked: None,
            });
            let (isn, expected) = (flow.isn, flow.expected);
            return self.send(&reply(packet, SYN | ACK, isn, expected, Vec::new()));
        }
        let Some(flow) = state.flows.get_mut(&key) else {
            if packet.has(RST) {
                return;
            }
            if let Some(next) = state.ended.get(&key).copied() {
                let flags = if packet.data.is_empty() { ACK } else { RST };
                return self.send(&reply(packet, flags, next, packet.seq, Vec::new()));
            }
            return self.bounce(packet);
        };
        if !flow.is_open {
            // The client may have opened the flow at another target.
            if packet.ack.wrapping_sub(flow.isn) > 1 << 17 {
                return self.bounce(packet);
            }
            flow.is_open = true;
            let text = format!("flow {} opened at {}", crate::flow_name(&key), self.name);
            self.record.write(&text);
        }
        if packet.has(RST) {
            state.flows.remove(&key);
            return;
        }
        if flow.unacked.is_some() && packet.ack == flow.next {
            flow.unacked = None;
        }
        if !packet.data.is_empty() {
            if packet.seq == flow.expected {
                flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
                let text = format!(
                    "ran {} at {}",
                    String::from_utf8_lossy(&packet.data),
                    self.name
                );
                self.record.write(&text);
                state.due.push((Instant::now() + WORK, key, packet.data.clone()));
            } else {
                let (next, expected) = (flow.next, flow.expected);
                self.send(&reply(packet, ACK, next, expected, Vec::new()));
            }
            return;
        }
        if packet.has(FIN) {
            let (next, expected) = (flow.next, packet.seq.wrapping_add(1));
            state.flows.remove(&key);
            state.ended.insert(key, next.wrapping_add(1));
            self.send(&reply(packet, FIN | ACK, next, expected, Vec::new()));
        }
    }

    /// Sends the answers that are due, for the first time or again.
    fn send_due(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let (ready, rest) = std::mem::take(&mut state.due)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        state.due = rest;
        for (_, key, request) in ready {
            let Some(flow) = state.flows.get_mut(&key) else { continue };
            let mut data = b"answer to ".to_vec();
            data.extend(&request);
            let packet = Packet {
                src: key.2,
                sport: key.3,
                dst: key.0,
                dport: key.1,
                echo: 0,
                seq: flow.next,
                ack: flow.expected,
                flags: ACK,
                pad: [0; 3],
                data,
            };
            flow.next = flow.next.wrapping_add(packet.data.len() as u32);
            self.send(&packet);
            flow.unacked = Some((packet, now + RESEND.0, RESEND.0, 0));
        }
        for flow in state.flows.values_mut() {
            if let Some((packet, due, interval, count)) = &mut flow.unacked {
                if *due <= now && *count < MOST_RESENDS {
                    *interval = (*interval * 2).min(RESEND.1);
                    *due = now + *interval;
                    *count += 1;
                    self.send(packet);
                }
            }
        }
    }

    fn bounce(&self, packet: &Packet) {
        let text = format!(
            "{} returned a packet of flow {}, which it does not hold",
            self.name,
            crate::flow_name(&(packet.src, packet.sport, packet.dst, packet.dport))
        );
        self.record.write(&text);
        self.send(&Packet {
            flags: packet.flags | BOUNCED,
            pad: [0; 3],
            ..packet.clone()
        });
    }

    fn send(&self, packet: &Packet) {
        let _ = self.socket.send_to(&packet.encode(), self.outbound);
    }
}

fn reply(to: &Packet, flags: u8, seq: u32, ack: u32, data: Vec<u8>) -> Packet {
    Packet {
        src: to.dst,
        sport: to.dport,
        dst: to.src,
        dport: to.sport,
        echo: 0,
        seq,
        ack,
        flags,
        pad: [0; 3],
        data,
    }
}

/// Sends an HTTP call; returns true if a 2xx response arrives within a second.
pub fn post(to: SocketAddr, path: &str, body: &str) -> bool {
    let second = Duration::from_secs(1);
    let Ok(mut stream) = TcpStream::connect_timeout(&to, second) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(second));
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut answer = [0; 12];
    stream.write_all(text.as_bytes()).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer.starts_with(b"HTTP/1.1 2")
}
