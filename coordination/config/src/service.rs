//! The configuration of one service.
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::DurationMilliSeconds;
use serde_with::IfIsHumanReadable;
use serde_with::serde_as;
use wire::ServiceAddress;
use wire::TargetId;
use wire::ZoneId;

use crate::Problem;

/// Names one change by an operator; chosen by the operator's client, 1 to 64
/// printable ASCII characters. A retry of the change carries the same id.
pub type OperationId = String;

/// Longest name of a service, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Longest operation id, in bytes.
pub const MAX_OPERATION_BYTES: usize = 64;

/// Most drained targets and zones of one service.
pub const MAX_DRAINED: usize = 1024;

/// Fewest agents that an open visits.
pub const MIN_HUNT: u8 = 1;

/// Most agents that an open visits.
pub const MAX_HUNT: u8 = 3;

/// Longest queue limit.
pub const MAX_QUEUE_LIMIT: Duration = Duration::from_mins(1);

/// Shortest idle timeout of a flow.
pub const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest idle timeout of a flow.
pub const MAX_IDLE_TIMEOUT: Duration = Duration::from_hours(24);

/// Longest deadline of a request.
pub const MAX_DEADLINE: Duration = Duration::from_hours(1);

/// Largest answer that a service may allow, in bytes.
pub const MAX_ANSWER_BYTES: u32 = 16 * 1024 * 1024;

const FORMAT: u8 = 1;

/// The configuration of one service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The address that callers send to; names the service.
    pub address: ServiceAddress,
    /// Name for people.
    #[serde(default)]
    pub name: String,
    /// Whether requests need the flow's own backend server.
    #[serde(default)]
    pub binding: Binding,
    /// Number of agents that an open visits, [`MIN_HUNT`] to [`MAX_HUNT`].
    #[serde(default = "default::hunt")]
    pub hunt: u8,
    /// Longest expected wait of a request in a target's queue.
    #[serde(rename = "queue_limit_ms", default = "default::queue_limit")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub queue_limit: Duration,
    /// Time without a packet after which a flow is forgotten.
    #[serde(rename = "idle_timeout_ms", default = "default::idle_timeout")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_timeout: Duration,
    /// Deadline of a request that states none.
    #[serde(rename = "default_deadline_ms", default = "default::default_deadline")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub default_deadline: Duration,
    /// Longest deadline that a request may state; longer ones are shortened.
    #[serde(rename = "largest_deadline_ms", default = "default::largest_deadline")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub largest_deadline: Duration,
    /// Largest answer, in bytes.
    #[serde(
        rename = "largest_answer_bytes",
        default = "default::largest_answer_bytes"
    )]
    pub largest_answer_bytes: u32,
    /// Targets and zones that take no new work.
    #[serde(default)]
    pub drained: BTreeSet<Drained>,
    /// Whether the service exists or was deleted.
    #[serde(default)]
    pub state: State,
    /// The change that wrote this configuration.
    #[serde(default)]
    pub operation: OperationId,
}

/// Whether requests need the backend server that holds their flow.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Binding {
    /// Requests run at the flow's backend server only.
    #[default]
    Bound,
    /// Any backend server of the service may run a request.
    Independent,
}

/// Whether a service exists.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The service takes flows.
    #[default]
    Active,
    /// The service was deleted. The record stays, so that no older revision can
    /// bring the service back.
    Deleted,
}

/// What an operator drained.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Drained {
    /// One target.
    Target(#[serde_as(as = "IfIsHumanReadable<DisplayFromStr>")] TargetId),
    /// Every target of an availability zone.
    Zone(ZoneId),
}

/// Typed defaults of the fields.
mod default {
    use std::time::Duration;

    pub(super) const fn hunt() -> u8 {
        3
    }

    pub(super) const fn queue_limit() -> Duration {
        Duration::from_millis(500)
    }

    pub(super) const fn idle_timeout() -> Duration {
        Duration::from_hours(1)
    }

    pub(super) const fn default_deadline() -> Duration {
        Duration::from_secs(2)
    }

    pub(super) const fn largest_deadline() -> Duration {
        Duration::from_secs(30)
    }

    pub(super) const fn largest_answer_bytes() -> u32 {
        1024 * 1024
    }
}

impl Service {
    /// The default configuration of the service at `address`.
    #[must_use]
    pub fn new(address: ServiceAddress) -> Self {
        Self {
            address,
            name: String::new(),
            binding: Binding::default(),
            hunt: default::hunt(),
            queue_limit: default::queue_limit(),
            idle_timeout: default::idle_timeout(),
            default_deadline: default::default_deadline(),
            largest_deadline: default::largest_deadline(),
            largest_answer_bytes: default::largest_answer_bytes(),
            drained: BTreeSet::new(),
            state: State::default(),
            operation: OperationId::new(),
        }
    }

    /// Whether the service exists.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.state == State::Active
    }

    /// Whether an operator has drained this target or its zone.
    #[must_use]
    pub fn is_drained(&self, target: TargetId, zone: ZoneId) -> bool {
        self.drained.contains(&Drained::Target(target))
            || self.drained.contains(&Drained::Zone(zone))
    }

    /// The deadline in force for a request that states `stated`; zero means none.
    #[must_use]
    pub fn deadline(&self, stated: Duration) -> Duration {
        match stated {
            Duration::ZERO => self.default_deadline,
            stated => stated.min(self.largest_deadline),
        }
    }

    /// Checks every field.
    ///
    /// # Errors
    ///
    /// Every [`Problem`] found, in the order of the fields.
    pub fn check(&self) -> Result<(), Vec<Problem>> {
        let checks = [
            (
                !self.address.ip().is_unspecified(),
                Problem::AddressUnspecified,
            ),
            (self.address.port() != 0, Problem::PortZero),
            (is_name(&self.name, MAX_NAME_BYTES), Problem::Name),
            ((MIN_HUNT..=MAX_HUNT).contains(&self.hunt), Problem::Hunt),
            (self.queue_limit <= MAX_QUEUE_LIMIT, Problem::QueueLimit),
            (
                (MIN_IDLE_TIMEOUT..=MAX_IDLE_TIMEOUT).contains(&self.idle_timeout),
                Problem::IdleTimeout,
            ),
            (
                !self.default_deadline.is_zero(),
                Problem::DefaultDeadlineZero,
            ),
            (
                self.default_deadline <= self.largest_deadline,
                Problem::DefaultDeadlineOverLargest,
            ),
            (
                self.largest_deadline <= MAX_DEADLINE,
                Problem::LargestDeadline,
            ),
            (
                (1..=MAX_ANSWER_BYTES).contains(&self.largest_answer_bytes),
                Problem::LargestAnswer,
            ),
            (self.drained.len() <= MAX_DRAINED, Problem::Drained),
            (
                is_name(&self.operation, MAX_OPERATION_BYTES),
                Problem::Operation,
            ),
        ];
        let problems: Vec<Problem> = checks
            .into_iter()
            .filter(|(holds, _)| !holds)
            .map(|(_, problem)| problem)
            .collect();
        if problems.is_empty() {
            return Ok(());
        }
        Err(problems)
    }

    /// Encodes the configuration for gossip.
    ///
    /// # Errors
    ///
    /// [`Problem::Malformed`] where it cannot be encoded.
    pub fn to_bytes(&self) -> Result<Vec<u8>, Problem> {
        postcard::to_extend(self, vec![FORMAT]).map_err(|_| Problem::Malformed)
    }

    /// Decodes a configuration from gossip. Bytes that a later version of the
    /// program appended are ignored.
    ///
    /// # Errors
    ///
    /// [`Problem::Malformed`]; keep the configuration in force and count it.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Problem> {
        match bytes {
            [FORMAT, body @ ..] => postcard::take_from_bytes(body)
                .map(|(service, _)| service)
                .map_err(|_| Problem::Malformed),
            _ => Err(Problem::Malformed),
        }
    }
}

fn is_name(text: &str, max_bytes: usize) -> bool {
    !text.is_empty() && text.len() <= max_bytes && text.bytes().all(|byte| byte.is_ascii_graphic())
}
