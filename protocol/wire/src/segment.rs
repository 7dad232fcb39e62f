//! What the system reads of a packet that it carries unchanged between a caller
//! and a backend server.
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::FlowKey;

/// The header of a carried packet. Its content is never read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Address of the end that sent it.
    pub source: SocketAddrV4,
    /// Address of the end that it is for.
    pub destination: SocketAddrV4,
    /// What it does to the flow.
    pub kind: Kind,
    /// True where the backend server handed it back because it does not hold
    /// the flow, or does not accept it.
    pub is_returned: bool,
    /// Position of the content in the sender's stream.
    pub sequence: u32,
    /// Position up to which the sender has received; for an opening packet the
    /// number of earlier copies.
    pub acknowledged: u32,
    /// Bytes of content.
    pub length: u16,
    /// A word that a backend server hands back unchanged.
    pub mark: u32,
}

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The caller opens the flow.
    Open,
    /// The backend server accepts it.
    Accept,
    /// Content, or an acknowledgement without any.
    Data,
    /// The sender has no more content after this packet's.
    Close,
    /// The sender gives the flow up.
    Reset,
}

/// Names a carried flow: its two ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FlowId {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Address that the caller sends to.
    pub service: SocketAddrV4,
}

impl Segment {
    /// The flow of a packet that a caller sent.
    #[must_use]
    pub const fn from_caller(&self) -> FlowId {
        FlowId {
            caller: self.source,
            service: self.destination,
        }
    }

    /// The flow of a packet that a backend server sent.
    #[must_use]
    pub const fn from_server(&self) -> FlowId {
        FlowId {
            caller: self.destination,
            service: self.source,
        }
    }

    /// True for an opening packet that the caller sent again.
    #[must_use]
    pub fn is_copy(&self) -> bool {
        self.kind == Kind::Open && self.acknowledged > 0
    }
}

impl FlowId {
    /// The caller's address and port as a number; not mixed.
    #[must_use]
    pub fn caller_key(&self) -> FlowKey {
        u64::from(self.caller.ip().to_bits()) << u16::BITS | u64::from(self.caller.port())
    }
}
