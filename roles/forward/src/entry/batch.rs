//! Batches of flows whose holder is unknown: questions to agents, and their answers.
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use wire::FlowId;
use wire::ServiceAddress;
use wire::TargetId;
use wire::Transit;
use wire::batch;
use wire::batch::Findings;
use wire::batch::Report;
use wire::transit::Held;

use super::Action;
use super::Entry;
use super::decision::Views;
use super::flow::Phase;
use super::proof::TargetSet;
use crate::Routes;
use crate::millis;

/// Time for which answers to a batch can arrive. Agents report what they have learned
/// about earlier batches for one second.
const BATCH_LIFETIME: Duration = Duration::from_secs(2);

/// Time for which an agent that did not answer a batch is asked only if there is no
/// other.
const SILENCE_MEMORY: Duration = Duration::from_secs(2);

/// Time for which what an agent says about others counts. Longer than the interval
/// between two batches about the same flow, so that a later answer replaces it.
const PEER_VIEW_LIFETIME: Duration = Duration::from_secs(1);

/// Batch that answers can arrive for.
#[derive(Debug)]
pub(super) struct Batch {
    pub sent_at: Duration,
    pub searcher: TargetId,
    pub service: ServiceAddress,
    pub flows: Vec<FlowId>,
    pub is_answered: bool,
    /// Backend servers whose agents have answered.
    pub answered: TargetSet,
}

/// What an agent knows about the other agents of its service.
#[derive(Debug)]
pub(super) struct PeerView {
    pub service: ServiceAddress,
    pub stated_at: Duration,
    pub known_agents: usize,
    pub has_down_agent: bool,
}

impl Entry {
    /// Records what agents know about the flows of a batch, and decides those of
    /// which all are known to be denied.
    pub(super) fn handle_report(
        &mut self,
        now: Duration,
        report: &Report,
        actions: &mut Vec<Action>,
    ) {
        let Some(batch) = self.undecided.batches.get_mut(&report.batch) else {
            return;
        };
        batch.is_answered = true;
        self.undecided.has_answers = true;
        self.undecided.silent.remove(&batch.searcher);
        let flows = std::mem::take(&mut batch.flows);
        let (service, asked_at) = (batch.service, batch.sent_at);
        for findings in &report.findings {
            let index = self.record_findings(now, service, findings);
            if let Some(batch) = self.undecided.batches.get_mut(&report.batch) {
                batch.answered.insert(index);
            }
            for (number, flow) in flows.iter().enumerate() {
                // The caller may have opened another flow from the same port since.
                let searching = self.searching_mut(flow);
                if searching.is_some_and(|searching| searching.first_at <= asked_at) {
                    self.apply_findings(now, number, *flow, index, findings, actions);
                }
            }
        }
        let mut views = Views::new();
        let may_probe = self.may_probe(now, report.batch, service);
        for (number, flow) in flows.iter().enumerate() {
            let is_decided = self.decide_flow(now, flow, &mut views);
            let mut all = report.findings.iter();
            let is_uncertain =
                all.any(|findings| !findings.denies(number) && !findings.held.contains(number));
            if is_decided {
                continue;
            }
            if self.widens_search(now, flow, &mut views) {
                actions.push(Action::SearchWidened { flow: *flow });
                self.undecided.due.push(*flow);
            } else if may_probe && is_uncertain {
                self.queue_probe(*flow);
            }
        }
        if let Some(batch) = self.undecided.batches.get_mut(&report.batch) {
            batch.flows = flows;
        }
    }

    /// Returns true if every known agent that a batch went to has answered, so that a
    /// probe reaches the holder. Probes that only reach other servers break a flow.
    fn may_probe(&mut self, now: Duration, number: batch::Number, service: ServiceAddress) -> bool {
        let routes = Arc::clone(&self.routes);
        let undecided = &mut self.undecided;
        let Some(batch) = undecided.batches.get(&number) else {
            return false;
        };
        let mut targets = routes.targets_of(service);
        let roster = &mut undecided.roster;
        let all_answered = targets.all(|target| batch.answered.contains(roster.index(target.id)));
        all_answered
            && !self.is_doubted(now, service)
            && !routes.services_with_down_targets.contains(&service)
            && self.knows_all_agents(now)
    }

    /// Returns true if an agent of a service knows another one that is marked down, or
    /// more agents than this entry has heard of.
    pub(super) fn is_doubted(&self, now: Duration, service: ServiceAddress) -> bool {
        let known = self.routes.heard_of(service);
        let mut peer_views = self.undecided.peer_views.values();
        peer_views.any(|view| {
            view.service == service
                && now < view.stated_at + PEER_VIEW_LIFETIME
                && (view.has_down_agent || view.known_agents > known)
        })
    }

    /// Returns true if a known agent has not answered a batch lately: it has failed, or
    /// is of an earlier version, which may hold flows that only a search for each of
    /// them finds.
    pub(super) fn has_silent_agent(&self, now: Duration, address: SocketAddrV4) -> bool {
        let services = self.routes.candidates(now, address).named;
        let peer_views = &self.undecided.peer_views;
        let mut targets = self.routes.targets_of_all(&services);
        targets.any(|target| {
            let view = peer_views.get(&target.id);
            view.is_none_or(|view| now >= view.stated_at + PEER_VIEW_LIFETIME)
        })
    }

    /// Records what an agent knows about its server and about other agents. Returns
    /// the index of the server.
    fn record_findings(
        &mut self,
        now: Duration,
        service: ServiceAddress,
        findings: &Findings,
    ) -> usize {
        let target = findings.agent.target;
        let view = PeerView {
            service,
            stated_at: now,
            known_agents: usize::from(findings.known_agents),
            has_down_agent: findings.has_down_agent,
        };
        self.undecided.peer_views.insert(target, view);
        let max_age_ms = self.max_age_ms(now);
        let is_young = findings.age_ms.is_some_and(|age| age <= max_age_ms);
        // An agent that has not heard of its server yet says nothing about its age.
        if findings.age_ms.is_none() {
            return self.undecided.roster.index(target);
        }
        self.undecided.record_age(target, is_young)
    }

    /// Records whether an agent holds or denies a flow of a batch.
    fn apply_findings(
        &mut self,
        now: Duration,
        number: usize,
        flow: FlowId,
        index: usize,
        findings: &Findings,
        actions: &mut Vec<Action>,
    ) {
        if findings.held.contains(number) {
            return self.forward_undecided(now, flow, findings, actions);
        }
        let Some(searching) = self.searching_mut(&flow) else {
            return;
        };
        searching.answers.not_held.insert(index);
        if !findings.denies(number) {
            return;
        }
        searching.answers.denied.insert(index);
        searching.proofs.complete |= findings.complete.contains(number);
        searching.proofs.returned |= findings.returned.contains(number);
        searching.proofs.younger |= findings.younger.contains(number);
    }

    /// Records the holder of an undecided flow and sends it the packets of the flow.
    fn forward_undecided(
        &mut self,
        now: Duration,
        flow: FlowId,
        findings: &Findings,
        actions: &mut Vec<Action>,
    ) {
        if let Some(searching) = self.searching_mut(&flow) {
            // No search has delivered this packet.
            let packet = searching.packet.clone();
            searching.queued.insert(0, packet);
        }
        let held = Held {
            flow,
            holder: findings.agent,
            start: findings.start,
            load: None,
        };
        self.record_holder(now, &held, actions);
    }

    /// Asks one agent of each service that may hold them about all flows that are due.
    pub(super) fn send_batches(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let routes = Arc::clone(&self.routes);
        let mut by_address: HashMap<(SocketAddrV4, bool), Vec<FlowId>> = HashMap::new();
        let mut due = std::mem::take(&mut self.undecided.due);
        due.sort_unstable();
        due.dedup();
        for flow in due {
            let phase = self.flows.get_mut(&flow).map(|state| &mut state.phase);
            if let Some(Phase::Undecided(searching)) = phase {
                searching.batched_at = now;
                let group = (flow.service, searching.is_widened);
                by_address.entry(group).or_default().push(flow);
            }
        }
        for ((address, is_widened), flows) in by_address {
            for service in routes.candidates(now, address).select(is_widened) {
                for part in flows.chunks(batch::MAX_FLOWS) {
                    self.send_batch(now, &routes, service, part, actions);
                }
            }
        }
    }

    fn send_batch(
        &mut self,
        now: Duration,
        routes: &Routes,
        service: ServiceAddress,
        flows: &[FlowId],
        actions: &mut Vec<Action>,
    ) {
        let silent: Vec<TargetId> = self.undecided.silent.keys().copied().collect();
        let Some(searcher) = self.choose_searcher(routes, service, &silent) else {
            return;
        };
        let Some(address) = flows.first().map(|flow| flow.service) else {
            return;
        };
        let sought: Vec<batch::Sought> = flows
            .iter()
            .filter_map(|flow| {
                let searching = self.searching_mut(flow)?;
                Some(batch::Sought {
                    caller: flow.caller,
                    acknowledged: searching.acknowledged,
                    age_ms: millis(now.saturating_sub(searching.first_at)),
                })
            })
            .collect();
        self.undecided.last_batch = self.undecided.last_batch.wrapping_add(1);
        let number = self.undecided.last_batch;
        actions.push(Action::Send {
            to: searcher.address,
            transit: Transit::SearchBatch(batch::Search {
                target: searcher.id,
                entry: self.address,
                batch: number,
                service: address,
                flows: sought,
            }),
        });
        actions.push(Action::BatchRequested {
            searcher: searcher.id,
            flows: flows.len(),
            known: routes.targets_of(service).count(),
        });
        let batch = Batch {
            sent_at: now,
            searcher: searcher.id,
            service,
            flows: flows.to_vec(),
            is_answered: false,
            answered: TargetSet::default(),
        };
        self.undecided.batches.insert(number, batch);
    }

    /// Repeats batches that were not answered in time at another agent, and searches
    /// for their flows one by one: all agents may be of a version without batches.
    pub(super) fn retry_batches(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let timeout = self.settings.agent_timeout;
        let undecided = &mut self.undecided;
        for batch in undecided.batches.values_mut() {
            if batch.is_answered || now < batch.sent_at + timeout {
                continue;
            }
            batch.is_answered = true;
            undecided.due.extend(batch.flows.iter().copied());
            if !undecided.has_answers {
                undecided.uncertain.extend(batch.flows.iter().copied());
            }
            undecided
                .silent
                .insert(batch.searcher, now + SILENCE_MEMORY);
            actions.push(Action::BatchUnanswered {
                searcher: batch.searcher,
                flows: batch.flows.len(),
            });
        }
        let is_live = |batch: &Batch| now < batch.sent_at + BATCH_LIFETIME;
        undecided.batches.retain(|_, batch| is_live(batch));
        let is_fresh = |view: &PeerView| now < view.stated_at + PEER_VIEW_LIFETIME;
        undecided.peer_views.retain(|_, view| is_fresh(view));
        undecided.silent.retain(|_, until| now < *until);
    }
}
