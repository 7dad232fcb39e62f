//! Actions and decisions of an entry.
use std::net::SocketAddr;
use std::time::Duration;

use wire::FlowId;
use wire::Priority;
use wire::ServiceAddress;
use wire::TargetId;
use wire::Transit;
use wire::Version;
use wire::transit::Terms;

use super::Proofs;

/// Output of an entry: an action for the process to carry out, or a decision to
/// count and log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a frame to an agent.
    Send {
        /// UDP address of the agent.
        to: SocketAddr,
        /// Frame to send.
        transit: Transit,
    },
    /// Reset a flow that is refused or has ended.
    Reset {
        /// Flow to reset.
        flow: FlowId,
        /// Sequence number that the caller expects next.
        sequence: u32,
        /// Reason of the reset.
        reason: Refusal,
    },
    /// The opening packet of a new flow was sent to the first agent of its path.
    Opened {
        /// The flow.
        flow: FlowId,
        /// Backend server of the first agent on the path.
        first: TargetId,
        /// Number of agents on the path.
        hops: usize,
        /// Version of the configuration that the route was taken from.
        version: Version,
    },
    /// An agent admitted a flow.
    Accepted {
        /// Time since the opening packet was last sent.
        took: Duration,
        /// Whether its backend server is in an evacuated zone, so that the agent
        /// does not know of the evacuation yet or held the flow before it.
        is_evacuated: bool,
    },
    /// Another agent than the recorded one counts as the holder of a flow: it has reported
    /// that it holds the flow, or the recorded one has denied it.
    HolderReplaced {
        /// The flow.
        flow: FlowId,
        /// Backend server of the recorded agent.
        former: TargetId,
        /// Backend server of the agent that replaces it.
        holder: TargetId,
    },
    /// An agent was asked to search for the holder of a flow.
    SearchRequested {
        /// The flow.
        flow: FlowId,
        /// Backend server of the agent that was asked.
        searcher: TargetId,
        /// Number of known agents of the service.
        known: usize,
        /// Conditions under which agents probe and deny.
        terms: Terms,
    },
    /// A search found the holder of a flow.
    HolderFound {
        /// The flow.
        flow: FlowId,
        /// Backend server that holds the flow.
        holder: TargetId,
        /// Time since an agent was last asked to search.
        took: Duration,
    },
    /// A search ended without a holder.
    SearchFailed {
        /// The flow.
        flow: FlowId,
        /// Number of search attempts, each at another agent of the service if
        /// there is one.
        rounds: u8,
    },
    /// An agent was asked to probe its backend server for many flows.
    ProbesRequested {
        /// The backend server.
        target: TargetId,
        /// Number of flows.
        flows: usize,
    },
    /// An agent was asked to search for the holders of many flows.
    BatchRequested {
        /// Backend server of the agent that was asked.
        searcher: TargetId,
        /// Number of flows.
        flows: usize,
        /// Number of known agents of the service.
        known: usize,
    },
    /// An agent did not answer in time which flows of a batch are held.
    BatchUnanswered {
        /// Backend server of the agent that was asked.
        searcher: TargetId,
        /// Number of flows.
        flows: usize,
    },
    /// A flow is searched for at all services, as no backend server holds it of those
    /// that its route is known to have named.
    SearchWidened {
        /// The flow.
        flow: FlowId,
    },
    /// A flow was found to have ended, as every possible holder denies it.
    Ended {
        /// The flow.
        flow: FlowId,
        /// Kinds of proof that the denials rest on.
        proofs: Proofs,
        /// Time since the first packet of the flow.
        took: Duration,
    },
    /// Flows whose holder is unknown were dropped, because their callers have given
    /// up or there are too many.
    UndecidedDropped {
        /// Number of flows.
        flows: usize,
    },
    /// New flows of a class are refused from now on: no backend server has capacity for
    /// them.
    ClassRefused {
        /// The service.
        service: ServiceAddress,
        /// Load-shedding priority of the class.
        priority: Priority,
    },
    /// New flows of a class are sent to agents again.
    ClassAdmitted {
        /// The service.
        service: ServiceAddress,
        /// Load-shedding priority of the class.
        priority: Priority,
        /// Number of flows refused meanwhile.
        refused: u64,
    },
    /// A new flow was refused because of its class.
    ClassFlowRefused {
        /// Load-shedding priority of the flow.
        priority: Priority,
    },
    /// A new flow of a refused class was sent to find out whether it has capacity
    /// again.
    ClassTried {
        /// Load-shedding priority of the flow.
        priority: Priority,
    },
    /// A packet was dropped.
    Dropped(DropReason),
    /// Many new flows are sent to other zones although the own one has servers.
    OverflowBegan {
        /// New flows of about a second that were sent to other zones.
        overflowed: u32,
        /// All new flows of that time.
        opened: u32,
    },
    /// New flows stay in the own zone again.
    OverflowEnded {
        /// New flows that were sent to other zones meanwhile.
        flows: u64,
        /// Time since the begin.
        lasted: Duration,
    },
}

/// Reason for which a flow was refused or reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The address has no route.
    NoRoute,
    /// The service has no backend server that accepts new flows.
    NoServer,
    /// No backend server of the service has capacity for flows of this class.
    NoCapacity,
    /// The backend server of the flow terminated.
    ServerEnded,
}

/// Reason for dropping a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The packet is of a kind that only backend servers send.
    Direction,
    /// The address has no route, but the configuration may be out of date.
    Unconfirmed,
    /// The address has no route, but the flow may be open under a newer
    /// configuration.
    NoRoute,
    /// No server accepts the flow, but it may already be open through an
    /// earlier copy of its opening packet.
    RefusedCopy,
    /// The entry has just started and does not know any backend server yet.
    ServersUnknown,
    /// The queue of packets that wait for the holder of their flow is full.
    QueueFull,
    /// A recent search found no holder of the flow.
    HolderNotFound,
}
