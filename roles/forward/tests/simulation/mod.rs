//! Simulates a deployment in memory: callers with long flows, entries, agents
//! and backend servers, under restarts and faults of the network.
#![allow(dead_code)]
pub mod count;
mod ends;
pub mod evacuation;
mod failure;
pub mod membership;
pub mod network;

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
use crate::fixtures::queue::Queue;
use crate::fixtures::queue::agent_event;
use crate::fixtures::queue::entry_event;
use crate::fixtures::routes;
use crate::fixtures::target;
use count::Count;
use membership::Membership;
use membership::Observer;
use network::Network;
use network::Place;

/// Delay of a datagram between two processes.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// Interval between two ticks of a process.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Mean interval at which a backend server announces itself, and the range of the
/// intervals relative to it.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(800);
const INTERVAL_SPREAD: f64 = 0.5;

/// Event at one of the simulated processes.
enum Event {
    PacketAtEntry(usize, Segment),
    FrameAtEntry(usize, Transit),
    FrameAtAgent(TargetId, Transit),
    PacketAtServer(TargetId, Segment),
    ServerPacket(TargetId, Segment),
    PacketAtCaller(Segment, bool),
    SendAtCaller(FlowId, u32, u32),
    /// A server announces itself, in the given incarnation.
    Announce(TargetId, u64),
    Tick,
    /// A process learns of, or loses sight of, an agent.
    Learn(Observer, TargetId),
    Miss(Observer, TargetId),
    /// A process learns which zones are evacuated.
    LearnZones(evacuation::Process, evacuation::Request),
    /// An entry receives the list of another one.
    Merge(usize, usize),
    StartAgent(TargetId),
    StartEntry(usize),
    StartServer(TargetId),
    Heal,
}

/// Caller with one flow.
#[derive(Default)]
struct Caller {
    /// Number of requests sent, and number of the last answered one.
    sent_requests: u32,
    answered_requests: u32,
    is_open: bool,
    /// Initial sequence number of the server that accepted the flow.
    server_position: u32,
    /// Incremented when the flow is opened or reset, which cancels pending
    /// retransmissions.
    generation: u32,
}

/// Simulated deployment.
pub struct Simulation {
    pub now: Duration,
    queue: Queue<Event>,
    rng: Rng,
    entries: Vec<Entry>,
    agents: HashMap<TargetId, Agent>,
    /// Flows that each backend server holds.
    servers: HashMap<TargetId, HashSet<FlowId>>,
    sequences: HashMap<TargetId, u64>,
    /// Number of restarts of each backend server.
    starts: HashMap<TargetId, u64>,
    started_at: HashMap<TargetId, Duration>,
    callers: HashMap<FlowId, Caller>,
    /// Number of a flow's packets that reached servers which do not hold it,
    /// since the last packet at its own server, and the time of the first of
    /// them.
    misdelivered: HashMap<FlowId, (u32, Duration)>,
    /// Descriptions of the faults found.
    pub faults: Vec<String>,
    /// Flows with packets that reached only servers which do not hold them.
    pub misdelivered_flows: HashSet<FlowId>,
    /// Times at which packets of a flow reached other servers than its own, since the
    /// last one at its own.
    strays: HashMap<FlowId, Vec<Duration>>,
    /// Datagrams so far, and resets of flows that their servers held.
    pub count: Count,
    pub network: Network,
    /// Zones, and which of them are evacuated.
    pub zones: evacuation::Zones,
    /// Agents of a version without batches.
    pub earlier_agents: HashSet<TargetId>,
    /// Which process knows which agents; `None` if all know all at once.
    membership: Option<Membership>,
    stopped_agents: HashSet<TargetId>,
    stopped_entries: HashSet<usize>,
    /// Backend servers that have not announced their restart to their agents, and the
    /// time at which the last one did, or an entry learned of the last agent.
    unannounced: HashSet<TargetId>,
    /// Backend servers that do not run, because their hosts are without power or have
    /// just got it back.
    unstarted: HashSet<TargetId>,
    pub last_known_at: Duration,
    /// Ports of callers that open a flow again.
    last_port: u16,
}

impl Simulation {
    pub fn new(entries: usize, servers: u64, seed: u64) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            queue: Queue::new(),
            rng: Rng::with_seed(seed),
            entries: Vec::new(),
            agents: HashMap::new(),
            servers: HashMap::new(),
            sequences: HashMap::new(),
            starts: HashMap::new(),
            started_at: HashMap::new(),
            callers: HashMap::new(),
            misdelivered: HashMap::new(),
            faults: Vec::new(),
            misdelivered_flows: HashSet::new(),
            strays: HashMap::new(),
            count: Count::default(),
            zones: evacuation::Zones::default(),
            network: Network::default(),
            earlier_agents: HashSet::new(),
            membership: None,
            stopped_agents: HashSet::new(),
            stopped_entries: HashSet::new(),
            unannounced: HashSet::new(),
            unstarted: HashSet::new(),
            last_known_at: Duration::ZERO,
            last_port: 4_000,
        };
        for id in 1..=servers {
            simulation.servers.insert(id, HashSet::new());
            simulation.sequences.insert(id, 10);
            simulation.start_agent(id, false);
        }
        for _ in 0..entries {
            let entry = simulation.new_entry(simulation.entries.len());
            simulation.entries.push(entry);
        }
        simulation.schedule(Duration::ZERO, Event::Tick);
        simulation
    }

    /// Opens flows that each send a request a second.
    pub fn open_flows(&mut self, count: u16) {
        for number in 0..count {
            let caller = format!("100.64.{}.{}:4000", number / 250, number % 250 + 1);
            let flow = FlowId {
                caller: caller.parse().unwrap(),
                service: crate::fixtures::CALLED_ADDRESS.parse().unwrap(),
            };
            self.callers.insert(flow, Caller::default());
            let start = ms(self.rng.u64(0..1_000));
            self.schedule(start, Event::SendAtCaller(flow, 0, 0));
        }
    }

    pub fn run_until(&mut self, end: Duration) {
        while let Some((time, event)) = self.queue.pop_until(end) {
            self.now = time;
            self.handle(event);
        }
        self.now = end;
    }

    pub fn restart_entry(&mut self, number: usize) {
        self.entries[number] = self.new_entry(number);
        self.stopped_entries.remove(&number);
        self.discover(Observer::Entry(number));
        self.forget_zones(evacuation::Process::Entry(number));
    }

    /// Restarts an agent beside its running backend server.
    pub fn restart_agent(&mut self, id: TargetId) {
        self.start_agent(id, true);
        self.forget_zones(evacuation::Process::Agent(id));
    }

    fn new_entry(&self, number: usize) -> Entry {
        let settings = entry::Settings::default();
        let mut entry = Entry::new(settings, address_of_entry(number), 1, 1, self.now);
        let routes = match &self.membership {
            None => self.routes(),
            Some(_) => crate::fixtures::routes_until_complete(Vec::new()),
        };
        entry.handle(self.now, entry::Event::Routes(routes), &mut Vec::new());
        entry
    }

    fn start_agent(&mut self, id: TargetId, may_hold_prior_flows: bool) {
        let settings = agent::Settings::default();
        self.agents.insert(
            id,
            Agent::new(settings, hop(id), may_hold_prior_flows, self.now),
        );
        self.stopped_agents.remove(&id);
        if self.unstarted.contains(&id) {
            self.notify_agent(id, agent::Event::ServerAbsent);
        }
        // A server announces itself whether its agent runs or not.
        if !may_hold_prior_flows || !self.starts.contains_key(&id) {
            let wait = if may_hold_prior_flows {
                ms(self.rng.u64(0..1_000))
            } else {
                Duration::ZERO
            };
            let start = *self.starts.entry(id).or_default();
            self.schedule(wait, Event::Announce(id, start));
        }
        if self.membership.is_some() {
            return self.discover(Observer::Agent(id));
        }
        self.update_peers();
    }

    /// Sends every agent the list of all others.
    fn update_peers(&mut self) {
        let ids = self.ids();
        for id in &ids {
            let others = ids.iter().filter(|other| *other != id);
            let others = agent::Peers {
                hops: Arc::new(others.map(|other| hop(*other)).collect()),
                has_down_agent: false,
            };
            if let Some(agent) = self.agents.get_mut(id) {
                agent.handle(self.now, agent::Event::Peers(others), &mut Vec::new());
            }
        }
    }

    fn routes(&self) -> Arc<Routes> {
        let ids = self.servers.keys();
        routes(
            ids.map(|id| target(*id, self.zones.of(*id), target::State::Ready))
                .collect(),
        )
    }

    fn publish_routes(&mut self) {
        let routes = self.routes();
        for number in 0..self.entries.len() {
            let mut actions = Vec::new();
            let event = entry::Event::Routes(Arc::clone(&routes));
            self.entries[number].handle(self.now, event, &mut actions);
            self.run_entry_actions(number, actions);
        }
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.queue.add(self.now + wait, event);
    }

    /// Returns the entry that the fabric sends a flow's packets to.
    fn entry_of(&mut self, flow: &FlowId) -> usize {
        let count = u64::try_from(self.entries.len()).unwrap();
        // All callers may use the same port, so the low bits alone do not tell them apart.
        let key = flow.caller_key();
        usize::try_from((key ^ key >> 16) % count).unwrap()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SendAtCaller(flow, attempts, generation)
                if self
                    .callers
                    .get(&flow)
                    .is_some_and(|caller| caller.generation == generation) =>
            {
                self.send(flow, attempts);
            }
            Event::SendAtCaller(..) => {}
            Event::PacketAtEntry(number, _) | Event::FrameAtEntry(number, _)
                if self.stopped_entries.contains(&number) => {}
            Event::FrameAtAgent(id, _) | Event::ServerPacket(id, _)
                if self.stopped_agents.contains(&id) => {}
            Event::PacketAtEntry(number, segment) => {
                let packet = encode(&segment);
                let event = entry::Event::Packet { segment, packet };
                self.notify_entry(number, event);
            }
            Event::FrameAtEntry(number, transit) => {
                if let Some(event) = entry_event(transit) {
                    self.notify_entry(number, event);
                }
            }
            Event::FrameAtAgent(
                id,
                Transit::SearchBatch(_)
                | Transit::LookupBatch(_)
                | Transit::Answer(_)
                | Transit::Probes(_),
            ) if self.earlier_agents.contains(&id) => {}
            Event::FrameAtAgent(id, transit) => {
                if let Some(event) = agent_event(transit) {
                    self.notify_agent(id, event);
                }
            }
            Event::PacketAtServer(id, segment) => self.receive_at_server(id, segment),
            Event::ServerPacket(id, segment) => {
                let packet = encode(&segment);
                self.notify_agent(id, agent::Event::ServerPacket { segment, packet });
            }
            Event::PacketAtCaller(segment, is_ours) => self.receive_at_caller(&segment, is_ours),
            Event::Announce(id, start) => self.announce(id, start),
            Event::Learn(observer, id) => self.learn(observer, id),
            Event::Miss(observer, id) => self.miss(observer, id),
            Event::Merge(to, from) => self.merge(to, from),
            Event::StartAgent(id) => self.start_agent(id, true),
            Event::StartEntry(number) => self.restart_entry(number),
            Event::StartServer(id) => self.restart_server(id),
            Event::Heal => self.heal(),
            Event::LearnZones(process, request) => self.learn_zones(process, &request),
            Event::Tick => {
                for number in 0..self.entries.len() {
                    self.notify_entry(number, entry::Event::Tick);
                }
                for id in self.ids() {
                    self.notify_agent(id, agent::Event::Tick);
                }
                self.schedule(TICK_INTERVAL, Event::Tick);
            }
        }
    }

    fn announce(&mut self, id: TargetId, start: u64) {
        if self.starts.get(&id) != Some(&start) || !self.servers.contains_key(&id) {
            return;
        }
        let sequence = self.sequences.get_mut(&id).unwrap();
        *sequence += 1;
        let started_at = self.started_at.get(&id).copied().unwrap_or_default();
        let announced = agent::Announcement {
            age: Some(self.now.saturating_sub(started_at)),
            ..announcement(id, 1 + start, *sequence, State::Ready)
        };
        if self.stopped_agents.contains(&id) {
            // A server repeats a call that fails.
            return self.schedule(ms(100), Event::Announce(id, start));
        }
        if !self.stopped_agents.contains(&id) {
            self.notify_agent(id, agent::Event::Announcement(announced));
            if self.unannounced.remove(&id) {
                self.last_known_at = self.now;
            }
        }
        let interval =
            ANNOUNCEMENT_INTERVAL.mul_f64(1.0 + (self.rng.f64() - 0.5) * INTERVAL_SPREAD);
        self.schedule(interval, Event::Announce(id, start));
    }

    fn notify_entry(&mut self, number: usize, event: entry::Event) {
        if self.stopped_entries.contains(&number) {
            return;
        }
        let mut actions = Vec::new();
        self.entries[number].handle(self.now, event, &mut actions);
        self.run_entry_actions(number, actions);
    }

    fn run_entry_actions(&mut self, number: usize, actions: Vec<entry::Action>) {
        for action in actions {
            match action {
                entry::Action::Send { to, transit } => {
                    self.send_frame(Place::Entry(number), to, transit);
                }
                entry::Action::Reset { flow, .. } => self.send_reset(flow),
                _ => {}
            }
        }
    }

    fn notify_agent(&mut self, id: TargetId, event: agent::Event) {
        if self.stopped_agents.contains(&id) {
            return;
        }
        let mut actions = Vec::new();
        let agent = self.agents.get_mut(&id).unwrap();
        agent.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                agent::Action::Deliver(packet) => {
                    self.schedule(ms(0), Event::PacketAtServer(id, decode(&packet)));
                }
                agent::Action::ToCaller { packet, .. } => {
                    self.schedule(NETWORK_DELAY, Event::PacketAtCaller(decode(&packet), false));
                }
                agent::Action::Probed { .. } => self.count.record_probe(self.now),
                agent::Action::Send { to, transit } => {
                    self.send_frame(Place::Agent(id), to, transit);
                }
                agent::Action::Reset { flow, .. } => self.send_reset(flow),
                _ => {}
            }
        }
    }

    fn send_reset(&mut self, flow: FlowId) {
        self.check_refusal(&flow);
        let segment = Segment {
            source: flow.service,
            destination: flow.caller,
            kind: Kind::Reset,
            is_returned: false,
            sequence: 0,
            acknowledged: 0,
            length: 0,
            echo: 0,
        };
        self.schedule(NETWORK_DELAY, Event::PacketAtCaller(segment, true));
    }

    fn send_frame(&mut self, from: Place, to: SocketAddr, transit: Transit) {
        self.count.record_frame(self.now, &transit);
        let Some(place) = place_of(to) else {
            return;
        };
        let Some(delay) = self.network.delay(from, place, &mut self.rng) else {
            return;
        };
        let event = match place {
            Place::Entry(number) => Event::FrameAtEntry(number, transit),
            Place::Agent(id) if self.agents.contains_key(&id) => Event::FrameAtAgent(id, transit),
            Place::Agent(_) => return,
        };
        self.schedule(NETWORK_DELAY + delay, event);
    }
}

/// Returns the address of an entry.
fn address_of_entry(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, u8::try_from(number).unwrap() + 1], 7000))
}

/// Returns the process at an address.
fn place_of(address: SocketAddr) -> Option<Place> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    match address.ip().octets() {
        [10, 1, 0, number] => Some(Place::Entry(usize::from(number) - 1)),
        [10, 2, 0, id] => Some(Place::Agent(TargetId::from(id))),
        _ => None,
    }
}
