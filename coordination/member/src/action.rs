//! What a state machine asks of the process around it.
use std::net::SocketAddr;

use crate::Message;

/// A request of [`crate::Registry`] or [`crate::Announcer`] to its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the message as one datagram.
    Send {
        /// UDP address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
}
