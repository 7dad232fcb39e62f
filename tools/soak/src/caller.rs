//! Callers: the packets of the flows that they open.
mod task;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use platform::packet::HEADER_LEN;
use platform_standin::packet::is_system_reset;
use wire::FlowId;
use wire::Segment;
use wire::segment::Kind;

use crate::address;
use crate::address::Network;
use crate::address::PACKET_PORT;
use crate::checker::Invariant;
use crate::harness::Harness;
use crate::request::Answer;
use crate::request::Request;
use crate::request::TaskId;
use crate::stream::Stream;
use task::Task;

/// Times after the first opening packet at which it is retransmitted.
const RETRANSMIT_AFTER: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// Time after which an opening without an answer fails.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Largest distance, in bytes, of a system reset from what the caller has
/// received; resets beyond it are ignored.
const RESET_WINDOW: u32 = 76_800;

/// First port of callers.
const FIRST_PORT: u16 = 20_000;

/// Number of ports of callers; after so many flows ports are used again, within
/// seconds under load, while processes still have the earlier flows from there.
const PORT_COUNT: u32 = 600;

/// State of all callers.
#[derive(Debug, Default)]
pub struct Callers {
    /// Flows that have not ended.
    flows: HashMap<FlowId, Flow>,
    /// Time of each flow's first opening packet and the gateway it went to;
    /// entries stay after the flow has ended.
    openings: HashMap<FlowId, (Duration, usize)>,
    /// Tasks to retry, each with the earliest time for it.
    retries: Vec<(Duration, Task)>,
    /// Time of the next arrival of each service.
    arrivals: Vec<Duration>,
    /// Start time of each ended task, and whether it was served.
    pub outcomes: Vec<(Duration, bool)>,
    /// Number of flows opened so far; selects the next port.
    ports_used: u32,
    next_task: TaskId,
    /// Service of the callers of each task. A server of another one may run it after
    /// its route was moved.
    services: HashMap<TaskId, usize>,
    /// Services whose callers send no requests, and until when.
    paused: HashMap<usize, Duration>,
    is_stopped: bool,
}

#[derive(Debug)]
struct Flow {
    service: usize,
    initial_sequence: u32,
    /// Time of the first opening packet.
    begun: Duration,
    retransmissions: usize,
    /// Reliable stream, once the flow is open.
    stream: Option<Stream>,
    inbox: Vec<u8>,
    task: Option<Task>,
    /// Time of the last request.
    last_request: Duration,
    is_long: bool,
}

impl Flow {
    fn is_idle_long_flow_of(&self, service: usize) -> bool {
        let stream = self.stream.as_ref();
        let is_open = stream.is_some_and(|stream| !stream.is_closed_by_peer());
        self.is_long && is_open && self.task.is_none() && self.service == service
    }
}

impl Callers {
    /// Stops the arrival of new tasks and of long flows.
    pub const fn stop(&mut self) {
        self.is_stopped = true;
    }
}

impl Harness {
    /// Starts due tasks and retries, and sends due packets of all flows.
    pub fn callers_tick(&mut self) {
        let now = self.now();
        self.start_due_tasks(now);
        let retries = std::mem::take(&mut self.callers.retries);
        for (at, task) in retries {
            if now >= at {
                self.dispatch(now, task);
            } else {
                self.callers.retries.push((at, task));
            }
        }
        let flows: Vec<FlowId> = self.callers.flows.keys().copied().collect();
        for id in flows {
            self.flow_tick(now, id);
        }
    }

    /// Returns when a flow's first opening packet was sent, and to which
    /// gateway.
    #[must_use]
    pub fn opening_of(&self, flow: &FlowId) -> Option<(Duration, usize)> {
        self.callers.openings.get(flow).copied()
    }

    /// Handles a packet that reached a host of callers.
    pub fn receive_at_caller(&mut self, from: SocketAddr, packet: &[u8]) {
        let now = self.now();
        let Ok(segment) = platform::packet::decode(packet) else {
            return self.checker.record_violation(
                Invariant::Genuine,
                now,
                "a caller got a packet that cannot be decoded".into(),
            );
        };
        let id = segment.flow_from_server();
        if segment.kind == Kind::Reset && is_system_reset(packet) {
            return self.system_reset(now, from, &id, &segment);
        }
        if !self.key.is_genuine(packet, &segment) || segment.is_returned {
            let text = format!(
                "a caller got a packet from {from} that its sender did not write: {segment:?}"
            );
            return self.checker.record_violation(Invariant::Genuine, now, text);
        }
        let Some(flow) = self.callers.flows.get_mut(&id) else {
            return;
        };
        match (segment.kind, &mut flow.stream) {
            (Kind::Reset, stream) => {
                let was_open = stream.is_some();
                self.checker.count("flows reset by servers");
                self.fail_flow(now, id, was_open, "its backend server had reset the flow");
            }
            (Kind::Accept, None) => {
                flow.stream = Some(Stream::new(flow.initial_sequence, segment.sequence));
                self.checker.count("flows opened");
                self.send_acknowledgement(&id);
                self.write_request(now, &id);
            }
            (Kind::Accept, Some(stream)) => {
                if stream.received == segment.sequence.wrapping_add(1) {
                    self.send_acknowledgement(&id);
                }
            }
            (_, Some(stream)) => {
                let content = stream.receive(now, &segment, &packet[HEADER_LEN..]);
                flow.inbox.extend(content);
                if segment.length > 0 || segment.kind == Kind::Close {
                    self.send_acknowledgement(&id);
                }
                self.receive_answers(now, id);
            }
            (_, None) => {}
        }
    }

    /// Returns a flow from the next port that the caller does not use, or `None` if
    /// it uses all.
    fn next_flow(&mut self, caller: usize, route: usize) -> Option<FlowId> {
        (0..PORT_COUNT).find_map(|_| {
            let port = FIRST_PORT + u16::try_from(self.callers.ports_used % PORT_COUNT).ok()?;
            self.callers.ports_used += 1;
            let id = FlowId {
                caller: SocketAddrV4::new(self.network.caller(caller), port),
                service: address::service(route),
            };
            (!self.callers.flows.contains_key(&id)).then_some(id)
        })
    }

    /// Opens a flow and returns it; `None` if the caller uses all ports.
    fn open(
        &mut self,
        now: Duration,
        service: usize,
        route: usize,
        task: Option<Task>,
    ) -> Option<FlowId> {
        let caller = self.random.usize(..self.sockets.callers.len());
        let id = self.next_flow(caller, route)?;
        let flow = Flow {
            service,
            initial_sequence: self.random.u32(..),
            begun: now,
            retransmissions: 0,
            stream: None,
            inbox: Vec::new(),
            is_long: task.is_none(),
            last_request: now,
            task,
        };
        self.callers.flows.insert(id, flow);
        self.checker.record_close(&id);
        let gateway = self.gateway_of(&id, caller);
        self.callers.openings.insert(id, (now, gateway));
        self.send_opening(&id, 0);
        Some(id)
    }

    fn flow_tick(&mut self, now: Duration, id: FlowId) {
        let Some(flow) = self.callers.flows.get_mut(&id) else {
            return;
        };
        let deadline = self.topology.services[flow.service].deadline;
        let is_late = flow.task.is_some_and(|task| now > task.begun + deadline);
        let Some(stream) = &mut flow.stream else {
            if now > flow.begun + OPEN_TIMEOUT {
                self.checker.count("openings without an answer");
                return self.fail_flow(now, id, false, "its opening had not been answered");
            }
            let retransmissions = flow.retransmissions;
            if retransmissions < RETRANSMIT_AFTER.len()
                && now > flow.begun + RETRANSMIT_AFTER[retransmissions]
            {
                flow.retransmissions += 1;
                self.send_opening(&id, retransmissions + 1);
            }
            return;
        };
        if stream.is_finished() {
            self.callers.flows.remove(&id);
            return;
        }
        if is_late || stream.has_timed_out() {
            let sequence = stream.position();
            let received = stream.received;
            let segment = from_caller(&id, Kind::Reset, sequence, received);
            self.caller_send(&id, &segment, &[]);
            self.checker.record_close(&id);
            return self.fail_flow(now, id, true, "its deadline had passed");
        }
        if stream.is_closed_by_peer() {
            stream.close();
        }
        let received = stream.received;
        for packet in stream.poll(now) {
            let segment = from_caller(&id, packet.kind, packet.sequence, received);
            self.caller_send(&id, &segment, &packet.content);
        }
    }

    fn system_reset(&mut self, now: Duration, from: SocketAddr, id: &FlowId, segment: &Segment) {
        let Some(flow) = self.callers.flows.get(id) else {
            return;
        };
        let Some(stream) = &flow.stream else {
            self.checker.count("flows refused");
            return self.fail_flow(now, *id, false, "its flow had been refused");
        };
        let distance = segment.sequence.wrapping_sub(stream.received);
        if distance.min(distance.wrapping_neg()) > RESET_WINDOW {
            return self.checker.count("resets outside the window");
        }
        self.checker.count("open flows reset");
        self.check_reset(now, from, id);
        self.fail_flow(now, *id, true, "the system had reset its flow");
    }

    fn receive_answers(&mut self, now: Duration, id: FlowId) {
        let Some(flow) = self.callers.flows.get_mut(&id) else {
            return;
        };
        loop {
            let (answer, is_intact) = match Answer::decode(&mut flow.inbox) {
                Ok(None) => return,
                Ok(Some(answer)) => (answer, true),
                Err(answer) => (answer, false),
            };
            let pending = flow.task.take();
            let fits = pending.is_some_and(|task| {
                (task.id, task.attempt) == (answer.task, answer.attempt) && is_intact
            });
            let Some(task) = pending.filter(|_| fits) else {
                let text = format!(
                    "{id:?} got {answer:?}, intact: {is_intact}, for the pending task {pending:?}"
                );
                return self.checker.record_violation(Invariant::Genuine, now, text);
            };
            if !flow.is_long
                && let Some(stream) = &mut flow.stream
            {
                stream.close();
            }
            if answer.has_run {
                self.checker.count("tasks served");
                self.callers.outcomes.push((task.begun, true));
            } else {
                return self.retry(now, task, true);
            }
        }
    }

    /// Ends a flow whose task, if any, got no answer; the task is retried where
    /// that is allowed.
    fn fail_flow(&mut self, now: Duration, id: FlowId, was_open: bool, reason: &'static str) {
        let Some(flow) = self.callers.flows.remove(&id) else {
            return;
        };
        let Some(task) = flow.task else {
            return;
        };
        if !was_open {
            self.checker
                .record_unopened(now, task.id, task.attempt, reason);
        }
        let is_idempotent = self.topology.services[flow.service].is_idempotent;
        self.retry(now, task, is_idempotent || !was_open);
    }

    fn write_request(&mut self, now: Duration, id: &FlowId) {
        let Some(flow) = self.callers.flows.get_mut(id) else {
            return;
        };
        let (Some(task), Some(stream)) = (flow.task, &mut flow.stream) else {
            return;
        };
        let (length, answer_length) = self.topology.services[flow.service].lengths;
        let request = Request {
            task: task.id,
            attempt: task.attempt,
            length,
            answer_length,
        };
        stream.write(&request.encode());
        self.flow_tick(now, *id);
    }

    fn send_opening(&mut self, id: &FlowId, retransmissions: usize) {
        let Some(flow) = self.callers.flows.get(id) else {
            return;
        };
        let retransmissions = u32::try_from(retransmissions).unwrap_or_default();
        let segment = from_caller(id, Kind::Open, flow.initial_sequence, retransmissions);
        self.caller_send(id, &segment, &[]);
    }

    fn send_acknowledgement(&mut self, id: &FlowId) {
        let flow = self.callers.flows.get(id);
        let Some(stream) = flow.and_then(|flow| flow.stream.as_ref()) else {
            return;
        };
        let segment = from_caller(id, Kind::Data, stream.position(), stream.received);
        self.caller_send(id, &segment, &[]);
    }

    fn caller_send(&mut self, id: &FlowId, segment: &Segment, content: &[u8]) {
        let length = u16::try_from(content.len()).unwrap_or(u16::MAX);
        let segment = Segment { length, ..*segment };
        let packet = self.key.encode(&segment, content);
        let caller = Network::index(*id.caller.ip());
        let gateway = self.gateway_of(id, caller);
        let to = address::socket(self.network.process(gateway), PACKET_PORT);
        self.sockets.send_as_caller(caller, to, &packet);
    }
}

fn from_caller(flow: &FlowId, kind: Kind, sequence: u32, acknowledged: u32) -> Segment {
    Segment {
        source: flow.caller,
        destination: flow.service,
        kind,
        is_returned: false,
        sequence,
        acknowledged,
        length: 0,
        echo: 0,
    }
}
