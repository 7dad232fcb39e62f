//! Outcome of routing one datagram.
use std::net::SocketAddr;

use wire::Relay;
use wire::Reply;

/// Action to take on a caller's datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Relay the packet to an agent.
    Relay {
        /// UDP address of the agent.
        to: SocketAddr,
        /// Frame to send.
        relay: Relay,
    },
    /// Answer the caller directly.
    Refuse {
        /// Answer to send.
        reply: Reply,
        /// Reason, for the counters.
        reason: DropReason,
    },
    /// Send nothing: the sender could not use an answer.
    Ignore(DropReason),
}

/// Reason for not relaying a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DropReason {
    /// The packet is malformed.
    Malformed,
    /// The protocol version is not supported.
    Version,
    /// The payload is too large.
    TooLarge,
    /// The packet is of a kind that only the system sends to callers.
    Direction,
    /// The address is unknown; the peers must be asked about it.
    UnknownAddress,
    /// No service has the address.
    NoService,
    /// The service has no target that can receive the packet.
    NoTarget,
}
