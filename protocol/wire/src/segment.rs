//! The parsed header of packets that the system forwards unchanged between a
//! caller and a backend server.
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::FlowKey;

/// Header of a forwarded packet. The system never reads the content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Address of the sender.
    pub source: SocketAddrV4,
    /// Address of the receiver.
    pub destination: SocketAddrV4,
    /// Effect on the flow.
    pub kind: Kind,
    /// True where the backend server returned the packet because it does not
    /// hold the flow or refuses to accept it.
    pub is_returned: bool,
    /// Sequence number: position of the content in the sender's stream.
    pub sequence: u32,
    /// Acknowledgement number: position up to which the sender has received.
    /// In an opening packet, the number of earlier transmissions.
    pub acknowledged: u32,
    /// Length of the content in bytes.
    pub length: u16,
    /// Echo value, which a backend server returns unchanged.
    pub echo: u32,
}

/// Effect of a packet on its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The caller opens the flow.
    Open,
    /// The backend server accepts the flow.
    Accept,
    /// Content, or an acknowledgement without any.
    Data,
    /// The sender has no more content after that of this packet.
    Close,
    /// The sender aborts the flow.
    Reset,
}

/// Id of a forwarded flow: the addresses of its two ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FlowId {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Address that the caller sends to.
    pub service: SocketAddrV4,
}

impl Segment {
    /// Returns the flow of a packet that a caller sent.
    #[must_use]
    pub const fn flow_from_caller(&self) -> FlowId {
        FlowId {
            caller: self.source,
            service: self.destination,
        }
    }

    /// Returns the flow of a packet that a backend server sent.
    #[must_use]
    pub const fn flow_from_server(&self) -> FlowId {
        FlowId {
            caller: self.destination,
            service: self.source,
        }
    }

    /// Returns true for a retransmitted opening packet.
    #[must_use]
    pub fn is_retransmission(&self) -> bool {
        self.kind == Kind::Open && self.acknowledged > 0
    }
}

impl FlowId {
    /// Returns the caller's address and port as one number, without hashing.
    #[must_use]
    pub fn caller_key(&self) -> FlowKey {
        u64::from(self.caller.ip().to_bits()) << u16::BITS | u64::from(self.caller.port())
    }
}
