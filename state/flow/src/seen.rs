//! Ids of a flow's non-idempotent requests, kept after their records have
//! expired.
//!
//! The most recent ids are stored individually. When an id has to be evicted,
//! it raises the floor: every id up to the floor counts as seen. No request
//! that was admitted before is therefore taken for a new one while its flow is
//! held, and memory stays bounded. The drawback is that a new id below the
//! floor is refused too, which does not affect callers that number their
//! requests in ascending order.
use std::collections::VecDeque;

use wire::RequestId;

/// Maximum number of ids stored individually for each flow.
pub const IDS_PER_FLOW: usize = 32;

/// The requests of one flow that must not run again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    floor: RequestId,
    ids: VecDeque<RequestId>,
}

impl Seen {
    /// Creates a set with the floor and ids handed over by another agent.
    #[must_use]
    pub fn restore(floor: RequestId, ids: impl IntoIterator<Item = RequestId>) -> Self {
        let mut seen = Self {
            floor,
            ids: VecDeque::new(),
        };
        for id in ids {
            seen.insert(id);
        }
        seen
    }

    /// Returns true if the request may have been admitted before.
    #[must_use]
    pub fn contains(&self, request: RequestId) -> bool {
        request <= self.floor || self.ids.contains(&request)
    }

    /// Adds a request.
    pub fn insert(&mut self, request: RequestId) {
        if self.contains(request) {
            return;
        }
        if self.ids.len() >= IDS_PER_FLOW {
            self.fold_oldest();
        }
        self.ids.push_back(request);
    }

    /// Removes all ids and raises the floor to the highest of them.
    pub fn fold_all(&mut self) {
        let ids = std::mem::take(&mut self.ids);
        self.floor = ids.into_iter().fold(self.floor, RequestId::max);
    }

    /// Returns the floor: every id up to and including it counts as seen.
    #[must_use]
    pub const fn floor(&self) -> RequestId {
        self.floor
    }

    /// Returns the individually stored ids, all of which are above the floor.
    pub fn ids(&self) -> impl Iterator<Item = RequestId> {
        self.ids.iter().copied()
    }

    /// Returns the memory used, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.ids.capacity() * size_of::<RequestId>()
    }

    /// Removes the oldest id, raises the floor to it, and removes the ids that
    /// the floor now covers.
    fn fold_oldest(&mut self) {
        if let Some(id) = self.ids.pop_front() {
            let floor = self.floor.max(id);
            self.floor = floor;
            self.ids.retain(|&id| id > floor);
        }
    }
}
