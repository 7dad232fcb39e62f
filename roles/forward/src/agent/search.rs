//! Searches for the holder of a flow among the agents of the service, on behalf
//! of an entry that does not know it.
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wire::FlowId;
use wire::Hop;
use wire::Segment;
use wire::TargetId;
use wire::Transit;
use wire::segment::Kind;
use wire::transit::Forward;
use wire::transit::HolderAbsent;
use wire::transit::Lookup;
use wire::transit::NotHeld;
use wire::transit::Search;

use super::Action;
use super::Agent;
use super::DropReason;
use super::lookup::Inquiry;

/// Maximum number of concurrent searches of one agent. When it is reached, an
/// entry retries at another agent after a timeout.
const MAX_SEARCHES: usize = 4 * 1024;

/// Other agents of the service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Agents that may hold flows.
    pub hops: Arc<Vec<Hop>>,
    /// Whether an agent is marked down, which may only be unreachable and still
    /// hold flows.
    pub has_down_agent: bool,
}

/// Search that has not ended yet.
#[derive(Debug)]
pub(super) struct Pending {
    started_at: Duration,
    entry: SocketAddr,
    acknowledged: u32,
    /// Maximum age of a backend server whose denial counts, in milliseconds.
    max_age_ms: u32,
    /// Whether denials of all known agents are conclusive: this agent knows as
    /// many agents as the entry, and none is marked down.
    is_complete: bool,
    /// Backend servers that are certain not to hold the flow.
    denied: Vec<TargetId>,
}

impl Agent {
    /// Handles an entry's request to search: looks the flow up here and asks
    /// all other agents of the service.
    pub(super) fn handle_search(
        &mut self,
        now: Duration,
        search: Search,
        segment: Segment,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_caller();
        if search.target != self.own.target {
            return;
        }
        if segment.kind == Kind::Open {
            return actions.push(Action::Dropped(DropReason::LateOpening));
        }
        if self.searches.len() >= MAX_SEARCHES {
            return actions.push(Action::Dropped(DropReason::SearchLimit));
        }
        let known = self.peers.hops.len() + 1;
        let knows_all = known >= usize::from(search.known_agents);
        let is_complete = knows_all && !self.peers.has_down_agent;
        let mut terms = search.terms;
        terms.may_probe &= knows_all;
        let pending = Pending {
            started_at: now,
            entry: search.entry,
            acknowledged: segment.acknowledged,
            max_age_ms: terms.max_age_ms,
            is_complete,
            denied: Vec::new(),
        };
        self.searches.insert(flow, pending);
        let lookup = Lookup {
            target: search.target,
            entry: search.entry,
            searcher: self.own.address,
            terms,
            packet: search.packet,
        };
        let is_held = self.flows.contains_key(&flow);
        let has_ended = self.has_ended(now, &flow, &segment);
        let inquiry = Inquiry {
            terms,
            reply_to: Some(self.own.address),
        };
        let forward = Forward {
            target: lookup.target,
            entry: lookup.entry,
            packet: lookup.packet.clone(),
        };
        let age = self.look_up_locally(now, forward, inquiry, segment, actions);
        if is_held || has_ended {
            self.searches.remove(&flow);
            return;
        }
        for hop in self.peers.hops.iter() {
            actions.push(Action::Send {
                to: hop.address,
                transit: Transit::Lookup(Lookup {
                    target: hop.target,
                    ..lookup.clone()
                }),
            });
        }
        if age.is_some() {
            self.record_own_denial(now, flow, actions);
        }
    }

    /// Records that another agent does not hold a flow.
    pub(super) fn record_peer_denial(
        &mut self,
        now: Duration,
        denial: &NotHeld,
        actions: &mut Vec<Action>,
    ) {
        self.record_denial(now, denial.flow, denial.target, denial.age_ms, actions);
    }

    /// Records that this agent's own backend server does not hold a flow.
    pub(super) fn record_own_denial(
        &mut self,
        now: Duration,
        flow: FlowId,
        actions: &mut Vec<Action>,
    ) {
        let age = self.max_age_as_proof(now).map(crate::millis);
        self.record_denial(now, flow, self.own.target, age, actions);
    }

    /// Records a denial and, once all agents of the service have denied the
    /// flow, notifies the entry and ends the search.
    fn record_denial(
        &mut self,
        now: Duration,
        flow: FlowId,
        target: TargetId,
        age_ms: Option<u32>,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.searches.get_mut(&flow) else {
            return;
        };
        let is_young = age_ms.is_some_and(|age| age <= pending.max_age_ms);
        if !is_young || pending.denied.contains(&target) {
            return;
        }
        pending.denied.push(target);
        let mut others = self.peers.hops.iter();
        let is_denied = pending.denied.contains(&self.own.target)
            && others.all(|hop| pending.denied.contains(&hop.target));
        if !is_denied || !pending.is_complete {
            return;
        }
        actions.push(Action::HolderAbsent {
            flow,
            agents: pending.denied.len(),
            took: now.saturating_sub(pending.started_at),
        });
        actions.push(Action::Send {
            to: pending.entry,
            transit: Transit::HolderAbsent(HolderAbsent {
                flow,
                target: self.own.target,
                acknowledged: pending.acknowledged,
            }),
        });
        self.searches.remove(&flow);
    }

    /// Removes the searches that have timed out.
    pub(super) fn expire_searches(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let limit = self.settings.search_timeout;
        let agents = self.peers.hops.len() + 1;
        self.searches.retain(|flow, pending| {
            let is_waiting = now < pending.started_at + limit;
            // A search without a maximum age cannot be decided by denials, so
            // its expiry is not reported.
            if !is_waiting && pending.max_age_ms > 0 {
                actions.push(Action::SearchExpired {
                    flow: *flow,
                    denied: pending.denied.len(),
                    agents,
                    is_complete: pending.is_complete,
                });
            }
            is_waiting
        });
    }
}
