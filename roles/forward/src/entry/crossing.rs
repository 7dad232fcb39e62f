//! What it costs to send a new flow to another availability zone.
use route::placement::Need;
use wire::FlowId;
use wire::Hop;
use wire::transit::Crossing;

use super::Entry;
use super::Reason;
use crate::Routes;

/// Number of agents of a path that [`Crossing::outside`] has bits for.
const MAX_HOPS: usize = 8;

impl Entry {
    /// Returns what is known about a new flow.
    pub(super) fn need(&self, routes: &Routes, flow: &FlowId) -> Need {
        let Some(route) = routes.route(flow.service) else {
            return Need::default();
        };
        let service = route.select_service(flow);
        let demand = service.and_then(|service| routes.table.demand(route, service));
        let size = self.sizes.get(&flow.service).copied().unwrap_or_default();
        Need {
            target_latency: route.target_latency,
            // Frames carry the cost of crossing only with a demand.
            are_bids_priced: demand.is_some(),
            requests: size.requests(),
            request_bytes: size.request_bytes(),
        }
    }

    /// Returns the cost of leaving the own availability zone on a path; `None` where
    /// the frame cannot carry it.
    pub(super) fn crossing(
        &self,
        routes: &Routes,
        flow: &FlowId,
        path: &[Hop],
    ) -> Option<Crossing> {
        let need = self.need(routes, flow);
        let outside = path.iter().take(MAX_HOPS).enumerate();
        let outside = outside.filter(|(_, hop)| self.is_outside(routes, flow, hop));
        let service = routes.route(flow.service)?.select_service(flow);
        let cost = self.placement.crossing_cost(&need, service);
        need.are_bids_priced.then(|| Crossing {
            cost_ms: u32::try_from(cost.as_millis()).unwrap_or(u32::MAX),
            outside: outside.fold(0, |bits, (index, _)| bits | 1 << index),
        })
    }

    /// Counts a new flow that is sent to the first agent of its path.
    pub(super) fn record_placed(&mut self, routes: &Routes, flow: &FlowId, first: &Hop) {
        let route = routes.route(flow.service);
        let Some(service) = route.and_then(|route| route.select_service(flow)) else {
            return;
        };
        let mut ready = routes.ready_targets(service);
        let has_home = ready.any(|target| target.zone == self.zone);
        let mut known = routes.targets_of(service);
        let Some(target) = known.find(|target| target.id == first.target) else {
            return;
        };
        let reason = match target.zone == self.zone {
            true => Reason::Home,
            false if has_home => Reason::Overflow,
            false => Reason::HomeHasNone,
        };
        self.tally.record(target.zone, reason);
    }

    /// Returns true if an agent is in another availability zone than this entry.
    fn is_outside(&self, routes: &Routes, flow: &FlowId, hop: &Hop) -> bool {
        let route = routes.route(flow.service);
        let mut targets = route
            .into_iter()
            .flat_map(|one| routes.possible_holders(one));
        targets.any(|target| target.id == hop.target && target.zone != self.zone)
    }
}
