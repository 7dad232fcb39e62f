//! Inputs of an agent.
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use wire::Hop;
use wire::Segment;
use wire::TargetId;
use wire::batch;
use wire::transit::Forward;
use wire::transit::Lookup;
use wire::transit::NotHeld;
use wire::transit::Open;
use wire::transit::Search;

use super::Announcement;
use super::Peers;

/// Input of an agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// An opening packet arrived from an entry or another agent.
    Open {
        /// Received frame.
        open: Open,
        /// Header of the packet in the frame.
        segment: Segment,
    },
    /// A packet arrived for a flow that the backend server is believed to hold.
    Forward {
        /// Received frame.
        forward: Forward,
        /// Header of the packet in the frame.
        segment: Segment,
    },
    /// An entry asks this agent to search for the holder of a packet's flow.
    Search {
        /// Received frame.
        search: Search,
        /// Header of the packet in the frame.
        segment: Segment,
    },
    /// A searching agent asks whether the flow of a packet is held here.
    Lookup {
        /// Received frame.
        lookup: Lookup,
        /// Header of the packet in the frame.
        segment: Segment,
    },
    /// An entry asks this agent to search for the holders of many flows.
    SearchBatch(batch::Search),
    /// A searching agent asks which of many flows are held here.
    LookupBatch(batch::Lookup),
    /// Another agent answers which of many flows it holds.
    Answer(Box<batch::Answer>),
    /// Another agent reports that it does not hold a flow that is searched for
    /// here.
    PeerDenied(NotHeld),
    /// The set of other agents of the service changed.
    Peers(Peers),
    /// The availability zone of the backend server was evacuated; carries the agents
    /// of the service in other zones that accept new flows. `None` if it was
    /// restored.
    Evacuation(Option<Arc<Vec<Hop>>>),
    /// The backend server sent a packet, or returned one that it does not hold
    /// or accept.
    ServerPacket {
        /// Header of the packet.
        segment: Segment,
        /// Complete packet.
        packet: Bytes,
    },
    /// An entry asks about flows that this agent could not tell about, with a packet of
    /// each.
    Probes {
        /// The backend server that is asked about.
        target: TargetId,
        /// The entry that received the packets.
        entry: SocketAddr,
        /// Headers of the packets, and the packets.
        packets: Vec<(Segment, Bytes)>,
    },
    /// The backend server announced its state.
    Announcement(Announcement),
    /// The backend server announced its termination.
    ServerEnded,
    /// No process listens at the address of the backend server.
    ServerAbsent,
    /// A process listens at the address of the backend server.
    ServerListening,
    /// The process is shutting down.
    Stop,
    /// A timer fired. Expired state is removed if a sweep is due.
    Tick,
}
