//! Frames that carry the packets of callers unread between entries and agents.
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::Hop;
use crate::TargetId;
use crate::segment::FlowId;

const MICROS_PER_SECOND: u32 = 1_000_000;

/// A frame about a carried flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transit {
    /// An opening packet on its way along some agents.
    Open(Open),
    /// A packet for the agent that is believed to hold its flow.
    Carry(Carry),
    /// A packet whose holder an agent is to find among those of its service.
    Search(Search),
    /// A packet whose holder is not known: only the holder delivers it.
    Seek(Seek),
    /// Names the holder of a flow.
    Held(Held),
    /// Says that an agent does not hold a flow, or returns its packet.
    Absent(Absent),
    /// Says that no agent of a service holds a flow.
    Unheld(Unheld),
    /// Tells the load of a backend server that did not take a flow.
    Busy(Busy),
}

/// An opening packet on its way along some agents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// The entry that is told who holds the flow.
    pub entry: SocketAddr,
    /// Agents to visit, in order.
    pub path: Vec<Hop>,
    /// Index in `path` of the agent that this frame is addressed to.
    pub position: u8,
    /// Bid of each agent that passed the packet on, in milliseconds.
    pub bids: Vec<u32>,
    /// True once all agents have bid: this one takes the flow or refuses it.
    pub is_settled: bool,
    /// Longest wait for a slot that is of use to the caller, in milliseconds.
    pub patience_ms: u32,
    /// The caller's packet.
    pub packet: Bytes,
}

/// A packet for a flow that is open or opening.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Carry {
    /// The backend server that the frame is meant for.
    pub target: TargetId,
    /// The entry that the packet came through.
    pub entry: SocketAddr,
    /// The caller's packet.
    pub packet: Bytes,
}

/// A packet whose holder an agent is to find among those of its service, so that
/// the entry sends one frame and not one to each of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Search {
    /// The backend server whose agent searches.
    pub target: TargetId,
    /// The entry that the packet came through; the holder names itself to it.
    pub entry: SocketAddr,
    /// How the agents are asked.
    pub terms: Terms,
    /// Agents of the service that the entry knows.
    pub known: u16,
    /// The caller's packet.
    pub packet: Bytes,
}

/// A packet whose holder is not known: only the holder delivers it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seek {
    /// The backend server that the frame is meant for.
    pub target: TargetId,
    /// The entry that the packet came through; the holder names itself to it.
    pub entry: SocketAddr,
    /// The agent that searches; who surely does not hold the flow says so to it.
    pub asker: SocketAddr,
    /// How the agent is asked.
    pub terms: Terms,
    /// The caller's packet.
    pub packet: Bytes,
}

/// How agents are asked whether they hold a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Whether an agent that cannot know may try the packet at its backend
    /// server, which hands back what it does not hold.
    pub may_try: bool,
    /// An agent that surely does not hold the flow says so where its backend
    /// server has run for this time at most, in milliseconds.
    pub max_age_ms: u32,
}

/// Names the holder of a flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The flow.
    pub flow: FlowId,
    /// The holder, and where its agent is.
    pub holder: Hop,
    /// When the holder's backend server started, by its own clock, if known.
    pub start: Option<u64>,
    /// The holder's load, where it says so itself.
    pub load: Option<Load>,
}

/// Says that an agent does not hold a flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Absent {
    /// The flow.
    pub flow: FlowId,
    /// The backend server that does not hold the flow.
    pub target: TargetId,
    /// Position up to which the caller has received.
    pub acknowledged: u32,
    /// Longest time for which the backend server can have run, in milliseconds,
    /// where it surely does not hold the flow.
    pub age_ms: Option<u32>,
    /// When it started, by its own clock, likewise.
    pub start: Option<u64>,
    /// The caller's packet; empty in the answer to a [`Seek`].
    pub packet: Bytes,
}

/// Says that no agent of a service holds a flow, which has ended therefore.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unheld {
    /// The flow.
    pub flow: FlowId,
    /// The backend server whose agent has searched.
    pub target: TargetId,
    /// Position up to which the caller has received.
    pub acknowledged: u32,
}

/// Tells the load of a backend server that did not take a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Busy {
    /// The backend server.
    pub target: TargetId,
    /// Its load.
    pub load: Load,
}

/// Load of a backend server, as its agent sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run or wait.
    pub running: u16,
    /// Requests that run at a time.
    pub slots: u16,
    /// Mean service time of a request, in microseconds.
    pub service_us: u32,
    /// Work that the held flows are expected to bring, as a wait in
    /// microseconds.
    pub held_us: u32,
    /// What a request is expected to lose through failures, as a wait in
    /// microseconds.
    pub risk_us: u32,
}

impl Load {
    /// Expected wait of a request that comes now, before it begins to run.
    #[must_use]
    pub fn wait(&self) -> Duration {
        let ahead = self.running.saturating_add(1).saturating_sub(self.slots);
        self.service_time() * u32::from(ahead) / u32::from(self.slots.max(1))
    }

    /// Requests that can be served in a second, at least 1.
    #[must_use]
    pub fn rate(&self) -> u32 {
        let service_us = self.service_us.max(1);
        u32::from(self.slots)
            .saturating_mul(MICROS_PER_SECOND / service_us)
            .max(1)
    }

    /// Mean service time of a request.
    #[must_use]
    pub const fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_us as u64)
    }

    /// What a request is expected to lose through failures, as a wait.
    #[must_use]
    pub const fn risk(&self) -> Duration {
        Duration::from_micros(self.risk_us as u64)
    }

    /// Work that the held flows are expected to bring, as a wait.
    #[must_use]
    pub const fn held(&self) -> Duration {
        Duration::from_micros(self.held_us as u64)
    }
}
