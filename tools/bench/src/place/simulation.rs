//! Discrete event simulation of callers, entries, agents and backend servers.
mod request;

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use route::Order;
use route::hunt;
use route::hunt::Step;
use wire::Hop;
use wire::Relay;
use wire::Target;
use wire::target::State;

use super::outcome::Outcome;
use super::outcome::Recorder;
use super::policy::Place;
use super::policy::Policy;
use super::server::Server;
use super::trial::DELAY;
use super::trial::FAULT_START;
use super::trial::Fault;
use super::trial::MEAN_FLOW_LIFETIME;
use super::trial::RUN_END;
use super::trial::Trial;
use super::trial::WARM_UP_END;
use super::trial::Work;
use request::Request;

/// Number of entries, each with its own round robin.
const ENTRIES: usize = 3;
/// Time between the load reports of a target.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Sigma of the log-normal distribution of request rates.
const RATE_SIGMA: f64 = 1.25;

/// Time at the start over which the flows of [`Work::Long`] open.
const RAMP_UP_TIME: Duration = Duration::from_secs(20);

/// Event of the simulation. Flows, requests and targets are identified by their
/// index.
#[derive(Debug)]
enum Event {
    /// A caller opens a flow.
    Open(usize),
    /// An open reaches the next agent on its path.
    Visit { flow: usize, relay: Box<Relay> },
    /// A long-lived flow ends, and its caller opens another.
    Close(usize),
    /// The next request of a flow reaches the holder.
    Request { flow: usize, generation: u32 },
    /// A forwarded request reaches another agent.
    Forward {
        request: usize,
        target: usize,
        /// Whether the agent offers the request to its gate even if no slot is
        /// free.
        must_queue: bool,
    },
    /// The holder learns that the other agent did not run the request, and the
    /// wait expected there.
    NotRun { request: usize, wait: Duration },
    /// A backend server has answered.
    Done { request: usize, target: usize },
    /// The next deadline of a target's gate has come.
    GateTimer(usize),
    /// Agents report load and weight, and entries rebuild the order of targets.
    Report,
    /// The agent of a target restarts.
    Restart(usize),
}

/// Time of an event, and a sequence number that orders events at the same time
/// as they were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    time: Duration,
    sequence: u64,
}

/// Flow of a caller. When one of [`Work::Long`] ends, its caller's next flow
/// takes its place with the next generation.
#[derive(Debug)]
struct Flow {
    /// Hash key that ranks the targets.
    key: u64,
    /// Index of the target that holds it.
    holder: usize,
    /// Mean request rate per second.
    rate: f64,
    /// Number of flows that ended in this place; requests of earlier
    /// generations are ignored.
    generation: u32,
    /// Whether a request has arrived in this generation.
    has_requested: bool,
}

/// One run of a trial under a policy.
pub struct Simulation {
    trial: Trial,
    policy: Policy,
    now: Duration,
    sequence: u64,
    /// Pending events.
    events: BTreeMap<Due, Event>,
    /// Time of the pending [`Event::GateTimer`] of each target.
    gate_timers: Vec<Option<Duration>>,
    servers: Vec<Server>,
    flows: Vec<Flow>,
    requests: Vec<Request>,
    /// Weighted order of the targets at the entries, from the reported weights.
    order: Order,
    /// Round-robin counter of each entry.
    next_targets: [usize; ENTRIES],
    random: Rng,
    recorder: Recorder,
    /// Number of weight changes of all targets after the warm-up.
    weight_changes: u64,
}

impl Simulation {
    /// Runs a trial under a policy and returns its figures.
    pub fn run(trial: &Trial, policy: Policy, seed: u64) -> Outcome {
        let mut simulation = Self::new(trial, policy, seed);
        simulation.start();
        while let Some((due, event)) = simulation.events.pop_first() {
            if due.time >= RUN_END {
                break;
            }
            simulation.now = due.time;
            simulation.on_event(event);
        }
        let measured = RUN_END.saturating_sub(WARM_UP_END);
        let servers = simulation.servers.iter();
        let utilisation: Vec<f64> = servers.map(|server| server.utilisation(measured)).collect();
        simulation
            .recorder
            .finish(&utilisation, simulation.weight_changes)
    }

    fn new(trial: &Trial, policy: Policy, seed: u64) -> Self {
        let server = |index| Server::new(index, trial.fleet, trial.fault, seed);
        let servers: Vec<Server> = (0..trial.fleet.targets).map(server).collect();
        Self {
            trial: trial.clone(),
            policy,
            now: Duration::ZERO,
            sequence: 0,
            events: BTreeMap::new(),
            gate_timers: vec![None; servers.len()],
            order: order(&servers),
            servers,
            flows: Vec::new(),
            requests: Vec::new(),
            next_targets: [0; ENTRIES],
            random: Rng::with_seed(seed),
            recorder: Recorder::new(),
            weight_changes: 0,
        }
    }

    fn start(&mut self) {
        self.schedule(REPORT_INTERVAL, Event::Report);
        if self.trial.fault == Fault::Cold {
            self.schedule(
                FAULT_START,
                Event::Restart(self.trial.fleet.faulty_target()),
            );
        }
        match self.trial.work {
            Work::Single { .. } => self.open_single(),
            Work::Long { flows } => self.open_long(flows),
        }
    }

    /// Returns the load offered by all callers, in requests per second.
    fn offered(&self) -> f64 {
        self.servers.iter().map(Server::capacity).sum::<f64>() * self.trial.load
    }

    /// Creates a flow of one request and schedules its open.
    fn open_single(&mut self) {
        let flow = self.flows.len();
        let flow_key = self.random.u64(..);
        self.flows.push(Flow {
            key: flow_key,
            holder: 0,
            rate: 0.0,
            generation: 0,
            has_requested: false,
        });
        let pause = self.exponential(1.0 / self.offered());
        self.schedule(pause, Event::Open(flow));
    }

    /// Creates the long-lived flows and schedules their opens.
    fn open_long(&mut self, flows: usize) {
        let weights: Vec<f64> = (0..flows).map(|_| self.log_normal()).collect();
        let sum: f64 = weights.iter().sum();
        let offered = self.offered();
        for weight in weights {
            let flow = self.flows.len();
            let key = self.random.u64(..);
            self.flows.push(Flow {
                key,
                holder: 0,
                rate: weight / sum * offered,
                generation: 0,
                has_requested: false,
            });
            let pause = RAMP_UP_TIME.mul_f64(self.random.f64());
            self.schedule(pause, Event::Open(flow));
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Open(flow) => self.open(flow),
            Event::Visit { flow, relay } => self.visit(flow, *relay),
            Event::Close(flow) => self.close(flow),
            Event::Request { flow, generation } => self.request(flow, generation),
            Event::Forward {
                request,
                target,
                must_queue,
            } => self.receive_forwarded(request, target, must_queue),
            Event::NotRun { request, wait } => self.not_run(request, wait),
            Event::Done { request, target } => self.done(request, target),
            Event::GateTimer(target) => self.expire_queued(target),
            Event::Report => self.report(),
            Event::Restart(target) => self.servers[target].restart(self.now),
        }
    }

    /// Chooses the holder of a new flow by the policy.
    fn open(&mut self, flow: usize) {
        if matches!(self.trial.work, Work::Single { .. }) {
            self.open_single();
        }
        match self.policy.place {
            Place::Hash => {
                let home = self.path(flow, 1)[0];
                self.assign(flow, home);
            }
            Place::RoundRobin => {
                let entry = self.random.usize(..ENTRIES);
                self.next_targets[entry] += 1;
                self.assign(flow, self.next_targets[entry] % self.servers.len());
            }
            Place::BestOfTwo => {
                let two = self.random.choose_multiple(0..self.servers.len(), 2);
                let load = |&target: &usize| self.servers[target].reported;
                let best = two.into_iter().min_by(|a, b| load(a).total_cmp(&load(b)));
                self.assign(flow, best.unwrap_or(0));
            }
            Place::Hunt { width, .. } => {
                let path = self.path(flow, width);
                self.visit(flow, new_relay(&path));
            }
        }
    }

    /// Returns the first `width` targets for a flow, in the order of its key.
    fn path(&self, flow: usize, width: usize) -> Vec<usize> {
        let open = self.order.top_open(self.flows[flow].key, width);
        open.map(index_of).collect()
    }

    /// Lets the agent at the relay's position accept, forward or refuse an open.
    fn visit(&mut self, flow: usize, relay: Relay) {
        let Place::Hunt { signal, .. } = self.policy.place else {
            return;
        };
        let target = index(relay.path[usize::from(relay.position)].target);
        let bid = self.servers[target].bid(self.now, signal);
        match hunt::step(relay, bid) {
            Step::Accept => self.assign(flow, target),
            Step::Refuse => self.recorder.refused += 1,
            Step::Forward(relay) => {
                self.recorder.messages += u64::from(self.now >= WARM_UP_END);
                let relay = Box::new(relay);
                self.schedule(DELAY, Event::Visit { flow, relay });
            }
        }
    }

    /// Makes a target the holder of a flow, and schedules the flow's first
    /// request and its end.
    fn assign(&mut self, flow: usize, holder: usize) {
        self.flows[flow].holder = holder;
        self.servers[holder].record_open();
        match self.trial.work {
            Work::Single { gap } if gap.is_zero() => self.request(flow, 0),
            Work::Single { gap } => self.schedule(
                gap,
                Event::Request {
                    flow,
                    generation: 0,
                },
            ),
            Work::Long { .. } => {
                let lifetime = self.exponential(MEAN_FLOW_LIFETIME.as_secs_f64());
                self.schedule(lifetime, Event::Close(flow));
                self.schedule_request(flow);
            }
        }
    }

    /// Ends a long-lived flow and opens its successor.
    fn close(&mut self, flow: usize) {
        let holder = self.flows[flow].holder;
        self.servers[holder].held -= 1;
        self.flows[flow].generation += 1;
        self.flows[flow].has_requested = false;
        self.flows[flow].key = self.random.u64(..);
        self.open(flow);
    }

    fn schedule_request(&mut self, flow: usize) {
        let pause = self.exponential(1.0 / self.flows[flow].rate);
        let generation = self.flows[flow].generation;
        self.schedule(pause, Event::Request { flow, generation });
    }

    /// Updates the reports of all targets and rebuilds the order.
    fn report(&mut self) {
        for server in &mut self.servers {
            server.update_report();
            let weight = server.gate.weight();
            self.weight_changes += u64::from(weight != server.weight && self.now >= WARM_UP_END);
            server.weight = weight;
        }
        self.order = order(&self.servers);
        self.schedule(REPORT_INTERVAL, Event::Report);
    }

    /// Schedules an event `pause` from now.
    fn schedule(&mut self, pause: Duration, event: Event) {
        self.sequence += 1;
        let due = Due {
            time: self.now + pause,
            sequence: self.sequence,
        };
        self.events.insert(due, event);
    }

    /// Draws a time from an exponential distribution with a mean in seconds.
    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform = 1.0 - self.random.f64();
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    /// Draws a relative request rate from a log-normal distribution, by the
    /// Box-Muller transform.
    fn log_normal(&mut self) -> f64 {
        let (radius, angle) = (1.0 - self.random.f64(), self.random.f64());
        let normal = (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos();
        (normal * RATE_SIGMA).exp()
    }
}

/// Builds the weighted order of the targets from their reported weights.
fn order(servers: &[Server]) -> Order {
    let targets: Vec<Target> = (0..)
        .zip(servers)
        .map(|(id, server)| target(id, server.weight))
        .collect();
    Order::new(&targets)
}

fn target(id: u64, weight: u32) -> Target {
    Target {
        id,
        service: ADDRESS,
        address: ADDRESS,
        control: ADDRESS,
        zone: 0,
        incarnation: 1,
        version: 1,
        weight,
        slots: 1,
        state: State::Ready,
    }
}

/// Placeholder for all addresses; the simulation identifies targets by index.
const ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

fn index(target: wire::TargetId) -> usize {
    usize::try_from(target).unwrap_or(usize::MAX)
}

fn index_of(target: &Target) -> usize {
    index(target.id)
}

/// Creates the frame of an open that the targets of `path` are asked to accept.
fn new_relay(path: &[usize]) -> Relay {
    let hop = |&target: &usize| Hop {
        target: target as u64,
        address: ADDRESS,
    };
    let path: Vec<Hop> = path.iter().map(hop).collect();
    Relay {
        caller: ADDRESS,
        service: ADDRESS,
        entry: ADDRESS,
        revision: 0,
        home: path[0],
        path,
        position: 0,
        bids: Vec::new(),
        is_settled: false,
        packet: bytes::Bytes::new(),
    }
}
