//! A target: accepts flows, answers requests, and announces itself.
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::packet::ACK;
use crate::packet::BOUNCED;
use crate::packet::FIN;
use crate::packet::Packet;
use crate::packet::RST;
use crate::packet::SYN;
use crate::util::random;
use crate::util::record;
use crate::util::sleep_ms;
use crate::util::unix_millis;

/// Where a target runs and whom it calls.
#[derive(Clone)]
pub struct Place {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddr,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub heartbeat: Duration,
    pub work: Duration,
    /// Time by which the machine's time of day is ahead at the target's start.
    pub clock_ahead: Duration,
}

/// One incarnation of a target.
pub struct Target {
    pub place: Place,
    pub born: u64,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

struct Shared {
    place: Place,
    born: u64,
    socket: UdpSocket,
    is_running: AtomicBool,
    is_draining: AtomicBool,
    sequence: AtomicU64,
    acknowledged: AtomicU64,
    flows: Mutex<HashMap<Key, Flow>>,
    /// Requests run, by id.
    runs: Mutex<Vec<String>>,
}

type Key = (Ipv4Addr, u16, Ipv4Addr, u16);

struct Flow {
    is_open: bool,
    first: u32,
    next: u32,
    received: u32,
    input: Vec<u8>,
    unsent: Vec<Sent>,
    has_client_ended: bool,
    has_ended: bool,
}

struct Sent {
    packet: Packet,
    end: u32,
    due: Instant,
    wait: Duration,
    tries: u32,
}

impl Target {
    /// Starts an incarnation that announces itself at once.
    pub fn start(place: Place) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(place.app)?;
        socket.set_read_timeout(Some(Duration::from_millis(20)))?;
        let listener = TcpListener::bind(place.app)?;
        listener.set_nonblocking(true)?;
        let born = unix_millis() + place.clock_ahead.as_millis() as u64;
        record(format!("target {}: starts at {}, born {born}", place.id, place.app));
        let shared = Arc::new(Shared {
            place: place.clone(),
            born,
            socket,
            is_running: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            acknowledged: AtomicU64::new(0),
            flows: Mutex::default(),
            runs: Mutex::default(),
        });
        let health = Arc::clone(&shared);
        let health = thread::spawn(move || {
            while health.is_running() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                        let status = if health.is_draining.load(Ordering::SeqCst) { 503 } else { 200 };
                        if http::read_request(&stream).is_some() {
                            http::write_answer(&stream, status, "{}");
                        }
                    }
                    Err(_) => sleep_ms(10),
                }
            }
        });
        let packets = Arc::clone(&shared);
        let packets = thread::spawn(move || packets.run());
        let beats = Arc::clone(&shared);
        let beats = thread::spawn(move || {
            while beats.is_running() {
                beats.announce();
                let until = Instant::now() + beats.place.heartbeat.mul_f64(0.95 + (random() % 100) as f64 / 1_000.0);
                while beats.is_running() && Instant::now() < until {
                    sleep_ms(10);
                }
            }
        });
        let threads = vec![health, packets, beats];
        Ok(Self { place, born, shared, threads })
    }

    /// Returns true once a heartbeat of this incarnation was acknowledged.
    pub fn is_acknowledged(&self) -> bool {
        self.shared.acknowledged.load(Ordering::SeqCst) > 0
    }

    /// Waits until the next heartbeat has been acknowledged.
    pub fn wait_for_heartbeat(&self) {
        let before = self.shared.acknowledged.load(Ordering::SeqCst);
        for _ in 0..500 {
            if self.shared.acknowledged.load(Ordering::SeqCst) > before {
                return;
            }
            sleep_ms(10);
        }
    }

    /// Says that it is draining; returns true if that was acknowledged.
    pub fn drain(&self) -> bool {
        self.shared.is_draining.store(true, Ordering::SeqCst);
        self.shared.announce()
    }

    /// Deregisters; returns the status of the answer, if there is one in time. Calls
    /// `connected` between the connection and the request.
    pub fn deregister(&self, timeout: Duration, connected: impl FnOnce()) -> Option<u16> {
        let place = &self.shared.place;
        let sequence = self.shared.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = self.shared.body("draining", sequence);
        let path = format!("/Instances.Deregister/{}", place.id);
        record(format!("target {}: sends Deregister (born {}, sequence {sequence})", place.id, self.born));
        let status = http::call_after(place.control, "POST", &path, &body, timeout, connected);
        record(format!("target {}: Deregister answered with {status:?}", place.id));
        status
    }

    /// Ends the process of the target: its sockets are closed, its flows are gone.
    pub fn end(self) {
        self.shared.is_running.store(false, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        drop(self.shared);
        record(format!("target {}: incarnation born {} has ended", self.place.id, self.born));
    }

    /// Returns true if this incarnation holds an open flow of a client.
    pub fn holds(&self, client: Ipv4Addr, port: u16) -> bool {
        let flows = self.shared.flows.lock().unwrap();
        flows.iter().any(|(key, flow)| (key.0, key.1) == (client, port) && flow.is_open && !flow.has_ended)
    }

    pub fn runs(&self) -> Vec<String> {
        self.shared.runs.lock().unwrap().clone()
    }
}

impl Shared {
    fn is_running(&self) -> bool {
        self.is_running.load(Ordering::SeqCst)
    }

    fn body(&self, state: &str, sequence: u64) -> String {
        let Place { service, app, zone, .. } = &self.place;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{app}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":4,\"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.born
        )
    }

    fn announce(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let path = format!("/Instances.Heartbeat/{}", self.place.id);
        let body = self.body(state, sequence);
        let status = http::call(self.place.control, "POST", &path, &body, Duration::from_secs(1));
        if status == Some(200) {
            self.acknowledged.fetch_add(1, Ordering::SeqCst);
        }
        record(format!("target {}: heartbeat {sequence} ({state}) answered with {status:?}", self.place.id));
        status == Some(200)
    }

    fn run(&self) {
        let mut buffer = vec![0; 2048];
        while self.is_running() {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer)
                && let Some(packet) = Packet::decode(&buffer[..length])
            {
                if !packet.is_genuine() {
                    record(format!("target {}: got a packet that nobody wrote so: {packet:?}", self.place.id));
                    continue;
                }
                self.handle(packet, &buffer[..length]);
            }
            self.retransmit();
        }
    }

    fn send(&self, packet: &Packet) {
        let _ = self.socket.send_to(&packet.encode(), self.place.outbound);
    }

    fn bounce(&self, raw: &[u8]) {
        let mut raw = raw.to_vec();
        raw[28] |= BOUNCED;
        raw[29..32].fill(0);
        let _ = self.socket.send_to(&raw, self.place.outbound);
    }

    fn handle(&self, packet: Packet, raw: &[u8]) {
        let key = (packet.src, packet.sport, packet.dst, packet.dport);
        let mut flows = self.flows.lock().unwrap();
        let reply = |flags: u8, seq: u32, ack: u32, data: Vec<u8>| Packet {
            src: packet.dst,
            sport: packet.dport,
            dst: packet.src,
            dport: packet.sport,
            flags,
            seq,
            ack,
            data,
            sum: 0,
        };
        if packet.has(SYN) {
            let flow = flows.entry(key).or_insert_with(|| {
                let first = random() as u32;
                Flow {
                    is_open: false,
                    first,
                    next: first.wrapping_add(1),
                    received: packet.seq.wrapping_add(1),
                    input: Vec::new(),
                    unsent: Vec::new(),
                    has_client_ended: false,
                    has_ended: false,
                }
            });
            if flow.is_open {
                // An old copy: its `seq` is before what was received (RFC 793, 3.9).
                return self.send(&reply(ACK, flow.next, flow.received, Vec::new()));
            }
            return self.send(&reply(SYN | ACK, flow.first, flow.received, Vec::new()));
        }
        let Some(flow) = flows.get_mut(&key) else {
            return self.bounce(raw);
        };
        if !flow.is_open {
            if packet.ack != flow.first.wrapping_add(1) {
                return self.bounce(raw);
            }
            flow.is_open = true;
            record(format!("target {}: flow of {}:{} is open", self.place.id, packet.src, packet.sport));
        }
        if packet.has(RST) {
            flow.has_ended = true;
            return;
        }
        if flow.has_ended {
            let flags = if packet.has(FIN) { ACK } else { RST | ACK };
            if packet.has(FIN) || !packet.data.is_empty() {
                self.send(&reply(flags, flow.next, flow.received, Vec::new()));
            }
            return;
        }
        let acknowledged = packet.ack;
        flow.unsent.retain(|sent| (acknowledged.wrapping_sub(sent.end) as i32) < 0);
        if !packet.data.is_empty() && packet.seq == flow.received {
            flow.received = flow.received.wrapping_add(packet.data.len() as u32);
            flow.input.extend_from_slice(&packet.data);
        }
        let end = packet.seq.wrapping_add(packet.data.len() as u32);
        if packet.has(FIN) && end == flow.received && !flow.has_client_ended {
            flow.has_client_ended = true;
            flow.received = flow.received.wrapping_add(1);
            flow.has_ended = true;
            self.send(&reply(ACK | FIN, flow.next, flow.received, Vec::new()));
            return;
        }
        let text = String::from_utf8_lossy(&flow.input).into_owned();
        let Some(head) = text.find("\r\n\r\n") else {
            if !packet.data.is_empty() {
                self.send(&reply(ACK, flow.next, flow.received, Vec::new()));
            }
            return;
        };
        flow.input.drain(..head + 4);
        let id = text.lines().find_map(|line| line.strip_prefix("Request-Id: ")).unwrap_or("").to_owned();
        record(format!("target {}: runs request {id}", self.place.id));
        self.runs.lock().unwrap().push(id.clone());
        let body = format!("{{\"id\":\"{id}\",\"target\":\"{}\"}}", self.place.id);
        let closes = self.is_draining.load(Ordering::SeqCst);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nServer-Signature: {}-{}\r\nContent-Length: {}\r\n\r\n{body}",
            self.place.id,
            self.born,
            body.len()
        );
        let answer = reply(ACK | if closes { FIN } else { 0 }, flow.next, flow.received, answer.into_bytes());
        flow.next = flow.next.wrapping_add(answer.data.len() as u32 + u32::from(closes));
        flow.has_ended |= closes;
        flow.unsent.push(Sent {
            end: flow.next,
            packet: answer,
            due: Instant::now() + self.place.work,
            wait: Duration::from_millis(200),
            tries: 0,
        });
    }

    /// Sends what is due, and again what was not acknowledged.
    fn retransmit(&self) {
        let now = Instant::now();
        let mut flows = self.flows.lock().unwrap();
        for flow in flows.values_mut() {
            flow.unsent.retain(|sent| sent.tries <= 8);
            for sent in flow.unsent.iter_mut().filter(|sent| now >= sent.due) {
                self.send(&sent.packet);
                sent.tries += 1;
                sent.due = now + sent.wait;
                sent.wait = (sent.wait * 2).min(Duration::from_millis(1_600));
            }
        }
    }
}
