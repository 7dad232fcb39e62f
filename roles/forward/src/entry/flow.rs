//! What an entry remembers of a flow.
use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use wire::Hop;
use wire::TargetId;

/// Packets of one flow that wait for its holder to be found. Each end has at
/// most this many under way.
const MAX_WAITING: usize = 16;

/// What an entry remembers of a flow.
#[derive(Debug)]
pub struct Flow {
    /// Where it is.
    pub phase: Phase,
    /// When its last packet came.
    pub used: Duration,
    /// Whether the caller has ended it.
    pub is_closing: bool,
}

/// Where a flow is.
#[derive(Debug)]
pub enum Phase {
    /// Its opening packet went to an agent that has not answered yet.
    Opening(Opening),
    /// An agent holds it.
    Held(Hop),
    /// Agents are asked for it.
    Seeking(Seeking),
    /// No agent holds it.
    Lost,
}

/// An opening packet under way.
#[derive(Debug)]
pub struct Opening {
    /// The agents that it visits; at least one.
    pub path: Vec<Hop>,
    /// Backend servers whose agents did not answer an earlier copy.
    pub tried: Vec<TargetId>,
    /// When it was sent.
    pub sent: Duration,
}

/// A search for the holder of a flow.
#[derive(Debug)]
pub struct Seeking {
    /// When agents were last asked.
    pub sent: Duration,
    /// Agents that have not answered.
    unanswered: usize,
    /// Backend servers that do not hold the flow.
    pub absent: HashSet<TargetId>,
    /// Packets to be sent once the holder is known.
    pub waiting: Vec<Bytes>,
}

impl Flow {
    /// A flow whose packet came now.
    pub const fn new(now: Duration, phase: Phase) -> Self {
        Self {
            phase,
            used: now,
            is_closing: false,
        }
    }
}

impl Seeking {
    /// A search in which `asked` agents were asked.
    pub const fn new(now: Duration, asked: usize, absent: HashSet<TargetId>) -> Self {
        Self {
            sent: now,
            unanswered: asked,
            absent,
            waiting: Vec::new(),
        }
    }

    /// Keeps a packet for the holder; false where too many wait.
    pub fn wait(&mut self, packet: Bytes) -> bool {
        let has_room = self.waiting.len() < MAX_WAITING;
        if has_room {
            self.waiting.push(packet);
        }
        has_room
    }

    /// Notes that a backend server does not hold the flow; true where that was
    /// the last to answer.
    pub fn answered(&mut self, target: TargetId) -> bool {
        if self.absent.insert(target) {
            self.unanswered = self.unanswered.saturating_sub(1);
        }
        self.unanswered == 0
    }
}
