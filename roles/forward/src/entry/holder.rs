//! Records which agent holds a flow, from what agents report.
//!
//! An agent that handles a copy of an opening packet late reports that it holds the flow,
//! although the caller uses another one. Such a report is not told from a true one, so
//! each agent that has made one counts as a possible holder until it denies the flow.
use std::mem;
use std::sync::Arc;
use std::time::Duration;

use wire::FlowId;
use wire::Hop;
use wire::Segment;
use wire::TargetId;
use wire::Transit;
use wire::segment::Kind;
use wire::transit::Forward;
use wire::transit::Held;
use wire::transit::NotHeld;

use super::Action;
use super::Entry;
use super::PacketContext;
use super::flow::Flow;
use super::flow::Phase;
use super::search;

/// Maximum number of earlier claims that are kept for one flow: a caller sends three
/// copies of an opening packet, and agents pass them on.
const MAX_EARLIER: usize = 8;

/// Agents that have reported that they hold a flow, before the one that did so last.
#[derive(Debug, Default)]
pub struct Claims {
    /// Those that have not denied the flow since, the latest one last.
    earlier: Vec<Claim>,
    /// Whether the backend server of one that has denied the flow had restarted since
    /// its report.
    has_restarted: bool,
}

/// Report of an agent that it holds a flow.
#[derive(Clone, Copy, Debug)]
struct Claim {
    holder: Hop,
    /// Start time of the holder's backend server, if it was reported.
    start: Option<u64>,
}

impl Claims {
    /// Adds the claim that another agent's report replaces.
    fn push(&mut self, claim: Claim) {
        self.remove(claim.holder.target);
        if self.earlier.len() < MAX_EARLIER {
            self.earlier.push(claim);
        }
    }

    /// Forgets that a claimant's backend server has restarted: another one has answered
    /// on the flow since.
    pub const fn forget_restart(&mut self) {
        self.has_restarted = false;
    }

    fn remove(&mut self, target: TargetId) {
        self.earlier.retain(|claim| claim.holder.target != target);
    }
}

impl Entry {
    /// Records the holder of a flow and sends it the queued packets.
    pub(super) fn record_holder(&mut self, now: Duration, held: &Held, actions: &mut Vec<Action>) {
        if let Some(load) = held.load {
            self.placement.record_load(now, held.holder.target, load);
        }
        if self.routes.table.has_priorities {
            self.record_admitted(now, held);
        }
        let mut previous = self.flows.remove(&held.flow);
        self.store_flow(now, held.flow, Phase::Held(held.holder));
        if let Some(flow) = self.flows.get_mut(&held.flow) {
            flow.server_start = held.start;
            if let Some(previous) = &mut previous {
                flow.continue_from(previous, held);
            }
        }
        let searching = match previous.map(|flow| flow.phase) {
            Some(Phase::Searching(searching) | Phase::Undecided(searching)) => searching,
            Some(Phase::Opening(opening)) => {
                let took = now.saturating_sub(opening.sent_at);
                let is_evacuated = self.routes.is_evacuated(held.holder.target);
                return actions.push(Action::Accepted { took, is_evacuated });
            }
            Some(Phase::Held(former)) if former.target != held.holder.target => {
                return actions.push(Action::HolderReplaced {
                    flow: held.flow,
                    former: former.target,
                    holder: held.holder.target,
                });
            }
            _ => return,
        };
        actions.push(Action::HolderFound {
            flow: held.flow,
            holder: held.holder.target,
            took: now.saturating_sub(searching.asked_at),
        });
        for packet in searching.queued {
            actions.push(Action::Send {
                to: held.holder.address,
                transit: Transit::Forward(Forward {
                    target: held.holder.target,
                    entry: self.address,
                    packet,
                }),
            });
        }
    }

    /// Handles a denial by an agent that has reported to hold a flow. Once the recorded
    /// holder denies it, the agent that claimed it before is the holder. If there is none,
    /// the flow is reset if a claimant's backend server has restarted since, and searched
    /// for elsewhere if not.
    pub(super) fn handle_not_held(
        &mut self,
        now: Duration,
        denial: NotHeld,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.flows.get_mut(&denial.flow) else {
            return;
        };
        match &state.phase {
            Phase::Held(holder) if holder.target == denial.target => {}
            _ => return state.claims.remove(denial.target),
        }
        let is_known = state.server_start.is_some() && denial.start.is_some();
        let is_same = state.progress.is_continued_by(denial.acknowledged);
        let has_restarted = is_known && is_same && denial.start != state.server_start;
        state.claims.has_restarted |= has_restarted;
        if let Some(earlier) = state.claims.earlier.pop() {
            state.phase = Phase::Held(earlier.holder);
            state.server_start = earlier.start;
            actions.push(Action::HolderReplaced {
                flow: denial.flow,
                former: denial.target,
                holder: earlier.holder.target,
            });
            if !denial.packet.is_empty() {
                let context = context_of(now, denial, actions);
                self.send_to_holder(earlier.holder, context);
            }
            return;
        }
        if denial.packet.is_empty() {
            // There is no packet to search with. The caller's next packet starts the
            // search.
            self.flows.remove(&denial.flow);
            return;
        }
        if is_same && state.claims.has_restarted {
            self.flows.remove(&denial.flow);
            return actions.push(search::reset_ended(denial.flow, denial.acknowledged));
        }
        let routes = Arc::clone(&self.routes);
        let excluded = Some(denial.target);
        let context = context_of(now, denial, actions);
        self.start_search(&routes, excluded, context);
    }
}

impl Flow {
    /// Keeps what is known of a flow whose holder was reported again.
    fn continue_from(&mut self, previous: &mut Self, held: &Held) {
        self.is_closing = previous.is_closing;
        self.progress = previous.progress;
        self.claims = mem::take(&mut previous.claims);
        self.claims.remove(held.holder.target);
        let starts = previous.server_start.zip(held.start);
        match previous.phase {
            Phase::Held(former) if former.target != held.holder.target => {
                self.claims.push(Claim {
                    holder: former,
                    start: previous.server_start,
                });
            }
            // One of the reports is about an earlier time, and which one is not known.
            Phase::Held(_) if starts.is_some_and(|(known, reported)| known != reported) => {
                self.server_start = None;
            }
            _ => {}
        }
    }
}

/// Returns the context of a packet that an agent has returned.
fn context_of(now: Duration, denial: NotHeld, actions: &mut Vec<Action>) -> PacketContext<'_> {
    let segment = Segment {
        acknowledged: denial.acknowledged,
        ..search_header(&denial.flow)
    };
    PacketContext {
        now,
        segment,
        packet: denial.packet,
        actions,
    }
}

/// Returns a header with the fields that a search needs.
const fn search_header(flow: &FlowId) -> Segment {
    Segment {
        source: flow.caller,
        destination: flow.service,
        kind: Kind::Data,
        is_returned: false,
        sequence: 0,
        acknowledged: 0,
        length: 0,
        echo: 0,
    }
}
