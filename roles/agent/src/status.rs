//! Status and counters of an agent.
use std::collections::BTreeMap;
use std::time::Duration;

use wire::caller::Reason;
use wire::target::State;

/// Status of an agent for operators and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Readiness for new flows.
    pub state: State,
    /// Learned capacity, as announced.
    pub weight: u32,
    /// Number of flows held.
    pub flows: usize,
    /// Memory of the flow table, in bytes.
    pub flow_bytes: usize,
    /// Number of request records.
    pub records: usize,
    /// Memory of the records and their answers, in bytes.
    pub record_bytes: usize,
    /// Number of pins of flows that have their home here.
    pub pins: usize,
    /// Memory of the pins, in bytes.
    pub pin_bytes: usize,
    /// Number of requests that are queued, running or forwarded.
    pub tasks: usize,
    /// Expected wait of a new request for a slot.
    pub expected_wait: Duration,
    /// Number of flows parked here for the successors of other agents.
    pub parked: usize,
    /// Counters since the start.
    pub counters: Counters,
}

/// Counters since the start of the agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    refused: BTreeMap<Reason, u64>,
    counted: BTreeMap<Counter, u64>,
}

/// A kind of counted event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Counter {
    /// A flow was opened.
    Opened,
    /// A flow was closed by its caller.
    Closed,
    /// A flow expired because no packet arrived.
    Expired,
    /// A half-open flow expired: no packet followed its open.
    HalfOpenExpired,
    /// A packet of a flow held elsewhere was forwarded.
    PacketForwarded,
    /// An open was forwarded to the next agent of its path.
    OpenForwarded,
    /// A request was admitted.
    RequestAdmitted,
    /// A retransmitted request was answered from its record, or waits for the
    /// pending one.
    RequestRepeated,
    /// A request was answered.
    RequestAnswered,
    /// A request was forwarded to another agent.
    RequestPassed,
    /// A request was retried because it did not run.
    RetryNotRun,
    /// An idempotent request with an unknown outcome was retried.
    RetryIdempotent,
    /// A retry was not made because the retry budget was spent.
    RetryBudgetSpent,
    /// An offer from another agent was accepted.
    OfferAccepted,
    /// An offer from another agent was refused.
    OfferRefused,
    /// A close without the right token was ignored.
    SpoofedClose,
    /// A cancel without the right token was ignored.
    SpoofedCancel,
    /// A packet of a known flow came from another caller.
    ForeignCaller,
    /// A frame for another service was dropped.
    ForeignService,
    /// A frame of a kind that agents do not process was dropped.
    UnexpectedFrame,
    /// A frame whose fields contradict each other was dropped.
    MalformedFrame,
    /// A packet of a kind that only the service sends was dropped.
    UnexpectedPacket,
    /// A packet that may belong to a predecessor's flow was dropped because its
    /// state had not been claimed yet.
    AwaitingState,
    /// A packet was not answered because its flow is parked here or being
    /// handed over.
    Unanswered,
    /// A pin was dropped because the pin table is full.
    PinTableFull,
    /// A home was notified that its pin is stale.
    StalePin,
    /// A flow was inherited from a predecessor, or adopted.
    Inherited,
}

impl Counters {
    /// Returns the number of requests and opens refused for a reason.
    #[must_use]
    pub fn refused(&self, reason: Reason) -> u64 {
        self.refused.get(&reason).copied().unwrap_or(0)
    }

    /// Returns the value of a counter.
    #[must_use]
    pub fn get(&self, counter: Counter) -> u64 {
        self.counted.get(&counter).copied().unwrap_or(0)
    }

    /// Returns the numbers of refusals by reason that are not zero.
    pub fn refusals(&self) -> impl Iterator<Item = Refusals> {
        self.refused
            .iter()
            .map(|(&reason, &count)| Refusals { reason, count })
    }

    /// Returns all other counters that are not zero.
    pub fn iter(&self) -> impl Iterator<Item = Count> {
        self.counted
            .iter()
            .map(|(&counter, &count)| Count { counter, count })
    }

    pub(crate) fn refuse(&mut self, reason: Reason) {
        *self.refused.entry(reason).or_default() += 1;
    }

    pub(crate) fn add(&mut self, counter: Counter) {
        *self.counted.entry(counter).or_default() += 1;
    }
}

/// Number of refusals for one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusals {
    /// Reason of the refusals.
    pub reason: Reason,
    /// Number of refusals.
    pub count: u64,
}

/// The value of a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    /// The counter.
    pub counter: Counter,
    /// Value of the counter.
    pub count: u64,
}
