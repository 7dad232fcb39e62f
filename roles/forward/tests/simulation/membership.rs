//! Which simulated process knows which agents, and when it learns of them.
//!
//! Stands in for the membership protocol: agents become known 10 to 500 ms after they
//! or the observer have started, an unreachable one is marked down after 4 to 6 s, and
//! an entry that starts receives the lists of the entries that it reaches.
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use forward::Routes;
use forward::agent;
use forward::entry;
use wire::TargetId;
use wire::target;

use super::Event;
use super::Simulation;
use super::network::Place;
use super::network::ZONES;
use crate::fixtures::hop;
use crate::fixtures::ms;
use crate::fixtures::routes;
use crate::fixtures::routes_until_complete;
use crate::fixtures::service_address;
use crate::fixtures::target;

/// Process that learns of agents.
pub type Observer = Place;

/// What each process knows about agents: whether they are marked down.
#[derive(Default)]
pub struct Membership {
    known: HashMap<Observer, BTreeMap<TargetId, bool>>,
    /// Whether an entry has received the list of another one.
    complete: HashMap<usize, bool>,
}

impl Simulation {
    /// Makes processes learn of agents with delays from now on.
    pub fn delay_membership(&mut self) {
        let all: BTreeMap<TargetId, bool> = self.ids().iter().map(|id| (*id, false)).collect();
        let mut membership = Membership::default();
        for number in 0..self.entries.len() {
            let observer = Observer::Entry(number);
            membership.known.insert(observer, all.clone());
            membership.complete.insert(number, true);
        }
        for id in self.ids() {
            membership.known.insert(Observer::Agent(id), all.clone());
        }
        self.membership = Some(membership);
    }

    /// Forgets what a process knows when it starts, and makes it and the others learn
    /// of each other.
    pub(super) fn discover(&mut self, observer: Observer) {
        let Some(membership) = &mut self.membership else {
            return;
        };
        membership.known.insert(observer, BTreeMap::new());
        if let Observer::Entry(number) = observer {
            membership.complete.insert(number, false);
            for other in 0..self.entries.len() {
                let wait = ms(self.rng.u64(20..400));
                self.schedule(wait, Event::Merge(number, other));
            }
        }
        for id in self.ids() {
            let wait = ms(self.rng.u64(10..500));
            self.schedule(wait, Event::Learn(observer, id));
        }
        let Observer::Agent(id) = observer else {
            return;
        };
        for other in self.observers() {
            let wait = ms(self.rng.u64(10..500));
            self.schedule(wait, Event::Learn(other, id));
        }
    }

    fn observers(&self) -> Vec<Observer> {
        let entries = (0..self.entries.len()).map(Observer::Entry);
        let agents = self.ids().into_iter().map(Observer::Agent);
        entries.chain(agents).collect()
    }

    fn reaches(&self, observer: Observer, id: TargetId) -> bool {
        !self.stopped_agents.contains(&id) && self.network.connects(observer, Place::Agent(id))
    }

    pub(super) fn learn(&mut self, observer: Observer, id: TargetId) {
        if self.reaches(observer, id) {
            self.set_known(observer, id, false);
        }
    }

    /// Marks an agent down that is still unreachable.
    pub(super) fn miss(&mut self, observer: Observer, id: TargetId) {
        let is_known = self
            .membership
            .as_ref()
            .and_then(|membership| membership.known.get(&observer))
            .is_some_and(|known| known.contains_key(&id));
        if is_known && !self.reaches(observer, id) {
            self.set_known(observer, id, true);
        }
    }

    /// An entry receives the list of another one.
    pub(super) fn merge(&mut self, to: usize, from: usize) {
        let (one, other) = (Observer::Entry(to), Observer::Entry(from));
        let is_stopped = |number| self.stopped_entries.contains(number);
        if to == from || is_stopped(&to) || is_stopped(&from) || !self.network.connects(one, other)
        {
            return;
        }
        let Some(membership) = &mut self.membership else {
            return;
        };
        membership.complete.insert(to, true);
        let list = membership.known.get(&other).cloned().unwrap_or_default();
        for (id, is_down) in list {
            let own = membership.known.entry(one).or_default();
            own.entry(id).or_insert(is_down);
        }
        self.publish(one);
    }

    fn set_known(&mut self, observer: Observer, id: TargetId, is_down: bool) {
        let Some(membership) = &mut self.membership else {
            return;
        };
        let known = membership.known.entry(observer).or_default();
        if known.insert(id, is_down) != Some(is_down) {
            if matches!(observer, Observer::Entry(_)) {
                self.last_known_at = self.now;
            }
            self.publish(observer);
        }
    }

    /// Makes all processes notice which agents are unreachable.
    pub(super) fn expect_misses(&mut self) {
        for observer in self.observers() {
            for id in self.ids() {
                if !self.reaches(observer, id) {
                    let wait = ms(self.rng.u64(4_000..6_000));
                    self.schedule(wait, Event::Miss(observer, id));
                }
            }
        }
    }

    /// Ends the faults of the network.
    pub(super) fn heal(&mut self) {
        self.network.cut_zones.clear();
        self.network.loss = 0.0;
        self.network.jitter = ms(0);
        for observer in self.observers() {
            for id in self.ids() {
                let wait = ms(self.rng.u64(10..1_000));
                self.schedule(wait, Event::Learn(observer, id));
            }
        }
    }

    /// Cuts a zone off for a time.
    pub fn cut_zone(&mut self, zone: u64, millis: u64) {
        self.network.cut_zones.insert(zone % ZONES);
        self.expect_misses();
        self.schedule(ms(millis), Event::Heal);
    }

    /// Loses and delays frames for a time.
    pub fn disturb(&mut self, loss: f64, jitter: u64, millis: u64) {
        self.network.loss = loss;
        self.network.jitter = ms(jitter);
        self.schedule(ms(millis), Event::Heal);
    }

    /// Stops an agent beside its running backend server for a time.
    pub fn stop_agent(&mut self, id: TargetId, millis: u64) {
        self.stopped_agents.insert(id);
        self.expect_misses();
        self.schedule(ms(millis), Event::StartAgent(id));
    }

    /// Stops an entry for a time.
    pub fn stop_entry(&mut self, number: usize, millis: u64) {
        self.stopped_entries.insert(number);
        self.schedule(ms(millis), Event::StartEntry(number));
    }

    /// Ends a backend server and its agent without a sign.
    pub fn lose_host(&mut self, id: TargetId) {
        if let Some(flows) = self.servers.get_mut(&id) {
            flows.clear();
        }
        *self.starts.entry(id).or_default() += 1;
        self.stopped_agents.insert(id);
        self.expect_misses();
    }

    /// Tells a process which agents it knows.
    fn publish(&mut self, observer: Observer) {
        let Some(membership) = &self.membership else {
            return;
        };
        let known = membership.known.get(&observer).cloned().unwrap_or_default();
        let has_down = known.values().any(|is_down| *is_down);
        let up = known.iter().filter(|(_, is_down)| !**is_down);
        let up: Vec<TargetId> = up.map(|(id, _)| *id).collect();
        match observer {
            Observer::Entry(number) => {
                let is_complete = membership.complete.get(&number) == Some(&true);
                let targets = up.iter().map(|id| target(*id, 1, target::State::Ready));
                let known = if is_complete {
                    routes(targets.collect())
                } else {
                    routes_until_complete(targets.collect())
                };
                let mut known = Arc::unwrap_or_clone(known);
                if has_down {
                    known.services_with_down_targets.insert(service_address());
                }
                let known: Arc<Routes> = Arc::new(known);
                self.notify_entry(number, entry::Event::Routes(known));
            }
            Observer::Agent(own) => {
                let others = up.iter().filter(|id| **id != own);
                let peers = agent::Peers {
                    hops: Arc::new(others.map(|id| hop(*id)).collect()),
                    has_down_agent: has_down,
                };
                self.notify_agent(own, agent::Event::Peers(peers));
            }
        }
    }
}
