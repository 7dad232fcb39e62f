//! Map from flows to values that expire after a fixed lifetime.
use std::collections::HashMap;
use std::time::Duration;

use wire::FlowId;

/// Maximum number of flows in one map.
const MAX_FLOWS: usize = 16 * 1024;

/// Map from flows to values that expire after a fixed lifetime.
#[derive(Debug)]
pub struct ExpiringMap<T> {
    lifetime: Duration,
    flows: HashMap<FlowId, Stored<T>>,
}

#[derive(Debug)]
struct Stored<T> {
    inserted_at: Duration,
    value: T,
}

impl<T> ExpiringMap<T> {
    /// Creates an empty map whose values expire after `lifetime`.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            flows: HashMap::new(),
        }
    }

    /// Inserts or replaces the value of a flow. A full map ignores new flows.
    pub fn insert(&mut self, now: Duration, flow: FlowId, value: T) {
        if self.flows.len() < MAX_FLOWS || self.flows.contains_key(&flow) {
            self.flows.insert(
                flow,
                Stored {
                    inserted_at: now,
                    value,
                },
            );
        }
    }

    /// Returns the value of a flow unless it has expired.
    pub fn get(&self, now: Duration, flow: &FlowId) -> Option<&T> {
        let stored = self.flows.get(flow)?;
        (now < stored.inserted_at + self.lifetime).then_some(&stored.value)
    }

    /// Returns the value of a flow for modification unless it has expired.
    pub fn get_mut(&mut self, now: Duration, flow: &FlowId) -> Option<&mut T> {
        let stored = self.flows.get_mut(flow)?;
        (now < stored.inserted_at + self.lifetime).then_some(&mut stored.value)
    }

    /// Removes a flow and returns its value.
    pub fn remove(&mut self, flow: &FlowId) -> Option<T> {
        self.flows.remove(flow).map(|stored| stored.value)
    }

    /// Removes all flows.
    pub fn clear(&mut self) {
        self.flows.clear();
    }

    /// Removes the expired flows.
    pub fn expire(&mut self, now: Duration) {
        let lifetime = self.lifetime;
        self.flows
            .retain(|_, stored| now < stored.inserted_at + lifetime);
    }
}
