//! The datagrams that the system's processes exchange.
use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::FlowKey;
use crate::Revision;
use crate::ServiceAddress;
use crate::TargetId;
use crate::Token;
use crate::Transit;
use crate::revision;

/// Largest number of agents on the path of one relayed packet.
pub const MAX_HOPS: usize = 8;

/// Largest payload of a request, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 16 * 1024;

/// Largest datagram between processes or with callers, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 20 * 1024;

/// Content of one datagram between two processes of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A caller's packet that an entry or agent relays to an agent.
    Relay(Relay),
    /// A packet for a caller, sent through the entry that relayed the request.
    Reply(Reply),
    /// Tells the home agent of some flows which agent holds them.
    Pin(Pin),
    /// Tells the home agent of some flows that they have ended.
    Unpin(Pin),
    /// A message of the membership protocol, opaque to this layer.
    Control(Bytes),
    /// A datagram between a caller and a service address, encapsulated by or
    /// for the fabric.
    Encapsulated(Encapsulated),
    /// A packet that is forwarded without reading its content, or a message
    /// about its flow.
    Transit(Transit),
}

/// A caller's packet that is relayed along agents of a service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Address of the caller, as received by the entry.
    pub caller: SocketAddr,
    /// The service that the caller sent to.
    pub service: ServiceAddress,
    /// The entry that replies are sent through.
    pub entry: SocketAddr,
    /// Revision of the service's configuration that the entry used.
    #[serde_as(as = "revision::Compact")]
    pub revision: Revision,
    /// Home agent of the flow, which stores the flow's pin: the first in the
    /// flow's order of all targets.
    pub home: Hop,
    /// Agents to visit, in order; [`MAX_HOPS`] at most.
    pub path: Vec<Hop>,
    /// Index in `path` of the agent that this frame is addressed to.
    pub position: u8,
    /// Bid of each agent that an open has visited, in the order of `path`, in
    /// milliseconds: the expected wait there plus the load of the flows that it
    /// holds; `u32::MAX` from an agent that makes no bid.
    pub bids: Vec<u32>,
    /// True for a settled open, which has visited all agents of the path: the
    /// addressed agent accepts or refuses it.
    pub is_settled: bool,
    /// The caller's packet, as received.
    pub packet: Bytes,
}

/// An agent on the path of a relayed packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hop {
    /// Id of the backend server that the agent serves.
    pub target: TargetId,
    /// UDP address of the agent.
    pub address: SocketAddr,
}

/// A packet for a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// The service that the caller sent to; the source address of the reply.
    pub service: ServiceAddress,
    /// The encoded caller packet.
    pub packet: Bytes,
}

/// Pins of some flows: which agent holds them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// The service of the flows.
    pub service: ServiceAddress,
    /// Backend server and incarnation of the holder.
    pub holder: Token,
    /// UDP address of the holder.
    pub address: SocketAddr,
    /// Keys of the flows.
    pub flows: Vec<FlowKey>,
}

/// A datagram from or to a caller, with the addresses of both ends. The fabric
/// exchanges these with entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Encapsulated {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// The service address that the caller sends to or receives from.
    pub service: ServiceAddress,
    /// The datagram's payload.
    pub packet: Bytes,
}
