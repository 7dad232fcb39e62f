//! Searches for the holders of flows that are not in the flow table.
//!
//! An entry may have little processing power, and after a failure it searches
//! for many flows at once. It therefore asks only one agent of each service,
//! which in turn asks all others.
use std::sync::Arc;
use std::time::Duration;

use wire::FlowId;
use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;
use wire::Transit;
use wire::transit::HolderAbsent;
use wire::transit::Search;
use wire::transit::Terms;

use super::Action;
use super::Entry;
use super::PacketContext;
use super::Refusal;
use super::flow;
use super::flow::Phase;
use crate::Routes;
use crate::millis;

/// Maximum number of agents of one service that are asked, one after the other,
/// to search for a flow.
pub(super) const MAX_ROUNDS: u8 = 3;

impl Entry {
    /// Starts a search for the holder of a flow, leaving out the agent
    /// `excluded`, which has denied it.
    pub(super) fn start_search(
        &mut self,
        routes: &Routes,
        excluded: Option<TargetId>,
        context: PacketContext<'_>,
    ) {
        let flow = context.segment.flow_from_caller();
        let now = context.now;
        let known = self.flows.remove(&flow).map(|state| state.phase);
        let mut searching = if let Some(Phase::Undecided(mut known)) = known {
            known.record_packet(&context.segment);
            known.keep(&context.segment, context.packet);
            known.rounds = 0;
            known.tried.clear();
            known.denied_by.clear();
            known
        } else {
            let timeout = routes.route(flow.service).map(|route| route.timeout);
            let timeout = timeout.unwrap_or_default().max(self.settings.linger);
            flow::Searching::new(now, timeout, &context.segment, context.packet)
        };
        searching.tried.extend(excluded);
        if !self.undecided.searches.take(now) {
            return self.keep_undecided(now, flow, searching, context.actions);
        }
        searching.asked_at = now;
        self.send_search(routes, now, flow, true, &mut searching, context.actions);
        self.searches.push_back(flow);
        self.store_flow(now, flow, Phase::Searching(searching));
    }

    /// Asks one agent of each service that the route is known to have named, with probes if
    /// `may_probe` and all agents are known.
    pub(super) fn send_search(
        &mut self,
        routes: &Routes,
        now: Duration,
        flow: FlowId,
        may_probe: bool,
        searching: &mut flow::Searching,
        actions: &mut Vec<Action>,
    ) {
        // Others are asked in batches only: a probe there breaks a flow that is held here.
        let services = routes.candidates(now, flow.service).named;
        searching.rounds += 1;
        let mut terms = self.search_terms(now, &services);
        terms.may_probe &= may_probe;
        if terms.may_probe {
            searching.probed_at = Some(now);
        }
        for service in services {
            let known = routes.targets_of(service).count();
            let Some(searcher) = self.choose_searcher(routes, service, &searching.tried) else {
                continue;
            };
            searching.tried.push(searcher.id);
            actions.push(Action::Send {
                to: searcher.address,
                transit: Transit::Search(Search {
                    target: searcher.id,
                    entry: self.address,
                    terms,
                    known_agents: u16::try_from(known).unwrap_or(u16::MAX),
                    packet: searching.packet.clone(),
                }),
            });
            actions.push(Action::SearchRequested {
                flow,
                searcher: searcher.id,
                known,
                terms,
            });
        }
    }

    /// Returns the agent of a service to ask for a search: one that was not
    /// asked before and is in the local availability zone, if there is one.
    pub(super) fn choose_searcher<'a>(
        &mut self,
        routes: &'a Routes,
        service: ServiceAddress,
        tried: &[TargetId],
    ) -> Option<&'a Target> {
        let random = &mut self.random;
        let zone = self.zone;
        routes
            .targets_of(service)
            .map(|target| (tried.contains(&target.id), target.zone != zone, target))
            .min_by_key(|(is_tried, is_remote, _)| (*is_tried, *is_remote, random.u32(..)))
            .map(|(.., target)| target)
    }

    /// Returns the conditions under which agents probe and deny. Denials are
    /// conclusive only if all agents are known and none is marked down that may
    /// only be unreachable.
    fn search_terms(&self, now: Duration, services: &[ServiceAddress]) -> Terms {
        let may_probe = self.knows_all_agents(now);
        let is_conclusive = may_probe && !self.routes.has_down_target(services);
        Terms {
            may_probe,
            max_age_ms: if is_conclusive {
                self.max_age_ms(now)
            } else {
                0
            },
        }
    }

    /// Returns the maximum age in milliseconds of a backend server whose denial
    /// counts. A backend server that started with this entry or later cannot
    /// hold a flow that this entry does not know. Returns 0 once callers have
    /// dropped the flows that ended in a failure at the entry's start.
    pub(super) fn max_age_ms(&self, now: Duration) -> u32 {
        let age = now.saturating_sub(self.started_at);
        if age > self.settings.stale_flow_window {
            return 0;
        }
        millis(age + self.settings.start_skew)
    }

    /// Records that no agent of a service holds a flow. Once this applies to all
    /// services that may hold it, the flow ended with its backend server and is reset.
    pub(super) fn handle_holder_absent(
        &mut self,
        now: Duration,
        report: HolderAbsent,
        actions: &mut Vec<Action>,
    ) {
        let routes = Arc::clone(&self.routes);
        let flow = report.flow;
        let candidates = routes.candidates(now, flow.service);
        let all = candidates.clone().select(true);
        let mut services = all.iter().copied();
        let searched = services.find(|service| {
            let mut targets = routes.targets_of(*service);
            targets.any(|target| target.id == report.target)
        });
        let is_conclusive =
            |entry: &Self, services| entry.search_terms(now, services).max_age_ms > 0;
        let Some(service) = searched.filter(|_| is_conclusive(self, &candidates.named)) else {
            return;
        };
        let is_conclusive = is_conclusive(self, &all);
        let Some(Phase::Searching(searching)) =
            self.flows.get_mut(&flow).map(|state| &mut state.phase)
        else {
            return;
        };
        if !flow::is_near(searching.acknowledged, report.acknowledged) {
            // Nobody holds an earlier flow from the same port.
            return;
        }
        searching.denied_by.push(service);
        let deny = |services: &[ServiceAddress]| {
            let mut services = services.iter();
            services.all(|service| searching.denied_by.contains(service))
        };
        match deny(&candidates.named) {
            true if is_conclusive && deny(&candidates.unnamed) => {
                let (sequence, wants_reset) = (searching.acknowledged, searching.wants_reset);
                self.flows.remove(&flow);
                if wants_reset {
                    actions.push(reset_ended(flow, sequence));
                }
            }
            true if !searching.is_widened => self.widen_search(now, flow, actions),
            _ => {}
        }
    }

    /// Continues a search for a flow at all services, in batches.
    fn widen_search(&mut self, now: Duration, flow: FlowId, actions: &mut Vec<Action>) {
        let state = self.flows.remove(&flow).map(|state| state.phase);
        if let Some(Phase::Searching(mut searching)) = state {
            searching.is_widened = true;
            actions.push(Action::SearchWidened { flow });
            self.keep_undecided(now, flow, searching, actions);
        }
    }

    /// Retries the searches that have had no answer in time, and ends those
    /// that have used up their attempts.
    pub(super) fn retry_searches(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.searches.is_empty() {
            return;
        }
        let routes = Arc::clone(&self.routes);
        while let Some(flow) = self.searches.front().copied() {
            let Some(state) = self.flows.get_mut(&flow) else {
                self.searches.pop_front();
                continue;
            };
            let Phase::Searching(searching) = &mut state.phase else {
                self.searches.pop_front();
                continue;
            };
            if now < searching.asked_at + self.settings.agent_timeout {
                return;
            }
            self.searches.pop_front();
            let rounds = searching.rounds;
            let Some(mut state) = self.flows.remove(&flow) else {
                continue;
            };
            let is_over = rounds >= MAX_ROUNDS;
            if is_over {
                actions.push(Action::SearchFailed { flow, rounds });
            }
            if is_over || !self.undecided.searches.take(now) {
                if let Phase::Searching(searching) = state.phase {
                    self.keep_undecided(now, flow, searching, actions);
                }
                continue;
            }
            if let Phase::Searching(searching) = &mut state.phase {
                searching.asked_at = now;
                self.send_search(&routes, now, flow, true, searching, actions);
            }
            self.flows.insert(flow, state);
            self.searches.push_back(flow);
        }
    }
}

/// Returns the reset of a flow whose backend server has terminated.
pub(super) const fn reset_ended(flow: FlowId, sequence: u32) -> Action {
    Action::Reset {
        flow,
        sequence,
        reason: Refusal::ServerEnded,
    }
}
