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

/// Id of one change by an operator, chosen by the operator's client: 1 to 64
/// printable ASCII characters. A retry of the change carries the same id.
pub type OperationId = String;

/// Maximum length of a service's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum length of an operation id, in bytes.
pub const MAX_OPERATION_BYTES: usize = 64;

/// Maximum number of drained targets and zones of one service.
pub const MAX_DRAINED: usize = 1024;

/// Minimum number of agents that an open may visit.
pub const MIN_HUNT: u8 = 1;

/// Maximum number of agents that an open may visit.
pub const MAX_HUNT: u8 = 3;

/// Maximum queue limit of a service.
pub const MAX_QUEUE_LIMIT: Duration = Duration::from_mins(1);

/// Minimum idle timeout of a flow.
pub const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum idle timeout of a flow.
pub const MAX_IDLE_TIMEOUT: Duration = Duration::from_hours(24);

/// Maximum deadline of a request.
pub const MAX_DEADLINE: Duration = Duration::from_hours(1);

/// Maximum answer size that a service may allow, in bytes.
pub const MAX_ANSWER_BYTES: u32 = 16 * 1024 * 1024;

/// First byte of an encoded configuration.
const FORMAT_VERSION: u8 = 1;

/// The configuration of one service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Address that callers send to; identifies the service.
    pub address: ServiceAddress,
    /// Human-readable name.
    #[serde(default)]
    pub name: String,
    /// Whether requests must run at their flow's backend server.
    #[serde(default)]
    pub binding: Binding,
    /// Number of agents that an open may visit, [`MIN_HUNT`] to [`MAX_HUNT`].
    #[serde(default = "default::hunt")]
    pub hunt: u8,
    /// Maximum expected wait of a request in a target's queue.
    #[serde(rename = "queue_limit_ms", default = "default::queue_limit")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub queue_limit: Duration,
    /// Time without a packet after which a flow expires.
    #[serde(rename = "idle_timeout_ms", default = "default::idle_timeout")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_timeout: Duration,
    /// Deadline of a request that does not state one.
    #[serde(rename = "default_deadline_ms", default = "default::default_deadline")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub default_deadline: Duration,
    /// Maximum deadline of a request; a longer one is shortened to it.
    #[serde(rename = "largest_deadline_ms", default = "default::largest_deadline")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub largest_deadline: Duration,
    /// Maximum size of an answer, in bytes.
    #[serde(
        rename = "largest_answer_bytes",
        default = "default::largest_answer_bytes"
    )]
    pub largest_answer_bytes: u32,
    /// Targets and zones that accept no new work.
    #[serde(default)]
    pub drained: BTreeSet<Drained>,
    /// Whether the service is active or deleted.
    #[serde(default)]
    pub state: State,
    /// Id of the change that wrote this configuration.
    #[serde(default)]
    pub operation: OperationId,
}

/// Where the requests of a flow may run.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Binding {
    /// Requests run only at the backend server that holds their flow.
    #[default]
    Bound,
    /// Any backend server of the service may run a request.
    Independent,
}

/// Lifecycle state of a service.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The service accepts flows.
    #[default]
    Active,
    /// The service is deleted. Its record is kept, so that an older revision
    /// cannot restore the service.
    Deleted,
}

/// A target or availability zone drained by an operator.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Drained {
    /// One target.
    Target(#[serde_as(as = "IfIsHumanReadable<DisplayFromStr>")] TargetId),
    /// Every target of an availability zone.
    Zone(ZoneId),
}

/// Default values of the fields of [`Service`].
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
    /// Returns the default configuration of the service at `address`.
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

    /// Returns `true` if the service is not deleted.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.state == State::Active
    }

    /// Returns `true` if an operator has drained `target` or its `zone`.
    #[must_use]
    pub fn is_drained(&self, target: TargetId, zone: ZoneId) -> bool {
        self.drained.contains(&Drained::Target(target))
            || self.drained.contains(&Drained::Zone(zone))
    }

    /// Returns the effective deadline of a request that states `stated`; zero
    /// stands for no stated deadline.
    #[must_use]
    pub fn deadline(&self, stated: Duration) -> Duration {
        match stated {
            Duration::ZERO => self.default_deadline,
            stated => stated.min(self.largest_deadline),
        }
    }

    /// Validates every field.
    ///
    /// # Errors
    ///
    /// Returns all problems found, in the order of the fields.
    pub fn validate(&self) -> Result<(), Vec<Problem>> {
        let checks = [
            (
                !self.address.ip().is_unspecified(),
                Problem::AddressUnspecified,
            ),
            (self.address.port() != 0, Problem::PortZero),
            (is_valid_name(&self.name, MAX_NAME_BYTES), Problem::Name),
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
                is_valid_name(&self.operation, MAX_OPERATION_BYTES),
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
    /// Returns [`Problem::Malformed`] if the configuration cannot be encoded.
    pub fn to_bytes(&self) -> Result<Vec<u8>, Problem> {
        postcard::to_extend(self, vec![FORMAT_VERSION]).map_err(|_| Problem::Malformed)
    }

    /// Decodes a configuration received by gossip. Trailing bytes, as a later
    /// version of the program may append, are ignored.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::Malformed`] if the bytes cannot be decoded; the caller
    /// should keep the configuration in force and count the error.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Problem> {
        match bytes {
            [FORMAT_VERSION, body @ ..] => postcard::take_from_bytes(body)
                .map(|(service, _)| service)
                .map_err(|_| Problem::Malformed),
            _ => Err(Problem::Malformed),
        }
    }
}

/// Returns `true` if `text` is 1 to `max_bytes` printable ASCII characters
/// without spaces.
fn is_valid_name(text: &str, max_bytes: usize) -> bool {
    !text.is_empty() && text.len() <= max_bytes && text.bytes().all(|byte| byte.is_ascii_graphic())
}
