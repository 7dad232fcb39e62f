//! Actions and decisions of an agent.
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use wire::FlowId;
use wire::Priority;
use wire::TargetId;
use wire::Transit;

use super::Bid;
use super::class::Step;

/// Output of an agent: an action for the process to carry out, or a decision to
/// count and log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Deliver a packet to the backend server.
    Deliver(Bytes),
    /// Send a packet of the backend server to its caller.
    ToCaller {
        /// Address of the caller.
        caller: SocketAddrV4,
        /// Packet to send.
        packet: Bytes,
    },
    /// Send a frame to an entry or agent.
    Send {
        /// UDP address of the receiver.
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
        /// Bids of the agents that were asked, in milliseconds; empty if none
        /// were asked.
        bids: Vec<u32>,
    },
    /// A new flow was admitted.
    Admitted {
        /// The flow.
        flow: FlowId,
        /// Expected cost of its first request.
        bid: Bid,
        /// Number of requests that were running or queued before it.
        running: u16,
        /// Number of flows held before it.
        held: usize,
        /// Address of the entry that sent the opening packet.
        entry: SocketAddr,
    },
    /// The backend server sent the first content of the answer to a request.
    Answered {
        /// Time from the request to the first content of the answer.
        took: Duration,
    },
    /// The answer to a request came far sooner and is far shorter than usual, and
    /// counts as a failure of the backend server.
    Implausible {
        /// The flow.
        flow: FlowId,
    },
    /// A request failed: the backend server reset it or did not answer it
    /// before its timeout.
    Failed {
        /// The flow.
        flow: FlowId,
    },
    /// A new flow waits for a slot.
    Waits {
        /// The flow.
        flow: FlowId,
        /// Expected cost of its first request.
        bid: Bid,
        /// Number of flows that waited before it.
        waiting: usize,
    },
    /// A decision on a new flow that has a demand.
    Class {
        /// Load-shedding priority of the flow.
        priority: Priority,
        /// The decision.
        step: Step,
    },
    /// An overload began: an urgent flow had to wait.
    OverloadBegan {
        /// Load-shedding priority of that flow.
        priority: Priority,
        /// Number of requests that were running or queued.
        running: u16,
        /// Number of flows that waited before it.
        waiting: usize,
        /// Number of flows held.
        held: usize,
    },
    /// An overload ended: no urgent flow has had to wait for a while.
    OverloadEnded {
        /// Duration of the overload.
        lasted: Duration,
    },
    /// The backend server is cold, and its new flows are limited.
    Cold {
        /// Time for which it stays cold; `None` if it has not announced that yet.
        left: Option<Duration>,
        /// Number of new flows that it gets in any one second.
        limit: usize,
    },
    /// The opening packet of a flow was forwarded to another agent.
    PassedOn {
        /// The flow.
        flow: FlowId,
        /// Bid of this agent, or the reason for which it admits no flows.
        bid: Result<Bid, Closed>,
        /// Backend server of the agent that receives the flow.
        to: TargetId,
        /// Whether all agents have bid and this receiver was chosen by its bid.
        is_settled: bool,
    },
    /// A packet was delivered as a probe, to learn whether the backend server
    /// holds its flow.
    Probed {
        /// The flow.
        flow: FlowId,
    },
    /// The backend server returned a packet of a flow that it does not hold.
    Returned {
        /// The flow.
        flow: FlowId,
        /// Whether the agent had recorded the flow as held.
        was_held: bool,
    },
    /// A search ended: no agent of the service holds the flow.
    HolderAbsent {
        /// The flow.
        flow: FlowId,
        /// Number of agents that deny holding the flow.
        agents: usize,
        /// Duration of the search.
        took: Duration,
    },
    /// A search expired with neither a holder nor enough denials to prove that
    /// there is none.
    SearchExpired {
        /// The flow.
        flow: FlowId,
        /// Number of agents that deny holding the flow.
        denied: usize,
        /// Number of known agents of the service, including this one.
        agents: usize,
        /// Whether the denials of the known agents would have been conclusive:
        /// this agent knows as many agents as the entry, and none is marked
        /// down.
        is_complete: bool,
    },
    /// The backend server announced a start that this process had not heard of.
    ServerFound {
        /// The longest time for which it can have been running.
        age: Duration,
        /// Time for which this process has been running.
        own_age: Duration,
        /// Whether this process has seen all its flows, so that it can deny others
        /// without asking it.
        knows_all_flows: bool,
    },
    /// The backend server terminated, which ended all its flows.
    ServerEnded {
        /// Number of flows that it held.
        flows: usize,
    },
    /// A packet, a search or an announcement was dropped.
    Dropped(DropReason),
}

/// Reason for which an agent admits no new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Closed {
    /// The process is shutting down.
    Stopping,
    /// An operator has evacuated the availability zone of the backend server.
    Evacuated,
    /// The backend server has not announced itself yet.
    Unknown,
    /// The flow is addressed to an earlier backend server at this address.
    OtherServer,
    /// The backend server is draining or has terminated.
    NotReady,
    /// The backend server's announcements have stopped.
    Silent,
    /// The backend server did not react to an opening packet in time.
    Mute,
    /// The maximum number of flows is held.
    Flows,
    /// No slot is expected before callers give up.
    Queue,
}

/// Reason for which a flow was refused or reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No agent expects a free slot within the request's timeout.
    NoSlot,
    /// The flow would be answered late here, and another server can take it sooner.
    SoonerElsewhere,
    /// No backend server accepted the opening packet.
    NotAccepted,
    /// The backend server of the flow terminated.
    ServerEnded,
}

/// Reason for dropping a packet, a search or an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// No server can admit the flow, but the flow may already be open through
    /// an earlier copy of its opening packet.
    RefusedCopy,
    /// A copy of an opening packet whose flow waits for a slot.
    WaitingCopy,
    /// A flow that waited for a slot got none before its caller gave up.
    NoSlotInTime,
    /// An opening packet arrived after its caller had opened the flow or given it
    /// up, or was sent along with a search.
    LateOpening,
    /// The backend server reset a flow that the caller may have opened at another
    /// server.
    ForeignReset,
    /// The limit of concurrent searches is reached.
    SearchLimit,
    /// Another probe of the flow is pending, or all its probes are used up.
    ProbeLimit,
    /// An announcement is older than one already received.
    OldAnnouncement,
    /// A frame whose fields contradict each other.
    Malformed,
}
