//! Remembers something of flows for a while.
use std::collections::HashMap;
use std::time::Duration;

use wire::FlowId;

/// Most flows that one memory holds.
const MAX_FLOWS: usize = 16 * 1024;

/// Remembers something of flows for a while.
#[derive(Debug)]
pub struct Memory<T> {
    lifetime: Duration,
    items: HashMap<FlowId, Item<T>>,
}

#[derive(Debug)]
struct Item<T> {
    at: Duration,
    value: T,
}

impl<T> Memory<T> {
    /// Remembers each flow for `lifetime`.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            items: HashMap::new(),
        }
    }

    /// Remembers something of a flow; a full memory takes no more.
    pub fn insert(&mut self, now: Duration, flow: FlowId, value: T) {
        if self.items.len() < MAX_FLOWS || self.items.contains_key(&flow) {
            self.items.insert(flow, Item { at: now, value });
        }
    }

    /// What is remembered of a flow.
    pub fn get(&self, now: Duration, flow: &FlowId) -> Option<&T> {
        let item = self.items.get(flow)?;
        (now < item.at + self.lifetime).then_some(&item.value)
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: &FlowId) -> Option<T> {
        self.items.remove(flow).map(|item| item.value)
    }

    /// Forgets all flows.
    pub fn clear(&mut self) {
        self.items.clear();
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Duration) {
        let lifetime = self.lifetime;
        self.items.retain(|_, item| now < item.at + lifetime);
    }
}
