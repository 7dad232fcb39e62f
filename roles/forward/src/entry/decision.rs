//! Decisions on flows whose holder is unknown, and their resets.
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use wire::FlowId;
use wire::Priority;
use wire::ServiceAddress;

use super::Action;
use super::Entry;
use super::flow::Phase;
use super::proof;
use super::proof::TargetSet;
use super::proof::Verdict;
use super::proof::View;
use super::search;

/// Time over which resets that are due at once are spread, and their minimum rate. The
/// callers open new flows at once, which the links and servers must be able to take.
const RESET_SPREAD: Duration = Duration::from_millis(150);
const RESET_INTERVAL: Duration = Duration::from_millis(1);

/// Flows that have ended, the most urgent first.
#[derive(Debug, Default)]
pub(super) struct Resets {
    flows: BTreeSet<(Priority, Duration, FlowId)>,
    next_at: Duration,
    interval: Duration,
}

/// What is known about the possible holders of the flows to one address.
pub(super) struct RouteView {
    holders: TargetSet,
    /// Holders at services that the route is known to have named.
    named: TargetSet,
    priority: Priority,
    knows_all_agents: bool,
    has_doubtful_agent: bool,
    is_recent: bool,
}

/// Views of the routes, by the address that callers send to.
pub(super) type Views = HashMap<SocketAddrV4, Option<RouteView>>;

impl Resets {
    fn push(&mut self, now: Duration, priority: Priority, gives_up_at: Duration, flow: FlowId) {
        if self.flows.is_empty() {
            self.next_at = now;
            self.interval = RESET_INTERVAL;
        }
        self.flows.insert((priority, gives_up_at, flow));
        let count = u32::try_from(self.flows.len()).unwrap_or(u32::MAX);
        self.interval = self.interval.min(RESET_SPREAD / count);
    }

    fn pop(&mut self, now: Duration) -> Option<FlowId> {
        if now < self.next_at {
            return None;
        }
        let (.., flow) = self.flows.pop_first()?;
        self.next_at += self.interval;
        Some(flow)
    }
}

impl Entry {
    /// Returns what is known about the possible holders of the flows to an address.
    fn route_view(&mut self, now: Duration, address: SocketAddrV4) -> Option<RouteView> {
        let routes = Arc::clone(&self.routes);
        let route = routes.route(address)?;
        let candidates = routes.candidates(now, address);
        let mut set_of = |services: &[ServiceAddress]| {
            let mut holders = TargetSet::default();
            for target in routes.targets_of_all(services) {
                holders.insert(self.undecided.roster.index(target.id));
            }
            holders
        };
        let named = set_of(&candidates.named);
        let services = candidates.select(true);
        let holders = set_of(&services);
        let mut all = services.iter();
        let is_doubted = all.any(|service| self.is_doubted(now, *service));
        Some(RouteView {
            holders,
            named,
            priority: route.priority,
            knows_all_agents: self.knows_all_agents(now),
            has_doubtful_agent: is_doubted || routes.has_down_target(&services),
            is_recent: now <= self.started_at + self.settings.stale_flow_window,
        })
    }

    /// Queues the reset of a flow if it has ended; returns whether it has.
    pub(super) fn decide_flow(&mut self, now: Duration, flow: &FlowId, views: &mut Views) -> bool {
        let Some((priority, gives_up_at)) = self.urgency_if_ended(now, flow, views) else {
            return false;
        };
        let resets = &mut self.undecided.resets;
        resets.push(now, priority, gives_up_at, *flow);
        true
    }

    /// Returns whether a flow is searched for at all services from now on, because no
    /// backend server holds it of those that its route is known to have named.
    pub(super) fn widens_search(
        &mut self,
        now: Duration,
        flow: &FlowId,
        views: &mut Views,
    ) -> bool {
        let view = views
            .entry(flow.service)
            .or_insert_with(|| self.route_view(now, flow.service));
        let (Some(view), Some(searching)) = (view, self.searching_mut(flow)) else {
            return false;
        };
        let has_more = !view.named.contains_all(&view.holders);
        let is_due = !searching.is_widened && has_more;
        searching.is_widened |= is_due && searching.answers.denied.contains_all(&view.named);
        is_due && searching.is_widened
    }

    /// Returns the priority of a flow that has ended and the time at which its caller
    /// gives up, or `None` if the flow may be open.
    fn urgency_if_ended(
        &mut self,
        now: Duration,
        flow: &FlowId,
        views: &mut Views,
    ) -> Option<(Priority, Duration)> {
        let route = views
            .entry(flow.service)
            .or_insert_with(|| self.route_view(now, flow.service))
            .as_ref()?;
        let view = View {
            knows_all_agents: route.knows_all_agents,
            has_doubtful_agent: route.has_doubtful_agent,
            holders: &route.holders,
            named: &route.named,
            young: &self.undecided.young,
            is_recent: route.is_recent,
        };
        let (Phase::Searching(searching) | Phase::Undecided(searching)) =
            &self.flows.get(flow)?.phase
        else {
            return None;
        };
        let has_ended = proof::decide(&view, &searching.answers) == Verdict::Ended;
        has_ended.then_some((route.priority, searching.gives_up_at))
    }

    /// Sends the resets that are due, unless the flow may be open by now.
    pub(super) fn send_resets(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut views = Views::new();
        while let Some(flow) = self.undecided.resets.pop(now) {
            let has_ended = self.urgency_if_ended(now, &flow, &mut views).is_some();
            let Some(searching) = self.searching_mut(&flow).filter(|_| has_ended) else {
                continue;
            };
            let (sequence, wants_reset) = (searching.acknowledged, searching.wants_reset);
            let (first_at, proofs) = (searching.first_at, searching.proofs);
            self.drop_undecided(&flow);
            if wants_reset {
                actions.push(search::reset_ended(flow, sequence));
            }
            actions.push(Action::Ended {
                flow,
                proofs,
                took: now.saturating_sub(first_at),
            });
        }
    }
}
