//! Actions that a state machine requests from its process.
use std::net::SocketAddr;

use crate::Message;

/// Action that [`crate::Registry`] or [`crate::Announcer`] requests from its
/// process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends the message as one datagram.
    Send {
        /// UDP address of the receiver.
        to: SocketAddr,
        /// Message to send.
        message: Message,
    },
}
