//! What an agent asks of its process.
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use wire::FlowId;
use wire::TargetId;
use wire::Transit;

use super::Bid;

/// What an agent asks of its process, and what it decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hand a packet to the backend server.
    Deliver(Bytes),
    /// Send a packet of the backend server to a caller.
    ToCaller {
        /// The caller.
        caller: SocketAddrV4,
        /// The packet.
        packet: Bytes,
    },
    /// Send a frame to an entry or agent.
    Send {
        /// Its UDP address.
        to: SocketAddr,
        /// The frame.
        transit: Transit,
    },
    /// Tell the caller that its flow is refused or has ended.
    Reset {
        /// The flow.
        flow: FlowId,
        /// Position in the stream that the caller expects next.
        sequence: u32,
        /// Why.
        reason: Refusal,
        /// Bids of the agents that were asked, in milliseconds.
        bids: Vec<u32>,
    },
    /// A new flow was taken.
    Taken {
        /// The flow.
        flow: FlowId,
        /// Its expected wait.
        bid: Bid,
        /// Requests that ran or waited before it.
        running: u16,
        /// Flows held before it.
        held: usize,
        /// The entry that it came through.
        entry: SocketAddr,
    },
    /// The backend server began to answer a request.
    Answered {
        /// Time since the request.
        took: Duration,
    },
    /// The backend server reset a request, or did not answer it in its time.
    Failed {
        /// The flow.
        flow: FlowId,
    },
    /// A new flow was passed to another agent.
    Passed {
        /// The flow.
        flow: FlowId,
        /// What it could expect here, or why none are taken.
        bid: Result<Bid, Closed>,
        /// The backend server of the agent that it goes to.
        to: TargetId,
        /// Whether that agent is to take or refuse it.
        is_settled: bool,
    },
    /// A packet was delivered to learn whether its flow is held.
    Probed {
        /// The flow.
        flow: FlowId,
    },
    /// The backend server handed a packet back.
    Returned {
        /// The flow.
        flow: FlowId,
        /// Whether the flow was believed to be held.
        was_held: bool,
    },
    /// No agent of the service holds a flow that was searched for here.
    Unheld {
        /// The flow.
        flow: FlowId,
        /// Agents that deny it.
        agents: usize,
        /// Time that the search took.
        took: Duration,
    },
    /// A search here has ended with neither a holder nor the certainty that there
    /// is none.
    Undecided {
        /// The flow.
        flow: FlowId,
        /// Agents that deny it.
        denied: usize,
        /// Agents of the service.
        agents: usize,
        /// Whether no other agent may hold it.
        is_complete: bool,
    },
    /// The backend server has ended, and its flows with it.
    Ended {
        /// Flows that it held.
        flows: usize,
    },
    /// Something was dropped.
    Dropped(Drop),
}

/// Why an agent takes no new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Closed {
    /// The process is to stop.
    Stopping,
    /// The backend server has not announced itself yet.
    Unknown,
    /// The flow is meant for another backend server, which was at the address
    /// before.
    OtherServer,
    /// The backend server drains or has ended.
    NotReady,
    /// The backend server was not heard of for too long.
    Silent,
    /// The backend server did not react to an opening packet.
    Mute,
    /// The backend server holds as many flows as it can.
    Flows,
    /// The backend server's queue is full.
    Queue,
}

/// Why a flow was refused, or has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No agent expects to serve it within the caller's time.
    NoSlot,
    /// No backend server accepted it.
    NotAccepted,
    /// Its backend server has ended.
    ServerEnded,
}

/// Why something was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Drop {
    /// No server can take the flow, which may be open by another copy of its
    /// opening packet.
    RefusedCopy,
    /// Too many searches are under way.
    Searches,
    /// Another packet of the flow is being tried at the backend server.
    Probing,
    /// An announcement is older than one that is known.
    OldAnnouncement,
}
