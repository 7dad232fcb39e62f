//! What is known about a new flow: what the configuration states about it, and what it
//! costs to send it to another availability zone.
use route::placement::Need;
use wire::FlowId;
use wire::Hop;
use wire::ServiceAddress;
use wire::TargetId;
use wire::ZoneId;
use wire::transit::Crossing;
use wire::transit::Demand;

use super::Entry;
use super::Reason;
use crate::Route;
use crate::Routes;
use crate::millis;

/// Number of agents of a path that [`Crossing::outside`] has bits for.
const MAX_HOPS: usize = 8;

/// New flow to a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewFlow<'a> {
    pub route: &'a Route,
    pub service: ServiceAddress,
    pub demand: Option<Demand>,
    pub need: Need,
}

impl Entry {
    /// Returns what is known about a new flow; `None` if it has no route or its route no
    /// service.
    pub(super) fn new_flow<'a>(&self, routes: &'a Routes, flow: &FlowId) -> Option<NewFlow<'a>> {
        let route = routes.route(flow.service)?;
        let service = route.select_service(flow)?;
        let demand = routes.table.demand(route, service);
        let size = self.sizes.get(&flow.service).copied().unwrap_or_default();
        Some(NewFlow {
            route,
            service,
            demand,
            need: Need {
                target_latency: route.target_latency,
                // Frames carry the cost of crossing only with a demand.
                are_bids_priced: demand.is_some(),
                requests: size.requests(),
                request_bytes: size.request_bytes(),
            },
        })
    }

    /// Returns the cost of leaving the own availability zone on a path; `None` where
    /// the frame cannot carry it.
    pub(super) fn crossing(
        &self,
        routes: &Routes,
        new: &NewFlow<'_>,
        path: &[Hop],
    ) -> Option<Crossing> {
        if !new.need.are_bids_priced {
            return None;
        }
        let is_outside = |hop: &Hop| {
            let zone = zone_of(routes, new.service, hop.target);
            zone.is_some_and(|zone| zone != self.zone)
        };
        let outside = path.iter().take(MAX_HOPS).enumerate();
        let outside = outside.filter(|(_, hop)| is_outside(hop));
        let cost = self.placement.crossing_cost(&new.need, Some(new.service));
        Some(Crossing {
            cost_ms: millis(cost),
            outside: outside.fold(0, |bits, (index, _)| bits | 1 << index),
        })
    }

    /// Counts a new flow that is sent to the first agent of its path.
    pub(super) fn record_placed(&mut self, routes: &Routes, new: &NewFlow<'_>, first: TargetId) {
        let Some(zone) = zone_of(routes, new.service, first) else {
            return;
        };
        let mut ready = routes.ready_targets(new.service);
        let reason = match zone == self.zone {
            true => Reason::Home,
            false if ready.any(|target| target.zone == self.zone) => Reason::Overflow,
            false => Reason::HomeHasNone,
        };
        self.tally.record(zone, reason);
    }
}

/// Returns the availability zone of a backend server.
fn zone_of(routes: &Routes, service: ServiceAddress, target: TargetId) -> Option<ZoneId> {
    let mut known = routes.targets_of(service);
    let known = known.find(|known| known.id == target)?;
    Some(known.zone)
}
