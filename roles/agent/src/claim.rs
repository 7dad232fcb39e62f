//! Claims the state that a predecessor beside the same backend server parked at
//! a peer.
use std::net::SocketAddr;
use std::time::Duration;

use flow::Flow;
use flow::Record;
use flow::record;
use flow::seen::Seen;
use flow::table::Phase;

use crate::Action;
use crate::Agent;
use crate::Settings;
use crate::agent::Outbox;
use crate::park;
use crate::park::Claim;
use crate::park::Grant;
use crate::park::Part;
use crate::status::Counter;

/// Attempts at each part of a predecessor's state. A peer that was paused for longer
/// than one attempt still holds it.
const MAX_ATTEMPTS: u32 = 5;

/// Progress of an agent's claim to its predecessor's state.
#[derive(Debug)]
pub(crate) struct Claiming {
    deadline: Duration,
    /// Longest time to wait for the next part.
    part_timeout: Duration,
    /// Attempts at the awaited part so far.
    attempts: u32,
    /// Peers that have not answered the claim to the first part.
    pending_peers: Vec<SocketAddr>,
    /// The peer that holds the state, and the index of the awaited part.
    source: Option<Source>,
}

#[derive(Clone, Copy, Debug)]
struct Source {
    peer: SocketAddr,
    index: u32,
}

impl Claiming {
    pub(crate) fn new(settings: &Settings, now: Duration) -> Self {
        Self {
            deadline: now + settings.leave.claim_timeout,
            part_timeout: settings.leave.claim_timeout,
            attempts: 1,
            pending_peers: Vec::new(),
            source: None,
        }
    }

    pub(crate) const fn next_deadline(&self) -> Duration {
        self.deadline
    }
}

impl Agent {
    /// Sends the claim to the first part to the peers of the first view.
    pub(crate) fn start_claim(&mut self, outbox: &mut Outbox<'_>) {
        let peers = self.claim_peers();
        let claim = self.claim(0);
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        if claiming.source.is_some() || !claiming.pending_peers.is_empty() {
            return;
        }
        if peers.is_empty() {
            self.claiming = None;
            return;
        }
        claiming.pending_peers.clone_from(&peers);
        for to in peers {
            outbox.push(Action::Claim { to, claim });
        }
    }

    fn claim(&self, index: u32) -> Claim {
        Claim {
            target: self.identity.id,
            incarnation: self.identity.incarnation,
            index,
        }
    }

    pub(crate) fn on_claimed(&mut self, outbox: &mut Outbox<'_>, peer: SocketAddr, grant: Grant) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        // The peer is asked again at the deadline.
        if grant == Grant::Unanswered {
            return;
        }
        claiming.pending_peers.retain(|&asked| asked != peer);
        match (grant, claiming.source) {
            (Grant::Part(part), None) if part.index == 0 => self.accept_part(outbox, peer, part),
            (Grant::Part(part), Some(source))
                if source.peer == peer && source.index == part.index =>
            {
                self.accept_part(outbox, peer, part);
            }
            (Grant::Part(_), _) => {}
            (_, Some(source)) if source.peer == peer => self.claiming = None,
            (_, None) if claiming.pending_peers.is_empty() => self.claiming = None,
            (Grant::Nothing | Grant::Unreachable | Grant::Unanswered, _) => {}
        }
    }

    /// Adopts the flows of a part and claims the next one.
    fn accept_part(&mut self, outbox: &mut Outbox<'_>, peer: SocketAddr, part: Part) {
        let next = part.index + 1;
        let is_last = next == part.count;
        if part.owner.target != self.identity.id || part.service != self.identity.service {
            return;
        }
        self.inherit(outbox.now, part);
        if is_last {
            self.claiming = None;
            self.renewal.restart(outbox.now, self.flows.slots());
            return;
        }
        if let Some(claiming) = &mut self.claiming {
            claiming.deadline = outbox.now + claiming.part_timeout;
            claiming.attempts = 1;
            claiming.source = Some(Source { peer, index: next });
        }
        let claim = self.claim(next);
        outbox.push(Action::Claim { to: peer, claim });
    }

    /// Adopts the flows of a part under their existing tokens.
    pub(crate) fn inherit(&mut self, now: Duration, part: Part) {
        for parked in part.flows {
            let flow = Flow {
                key: parked.key,
                token: parked.token,
                caller: parked.caller,
                last_seen: now,
                phase: if parked.closed {
                    Phase::Closed
                } else {
                    Phase::Open
                },
                pending: 0,
                home: None,
            };
            let inserted = if parked.is_used() {
                self.flows.insert_over_half_open(flow)
            } else {
                self.flows.insert(flow)
            };
            if inserted.is_err() {
                continue;
            }
            self.counters.add(Counter::Inherited);
            let seen = Seen::restore(parked.floor, parked.seen);
            self.ledger.restore_seen(parked.key, &seen);
            for record in parked.records {
                self.inherit_record(now, parked.key, &record);
            }
        }
    }

    fn inherit_record(&mut self, now: Duration, flow: wire::FlowKey, parked: &park::Record) {
        let key = record::Key {
            flow,
            request: parked.request,
        };
        let record = Record {
            idempotent: parked.idempotent,
            deadline: now + parked.remaining,
            state: parked.state(),
        };
        // Returns false if the ledger already has a record, which is newer.
        let _ = self.ledger.restore(now, key, record);
    }

    /// Repeats a claim that was not answered in time, or waits on for the first view,
    /// and gives it up after [`MAX_ATTEMPTS`].
    pub(crate) fn expire_claim(&mut self, outbox: &mut Outbox<'_>) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        if outbox.now < claiming.deadline {
            return;
        }
        let (peers, index) = match claiming.source {
            Some(source) => (vec![source.peer], source.index),
            None => (claiming.pending_peers.clone(), 0),
        };
        if claiming.attempts >= MAX_ATTEMPTS {
            self.claiming = None;
            return;
        }
        claiming.attempts += 1;
        claiming.deadline = outbox.now + claiming.part_timeout;
        let claim = self.claim(index);
        for to in peers {
            outbox.push(Action::Claim { to, claim });
        }
    }
}
