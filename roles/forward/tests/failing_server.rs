//! Simulates short flows to several backend servers, one of which fails its
//! requests while it announces that it is ready, and checks the share of
//! answered requests.
mod fixtures;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use fixtures::*;
use forward::Agent;
use forward::Entry;
use forward::agent;
use forward::agent::State;
use forward::entry;
use wire::Segment;
use wire::TargetId;
use wire::Transit;
use wire::segment::Kind;
use wire::target;

/// Number of backend servers; the first one fails.
const SERVERS: TargetId = 4;

/// Service time of a request, and delay of a datagram between two processes.
const SERVICE_TIME: Duration = Duration::from_millis(20);
const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// Interval between two requests, which loads the working servers to 60% of
/// their capacity.
const REQUEST_INTERVAL: Duration = Duration::from_micros(5_500);

/// Time during which callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(10);

/// Time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);

/// Behavior of the failing server on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// Resets the flow immediately.
    Reset,
    /// Never answers.
    Hang,
    /// Answers two of three requests.
    Intermittent,
}

enum Event {
    Open(u16),
    FrameAtEntry(Transit),
    FrameAtAgent(TargetId, Transit),
    ServerPacket(TargetId, Segment),
    PacketAtCaller(Segment),
    GiveUp(u16),
    Tick,
}

struct Simulation {
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, usize)>>,
    events: HashMap<usize, Event>,
    last_event_id: usize,
    entry: Entry,
    agents: HashMap<TargetId, Agent>,
    failure: Failure,
    /// Time at which each slot of a server becomes free.
    slots_busy_until: HashMap<TargetId, [Duration; 2]>,
    announcements: u64,
    requests: u32,
    answered: u32,
    waiting: HashSet<u16>,
}

impl Simulation {
    fn new(failure: Failure, settings: &agent::Settings) -> Self {
        let ids = 1..=SERVERS;
        let known = ids.clone().map(|id| target(id, 1, target::State::Ready));
        let mut configured_entry =
            Entry::new(entry::Settings::default(), entry_address(), 1, 1, ms(0));
        let routes = entry::Event::Routes(routes(known.collect()));
        configured_entry.handle(ms(0), routes, &mut Vec::new());
        let agents = ids.clone().map(|id| {
            let mut agent = Agent::new(settings.clone(), hop(id), false, ms(0));
            let announced = agent::Event::Announcement(announcement(id, 1, 1, State::Ready));
            agent.handle(ms(0), announced, &mut Vec::new());
            (id, agent)
        });
        Self {
            now: ms(0),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_event_id: 0,
            entry: configured_entry,
            agents: agents.collect(),
            failure,
            slots_busy_until: ids.map(|id| (id, [ms(0); 2])).collect(),
            announcements: 0,
            requests: 0,
            answered: 0,
            waiting: HashSet::new(),
        }
    }

    /// Runs the simulation and returns the share of answered requests.
    fn run(mut self) -> f64 {
        self.schedule(ms(0), Event::Open(1));
        self.schedule(ms(0), Event::Tick);
        let end = LOAD_DURATION + CALLER_TIMEOUT;
        while let Some(Reverse((time, number))) = self.queue.pop() {
            self.now = time;
            if time > end {
                break;
            }
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        f64::from(self.answered) / f64::from(self.requests)
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.last_event_id += 1;
        self.events.insert(self.last_event_id, event);
        self.queue
            .push(Reverse((self.now + wait, self.last_event_id)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Open(port) => {
                self.requests += 1;
                self.waiting.insert(port);
                self.send(caller_segment(port, Kind::Open, 0));
                self.schedule(CALLER_TIMEOUT, Event::GiveUp(port));
                if self.now < LOAD_DURATION {
                    self.schedule(REQUEST_INTERVAL, Event::Open(port + 1));
                }
            }
            Event::FrameAtEntry(Transit::Held(held)) => self.notify_entry(entry::Event::Held(held)),
            Event::FrameAtEntry(Transit::Busy(busy)) => self.notify_entry(entry::Event::Busy(busy)),
            Event::FrameAtEntry(_) => {}
            Event::FrameAtAgent(id, transit) => self.receive_at_agent(id, transit),
            Event::ServerPacket(id, segment) => {
                let packet = encode(&segment);
                self.notify_agent(id, agent::Event::ServerPacket { segment, packet });
            }
            Event::PacketAtCaller(segment) => self.receive_at_caller(&segment),
            Event::GiveUp(port) => {
                if self.waiting.remove(&port) {
                    self.send(caller_segment(port, Kind::Reset, 0));
                }
            }
            Event::Tick => {
                self.announcements += 1;
                for id in 1..=SERVERS {
                    let announced = announcement(id, 1, 1 + self.announcements, State::Ready);
                    self.notify_agent(id, agent::Event::Announcement(announced));
                }
                self.notify_entry(entry::Event::Tick);
                self.schedule(ms(50), Event::Tick);
            }
        }
    }

    fn receive_at_caller(&mut self, segment: &Segment) {
        let port = segment.destination.port();
        match segment.kind {
            Kind::Accept => self.send(caller_segment(port, Kind::Data, 100)),
            Kind::Data if segment.length > 0 && self.waiting.remove(&port) => {
                self.answered += 1;
                self.send(caller_segment(port, Kind::Close, 0));
            }
            Kind::Reset => {
                self.waiting.remove(&port);
            }
            _ => {}
        }
    }

    fn send(&mut self, segment: Segment) {
        let packet = encode(&segment);
        self.notify_entry(entry::Event::Packet { segment, packet });
    }

    fn receive_at_agent(&mut self, id: TargetId, transit: Transit) {
        match transit {
            Transit::Open(open) => {
                let segment = decode(&open.packet);
                self.notify_agent(id, agent::Event::Open { open, segment });
            }
            Transit::Forward(forward) => {
                let segment = decode(&forward.packet);
                self.notify_agent(id, agent::Event::Forward { forward, segment });
            }
            _ => {}
        }
    }

    fn receive_at_server(&mut self, id: TargetId, segment: &Segment) {
        let port = segment.source.port();
        match segment.kind {
            Kind::Open => {
                let accept = server_segment(port, Kind::Accept, 0);
                self.schedule(ms(1), Event::ServerPacket(id, accept));
            }
            Kind::Data => self.run_request(id, port),
            _ => {}
        }
    }

    fn run_request(&mut self, id: TargetId, port: u16) {
        let fails = match self.failure {
            _ if id != 1 => false,
            Failure::Reset | Failure::Hang => true,
            Failure::Intermittent => port.is_multiple_of(3),
        };
        if fails {
            if self.failure == Failure::Reset {
                let reset = server_segment(port, Kind::Reset, 0);
                self.schedule(ms(1), Event::ServerPacket(id, reset));
            }
            return;
        }
        let now = self.now;
        let slots = self.slots_busy_until.get_mut(&id).unwrap();
        let first = slots.iter_mut().min().unwrap();
        *first = now.max(*first) + SERVICE_TIME;
        let end = first.saturating_sub(now);
        let answer = server_segment(port, Kind::Data, 50);
        self.schedule(end, Event::ServerPacket(id, answer));
    }

    fn notify_entry(&mut self, event: entry::Event) {
        let mut actions = Vec::new();
        self.entry.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                entry::Action::Send { to, transit } => self.send_frame(to, transit),
                entry::Action::Reset { flow, .. } => {
                    let reset = server_segment(flow.caller.port(), Kind::Reset, 0);
                    self.schedule(NETWORK_DELAY, Event::PacketAtCaller(reset));
                }
                _ => {}
            }
        }
    }

    fn notify_agent(&mut self, id: TargetId, event: agent::Event) {
        let mut actions = Vec::new();
        let agent = self.agents.get_mut(&id).unwrap();
        agent.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                agent::Action::Deliver(packet) => self.receive_at_server(id, &decode(&packet)),
                agent::Action::ToCaller { packet, .. } => {
                    self.schedule(NETWORK_DELAY, Event::PacketAtCaller(decode(&packet)));
                }
                agent::Action::Send { to, transit } => self.send_frame(to, transit),
                agent::Action::Reset { flow, .. } => {
                    let reset = server_segment(flow.caller.port(), Kind::Reset, 0);
                    self.schedule(NETWORK_DELAY, Event::PacketAtCaller(reset));
                }
                _ => {}
            }
        }
    }

    fn send_frame(&mut self, to: std::net::SocketAddr, transit: Transit) {
        let id = (1..=SERVERS).find(|id| hop(*id).address == to);
        match id {
            Some(id) => self.schedule(NETWORK_DELAY, Event::FrameAtAgent(id, transit)),
            None => self.schedule(NETWORK_DELAY, Event::FrameAtEntry(transit)),
        }
    }
}

/// Returns settings under which failures have no influence on bids.
fn without_risk_estimate() -> agent::Settings {
    let mut settings = agent::Settings::default();
    settings.risk.cost = Duration::ZERO;
    settings
}

/// Checks that the failure estimate increases the share of answered requests,
/// and that the share reaches `min_share`.
fn check_answered_share(failure: Failure, min_share: f64) {
    let without_estimate = Simulation::new(failure, &without_risk_estimate()).run();
    let with_estimate = Simulation::new(failure, &agent::Settings::default()).run();
    println!(
        "{failure:?}: {without_estimate:.3} answered without the failure estimate, {with_estimate:.3} with it"
    );
    assert!(
        with_estimate > without_estimate,
        "share of answered requests: {with_estimate} with the failure estimate, {without_estimate} without it"
    );
    assert!(
        with_estimate >= min_share,
        "share of answered requests: {with_estimate}, expected at least {min_share}"
    );
}

#[test]
fn few_requests_fail_at_a_server_that_resets_them() {
    check_answered_share(Failure::Reset, 0.97);
}

#[test]
fn few_requests_fail_at_a_server_that_never_answers() {
    check_answered_share(Failure::Hang, 0.97);
}

#[test]
fn few_requests_fail_at_a_server_that_answers_two_of_three() {
    check_answered_share(Failure::Intermittent, 0.97);
}
