//! What an entry does with one datagram.
use std::net::SocketAddr;

use wire::Relay;
use wire::Reply;

/// What to do with a datagram of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the frame to an agent.
    Relay {
        /// UDP address of the agent.
        to: SocketAddr,
        /// The frame.
        relay: Relay,
    },
    /// Answer the caller at once.
    Refuse {
        /// The answer.
        reply: Reply,
        /// Why, for the counters.
        reason: Drop,
    },
    /// Send nothing; the sender could not use an answer.
    Ignore(Drop),
}

/// Why a datagram was not relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Drop {
    /// It could not be read.
    Malformed,
    /// Its version is not supported.
    Version,
    /// Its payload is too large.
    TooLarge,
    /// It is a packet that only the system sends.
    Direction,
    /// Nothing is known of this address yet; peers are to be asked.
    Sought,
    /// No service has this address.
    NoService,
    /// The service has no target.
    NoTarget,
}
