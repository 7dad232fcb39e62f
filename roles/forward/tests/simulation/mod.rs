//! A deployment of cores in memory: callers with long flows, entries, agents and
//! backend servers that hold flows, under restarts.
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use forward::Agent;
use forward::Entry;
use forward::Routes;
use forward::agent;
use forward::agent::State;
use forward::entry;
use wire::FlowId;
use wire::Segment;
use wire::TargetId;
use wire::Transit;
use wire::segment::Kind;
use wire::target;

use crate::fixtures::announcement;
use crate::fixtures::decode;
use crate::fixtures::encode;
use crate::fixtures::hop;
use crate::fixtures::ms;
use crate::fixtures::routes;
use crate::fixtures::target;

/// Time of a datagram between two processes.
const WAY: Duration = Duration::from_millis(1);

/// Time between two ticks of a process.
const TICK: Duration = Duration::from_millis(100);

/// Time after which a caller sends a packet again.
const REPEAT: Duration = Duration::from_millis(200);

/// What arrives somewhere.
enum Event {
    AtEntry(usize, Segment),
    EntryFrame(usize, Transit),
    AtAgent(TargetId, Transit),
    AtServer(TargetId, Segment),
    FromServer(TargetId, Segment),
    AtCaller(Segment, bool),
    Send(FlowId, u32, u32),
    Announce(TargetId),
    Tick,
}

/// What a caller knows of its flow.
#[derive(Default)]
struct Caller {
    /// Requests sent, and the last that was answered.
    sent: u32,
    answered: u32,
    is_open: bool,
    /// Position of the server that accepted the flow.
    position: u32,
    /// Rises when the flow opens, which ends the copies of its opening packet.
    phase: u32,
}

/// A deployment in memory.
pub struct Simulation {
    pub now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    count: u64,
    rng: Rng,
    entries: Vec<Entry>,
    agents: HashMap<TargetId, Agent>,
    /// The flows that each backend server holds.
    servers: HashMap<TargetId, HashSet<FlowId>>,
    sequences: HashMap<TargetId, u64>,
    /// Number of the start of each backend server.
    starts: HashMap<TargetId, u64>,
    callers: HashMap<FlowId, Caller>,
    /// Packets at servers that do not hold their flow, since its own got one.
    astray: HashMap<FlowId, (u32, Duration)>,
    /// What went wrong.
    pub faults: Vec<String>,
}

impl Simulation {
    pub fn new(entries: usize, servers: u64, seed: u64) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            count: 0,
            rng: Rng::with_seed(seed),
            entries: Vec::new(),
            agents: HashMap::new(),
            servers: HashMap::new(),
            sequences: HashMap::new(),
            starts: HashMap::new(),
            callers: HashMap::new(),
            astray: HashMap::new(),
            faults: Vec::new(),
        };
        for id in 1..=servers {
            simulation.servers.insert(id, HashSet::new());
            simulation.sequences.insert(id, 10);
            simulation.start_agent(id, false);
        }
        for _ in 0..entries {
            let entry = simulation.new_entry();
            simulation.entries.push(entry);
        }
        simulation.at(Duration::ZERO, Event::Tick);
        simulation
    }

    /// Opens flows that each bring a request a second.
    pub fn open_flows(&mut self, count: u16) {
        for number in 0..count {
            let caller = format!("100.64.{}.{}:4000", number / 250, number % 250 + 1);
            let flow = FlowId {
                caller: caller.parse().unwrap(),
                service: crate::fixtures::SERVICE.parse().unwrap(),
            };
            self.callers.insert(flow, Caller::default());
            let start = ms(self.rng.u64(0..1_000));
            self.at(start, Event::Send(flow, 0, 0));
        }
    }

    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((time, number))) = self.queue.pop() {
            if time > end {
                self.queue.push(Reverse((time, number)));
                break;
            }
            self.now = time;
            let event = self.events.remove(&number).unwrap();
            self.handle(event);
        }
        self.now = end;
    }

    pub fn restart_entry(&mut self, number: usize) {
        self.entries[number] = self.new_entry();
    }

    /// Starts the agent anew beside its living backend server.
    pub fn restart_agent(&mut self, id: TargetId) {
        self.start_agent(id, true);
    }

    /// Every host loses power: nobody remembers anything but the callers.
    pub fn lose_power(&mut self) {
        let ids: Vec<TargetId> = self.servers.keys().copied().collect();
        for id in ids {
            self.servers.insert(id, HashSet::new());
            self.sequences.insert(id, 0);
            *self.starts.entry(id).or_default() += 1;
            self.start_agent(id, true);
        }
        for number in 0..self.entries.len() {
            self.restart_entry(number);
        }
    }

    /// Adds a backend server that has never held a flow.
    pub fn add_server(&mut self, id: TargetId) {
        self.servers.insert(id, HashSet::new());
        self.sequences.insert(id, 0);
        self.start_agent(id, true);
        self.publish();
    }

    /// Flows with a request that was not answered.
    pub fn waiting(&self) -> usize {
        let callers = self.callers.values();
        callers
            .filter(|caller| caller.answered < caller.sent)
            .count()
    }

    pub fn open_count(&self) -> usize {
        self.callers
            .values()
            .filter(|caller| caller.is_open)
            .count()
    }

    fn new_entry(&self) -> Entry {
        let settings = entry::Settings::default();
        // Answers go to the entry that the flow's caller is sent to now.
        let address = crate::fixtures::entry_address();
        let mut entry = Entry::new(settings, address, 1, 1, self.now);
        entry.handle(
            self.now,
            entry::Event::Routes(self.routes()),
            &mut Vec::new(),
        );
        entry
    }

    fn start_agent(&mut self, id: TargetId, may_hold_prior_flows: bool) {
        let settings = agent::Settings::default();
        self.agents.insert(
            id,
            Agent::new(settings, hop(id), may_hold_prior_flows, self.now),
        );
        let wait = if may_hold_prior_flows {
            ms(self.rng.u64(0..1_000))
        } else {
            Duration::ZERO
        };
        self.at(wait, Event::Announce(id));
        self.introduce();
    }

    /// Tells every agent of all others.
    fn introduce(&mut self) {
        let ids: Vec<TargetId> = self.servers.keys().copied().collect();
        for id in &ids {
            let others = ids.iter().filter(|other| *other != id);
            let others = agent::Peers {
                hops: Arc::new(others.map(|other| hop(*other)).collect()),
                has_silent: false,
            };
            if let Some(agent) = self.agents.get_mut(id) {
                agent.handle(self.now, agent::Event::Peers(others), &mut Vec::new());
            }
        }
    }

    fn routes(&self) -> Arc<Routes> {
        let ids = self.servers.keys();
        let zone = |id: u64| if id.is_multiple_of(2) { 1 } else { 2 };
        routes(
            ids.map(|id| target(*id, zone(*id), target::State::Ready))
                .collect(),
        )
    }

    fn publish(&mut self) {
        let routes = self.routes();
        for number in 0..self.entries.len() {
            let mut actions = Vec::new();
            let event = entry::Event::Routes(Arc::clone(&routes));
            self.entries[number].handle(self.now, event, &mut actions);
            self.entry_actions(actions);
        }
    }

    fn at(&mut self, wait: Duration, event: Event) {
        self.count += 1;
        self.events.insert(self.count, event);
        self.queue.push(Reverse((self.now + wait, self.count)));
    }

    /// The entry that the fabric sends a flow's packets to.
    fn entry_of(&mut self, flow: &FlowId) -> usize {
        let count = u64::try_from(self.entries.len()).unwrap();
        usize::try_from(flow.caller_key() % count).unwrap()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send(flow, tries, phase) if phase == self.callers[&flow].phase => {
                self.send(flow, tries);
            }
            Event::Send(..) => {}
            Event::AtEntry(number, segment) => {
                let packet = encode(&segment);
                let event = entry::Event::Packet { segment, packet };
                self.tell_entry(number, event);
            }
            Event::EntryFrame(number, transit) => match transit {
                Transit::Held(held) => self.tell_entry(number, entry::Event::Held(held)),
                Transit::Absent(absent) => self.tell_entry(number, entry::Event::Absent(absent)),
                Transit::Unheld(unheld) => self.tell_entry(number, entry::Event::Unheld(unheld)),
                Transit::Busy(busy) => self.tell_entry(number, entry::Event::Busy(busy)),
                Transit::Open(_) | Transit::Carry(_) | Transit::Search(_) | Transit::Seek(_) => {}
            },
            Event::AtAgent(id, transit) => {
                let event = match transit {
                    Transit::Open(open) => {
                        let segment = decode(&open.packet);
                        agent::Event::Open { open, segment }
                    }
                    Transit::Carry(carry) => {
                        let segment = decode(&carry.packet);
                        agent::Event::Carry { carry, segment }
                    }
                    Transit::Search(search) => {
                        let segment = decode(&search.packet);
                        agent::Event::Search { search, segment }
                    }
                    Transit::Seek(seek) => {
                        let segment = decode(&seek.packet);
                        agent::Event::Seek { seek, segment }
                    }
                    Transit::Absent(absent) => agent::Event::Denied(absent),
                    _ => return,
                };
                self.tell_agent(id, event);
            }
            Event::AtServer(id, segment) => self.at_server(id, segment),
            Event::FromServer(id, segment) => {
                let packet = encode(&segment);
                self.tell_agent(id, agent::Event::Server { segment, packet });
            }
            Event::AtCaller(segment, is_ours) => self.at_caller(&segment, is_ours),
            Event::Announce(id) => {
                let sequence = self.sequences.get_mut(&id).unwrap();
                *sequence += 1;
                let start = self.starts.get(&id).copied().unwrap_or_default();
                let told = announcement(id, 1 + start, *sequence, State::Ready);
                self.tell_agent(id, agent::Event::Backend(told));
                self.at(Duration::from_secs(1), Event::Announce(id));
            }
            Event::Tick => {
                for number in 0..self.entries.len() {
                    self.tell_entry(number, entry::Event::Tick);
                }
                let ids: Vec<TargetId> = self.agents.keys().copied().collect();
                for id in ids {
                    self.tell_agent(id, agent::Event::Tick);
                }
                self.at(TICK, Event::Tick);
            }
        }
    }

    /// A caller sends its next request, or the last one again.
    fn send(&mut self, flow: FlowId, tries: u32) {
        let caller = self.callers.get_mut(&flow).unwrap();
        if tries == 0 && caller.is_open {
            caller.sent += 1;
        }
        let is_done = tries > 0 && caller.is_open && caller.answered == caller.sent;
        let kind = if caller.is_open {
            Kind::Data
        } else {
            Kind::Open
        };
        let (sent, phase, next) = (caller.sent, caller.phase, Duration::from_secs(1));
        let position = caller.position;
        if is_done {
            return self.at(
                next.saturating_sub(REPEAT * tries),
                Event::Send(flow, 0, phase),
            );
        }
        let segment = Segment {
            source: flow.caller,
            destination: flow.service,
            kind,
            is_returned: false,
            sequence: sent * 100,
            acknowledged: if kind == Kind::Open { tries } else { position },
            length: if kind == Kind::Data { 100 } else { 0 },
            mark: 0,
        };
        let entry = self.entry_of(&flow);
        self.at(WAY, Event::AtEntry(entry, segment));
        let wait = REPEAT * 2_u32.pow(tries.min(3));
        self.at(wait, Event::Send(flow, tries + 1, phase));
    }

    fn at_caller(&mut self, segment: &Segment, is_ours: bool) {
        let flow = segment.from_server();
        let caller = self.callers.get_mut(&flow).unwrap();
        match segment.kind {
            Kind::Accept if !caller.is_open => {
                caller.is_open = true;
                caller.position = segment.sequence;
                caller.phase += 1;
                let phase = caller.phase;
                self.at(Duration::ZERO, Event::Send(flow, 0, phase));
            }
            Kind::Reset if is_ours && caller.is_open => {
                if self.servers.values().any(|flows| flows.contains(&flow)) {
                    self.faults
                        .push(format!("{:?}: {flow:?} was reset while open", self.now));
                }
                // The caller opens it anew.
                caller.is_open = false;
                caller.phase += 1;
                let phase = caller.phase;
                self.at(Duration::ZERO, Event::Send(flow, 0, phase));
            }
            Kind::Accept => {}
            _ => caller.answered = caller.answered.max(segment.sequence / 100),
        }
    }

    fn at_server(&mut self, id: TargetId, segment: Segment) {
        let flow = segment.from_caller();
        let holds = self.servers[&id].contains(&flow);
        self.watch(id, &flow, holds, segment.kind);
        let answer = |kind, length| Segment {
            source: flow.service,
            destination: flow.caller,
            kind,
            length,
            ..segment
        };
        match segment.kind {
            Kind::Open => {
                self.servers.get_mut(&id).unwrap().insert(flow);
                let accept = Segment {
                    sequence: position(id),
                    ..answer(Kind::Accept, 0)
                };
                self.at(ms(1), Event::FromServer(id, accept));
            }
            _ if holds && segment.acknowledged != position(id) => {
                self.faults.push(format!(
                    "{flow:?} is reset by a server that it opened at too"
                ));
            }
            _ if holds => self.at(ms(15), Event::FromServer(id, answer(Kind::Data, 50))),
            _ => {
                let returned = Segment {
                    is_returned: true,
                    ..segment
                };
                self.at(ms(1), Event::FromServer(id, returned));
            }
        }
    }

    /// Checks that no flow has three packets elsewhere and none at its own
    /// server for two seconds.
    fn watch(&mut self, id: TargetId, flow: &FlowId, holds: bool, kind: Kind) {
        let is_open = self.callers[flow].is_open;
        let is_held = self
            .servers
            .iter()
            .any(|(other, flows)| *other != id && flows.contains(flow));
        if holds || kind == Kind::Open || !is_open || !is_held {
            self.astray.remove(flow);
            return;
        }
        let now = self.now;
        let (count, since) = self.astray.entry(*flow).or_insert((0, now));
        *count += 1;
        if *count >= 3 && now >= *since + Duration::from_secs(2) {
            self.faults
                .push(format!("{now:?}: {flow:?} went to others only"));
        }
    }

    fn tell_entry(&mut self, number: usize, event: entry::Event) {
        let mut actions = Vec::new();
        self.entries[number].handle(self.now, event, &mut actions);
        self.entry_actions(actions);
    }

    fn entry_actions(&mut self, actions: Vec<entry::Action>) {
        for action in actions {
            match action {
                entry::Action::Send { to, transit } => self.frame(to, transit),
                entry::Action::Reset { flow, .. } => self.reset(flow),
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
                agent::Action::Deliver(packet) => {
                    self.at(ms(0), Event::AtServer(id, decode(&packet)));
                }
                agent::Action::ToCaller { packet, .. } => {
                    self.at(WAY, Event::AtCaller(decode(&packet), false));
                }
                agent::Action::Send { to, transit } => self.frame(to, transit),
                agent::Action::Reset { flow, .. } => self.reset(flow),
                _ => {}
            }
        }
    }

    fn reset(&mut self, flow: FlowId) {
        let segment = Segment {
            source: flow.service,
            destination: flow.caller,
            kind: Kind::Reset,
            is_returned: false,
            sequence: 0,
            acknowledged: 0,
            length: 0,
            mark: 0,
        };
        self.at(WAY, Event::AtCaller(segment, true));
    }

    fn frame(&mut self, to: SocketAddr, transit: Transit) {
        let id = self
            .agents
            .keys()
            .copied()
            .find(|id| hop(*id).address == to);
        match (id, &transit) {
            (Some(id), _) => self.at(WAY, Event::AtAgent(id, transit)),
            (None, Transit::Held(held)) => {
                let entry = self.entry_of(&held.flow);
                self.at(WAY, Event::EntryFrame(entry, transit));
            }
            (None, Transit::Absent(absent)) => {
                let entry = self.entry_of(&absent.flow);
                self.at(WAY, Event::EntryFrame(entry, transit));
            }
            (None, Transit::Unheld(unheld)) => {
                let entry = self.entry_of(&unheld.flow);
                self.at(WAY, Event::EntryFrame(entry, transit));
            }
            (None, _) => {}
        }
    }
}

/// Position at which a backend server accepts flows.
fn position(id: TargetId) -> u32 {
    u32::try_from(id).unwrap() * 10_000_000
}
