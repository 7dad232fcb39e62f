//! Passes new flows of an evacuated availability zone on to other zones.
//!
//! An entry that does not know of the evacuation yet sends a new flow to a path on
//! which all agents may be in the evacuated zone. They would refuse the flow, although
//! other zones can take it.
use route::hash::mix;
use wire::FlowId;
use wire::Hop;
use wire::transit::MAX_PATH;
use wire::transit::Open;

use super::Agent;
use super::admission::intended_target;

/// Number of agents in other zones that are asked to admit a flow: as many as an
/// entry puts on a path.
const ALTERNATIVES: usize = 3;

impl Agent {
    /// Completes the path of a new flow so that up to [`ALTERNATIVES`] agents of other
    /// zones have yet to bid. The flow selects them, which spreads the load of the
    /// zone evenly over all others; their bids decide among them.
    pub(super) fn redirect(&self, flow: &FlowId, mut open: Open) -> Open {
        let Some(others) = &self.evacuation else {
            return open;
        };
        // The other agents may not serve the service of an earlier backend server.
        if intended_target(&open) != Some(self.own.target) {
            return open;
        }
        // A settled flow was to be admitted here, by its bid. This agent takes the last
        // place on the path instead, so that the agents added after it can bid.
        let position = usize::from(open.position);
        let mut visited = open.path.clone();
        let mut bids = open.bids.clone();
        if open.is_settled && position < visited.len().min(bids.len()) {
            let own = visited.remove(position);
            visited.push(own);
            bids.remove(position);
        } else {
            visited.truncate(position + 1);
        }
        let ahead = open.path.get(visited.len()..).unwrap_or_default();
        let kept = ahead.iter().copied().filter(|hop| others.contains(hop));
        let mut next: Vec<Hop> = Vec::new();
        for hop in kept.chain(in_order_of(flow, others)) {
            // Agents that have bid already do not bid again.
            if next.len() < ALTERNATIVES && !visited.contains(&hop) && !next.contains(&hop) {
                next.push(hop);
            }
        }
        if next.is_empty() || visited.len() + next.len() > MAX_PATH {
            return open;
        }
        open.position = u8::try_from(visited.len() - 1).unwrap_or(u8::MAX);
        open.bids = bids;
        open.is_settled = false;
        open.path = visited;
        open.path.extend(next);
        open
    }
}

/// Returns agents in an order that differs from flow to flow.
fn in_order_of(flow: &FlowId, hops: &[Hop]) -> impl Iterator<Item = Hop> {
    let mut ranked: Vec<(u64, Hop)> = hops
        .iter()
        .map(|hop| (mix(flow.caller_key(), hop.target), *hop))
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, hop)| hop)
}
