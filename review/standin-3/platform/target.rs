//! A target: one thread with its flows and requests, and one with its heartbeats.
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json::quote;
use crate::packet::ACK;
use crate::packet::BOUNCED;
use crate::packet::FIN;
use crate::packet::Packet;
use crate::packet::RST;
use crate::packet::SYN;
use crate::record::Record;
use crate::record::random;
use crate::record::unix_millis;

/// Retransmissions after which a target gives up.
const MAX_REPEATS: u32 = 8;

#[derive(Clone)]
pub struct Settings {
    pub name: String,
    pub service: String,
    pub zone: String,
    /// Address at which it receives packets, and its health check.
    pub app: SocketAddrV4,
    /// Address that it sends packets to.
    pub outbound: SocketAddrV4,
    /// Address of its heartbeats.
    pub control: SocketAddrV4,
    pub slots: usize,
    /// Requests that it queues beyond its slots.
    pub queue: usize,
    pub heartbeat: Duration,
    /// Time for which it says that it is cold after its start.
    pub warmup: Duration,
    /// Factor of the work of its requests: target machines differ in speed.
    pub pace: f64,
    /// Number of its first heartbeat.
    pub first_sequence: u64,
}

/// A flow between the same two ends: client and route.
pub type FlowId = (SocketAddrV4, SocketAddrV4);

struct Flow {
    /// Sequence number of the opening packet.
    opening: u32,
    /// Own position, and that up to which the client's bytes have arrived.
    seq: u32,
    received: u32,
    is_open: bool,
    last: Instant,
    /// Answer that is not acknowledged: its packet, when it is due again, and how often
    /// it was sent.
    unacked: Option<(Packet, Instant, u32)>,
    is_busy: bool,
}

pub struct Target {
    pub settings: Settings,
    pub born: u64,
    shared: Arc<Shared>,
    stop: Arc<AtomicBool>,
    frozen: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    cold_until: Arc<Mutex<Instant>>,
}

/// What the checks of a case read.
pub struct Shared {
    pub record: Record,
    /// Flows that are open here, and when the handshake ended.
    pub open: Mutex<BTreeMap<FlowId, Instant>>,
    /// Times at which opening packets were taken.
    pub taken: Mutex<Vec<(Instant, FlowId)>>,
    /// Flows that the target itself has reset.
    pub resets: Mutex<Vec<FlowId>>,
    /// Time at which `draining` was acknowledged.
    pub drained: Mutex<Option<Instant>>,
}

impl Target {
    /// Starts a target. It listens, announces itself at once, and then in each interval.
    pub fn start(settings: Settings, record: &Record) -> Self {
        let target = Self {
            born: unix_millis(),
            shared: Arc::new(Shared {
                record: record.clone(),
                open: Mutex::default(),
                taken: Mutex::default(),
                resets: Mutex::default(),
                drained: Mutex::default(),
            }),
            stop: Arc::default(),
            frozen: Arc::default(),
            draining: Arc::default(),
            sequence: Arc::new(AtomicU64::new(settings.first_sequence)),
            cold_until: Arc::new(Mutex::new(Instant::now() + settings.warmup)),
            settings,
        };
        let socket = UdpSocket::bind(target.settings.app).expect("app address");
        socket
            .set_read_timeout(Some(Duration::from_millis(2)))
            .expect("timeout");
        target.serve_health();
        target.serve_packets(socket);
        target.beat_in_background();
        record.line(&format!(
            "target {} starts at {}",
            target.settings.name, target.settings.app
        ));
        target
    }

    pub fn shared(&self) -> Arc<Shared> {
        Arc::clone(&self.shared)
    }

    /// Says `draining` at once, and keeps serving. Returns whether that was acknowledged.
    pub fn drain(&self) -> bool {
        self.draining.store(true, Ordering::SeqCst);
        let is_acknowledged = self.beat();
        self.shared.record.line(&format!(
            "target {} says draining, acknowledged: {is_acknowledged}",
            self.settings.name
        ));
        if is_acknowledged {
            *self.shared.drained.lock().unwrap() = Some(Instant::now());
        }
        is_acknowledged
    }

    /// Becomes cold from now on for a time.
    pub fn make_cold(&self, time: Duration) {
        *self.cold_until.lock().unwrap() = Instant::now() + time;
    }

    /// Stands still, or goes on, as its machine does.
    pub fn freeze(&self, is_frozen: bool) {
        self.frozen.store(is_frozen, Ordering::SeqCst);
    }

    /// Ends without a word.
    pub fn crash(&self) {
        self.stop.store(true, Ordering::SeqCst);
        self.shared
            .record
            .line(&format!("target {} crashes", self.settings.name));
        thread::sleep(Duration::from_millis(20));
    }

    /// Deregisters and ends.
    pub fn leave(&self) {
        let path = format!("/Instances.Deregister/{}", self.settings.name);
        let body = format!("{{\"born\":{}}}", self.born);
        let control = SocketAddr::from(self.settings.control);
        let _ = http::call(control, "POST", &path, &body, Duration::from_secs(1));
        self.shared
            .record
            .line(&format!("target {} leaves", self.settings.name));
        self.stop.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    pub fn beat(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let settings = &self.settings;
        let state = match self.draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let cold = self
            .cold_until
            .lock()
            .unwrap()
            .saturating_duration_since(Instant::now());
        let body = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"warmup_left_ms\":{},\"sequence\":{sequence},\"born\":{}}}",
            quote(&settings.service),
            settings.app,
            quote(&settings.zone),
            settings.slots,
            cold.as_millis(),
            self.born,
        );
        let path = format!("/Instances.Heartbeat/{}", settings.name);
        let control = SocketAddr::from(settings.control);
        let answer = http::call(control, "POST", &path, &body, Duration::from_secs(1));
        answer.is_ok_and(|(status, _)| status / 100 == 2)
    }

    fn serve_health(&self) {
        let (app, stop) = (self.settings.app, Arc::clone(&self.stop));
        let listener = TcpListener::bind(app).expect("health address");
        listener.set_nonblocking(true).expect("non-blocking");
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                // A health check is answered by closing: none is asked for here.
                let _ = listener.accept();
                thread::sleep(Duration::from_millis(5));
            }
        });
    }

    fn beat_in_background(&self) {
        let beating = Self {
            settings: self.settings.clone(),
            born: self.born,
            shared: Arc::clone(&self.shared),
            stop: Arc::clone(&self.stop),
            frozen: Arc::clone(&self.frozen),
            draining: Arc::clone(&self.draining),
            sequence: Arc::clone(&self.sequence),
            cold_until: Arc::clone(&self.cold_until),
        };
        thread::spawn(move || {
            let mut next = Instant::now();
            while !beating.stop.load(Ordering::SeqCst) {
                if Instant::now() < next || beating.frozen.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
                let pause = match beating.beat() {
                    true => beating.settings.heartbeat,
                    false => beating.settings.heartbeat / 4,
                };
                next = Instant::now() + pause;
            }
        });
    }

    fn serve_packets(&self, socket: UdpSocket) {
        let mut server = Server {
            settings: self.settings.clone(),
            shared: Arc::clone(&self.shared),
            socket,
            draining: Arc::clone(&self.draining),
            flows: BTreeMap::new(),
            running: Vec::new(),
            queued: VecDeque::new(),
        };
        let (stop, frozen) = (Arc::clone(&self.stop), Arc::clone(&self.frozen));
        thread::spawn(move || {
            let mut buffer = [0; 2048];
            while !stop.load(Ordering::SeqCst) {
                if frozen.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                }
                if let Ok((length, _)) = server.socket.recv_from(&mut buffer) {
                    if let Some(packet) = Packet::decode(&buffer[..length]) {
                        server.receive(packet);
                    }
                }
                server.advance();
            }
        });
    }
}

/// A request: its flow, its name, and the time that it takes.
struct Work {
    flow: FlowId,
    name: String,
    time: Duration,
    ends: Instant,
}

struct Server {
    settings: Settings,
    shared: Arc<Shared>,
    socket: UdpSocket,
    draining: Arc<AtomicBool>,
    flows: BTreeMap<FlowId, Flow>,
    running: Vec<Work>,
    queued: VecDeque<Work>,
}

impl Server {
    fn send(&self, packet: &Packet) {
        let _ = self
            .socket
            .send_to(&packet.encode(), self.settings.outbound);
    }

    /// Returns a packet that is not accepted, as it came but for BOUNCED.
    fn bounce(&self, mut packet: Packet) {
        packet.flags |= BOUNCED;
        self.send(&packet);
    }

    fn receive(&mut self, packet: Packet) {
        let (name, id) = (self.settings.name.clone(), (packet.src, packet.dst));
        if !packet.is_genuine() || packet.has(SYN) && packet.has(ACK) {
            self.shared
                .record
                .line(&format!("UNASKED: target {name} gets {packet:?}"));
            return;
        }
        if packet.has(SYN) {
            return self.take(packet);
        }
        let Some(flow) = self.flows.get_mut(&id) else {
            return self.bounce(packet);
        };
        // The opening packet came here too, and the client has chosen another target.
        if packet.ack.wrapping_sub(flow.seq.wrapping_sub(200_000)) > 400_000 {
            return self.bounce(packet);
        }
        flow.last = Instant::now();
        if packet.has(RST) {
            self.shared.open.lock().unwrap().remove(&id);
            self.flows.remove(&id);
            return;
        }
        if !flow.is_open {
            flow.is_open = true;
            self.shared.open.lock().unwrap().insert(id, Instant::now());
            self.shared
                .record
                .line(&format!("flow {} is open at {name}", id.0));
        }
        if packet.ack == flow.seq {
            flow.unacked = None;
        }
        if packet.has(FIN) {
            let reply = Packet::new(id.1, id.0, ACK | FIN, flow.seq, packet.seq, &[]);
            self.shared.open.lock().unwrap().remove(&id);
            self.flows.remove(&id);
            return self.send(&reply);
        }
        if packet.data.is_empty() {
            return;
        }
        let is_new = packet.seq == flow.received;
        if is_new {
            flow.received = packet.seq.wrapping_add(packet.data.len() as u32);
        }
        let reply = Packet::new(id.1, id.0, ACK, flow.seq, flow.received, &[]);
        if is_new {
            flow.is_busy = true;
            self.queue_request(id, &packet.data);
        }
        self.send(&reply);
    }

    /// Accepts an opening packet if there is room.
    fn take(&mut self, packet: Packet) {
        let id = (packet.src, packet.dst);
        if self
            .flows
            .get(&id)
            .is_some_and(|flow| flow.opening != packet.seq)
        {
            self.flows.remove(&id);
        }
        let pending = self.flows.values().filter(|flow| !flow.is_open).count();
        let room = self.settings.slots + self.settings.queue;
        let is_full = self.running.len() + self.queued.len() + pending >= room + 4;
        if !self.flows.contains_key(&id) && is_full {
            return self.bounce(packet);
        }
        if !self.flows.contains_key(&id) {
            self.shared.taken.lock().unwrap().push((Instant::now(), id));
            let (name, copy) = (&self.settings.name, packet.ack);
            let state = match self.draining.load(Ordering::SeqCst) {
                true => " while draining",
                false => "",
            };
            let line = format!(
                "target {name} takes copy {copy} of the opening of {}{state}",
                id.0
            );
            self.shared.record.line(&line);
        }
        let flow = self.flows.entry(id).or_insert_with(|| Flow {
            opening: packet.seq,
            seq: random() as u32,
            received: packet.seq,
            is_open: false,
            last: Instant::now(),
            unacked: None,
            is_busy: false,
        });
        let reply = Packet::new(id.1, id.0, SYN | ACK, flow.seq, packet.seq, &[]);
        self.send(&reply);
    }

    fn queue_request(&mut self, flow: FlowId, data: &[u8]) {
        let text = String::from_utf8_lossy(data);
        let head = |name: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(name));
            line.unwrap_or("").trim().to_owned()
        };
        let name = head("Request-Id:");
        let millis = head("Work-Ms:").parse().unwrap_or(20);
        self.shared
            .record
            .line(&format!("request {name} arrives at {}", self.settings.name));
        self.queued.push_back(Work {
            flow,
            name,
            time: Duration::from_millis(millis).mul_f64(self.settings.pace),
            ends: Instant::now(),
        });
    }

    fn advance(&mut self) {
        let now = Instant::now();
        let mut at = 0;
        while at < self.running.len() {
            if self.running[at].ends > now {
                at += 1;
                continue;
            }
            let work = self.running.swap_remove(at);
            self.answer(&work);
        }
        while self.running.len() < self.settings.slots {
            let Some(mut work) = self.queued.pop_front() else {
                break;
            };
            work.ends = now + work.time;
            self.running.push(work);
        }
        let mut due = Vec::new();
        for flow in self.flows.values_mut() {
            if let Some((packet, at, count)) = &mut flow.unacked {
                if *at <= now && *count < MAX_REPEATS {
                    *count += 1;
                    *at = now + Duration::from_millis((200 << (*count).min(3)).min(1_600));
                    due.push(packet.clone());
                }
            }
        }
        for packet in due {
            self.send(&packet);
        }
        // An opening that the client has not used is forgotten.
        self.flows
            .retain(|_, flow| flow.is_open || now < flow.last + Duration::from_secs(5));
    }

    fn answer(&mut self, work: &Work) {
        let name = &self.settings.name;
        self.shared
            .record
            .line(&format!("request {} has run at {name}", work.name));
        let body = format!("answer to {} by {name}", work.name);
        let text = format!(
            "HTTP/1.1 200 OK\r\nServer-Signature: {name}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let (id, now) = (work.flow, Instant::now());
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        flow.is_busy = false;
        let packet = Packet::new(id.1, id.0, ACK, flow.seq, flow.received, text.as_bytes());
        flow.seq = flow.seq.wrapping_add(text.len() as u32);
        flow.unacked = Some((packet.clone(), now + Duration::from_millis(200), 0));
        self.send(&packet);
    }
}
