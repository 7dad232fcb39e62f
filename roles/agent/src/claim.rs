//! Claims what a predecessor beside the same backend server left at a peer.
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
use crate::agent::Turn;
use crate::park;
use crate::park::Claim;
use crate::park::Grant;
use crate::park::Part;
use crate::status::Counter;

/// An agent's claim to its predecessor's state.
#[derive(Debug)]
pub(crate) struct Claiming {
    until: Duration,
    /// Longest time between two parts.
    patience: Duration,
    /// Peers that have not answered the first question.
    asked: Vec<SocketAddr>,
    /// The peer that has the state, and the part that is awaited.
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
            until: now + settings.leave.claim,
            patience: settings.leave.claim,
            asked: Vec::new(),
            source: None,
        }
    }

    pub(crate) const fn next_deadline(&self) -> Duration {
        self.until
    }
}

impl Agent {
    /// Asks the peers of the first view.
    pub(crate) fn start_claim(&mut self, turn: &mut Turn<'_>) {
        let peers = self.possible_keepers();
        let claim = self.claim(0);
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        if claiming.source.is_some() || !claiming.asked.is_empty() {
            return;
        }
        if peers.is_empty() {
            self.claiming = None;
            return;
        }
        claiming.asked.clone_from(&peers);
        for to in peers {
            turn.push(Action::Claim { to, claim });
        }
    }

    fn claim(&self, index: u32) -> Claim {
        Claim {
            target: self.identity.id,
            incarnation: self.identity.incarnation,
            index,
        }
    }

    pub(crate) fn on_claimed(&mut self, turn: &mut Turn<'_>, peer: SocketAddr, grant: Grant) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        claiming.asked.retain(|&asked| asked != peer);
        match (grant, claiming.source) {
            (Grant::Part(part), None) if part.index == 0 => self.accept(turn, peer, part),
            (Grant::Part(part), Some(source))
                if source.peer == peer && source.index == part.index =>
            {
                self.accept(turn, peer, part);
            }
            (Grant::Part(_), _) => {}
            (_, Some(source)) if source.peer == peer => self.claiming = None,
            (_, None) if claiming.asked.is_empty() => self.claiming = None,
            (Grant::Nothing | Grant::Unreachable, _) => {}
        }
    }

    /// Takes a part over, and asks for the next.
    fn accept(&mut self, turn: &mut Turn<'_>, peer: SocketAddr, part: Part) {
        let next = part.index + 1;
        let is_last = next == part.count;
        if part.owner.target != self.identity.id || part.service != self.identity.service {
            return;
        }
        self.inherit(turn.now, part);
        if is_last {
            self.claiming = None;
            self.renewal.restart(turn.now, self.flows.slots());
            return;
        }
        if let Some(claiming) = &mut self.claiming {
            claiming.until = turn.now + claiming.patience;
            claiming.source = Some(Source { peer, index: next });
        }
        let claim = self.claim(next);
        turn.push(Action::Claim { to: peer, claim });
    }

    /// Holds the flows of a part from now on, under their old tokens.
    pub(crate) fn inherit(&mut self, now: Duration, part: Part) {
        for kept in part.flows {
            let flow = Flow {
                key: kept.key,
                token: kept.token,
                caller: kept.caller,
                last_seen: now,
                phase: if kept.closed {
                    Phase::Closed
                } else {
                    Phase::Open
                },
                pending: 0,
                home: None,
            };
            let taken = if kept.is_used() {
                self.flows.insert_over_half_open(flow)
            } else {
                self.flows.insert(flow)
            };
            if taken.is_err() {
                continue;
            }
            self.counters.add(Counter::Inherited);
            let seen = Seen::restore(kept.floor, kept.seen);
            self.ledger.restore_seen(kept.key, &seen);
            for record in kept.records {
                self.inherit_record(now, kept.key, &record);
            }
        }
    }

    fn inherit_record(&mut self, now: Duration, flow: wire::FlowKey, kept: &park::Record) {
        let key = record::Key {
            flow,
            request: kept.request,
        };
        let record = Record {
            idempotent: kept.idempotent,
            deadline: now + kept.remaining,
            state: kept.state(),
        };
        // False where the record is known already, which is newer.
        let _ = self.ledger.restore(now, key, record);
    }

    pub(crate) fn expire_claim(&mut self, turn: &mut Turn<'_>) {
        let is_over = |claiming: &Claiming| claiming.until <= turn.now;
        if self.claiming.as_ref().is_some_and(is_over) {
            self.claiming = None;
        }
    }
}
