//! Simulated backend servers.
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use platform_standin::call::Announcement;
use wire::FlowId;
use wire::Segment;
use wire::segment::Kind;

use crate::checker::Invariant;
use crate::harness::Harness;
use crate::host::Cause;
use crate::request::Answer;
use crate::request::Request;
use crate::stream::Stream;

/// Largest number of requests that wait at a backend server.
const MAX_WAITING: usize = 4;

/// Idle time after which a backend server drops a flow.
const FLOW_TIMEOUT: Duration = Duration::from_secs(130);

/// A backend server, which has one address and runs at most one instance at a
/// time.
#[derive(Debug)]
pub struct Server {
    /// UDP address.
    pub address: SocketAddr,
    /// Index of its service.
    pub service: usize,
    /// Number of requests that it runs at a time.
    pub slots: usize,
    /// Time that each request takes.
    pub work: Duration,
    /// Running instance, if any.
    pub instance: Option<Instance>,
    /// Number of starts so far.
    pub starts: u32,
}

/// State of a backend server from a start to its end.
#[derive(Debug)]
pub struct Instance {
    /// Newest announcement.
    pub announcement: Announcement,
    /// Time at which the sidecar acknowledged that the instance drains.
    pub drained: Option<Duration>,
    flows: HashMap<FlowId, Flow>,
    /// Running requests, each with the time at which it ends.
    running: Vec<(Duration, FlowId, Request)>,
    waiting: VecDeque<(FlowId, Request)>,
}

#[derive(Debug)]
struct Flow {
    own_sequence: u32,
    caller_sequence: u32,
    is_open: bool,
    last_used: Duration,
    stream: Stream,
    inbox: Vec<u8>,
}

impl Instance {
    /// Creates an instance without flows.
    #[must_use]
    pub fn new(announcement: Announcement) -> Self {
        Self {
            announcement,
            drained: None,
            flows: HashMap::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }
}

impl Harness {
    /// Handles a packet that reached a backend server.
    pub fn receive_at_server(&mut self, number: usize, packet: &[u8]) {
        let now = self.now();
        let Ok(segment) = platform::packet::decode(packet) else {
            return self.checker.record_violation(
                Invariant::Unasked,
                now,
                "a server got a packet that cannot be decoded".into(),
            );
        };
        let is_genuine = self.key.is_genuine(packet, &segment);
        if !is_genuine || segment.is_returned {
            let text = format!("server {number} got a packet that no caller wrote: {segment:?}");
            return self.checker.record_violation(Invariant::Unasked, now, text);
        }
        let flow = segment.flow_from_caller();
        let start = self.servers[number].starts;
        if self
            .checker
            .record_arrival(now, &flow, number, self.topology.limits.misrouted)
        {
            self.check_misrouted(now, &flow, number);
        }
        let Some(instance) = &mut self.servers[number].instance else {
            return;
        };
        let content = &packet[platform::packet::HEADER_LEN..];
        match segment.kind {
            Kind::Open => self.server_open(now, number, &segment, packet),
            Kind::Reset => {
                if instance.flows.remove(&flow).is_some() {
                    instance.waiting.retain(|(waiting, _)| *waiting != flow);
                    self.checker.record_server_close(&flow, number);
                }
            }
            _ => match instance.flows.get_mut(&flow) {
                Some(held) if held.is_open || held.is_acknowledged_by(&segment) => {
                    if !held.is_open {
                        held.is_open = true;
                        self.checker.record_open(flow, number, start);
                    }
                    held.last_used = now;
                    held.inbox
                        .extend(held.stream.receive(now, &segment, content));
                    self.receive_requests(now, number, flow);
                    if segment.length > 0 || segment.kind == Kind::Close {
                        self.server_acknowledge(number, flow);
                    }
                }
                Some(_) => {
                    instance.flows.remove(&flow);
                    self.return_packet(number, &segment, packet);
                }
                None => self.return_packet(number, &segment, packet),
            },
        }
    }

    /// Runs requests, and sends due packets of all flows.
    pub fn server_tick(&mut self, number: usize) {
        let now = self.now();
        self.run_requests(now, number);
        let Some(instance) = &mut self.servers[number].instance else {
            return;
        };
        let mut out = Vec::new();
        let mut over = Vec::new();
        for (id, flow) in &mut instance.flows {
            if flow.stream.is_closed_by_peer() {
                flow.stream.close();
            }
            for packet in flow.stream.poll(now) {
                out.push((*id, packet, flow.stream.received));
            }
            let is_idle = now > flow.last_used + FLOW_TIMEOUT;
            if flow.stream.is_finished() || flow.stream.has_timed_out() || is_idle {
                over.push(*id);
            }
        }
        for (id, packet, received) in out {
            let segment = from_server(&id, packet.kind, packet.sequence, received);
            self.server_send(number, &segment, &packet.content);
        }
        for id in over {
            self.checker.record_server_close(&id, number);
            if let Some(instance) = &mut self.servers[number].instance {
                instance.flows.remove(&id);
            }
        }
    }

    /// Ends a backend server, which loses all state.
    pub fn server_end(&mut self, number: usize) {
        if let Some(instance) = self.servers[number].instance.take() {
            for flow in instance.flows.keys() {
                self.checker.record_server_close(flow, number);
            }
        }
    }

    fn server_open(&mut self, now: Duration, number: usize, segment: &Segment, packet: &[u8]) {
        let flow = segment.flow_from_caller();
        let own = self.random.u32(..);
        let Some(instance) = &mut self.servers[number].instance else {
            return;
        };
        let is_new = !instance.flows.contains_key(&flow);
        let held = instance.flows.entry(flow).or_insert_with(|| Flow {
            own_sequence: own,
            caller_sequence: segment.sequence,
            is_open: false,
            last_used: now,
            stream: Stream::new(own, segment.sequence),
            inbox: Vec::new(),
        });
        if held.caller_sequence != segment.sequence {
            return self.return_packet(number, segment, packet);
        }
        let (own, received) = (held.own_sequence, held.stream.received);
        let accept = from_server(&flow, Kind::Accept, own, received);
        if is_new {
            self.check_opening(now, number, &flow);
        }
        self.server_send(number, &accept, &[]);
    }

    /// Records a violation where the configurations or a drain do not allow a
    /// backend server to get a new flow.
    fn check_opening(&mut self, now: Duration, number: usize, flow: &FlowId) {
        self.checker.count("flows accepted by servers");
        let server = &self.servers[number];
        let (sent, gateway) = self.opening_of(flow).unwrap_or((now, 0));
        let limits = self.topology.limits;
        let service = server.service;
        let drained = server
            .instance
            .as_ref()
            .and_then(|instance| instance.drained);
        let since = now.saturating_sub(limits.undisturbed);
        let is_undisturbed =
            |host: usize| self.hosts[host].is_undisturbed_since(since, Cause::Planned);
        let are_undisturbed = is_undisturbed(gateway) && is_undisturbed(self.host_of(number));
        let bound = limits.apply + self.configuration_delay(now);
        let text = format!("{flow:?} opened at server {number} of service {service}");
        if self.is_evacuated(now, number, gateway) {
            let text = text.clone();
            self.checker
                .record_violation(Invariant::Evacuated, now, text);
        }
        if !self.history.has_ever_routed(flow.service, service) {
            self.checker.record_violation(Invariant::Service, now, text);
        } else if are_undisturbed && !self.history.allows(sent, bound, flow.service, service) {
            self.checker.record_violation(Invariant::Applied, now, text);
        } else if are_undisturbed && drained.is_some_and(|drained| now > drained + limits.drain) {
            self.checker.record_violation(Invariant::Drained, now, text);
        }
    }

    fn receive_requests(&mut self, now: Duration, number: usize, flow: FlowId) {
        let Some(instance) = &mut self.servers[number].instance else {
            return;
        };
        let Some(held) = instance.flows.get_mut(&flow) else {
            return;
        };
        while let Some(request) = Request::decode(&mut held.inbox) {
            if instance.waiting.len() < MAX_WAITING {
                instance.waiting.push_back((flow, request));
            } else {
                held.stream.write(&answer(&request, false).encode());
                self.checker.count("requests rejected by servers");
            }
        }
        self.run_requests(now, number);
    }

    /// Answers requests that are done, and starts waiting ones in free slots.
    fn run_requests(&mut self, now: Duration, number: usize) {
        let server = &mut self.servers[number];
        let Some(instance) = &mut server.instance else {
            return;
        };
        for (end, flow, request) in &instance.running {
            if let Some(held) = instance.flows.get_mut(flow)
                && *end <= now
            {
                held.stream.write(&answer(request, true).encode());
                if instance.announcement.is_draining {
                    held.stream.close();
                }
            }
        }
        instance.running.retain(|(end, ..)| *end > now);
        let mut started = Vec::new();
        while instance.running.len() < server.slots
            && let Some((flow, request)) = instance.waiting.pop_front()
        {
            started.push((request.task, request.attempt));
            instance.running.push((now + server.work, flow, request));
        }
        for (task, attempt) in started {
            let is_idempotent = self.is_idempotent(task);
            self.checker.record_run(now, task, attempt, is_idempotent);
        }
    }

    fn server_acknowledge(&mut self, number: usize, flow: FlowId) {
        let instance = self.servers[number].instance.as_ref();
        let Some(held) = instance.and_then(|instance| instance.flows.get(&flow)) else {
            return;
        };
        let position = held.stream.position();
        let segment = from_server(&flow, Kind::Data, position, held.stream.received);
        self.server_send(number, &segment, &[]);
    }

    /// Sends a packet that no flow accepts back through the sidecar, marked as
    /// returned.
    fn return_packet(&mut self, number: usize, segment: &Segment, packet: &[u8]) {
        let returned = Segment {
            is_returned: true,
            ..*segment
        };
        let content = &packet[platform::packet::HEADER_LEN..];
        self.server_send(number, &returned, content);
    }

    fn server_send(&mut self, number: usize, segment: &Segment, content: &[u8]) {
        let length = u16::try_from(content.len()).unwrap_or(u16::MAX);
        let segment = Segment { length, ..*segment };
        let packet = self.key.encode(&segment, content);
        self.sockets.send_as_server(number, &packet);
    }
}

impl Flow {
    /// Returns whether a packet acknowledges the backend server's opening
    /// packet.
    const fn is_acknowledged_by(&self, segment: &Segment) -> bool {
        segment.acknowledged == self.own_sequence.wrapping_add(1)
    }
}

fn from_server(flow: &FlowId, kind: Kind, sequence: u32, received: u32) -> Segment {
    Segment {
        source: flow.service,
        destination: flow.caller,
        kind,
        is_returned: false,
        sequence,
        acknowledged: received,
        length: 0,
        echo: 0,
    }
}

const fn answer(request: &Request, has_run: bool) -> Answer {
    Answer {
        task: request.task,
        attempt: request.attempt,
        length: request.answer_length,
        has_run,
    }
}
