//! Frames about forwarded flows, whose packets entries and agents relay without
//! reading the content.
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::Hop;
use crate::Priority;
use crate::TargetId;
use crate::batch;
use crate::priority;
use crate::segment::FlowId;
use crate::trailing;

const MICROS_PER_SECOND: u32 = 1_000_000;

/// Largest number of agents on the path of an opening packet. Entries name a few;
/// agents of evacuated availability zones add others.
pub const MAX_PATH: usize = 12;

/// A frame about a forwarded flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transit {
    /// Offers an opening packet to agents, one after another.
    Open(Open),
    /// Forwards a packet to the agent that is believed to hold its flow.
    Forward(Forward),
    /// Asks one agent to search all agents of its service for the holder of a
    /// packet's flow.
    Search(Search),
    /// Lookup of the holder: asks one agent to deliver a packet only if it
    /// holds the flow.
    Lookup(Lookup),
    /// Reports the holder of a flow.
    Held(Held),
    /// Reports that an agent does not hold a flow, or returns its packet.
    NotHeld(NotHeld),
    /// Reports that no agent of a service holds a flow.
    HolderAbsent(HolderAbsent),
    /// Reports the load of a backend server that did not accept a flow.
    Busy(Busy),
    /// Asks one agent to search all agents of its service for the holders of many
    /// flows.
    SearchBatch(batch::Search),
    /// Asks one agent which of many flows its backend server holds.
    LookupBatch(batch::Lookup),
    /// Answers a [`Transit::LookupBatch`].
    Answer(Box<batch::Answer>),
    /// Reports to an entry what agents know about the flows of a batch.
    Report(batch::Report),
    /// Asks one agent to probe its backend server for many flows.
    Probes(batch::Probes),
}

/// An opening packet that is offered to agents, one after another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// The entry that the holder of the flow reports to.
    pub entry: SocketAddr,
    /// Agents to visit, in order.
    pub path: Vec<Hop>,
    /// Index in `path` of the agent that this frame is addressed to.
    pub position: u8,
    /// Bid of each agent that the packet has visited, in the order of `path`, in
    /// milliseconds; `u32::MAX` from an agent that accepts no flows.
    pub bids: Vec<u32>,
    /// True once all agents have bid: the open goes to the lowest bidder, or to
    /// the next lowest where that one can no longer accept it.
    pub is_settled: bool,
    /// Longest wait for a slot that is useful to the caller, in milliseconds.
    pub max_wait_ms: u32,
    /// The caller's packet.
    pub packet: Bytes,
    /// What the configuration states about the flow; `None` where nothing there
    /// distinguishes it from others. A process of a version without it ignores it,
    /// and reads as `None` what such a process sends.
    #[serde(with = "trailing", skip_serializing_if = "Option::is_none")]
    pub demand: Option<Demand>,
    /// What it costs to leave the entry's availability zone; `None` where bids are
    /// compared without regard to zones. Absent fields leave no trace, so this one
    /// may only be stated where `demand` is. Must stay the last field of the frame.
    #[serde(with = "trailing", skip_serializing_if = "Option::is_none")]
    pub crossing: Option<Crossing>,
}

/// Cost of sending a new flow out of the availability zone of its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crossing {
    /// Cost expressed as a wait, in milliseconds.
    pub cost_ms: u32,
    /// Agents of the path that are in another zone than the entry: bit 0 for the
    /// first. Agents after the eighth count as being in the entry's zone.
    pub outside: u8,
}

/// What the configuration states about the requests of a new flow and about the
/// service that it goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Load-shedding priority of the route.
    #[serde(with = "priority")]
    pub priority: Priority,
    /// Time in milliseconds within which an answer has its full value to the caller.
    pub latency_target_ms: u32,
    /// Whether callers may repeat a request that has run.
    pub is_idempotent: bool,
    /// New flows per 1,000 seconds that a cold backend server of the service bears;
    /// 0 where the configuration states no rate.
    pub cold_rate: u32,
}

impl Open {
    /// Returns the cost in milliseconds of sending the flow to an agent of the path:
    /// 0 in the entry's availability zone.
    #[must_use]
    pub fn crossing_ms(&self, index: usize) -> u32 {
        let crossing = self.crossing.filter(|crossing| {
            let bit = u32::try_from(index)
                .ok()
                .and_then(|index| 1_u8.checked_shl(index));
            crossing.outside & bit.unwrap_or(0) != 0
        });
        crossing.map_or(0, |crossing| crossing.cost_ms)
    }

    /// Returns true if the fields agree with each other: the frame is addressed to an
    /// agent on its path, and has a bid of each agent before that one, or of all
    /// agents once it is settled.
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        let position = usize::from(self.position);
        let bids = if self.is_settled {
            self.path.len()
        } else {
            position
        };
        position < self.path.len() && self.path.len() <= MAX_PATH && self.bids.len() == bids
    }
}

/// A packet for a flow that is open or opening.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The backend server that the frame is addressed to.
    pub target: TargetId,
    /// The entry that received the packet.
    pub entry: SocketAddr,
    /// The caller's packet.
    pub packet: Bytes,
}

/// A packet of a flow whose holder is unknown to the entry. One agent looks the
/// holder up among all agents of its service, so that the entry sends one frame
/// instead of one to each agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Search {
    /// The backend server whose agent searches.
    pub target: TargetId,
    /// The entry that received the packet; the holder reports itself to it.
    pub entry: SocketAddr,
    /// Options of the lookups.
    pub terms: Terms,
    /// Number of agents of the service that the entry knows.
    pub known_agents: u16,
    /// The caller's packet.
    pub packet: Bytes,
}

/// A packet of a flow whose holder is unknown; only the holder delivers it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// The backend server that the frame is addressed to.
    pub target: TargetId,
    /// The entry that received the packet; the holder reports itself to it.
    pub entry: SocketAddr,
    /// The agent that searches; agents that are certain not to hold the flow
    /// report so to it.
    pub searcher: SocketAddr,
    /// Options of the lookup.
    pub terms: Terms,
    /// The caller's packet.
    pub packet: Bytes,
}

/// Options of a lookup for the holder of a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Whether an agent that cannot tell may probe its backend server: deliver
    /// the packet, which the server returns if it does not hold the flow.
    pub may_probe: bool,
    /// Largest age of a backend server, in milliseconds since its start, at
    /// which its agent reports that it is certain not to hold the flow; agents
    /// of older backend servers do not reply.
    pub max_age_ms: u32,
}

/// Report of the holder of a flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The flow.
    pub flow: FlowId,
    /// The holder, with the address of its agent.
    pub holder: Hop,
    /// Start time of the holder's backend server in milliseconds since the Unix
    /// epoch, by the server's own clock; `None` where unknown.
    pub start: Option<u64>,
    /// Load of the holder, where the holder itself sends the report. Must stay the
    /// last field.
    pub load: Option<Load>,
}

/// Report that an agent does not hold a flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotHeld {
    /// The flow.
    pub flow: FlowId,
    /// The backend server that does not hold the flow.
    pub target: TargetId,
    /// Position in its incoming stream up to which the caller has received.
    pub acknowledged: u32,
    /// Upper bound of the time since the backend server started, in
    /// milliseconds; `None` unless it is certain not to hold the flow.
    pub age_ms: Option<u32>,
    /// Start time of the backend server in milliseconds since the Unix epoch,
    /// by its own clock; `None` where `age_ms` is `None`.
    pub start: Option<u64>,
    /// The caller's packet; empty in the reply to a [`Lookup`].
    pub packet: Bytes,
}

/// Report that no agent of a service holds a flow, which has therefore ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderAbsent {
    /// The flow.
    pub flow: FlowId,
    /// The backend server whose agent has searched.
    pub target: TargetId,
    /// Position in its incoming stream up to which the caller has received.
    pub acknowledged: u32,
}

/// Load of a backend server that did not accept a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Busy {
    /// The backend server.
    pub target: TargetId,
    /// Load of the backend server. Must stay the last field.
    pub load: Load,
    /// Lowest load-shedding priority whose new flows are refused there, because none
    /// could be answered before its caller gives up; `None` where there is none, or
    /// where the flow had no [`Demand`]. Must stay the last field of the frame.
    #[serde(with = "priority::last", skip_serializing_if = "Option::is_none")]
    pub refused_from: Option<Priority>,
}

/// Load of a backend server, as measured by its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that run or wait.
    pub running: u16,
    /// Number of requests that the backend server runs concurrently.
    pub slots: u16,
    /// Mean service time of a request, in microseconds.
    pub service_us: u32,
    /// Additional wait that requests of the held flows are expected to cause,
    /// in microseconds.
    pub held_us: u32,
    /// Expected cost of failures to a request, as a wait in microseconds.
    pub risk_us: u32,
    /// Share of the slots that were in use lately, in thousandths; `None` where not
    /// measured. Must stay the last field, and a load the last field of its frame: a
    /// process of a version without it ignores it.
    #[serde(with = "trailing", skip_serializing_if = "Option::is_none")]
    pub used_permille: Option<u16>,
}

impl Load {
    /// Returns the expected time in the queue of a request that arrives now.
    #[must_use]
    pub fn wait(&self) -> Duration {
        let ahead = self.running.saturating_add(1).saturating_sub(self.slots);
        self.service_time() * u32::from(ahead) / u32::from(self.slots.max(1))
    }

    /// Returns the service rate in requests a second; at least 1.
    #[must_use]
    pub fn rate(&self) -> u32 {
        let service_us = self.service_us.max(1);
        u32::from(self.slots)
            .saturating_mul(MICROS_PER_SECOND / service_us)
            .max(1)
    }

    /// Returns the mean service time of a request.
    #[must_use]
    pub const fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_us as u64)
    }

    /// Returns the expected cost of failures to a request, as a wait.
    #[must_use]
    pub const fn risk(&self) -> Duration {
        Duration::from_micros(self.risk_us as u64)
    }

    /// Returns the additional wait that requests of the held flows are expected
    /// to cause.
    #[must_use]
    pub const fn held(&self) -> Duration {
        Duration::from_micros(self.held_us as u64)
    }
}
