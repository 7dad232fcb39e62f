//! Remembers something of flows for a while.
use std::collections::HashMap;
use std::time::Duration;

use wire::FlowId;

/// Most flows that one memory holds.
const MAX_FLOWS: usize = 16 * 1024;

/// Remembers something of flows for a while.
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
    /// Remembers each flow for `lifetime`.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            flows: HashMap::new(),
        }
    }

    /// Remembers something of a flow; a full memory takes no more.
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

    /// What is remembered of a flow.
    pub fn get(&self, now: Duration, flow: &FlowId) -> Option<&T> {
        let item = self.flows.get(flow)?;
        (now < item.inserted_at + self.lifetime).then_some(&item.value)
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: &FlowId) -> Option<T> {
        self.flows.remove(flow).map(|item| item.value)
    }

    /// Forgets all flows.
    pub fn clear(&mut self) {
        self.flows.clear();
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Duration) {
        let lifetime = self.lifetime;
        self.flows
            .retain(|_, item| now < item.inserted_at + lifetime);
    }
}
