//! Evacuated zones of a simulation: each process learns of a request at another time,
//! and opening packets are late and repeated.
#![allow(dead_code)]
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use forward::Routes;
use forward::agent;
use forward::entry;
use wire::FlowId;
use wire::TargetId;
use wire::ZoneId;
use wire::segment::Kind;

use super::Event;
use super::NETWORK_DELAY;
use super::Simulation;
use crate::fixtures::hop;
use crate::fixtures::ms;

/// Time after a request from which no opening packet may reach the zone.
const BOUND: Duration = Duration::from_secs(5);

/// Longest time until a process learns of a request, in milliseconds: that of an agent
/// whose messages were lost, in the tests of membership.
const MAX_LEARNING_MS: u64 = 3_500;

/// Longest time until a process that starts knows the evacuated zones, in milliseconds.
const MAX_START_MS: u64 = 2_000;

/// Process that learns of evacuated zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Process {
    Entry(usize),
    Agent(TargetId),
}

/// Evacuated zones as of one request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    number: u64,
    evacuated: BTreeSet<ZoneId>,
}

/// Zones of a simulation, and which of them are evacuated.
pub struct Zones {
    /// Number of zones, numbered from 1.
    pub count: u64,
    /// Whether opening packets are delayed and repeated.
    pub is_disordered: bool,
    request: Request,
    /// Time at which each evacuated zone was.
    since: BTreeMap<ZoneId, Duration>,
    /// Number of the last request that each process knows.
    known: HashMap<Process, u64>,
    started: HashMap<TargetId, Duration>,
    /// Number of opening packets that reached the servers of each zone.
    pub openings: BTreeMap<ZoneId, u32>,
    /// Descriptions of openings and refusals that evacuations do not allow.
    pub faults: Vec<String>,
}

impl Default for Zones {
    fn default() -> Self {
        Self {
            count: 2,
            is_disordered: false,
            request: Request::default(),
            since: BTreeMap::new(),
            known: HashMap::new(),
            started: HashMap::new(),
            openings: BTreeMap::new(),
            faults: Vec::new(),
        }
    }
}

impl Zones {
    /// Returns the zone of a backend server.
    pub fn of(&self, id: TargetId) -> ZoneId {
        1 + u16::try_from(id % self.count).unwrap()
    }

    /// Returns true if another zone than this one would be left without it.
    pub fn can_evacuate(&self, zone: ZoneId) -> bool {
        let others = (1..=u16::try_from(self.count).unwrap()).filter(|other| *other != zone);
        others
            .filter(|other| !self.since.contains_key(other))
            .count()
            > 0
    }
}

impl Simulation {
    /// Evacuates or restores a zone.
    pub fn set_evacuated(&mut self, zone: ZoneId, is_evacuated: bool) {
        let now = self.now;
        let request = &mut self.zones.request;
        request.number += 1;
        if is_evacuated {
            request.evacuated.insert(zone);
            self.zones.since.entry(zone).or_insert(now);
        } else {
            request.evacuated.remove(&zone);
            self.zones.since.remove(&zone);
        }
        let request = request.clone();
        let agents: Vec<TargetId> = self.agents.keys().copied().collect();
        let agents = agents.into_iter().map(Process::Agent);
        for process in agents.chain((0..self.entries.len()).map(Process::Entry)) {
            let wait = ms(self.rng.u64(0..MAX_LEARNING_MS));
            self.schedule(wait, Event::LearnZones(process, request.clone()));
        }
    }

    /// Opens flows from ports that no flow has used, within a second.
    pub fn open_more_flows(&mut self, port: u16, count: u16) {
        for number in 0..count {
            let caller = format!("100.65.{}.{}:{port}", number / 250, number % 250 + 1);
            let flow = FlowId {
                caller: caller.parse().unwrap(),
                service: crate::fixtures::CALLED_ADDRESS.parse().unwrap(),
            };
            self.callers.entry(flow).or_default();
            let start = ms(self.rng.u64(0..1_000));
            let generation = self.callers[&flow].generation;
            self.schedule(start, Event::SendAtCaller(flow, 0, generation));
        }
    }

    /// Callers give open flows up and open others from their ports.
    pub fn reuse_ports(&mut self, count: usize) {
        let mut open: Vec<FlowId> = self.callers.keys().copied().collect();
        open.retain(|flow| self.callers[flow].is_open);
        open.sort_unstable_by_key(|flow| flow.caller);
        self.rng.shuffle(&mut open);
        for flow in open.into_iter().take(count) {
            let caller = self.callers.get_mut(&flow).unwrap();
            caller.is_open = false;
            caller.sent_requests += 1;
            caller.generation += 1;
            let generation = caller.generation;
            self.schedule(Duration::ZERO, Event::SendAtCaller(flow, 0, generation));
        }
    }

    /// A process starts without knowledge of the zones, and asks for it.
    pub(super) fn forget_zones(&mut self, process: Process) {
        self.zones.known.remove(&process);
        if let Process::Agent(id) = process {
            self.zones.started.insert(id, self.now);
        }
        if self.zones.request.number > 0 {
            let wait = ms(self.rng.u64(0..MAX_START_MS));
            self.schedule(wait, Event::LearnZones(process, self.zones.request.clone()));
        }
    }

    /// A process learns of a request, unless it knows a later one.
    pub(super) fn learn_zones(&mut self, process: Process, request: &Request) {
        let known = self.zones.known.entry(process).or_default();
        if *known >= request.number {
            return;
        }
        *known = request.number;
        match process {
            Process::Entry(number) => {
                let routes = Routes {
                    evacuated_zones: request.evacuated.clone(),
                    ..(*self.routes()).clone()
                };
                self.notify_entry(number, entry::Event::Routes(Arc::new(routes)));
            }
            Process::Agent(id) => {
                let is_evacuated = |id: &TargetId| request.evacuated.contains(&self.zones.of(*id));
                let others = self.agents.keys().filter(|other| !is_evacuated(other));
                let others = Arc::new(others.map(|other| hop(*other)).collect());
                let evacuation = is_evacuated(&id).then_some(others);
                self.notify_agent(id, agent::Event::Evacuation(evacuation));
            }
        }
    }

    /// Returns the delays after which a caller's packet arrives: once, or late and
    /// several times.
    pub(super) fn delays(&mut self, kind: Kind) -> Vec<Duration> {
        if !self.zones.is_disordered || kind != Kind::Open {
            return vec![NETWORK_DELAY];
        }
        let mut delays = vec![NETWORK_DELAY];
        if self.rng.u8(0..4) == 0 {
            delays.push(ms(self.rng.u64(1..7_000)));
        }
        if self.rng.u8(0..8) == 0 {
            delays[0] = ms(self.rng.u64(1..400));
        }
        delays
    }

    /// Reports an opening packet that reaches an evacuated zone after the bound. A
    /// host is exempt for as long after its process started.
    pub(super) fn check_opening(&mut self, id: TargetId, flow: &FlowId) {
        let (zone, now) = (self.zones.of(id), self.now);
        *self.zones.openings.entry(zone).or_default() += 1;
        let since = self.zones.since.get(&zone).copied();
        let started = self.zones.started.get(&id).copied().unwrap_or_default();
        let is_late = |since: Duration| now >= since + BOUND;
        if since.is_some_and(is_late) && is_late(started) {
            let fault = format!("{now:?}: {flow:?} was opened at {id} in evacuated zone {zone}");
            self.zones.faults.push(fault);
        }
    }

    /// Reports a refusal of a flow that another zone could serve.
    pub(super) fn check_refusal(&mut self, flow: &FlowId) {
        if self.zones.request.number > 0 && !self.callers[flow].is_open {
            let fault = format!("{:?}: {flow:?} was refused", self.now);
            self.zones.faults.push(fault);
        }
    }
}
