//! What an agent reports of itself.
use std::collections::BTreeMap;
use std::time::Duration;

use wire::caller::Reason;
use wire::target::State;

/// A view of an agent for operators and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Whether it takes new flows.
    pub state: State,
    /// Learned capacity, as announced.
    pub weight: u32,
    /// Flows held.
    pub flows: usize,
    /// Memory of the flow table, in bytes.
    pub flow_bytes: usize,
    /// Request records.
    pub records: usize,
    /// Memory of the records and answers, in bytes.
    pub record_bytes: usize,
    /// Pins of flows that have their home here.
    pub pins: usize,
    /// Memory of the pins, in bytes.
    pub pin_bytes: usize,
    /// Requests that are queued, running or passed.
    pub tasks: usize,
    /// Expected wait of a request that comes now.
    pub expected_wait: Duration,
    /// Flows kept for the successors of other agents.
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

/// Something that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Counter {
    /// A flow was opened.
    Opened,
    /// A flow was closed by its caller.
    Closed,
    /// A flow expired for want of packets.
    Expired,
    /// A flow that saw no packet but its open expired.
    HalfOpen,
    /// A packet was handed along.
    HandedAlong,
    /// An open was passed on.
    OpenPassed,
    /// A request was admitted.
    Request,
    /// A repeat of a request was answered from its record, or waits.
    Repeat,
    /// A request was answered.
    Answered,
    /// A request was passed to another agent.
    Passed,
    /// A request was tried again because it did not run.
    RetryNotRun,
    /// An idempotent request was tried again because its outcome was lost.
    RetryIdempotent,
    /// A try was not made because the retry budget was spent.
    BudgetSpent,
    /// A request of another agent was taken.
    OfferTaken,
    /// A request of another agent was refused.
    OfferRefused,
    /// A close without the right token was ignored.
    SpoofedClose,
    /// A cancel without the right token was ignored.
    SpoofedCancel,
    /// A packet of a known flow came from another caller.
    ForeignCaller,
    /// A frame for another service was dropped.
    ForeignService,
    /// A frame that no agent takes was dropped.
    UnexpectedFrame,
    /// A frame whose fields contradict each other was dropped.
    MalformedFrame,
    /// A packet that only the service sends was dropped.
    UnexpectedPacket,
    /// A packet for an older incarnation was held back until it is known what
    /// was inherited.
    AwaitingState,
    /// A packet for a flow that is kept for its owner was not answered.
    KeptSilent,
    /// A pin was dropped because the table is at its limit.
    PinTableFull,
    /// A home was told that this agent does not hold a flow.
    StalePin,
    /// A flow was inherited from a predecessor, or adopted.
    Inherited,
}

impl Counters {
    /// Requests and opens refused for a reason.
    #[must_use]
    pub fn refused(&self, reason: Reason) -> u64 {
        self.refused.get(&reason).copied().unwrap_or(0)
    }

    /// How often something happened.
    #[must_use]
    pub fn get(&self, counter: Counter) -> u64 {
        self.counted.get(&counter).copied().unwrap_or(0)
    }

    /// All refusals by reason that are not zero.
    pub fn refusals(&self) -> impl Iterator<Item = Refusals> {
        self.refused
            .iter()
            .map(|(&reason, &count)| Refusals { reason, count })
    }

    /// All other counters that are not zero.
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

/// A number of refusals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusals {
    /// Why they were refused.
    pub reason: Reason,
    /// How many.
    pub count: u64,
}

/// The value of a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    /// What is counted.
    pub counter: Counter,
    /// How often it happened.
    pub count: u64,
}
