//! What an entry asks of its process.
use std::net::SocketAddr;
use std::time::Duration;

use wire::FlowId;
use wire::Revision;
use wire::TargetId;
use wire::Transit;
use wire::transit::Terms;

/// What an entry asks of its process, and what it decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a frame to an agent.
    Send {
        /// UDP address of the agent.
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
    },
    /// A new flow was sent to an agent.
    Opened {
        /// The flow.
        flow: FlowId,
        /// The first backend server on its path.
        first: TargetId,
        /// Number of agents on the path.
        hops: usize,
        /// Version of the configuration that decided it.
        version: Revision,
    },
    /// An agent took a flow that was sent to it.
    Accepted {
        /// Time since its opening packet was last sent.
        took: Duration,
    },
    /// The holder of a flow is searched for.
    Sought {
        /// The flow.
        flow: FlowId,
        /// The backend server whose agent searches.
        searcher: TargetId,
        /// Agents that are known of its service.
        known: usize,
        /// How agents are asked.
        terms: Terms,
    },
    /// A search has found the holder of a flow.
    Found {
        /// The flow.
        flow: FlowId,
        /// The holder.
        holder: TargetId,
        /// Time since it was last asked for.
        took: Duration,
    },
    /// Nobody says to hold a flow.
    Vanished {
        /// The flow.
        flow: FlowId,
        /// Agents that were asked in turn to search.
        rounds: u8,
    },
    /// A packet was dropped.
    Dropped(Drop),
}

/// Why a flow was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// Its address has no route.
    NoRoute,
    /// The service has no backend server that takes flows.
    NoServer,
    /// The backend server of the flow has ended.
    ServerEnded,
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Drop {
    /// Only backend servers send it.
    Direction,
    /// There is no route, but the configuration may have changed unseen.
    Unconfirmed,
    /// There is no route; the flow may be open by a newer configuration.
    NoRoute,
    /// No server takes the flow, which may be open by another copy of its opening
    /// packet.
    RefusedCopy,
    /// The entry has just started and knows no backend server yet.
    Young,
    /// Too many packets wait for the holder of their flow to be found.
    Crowded,
    /// Nobody holds the flow.
    Lost,
}
