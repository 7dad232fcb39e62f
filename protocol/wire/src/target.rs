//! What an agent announces of the backend server beside it.
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Hop;
use crate::Incarnation;
use crate::ServiceAddress;
use crate::TargetId;
use crate::ZoneId;

/// One backend server of one service, as announced by the agent beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Stable id; see [`crate::id::target_id`].
    pub id: TargetId,
    /// The service that it serves.
    pub service: ServiceAddress,
    /// UDP address of the agent for frames.
    pub address: SocketAddr,
    /// TCP address of the agent for calls between processes.
    pub control: SocketAddr,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Start time of the agent; orders the announcements of one target.
    pub incarnation: Incarnation,
    /// Counts the changes of this announcement within one incarnation.
    pub version: u32,
    /// Learned capacity in requests a second, in coarse steps; at least 1.
    pub weight: u32,
    /// Requests that the backend server runs at a time.
    pub slots: u16,
    /// Whether it takes new flows.
    pub state: State,
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// Takes new flows.
    Ready,
    /// Finishes the flows it holds and takes no new ones.
    Draining,
    /// Has left for good.
    Left,
}

impl Target {
    /// Its agent, on the path of a packet.
    #[must_use]
    pub const fn hop(&self) -> Hop {
        Hop {
            target: self.id,
            address: self.address,
        }
    }

    /// Orders two announcements of the same target: the larger one is newer.
    #[must_use]
    pub const fn stamp(&self) -> Stamp {
        Stamp {
            incarnation: self.incarnation,
            version: self.version,
        }
    }
}

/// Position of an announcement in the history of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Start time of the agent.
    pub incarnation: Incarnation,
    /// Change counter within the incarnation.
    pub version: u32,
}
