//! An agent's view of its service.
use std::time::Duration;

use wire::Target;

/// The targets and the settings of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// All targets of the service except those that have left or are considered
    /// down.
    pub targets: Vec<Target>,
    /// Service settings from the operators.
    pub service: Service,
}

/// Settings of a service that its agents follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Service {
    /// Backend servers that the requests of a flow may run at.
    pub binding: Binding,
    /// Longest expected wait for a slot with which a request is queued.
    pub queue_limit: Duration,
    /// Time without a packet after which a flow expires.
    pub idle_timeout: Duration,
    /// Deadline of a request that states none.
    pub default_deadline: Duration,
    /// Longest deadline of a request; longer ones are capped.
    pub max_deadline: Duration,
    /// Largest answer, in bytes; at most [`flow::answer::MAX_ANSWER_BYTES`].
    pub max_answer_bytes: usize,
}

/// Backend servers that the requests of a flow may run at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Binding {
    /// Only the backend server of the flow's holder.
    Bound,
    /// Any backend server of the service.
    Independent,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            binding: Binding::Bound,
            queue_limit: Duration::from_secs(1),
            idle_timeout: Duration::from_hours(1),
            default_deadline: Duration::from_secs(2),
            max_deadline: Duration::from_hours(1),
            max_answer_bytes: 1024 * 1024,
        }
    }
}
