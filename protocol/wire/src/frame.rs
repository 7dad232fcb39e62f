//! The datagrams that the system's processes exchange.
use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::FlowKey;
use crate::Revision;
use crate::ServiceAddress;
use crate::TargetId;
use crate::Token;
use crate::Transit;

/// Largest number of agents that one relayed packet visits.
pub const MAX_HOPS: usize = 8;

/// Largest payload of a request, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 16 * 1024;

/// Largest datagram between processes or with callers, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 20 * 1024;

/// One datagram between two processes of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A caller's packet on its way along the agents of a service.
    Relay(Relay),
    /// A packet on its way to a caller, through the entry that relayed.
    Reply(Reply),
    /// Tells the home of some flows which agent holds them.
    Pin(Pin),
    /// Tells the home of some flows that they have ended.
    Unpin(Pin),
    /// A message of the membership protocol, opaque to this layer.
    Control(Bytes),
    /// A datagram of a caller, handed over by the fabric.
    Sprayed(Sprayed),
    /// A packet that is carried unread, or a message about its flow.
    Transit(Transit),
}

/// A caller's packet on its way along the agents of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Address of the caller, as the entry saw it.
    pub caller: SocketAddr,
    /// The service that the caller sent to.
    pub service: ServiceAddress,
    /// The entry that replies are sent through.
    pub entry: SocketAddr,
    /// Revision of the service's configuration that the entry used.
    pub revision: Revision,
    /// First agent in the order of all targets: keeper of the flow's pin.
    pub home: Hop,
    /// Agents to visit, in order; [`MAX_HOPS`] at most.
    pub path: Vec<Hop>,
    /// Index in `path` of the agent that this frame is addressed to.
    pub position: u8,
    /// Expected wait in milliseconds at each agent that passed an open on.
    pub waits: Vec<u32>,
    /// True on the last round: the agent takes the open or refuses it.
    pub settle: bool,
    /// The caller's packet, as received.
    pub packet: Bytes,
}

/// An agent on the path of a relayed packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hop {
    /// The backend server that the agent stands beside.
    pub target: TargetId,
    /// UDP address of the agent.
    pub address: SocketAddr,
}

/// A packet on its way to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// The service that the caller sent to; the source of the reply.
    pub service: ServiceAddress,
    /// The encoded caller packet.
    pub packet: Bytes,
}

/// Names the holder of some flows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// The service of the flows.
    pub service: ServiceAddress,
    /// The incarnation that holds them.
    pub holder: Token,
    /// UDP address of the holder.
    pub address: SocketAddr,
    /// The flows.
    pub flows: Vec<FlowKey>,
}

/// A datagram of a caller, handed over by the fabric, or one for it to deliver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sprayed {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// The service address at the other end.
    pub service: ServiceAddress,
    /// The datagram's payload.
    pub packet: Bytes,
}
