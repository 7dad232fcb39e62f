//! Remembers that non-idempotent requests of a flow were once here, after
//! their records are gone.
//!
//! The last few ids are kept as they are. An id that has to make room raises
//! the floor: every id up to it counts as seen. So no request that was here
//! ever looks new while its flow is held, and memory is bounded; the price is
//! that a new id below the floor is refused too, which does not happen to
//! callers that number their requests in rising order.
use std::collections::VecDeque;

use wire::RequestId;

/// Number of ids kept for each flow.
pub const IDS_PER_FLOW: usize = 32;

/// Requests of one flow that must not run again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    floor: RequestId,
    ids: VecDeque<RequestId>,
}

impl Seen {
    /// Restores what another agent remembered.
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

    /// Whether the request may have been here.
    #[must_use]
    pub fn contains(&self, request: RequestId) -> bool {
        request <= self.floor || self.ids.contains(&request)
    }

    /// Remembers a request.
    pub fn insert(&mut self, request: RequestId) {
        if self.contains(request) {
            return;
        }
        if self.ids.len() >= IDS_PER_FLOW {
            self.fold_oldest();
        }
        self.ids.push_back(request);
    }

    /// Gives up all ids, raising the floor.
    pub fn fold_all(&mut self) {
        let ids = std::mem::take(&mut self.ids);
        self.floor = ids.into_iter().fold(self.floor, RequestId::max);
    }

    /// Every request up to this one counts as seen.
    #[must_use]
    pub const fn floor(&self) -> RequestId {
        self.floor
    }

    /// The ids above the floor that are kept as they are.
    pub fn ids(&self) -> impl Iterator<Item = RequestId> {
        self.ids.iter().copied()
    }

    /// Memory that is held, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.ids.capacity() * size_of::<RequestId>()
    }

    fn fold_oldest(&mut self) {
        if let Some(id) = self.ids.pop_front() {
            let floor = self.floor.max(id);
            self.floor = floor;
            self.ids.retain(|&id| id > floor);
        }
    }
}
