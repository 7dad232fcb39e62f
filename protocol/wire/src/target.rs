//! The announcement that an agent makes of its backend server.
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Hop;
use crate::Incarnation;
use crate::ServiceAddress;
use crate::TargetId;
use crate::ZoneId;

/// One backend server of one service, as announced by its agent.
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
    /// Number of changes of this announcement within one incarnation.
    pub version: u32,
    /// Learned capacity in requests a second, in coarse steps; at least 1.
    pub weight: u32,
    /// Number of requests that the backend server runs concurrently.
    pub slots: u16,
    /// Whether the backend server accepts new flows.
    pub state: State,
}

/// Whether a backend server accepts new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// Accepts new flows.
    Ready,
    /// Completes the flows it holds and accepts no new ones.
    Draining,
    /// Has left the system.
    Left,
}

impl Target {
    /// Returns its agent as a hop on the path of a packet.
    #[must_use]
    pub const fn hop(&self) -> Hop {
        Hop {
            target: self.id,
            address: self.address,
        }
    }

    /// Returns the stamp of this announcement. Of two announcements of one
    /// target, the one with the larger stamp is newer.
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
