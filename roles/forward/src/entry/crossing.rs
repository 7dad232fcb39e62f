//! What it costs to send a new flow to another availability zone.
use route::placement::Need;
use wire::Hop;
use wire::ServiceAddress;
use wire::transit::Crossing;

use super::Entry;
use crate::Route;
use crate::Routes;

/// Number of agents of a path that [`Crossing::outside`] has bits for.
const MAX_HOPS: usize = 8;

impl Entry {
    /// Returns the cost of leaving the own availability zone on a path; `None` where
    /// the frame cannot carry it.
    pub(super) fn crossing(
        &self,
        routes: &Routes,
        route: &Route,
        service: ServiceAddress,
        path: &[Hop],
    ) -> Option<Crossing> {
        let need = need(routes, route, service);
        let is_outside = |hop: &Hop| {
            let mut targets = routes.targets_of(service);
            targets.any(|target| target.id == hop.target && target.zone != self.zone)
        };
        let outside = path.iter().take(MAX_HOPS).enumerate();
        let outside = outside.filter(|(_, hop)| is_outside(hop));
        let cost = self.placement.crossing_cost(&need);
        need.are_bids_priced.then(|| Crossing {
            cost_ms: u32::try_from(cost.as_millis()).unwrap_or(u32::MAX),
            outside: outside.fold(0, |bits, (index, _)| bits | 1 << index),
        })
    }
}

/// Returns what is known about a new flow of a route to a service.
pub(super) fn need(routes: &Routes, route: &Route, service: ServiceAddress) -> Need {
    Need {
        target_latency: route.target_latency,
        // Frames carry the cost of crossing only with a demand.
        are_bids_priced: routes.table.demand(route, service).is_some(),
    }
}
