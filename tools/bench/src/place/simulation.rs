//! The discrete event program: callers, entries, agents, backend servers.
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
use super::trial::FAULT_START;
use super::trial::Fault;
use super::trial::HOP_DELAY;
use super::trial::MEAN_FLOW_LIFETIME;
use super::trial::RUN_END;
use super::trial::Trial;
use super::trial::WARM_UP_END;
use super::trial::Work;
use request::Request;

const ENTRIES: usize = 3;
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const RATE_SIGMA: f64 = 1.25;

/// Time over which the long flows are opened at the start.
const RAMP_UP_TIME: Duration = Duration::from_secs(20);

#[derive(Debug)]
enum Event {
    /// A flow opens.
    Open(usize),
    /// An open reaches the next agent of its path.
    Visit { flow: usize, relay: Box<Relay> },
    /// A long flow ends, and its caller opens another.
    Close(usize),
    /// A flow's next request reaches the holder.
    Request { flow: usize, life: u32 },
    /// A passed request reaches another agent.
    Forward {
        request: usize,
        target: usize,
        must_queue: bool,
    },
    /// The other agent did not run it.
    NotRun { request: usize, wait: Duration },
    /// A backend server has answered.
    Done { request: usize, target: usize },
    /// A gate's deadline.
    GateTimer(usize),
    /// Agents report and entries rebuild their order.
    Report,
    /// The agent beside a target restarts.
    Restart(usize),
}

/// Events of the same time come in the sequence in which they were planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    time: Duration,
    sequence: u64,
}

#[derive(Debug)]
struct Flow {
    key: u64,
    holder: usize,
    rate: f64,
    generation: u32,
    /// Whether a request has come in this life.
    has_requested: bool,
}

/// One run.
pub struct Simulation {
    trial: Trial,
    policy: Policy,
    now: Duration,
    sequence: u64,
    events: BTreeMap<Due, Event>,
    gate_timers: Vec<Option<Duration>>,
    servers: Vec<Server>,
    flows: Vec<Flow>,
    requests: Vec<Request>,
    order: Order,
    next_targets: [usize; ENTRIES],
    random: Rng,
    recorder: Recorder,
    weight_changes: u64,
}

impl Simulation {
    /// Runs a trial under a policy.
    pub fn run(trial: &Trial, policy: Policy, seed: u64) -> Outcome {
        let mut world = Self::new(trial, policy, seed);
        world.start();
        while let Some((due, event)) = world.events.pop_first() {
            if due.time >= RUN_END {
                break;
            }
            world.now = due.time;
            world.process(event);
        }
        let measured = RUN_END.saturating_sub(WARM_UP_END);
        let servers = world.servers.iter();
        let utilisation: Vec<f64> = servers.map(|server| server.utilisation(measured)).collect();
        world.recorder.finish(&utilisation, world.weight_changes)
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

    /// Load that all callers together offer, in requests a second.
    fn offered(&self) -> f64 {
        self.servers.iter().map(Server::capacity).sum::<f64>() * self.trial.load
    }

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

    fn process(&mut self, event: Event) {
        match event {
            Event::Open(flow) => self.open(flow),
            Event::Visit { flow, relay } => self.visit(flow, *relay),
            Event::Close(flow) => self.close(flow),
            Event::Request { flow, life } => self.request(flow, life),
            Event::Forward {
                request,
                target,
                must_queue: settle,
            } => self.receive_forwarded(request, target, settle),
            Event::NotRun { request, wait } => self.not_run(request, wait),
            Event::Done { request, target } => self.done(request, target),
            Event::GateTimer(target) => self.expire_queued(target),
            Event::Report => self.report(),
            Event::Restart(target) => self.servers[target].restart(self.now),
        }
    }

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

    fn path(&self, flow: usize, width: usize) -> Vec<usize> {
        let open = self.order.open(self.flows[flow].key, width);
        open.map(index_of).collect()
    }

    fn visit(&mut self, flow: usize, relay: Relay) {
        let Place::Hunt { signal, .. } = self.policy.place else {
            return;
        };
        let target = index(relay.path[usize::from(relay.position)].target);
        let bid = self.servers[target].bid(self.now, signal);
        match hunt::step(relay, bid) {
            Step::Take => self.assign(flow, target),
            Step::Refuse => self.recorder.refused += 1,
            Step::Forward(relay) => {
                self.recorder.messages += u64::from(self.now >= WARM_UP_END);
                let relay = Box::new(relay);
                self.schedule(HOP_DELAY, Event::Visit { flow, relay });
            }
        }
    }

    fn assign(&mut self, flow: usize, holder: usize) {
        self.flows[flow].holder = holder;
        self.servers[holder].record_open();
        match self.trial.work {
            Work::Single { gap } if gap.is_zero() => self.request(flow, 0),
            Work::Single { gap } => self.schedule(gap, Event::Request { flow, life: 0 }),
            Work::Long { .. } => {
                let life = self.exponential(MEAN_FLOW_LIFETIME.as_secs_f64());
                self.schedule(life, Event::Close(flow));
                self.schedule_request(flow);
            }
        }
    }

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
        let life = self.flows[flow].generation;
        self.schedule(pause, Event::Request { flow, life });
    }

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

    fn schedule(&mut self, pause: Duration, event: Event) {
        self.sequence += 1;
        let due = Due {
            time: self.now + pause,
            sequence: self.sequence,
        };
        self.events.insert(due, event);
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform = 1.0 - self.random.f64();
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    fn log_normal(&mut self) -> f64 {
        let (radius, angle) = (1.0 - self.random.f64(), self.random.f64());
        let normal = (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos();
        (normal * RATE_SIGMA).exp()
    }
}

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

const ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

fn index(target: wire::TargetId) -> usize {
    usize::try_from(target).unwrap_or(usize::MAX)
}

fn index_of(target: &Target) -> usize {
    index(target.id)
}

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
        waits: Vec::new(),
        settle: false,
        packet: bytes::Bytes::new(),
    }
}
