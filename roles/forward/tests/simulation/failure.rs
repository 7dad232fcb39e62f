//! Failures of simulated hosts and backend servers.
use std::collections::HashSet;

use wire::TargetId;

use forward::agent;

use super::Event;
use super::Simulation;
use crate::fixtures::ms;

impl Simulation {
    /// Simulates a power loss of all hosts: only the callers keep their state.
    pub fn lose_power(&mut self) {
        for id in self.ids() {
            self.restart_server(id);
            self.start_agent(id, true);
        }
        for number in 0..self.entries.len() {
            self.restart_entry(number);
        }
    }

    /// Simulates a power loss of all hosts that lasts for a time: entries are back
    /// then, agents soon after, and servers announce themselves within 500 ms.
    pub fn lose_power_for(&mut self, millis: u64) {
        for id in self.ids() {
            self.servers.insert(id, HashSet::new());
            self.unstarted.insert(id);
            // Its announcements end with it.
            *self.starts.entry(id).or_default() += 1;
            self.stop_agent(id, millis + 30 + self.queue.added() % 50);
            let wait = ms(millis + self.rng.u64(0..100));
            self.schedule(wait, Event::StartServer(id));
        }
        for number in 0..self.entries.len() {
            let wait = millis + self.rng.u64(0..100);
            self.stop_entry(number, wait);
        }
    }

    /// Restarts a backend server, which loses its flows.
    pub fn restart_server(&mut self, id: TargetId) {
        self.servers.insert(id, HashSet::new());
        self.unstarted.remove(&id);
        self.sequences.insert(id, 0);
        self.unannounced.insert(id);
        *self.starts.entry(id).or_default() += 1;
        self.started_at.insert(id, self.now);
        self.notify_agent(id, agent::Event::ServerListening);
        let start = self.starts[&id];
        let wait = ms(self.rng.u64(0..400));
        self.schedule(wait, Event::Announce(id, start));
    }

    pub(super) fn ids(&self) -> Vec<TargetId> {
        let mut ids: Vec<TargetId> = self.servers.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Adds a backend server that has never held a flow.
    pub fn add_server(&mut self, id: TargetId) {
        self.servers.insert(id, HashSet::new());
        self.sequences.insert(id, 0);
        self.start_agent(id, true);
        self.publish_routes();
    }
}
