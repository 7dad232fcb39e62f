//! What a backend server tells of itself.
use std::time::Duration;

use wire::ServiceAddress;
use wire::TargetId;

/// Start time of a backend server in milliseconds since the Unix epoch, by its
/// own clock. Orders the starts at one address.
pub type Start = u64;

/// What a backend server tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// The service that it serves.
    pub service: ServiceAddress,
    /// Its id within the system.
    pub target: TargetId,
    /// When it started.
    pub start: Start,
    /// Rises with each announcement of one start.
    pub sequence: u64,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// Whether it takes new flows.
    pub state: State,
    /// How much longer it is slow after its start.
    pub warm_up: Duration,
}

/// Whether a backend server takes new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// It takes new flows.
    Ready,
    /// It finishes the flows that it has.
    Draining,
    /// It has ended.
    Gone,
}

impl Backend {
    /// Whether this was said before `other`.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.start, self.sequence) < (other.start, other.sequence)
    }
}
