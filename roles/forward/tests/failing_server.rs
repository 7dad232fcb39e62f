//! Plays short flows to backend servers of which one fails its requests while
//! its announcements are good, and counts what callers get.
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

/// Backend servers; the first fails.
const SERVERS: TargetId = 4;

/// Time of a request, and of each way between two processes.
const WORK: Duration = Duration::from_millis(20);
const WAY: Duration = Duration::from_millis(1);

/// Time between two requests: 60% of what the good servers can do.
const GAP: Duration = Duration::from_micros(5_500);

/// How long requests are sent.
const LENGTH: Duration = Duration::from_secs(10);

/// Time after which a caller gives up.
const DEADLINE: Duration = Duration::from_secs(1);

/// What the failing server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// It resets the flow at once.
    Reset,
    /// It never answers.
    Hang,
    /// It answers two of three.
    Mute,
}

enum Event {
    Open(u16),
    AtEntry(Transit),
    AtAgent(TargetId, Transit),
    FromServer(TargetId, Segment),
    AtCaller(Segment),
    GiveUp(u16),
    Tick,
}

struct Play {
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, usize)>>,
    events: HashMap<usize, Event>,
    count: usize,
    entry: Entry,
    agents: HashMap<TargetId, Agent>,
    failure: Failure,
    /// When the work of each server's slots ends.
    busy: HashMap<TargetId, [Duration; 2]>,
    ticks: u64,
    asked: u32,
    served: u32,
    waiting: HashSet<u16>,
}

impl Play {
    fn new(failure: Failure, settings: &agent::Settings) -> Self {
        let ids = 1..=SERVERS;
        let known = ids.clone().map(|id| target(id, 1, target::State::Ready));
        let mut core = Entry::new(entry::Settings::default(), entry_address(), 1, 1, ms(0));
        let routes = entry::Event::Routes(routes(known.collect()));
        core.handle(ms(0), routes, &mut Vec::new());
        let agents = ids.clone().map(|id| {
            let mut agent = Agent::new(settings.clone(), hop(id), false, ms(0));
            let told = agent::Event::Backend(announcement(id, 1, 1, State::Ready));
            agent.handle(ms(0), told, &mut Vec::new());
            (id, agent)
        });
        Self {
            now: ms(0),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            count: 0,
            entry: core,
            agents: agents.collect(),
            failure,
            busy: ids.map(|id| (id, [ms(0); 2])).collect(),
            ticks: 0,
            asked: 0,
            served: 0,
            waiting: HashSet::new(),
        }
    }

    /// Share of the requests that were answered.
    fn run(mut self) -> f64 {
        self.at(ms(0), Event::Open(1));
        self.at(ms(0), Event::Tick);
        let end = LENGTH + DEADLINE;
        while let Some(Reverse((time, number))) = self.queue.pop() {
            self.now = time;
            if time > end {
                break;
            }
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        f64::from(self.served) / f64::from(self.asked)
    }

    fn at(&mut self, wait: Duration, event: Event) {
        self.count += 1;
        self.events.insert(self.count, event);
        self.queue.push(Reverse((self.now + wait, self.count)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Open(port) => {
                self.asked += 1;
                self.waiting.insert(port);
                self.send(caller_segment(port, Kind::Open, 0));
                self.at(DEADLINE, Event::GiveUp(port));
                if self.now < LENGTH {
                    self.at(GAP, Event::Open(port + 1));
                }
            }
            Event::AtEntry(Transit::Held(held)) => self.tell_entry(entry::Event::Held(held)),
            Event::AtEntry(Transit::Busy(busy)) => self.tell_entry(entry::Event::Busy(busy)),
            Event::AtEntry(_) => {}
            Event::AtAgent(id, transit) => self.at_agent(id, transit),
            Event::FromServer(id, segment) => {
                let packet = encode(&segment);
                self.tell_agent(id, agent::Event::Server { segment, packet });
            }
            Event::AtCaller(segment) => self.at_caller(&segment),
            Event::GiveUp(port) => {
                if self.waiting.remove(&port) {
                    self.send(caller_segment(port, Kind::Reset, 0));
                }
            }
            Event::Tick => {
                self.ticks += 1;
                for id in 1..=SERVERS {
                    let told = announcement(id, 1, 1 + self.ticks, State::Ready);
                    self.tell_agent(id, agent::Event::Backend(told));
                }
                self.tell_entry(entry::Event::Tick);
                self.at(ms(50), Event::Tick);
            }
        }
    }

    fn at_caller(&mut self, segment: &Segment) {
        let port = segment.destination.port();
        match segment.kind {
            Kind::Accept => self.send(caller_segment(port, Kind::Data, 100)),
            Kind::Data if segment.length > 0 && self.waiting.remove(&port) => {
                self.served += 1;
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
        self.tell_entry(entry::Event::Packet { segment, packet });
    }

    fn at_agent(&mut self, id: TargetId, transit: Transit) {
        match transit {
            Transit::Open(open) => {
                let segment = decode(&open.packet);
                self.tell_agent(id, agent::Event::Open { open, segment });
            }
            Transit::Carry(carry) => {
                let segment = decode(&carry.packet);
                self.tell_agent(id, agent::Event::Carry { carry, segment });
            }
            _ => {}
        }
    }

    fn at_server(&mut self, id: TargetId, segment: &Segment) {
        let port = segment.source.port();
        match segment.kind {
            Kind::Open => {
                let accept = server_segment(port, Kind::Accept, 0);
                self.at(ms(1), Event::FromServer(id, accept));
            }
            Kind::Data => self.ask(id, port),
            _ => {}
        }
    }

    fn ask(&mut self, id: TargetId, port: u16) {
        let fails = match self.failure {
            _ if id != 1 => false,
            Failure::Reset | Failure::Hang => true,
            Failure::Mute => port.is_multiple_of(3),
        };
        if fails {
            if self.failure == Failure::Reset {
                let reset = server_segment(port, Kind::Reset, 0);
                self.at(ms(1), Event::FromServer(id, reset));
            }
            return;
        }
        let now = self.now;
        let slots = self.busy.get_mut(&id).unwrap();
        let first = slots.iter_mut().min().unwrap();
        *first = now.max(*first) + WORK;
        let end = first.saturating_sub(now);
        let answer = server_segment(port, Kind::Data, 50);
        self.at(end, Event::FromServer(id, answer));
    }

    fn tell_entry(&mut self, event: entry::Event) {
        let mut actions = Vec::new();
        self.entry.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                entry::Action::Send { to, transit } => self.frame(to, transit),
                entry::Action::Reset { flow, .. } => {
                    let reset = server_segment(flow.caller.port(), Kind::Reset, 0);
                    self.at(WAY, Event::AtCaller(reset));
                }
                _ => {}
            }
        }
    }

    fn tell_agent(&mut self, id: TargetId, event: agent::Event) {
        let mut actions = Vec::new();
        let agent = self.agents.get_mut(&id).unwrap();
        agent.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                agent::Action::Deliver(packet) => self.at_server(id, &decode(&packet)),
                agent::Action::ToCaller { packet, .. } => {
                    self.at(WAY, Event::AtCaller(decode(&packet)));
                }
                agent::Action::Send { to, transit } => self.frame(to, transit),
                agent::Action::Reset { flow, .. } => {
                    let reset = server_segment(flow.caller.port(), Kind::Reset, 0);
                    self.at(WAY, Event::AtCaller(reset));
                }
                _ => {}
            }
        }
    }

    fn frame(&mut self, to: std::net::SocketAddr, transit: Transit) {
        let id = (1..=SERVERS).find(|id| hop(*id).address == to);
        match id {
            Some(id) => self.at(WAY, Event::AtAgent(id, transit)),
            None => self.at(WAY, Event::AtEntry(transit)),
        }
    }
}

/// Without judging: the earlier version.
fn without_judging() -> agent::Settings {
    let mut settings = agent::Settings::default();
    settings.risk.cost = Duration::ZERO;
    settings
}

/// Plays both and holds them against the share that is to be served.
fn callers_get(failure: Failure, least: f64) {
    let before = Play::new(failure, &without_judging()).run();
    let served = Play::new(failure, &agent::Settings::default()).run();
    println!("{failure:?}: {before:.3} without judging, {served:.3} with");
    assert!(served > before, "{served} after {before}");
    assert!(served >= least, "{served}");
}

#[test]
fn few_requests_fail_at_a_server_that_resets_them() {
    callers_get(Failure::Reset, 0.97);
}

#[test]
fn few_requests_fail_at_a_server_that_never_answers() {
    callers_get(Failure::Hang, 0.97);
}

#[test]
fn few_requests_fail_at_a_server_that_answers_two_of_three() {
    callers_get(Failure::Mute, 0.97);
}
