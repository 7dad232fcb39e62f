//! Flows whose holder is unknown: kept with a packet of their caller, looked up many
//! at a time, and decided together.
//!
//! The load that this addresses: after a loss of power of all hosts, callers still
//! use thousands of flows that have ended. They get a reset as soon as every possible
//! holder has denied the flow, not only when they next send a packet, which may take
//! as long as their retransmission interval of up to 1.6 s.
use std::collections::BTreeSet;
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
use super::flow::Phase;
use super::flow::Searching;
use super::pace::Pace;
use super::proof;
use super::proof::Roster;
use super::proof::TargetSet;
use super::proof::Verdict;
use super::proof::View;
use super::search;
use crate::Routes;

/// Maximum number of undecided flows. Each takes the size of one to a few packets.
const MAX_UNDECIDED: usize = 16_384;

/// Maximum number of undecided flows at which all their packets are kept. Beyond it,
/// only the first packet of each is, so that an entry keeps 50 MB at most.
const MAX_WITH_ALL_PACKETS: usize = 1_024;

/// Time between two batches to one service, within which flows are collected.
const BATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which answers to a batch can arrive. Agents report what they have learned
/// about earlier batches for one second.
const BATCH_LIFETIME: Duration = Duration::from_secs(2);

/// Interval between two checks of all undecided flows.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which an agent that did not answer a batch is asked only if there is no
/// other.
const SILENCE_MEMORY: Duration = Duration::from_secs(2);

/// Time for which what an agent says about others counts. Longer than the interval
/// between two batches about the same flow, so that a later answer replaces it.
const OPINION_LIFETIME: Duration = Duration::from_secs(1);

/// Searches a second for single flows, and how many are sent at once. They are faster
/// than batches but cost several frames at each agent.
const SEARCH_PACE: Pace = Pace::new(50, 16);

/// Searches a second for single flows after a batch, in which agents that cannot tell
/// probe their backend server.
const PROBE_PACE: Pace = Pace::new(800, 64);

/// Maximum number of searches with probes for one flow. Agents probe twice at most.
const MAX_PROBE_SEARCHES: u8 = 2;

/// Time over which resets that are due at once are spread, and their minimum rate. The
/// callers open new flows at once, which the links and servers must be able to take.
const RESET_SPREAD: Duration = Duration::from_millis(150);
const RESET_INTERVAL: Duration = Duration::from_millis(1);

/// State of an entry about its undecided flows.
#[derive(Debug)]
pub(super) struct Undecided {
    /// Undecided flows by the time at which their callers give up. May contain flows
    /// that have been decided since.
    flows: BTreeSet<(Duration, FlowId)>,
    /// Flows to ask about with the next batch.
    due: Vec<FlowId>,
    next_batch_at: Duration,
    batches: HashMap<batch::Number, Batch>,
    last_batch: batch::Number,
    silent: HashMap<TargetId, Duration>,
    /// Whether any agent has answered a batch. Agents of earlier versions do not.
    has_answers: bool,
    roster: Roster,
    /// Backend servers that started about when this entry did, or later, by the last
    /// answer of their agents, and those that did not by any answer.
    young: TargetSet,
    old: TargetSet,
    /// What each agent said last about the other agents of its service.
    opinions: HashMap<TargetId, Opinion>,
    /// Flows that an agent could not tell about, to be searched for with probes.
    uncertain: BTreeSet<FlowId>,
    pub searches: Pace,
    probes: Pace,
    resets: Resets,
    next_check_at: Duration,
    knew_all_agents: bool,
}

/// Batch that answers can arrive for.
#[derive(Debug)]
struct Batch {
    sent_at: Duration,
    searcher: TargetId,
    share: ServiceAddress,
    flows: Vec<FlowId>,
    is_answered: bool,
    /// Backend servers whose agents have answered.
    answered: TargetSet,
}

/// What an agent knows about the other agents of its service.
#[derive(Debug)]
struct Opinion {
    share: ServiceAddress,
    stated_at: Duration,
    known_agents: usize,
    has_down_agent: bool,
}

/// Flows that have ended, the most urgent first.
#[derive(Debug, Default)]
struct Resets {
    flows: BTreeSet<(u8, Duration, FlowId)>,
    next_at: Duration,
    interval: Duration,
}

/// What is known about the possible holders of the flows to one address.
struct RouteView {
    holders: TargetSet,
    priority: u8,
    knows_all_agents: bool,
    has_doubtful_agent: bool,
    is_recent: bool,
}

/// Views of the routes, by the address that callers send to.
type Views = HashMap<SocketAddrV4, Option<RouteView>>;

impl Undecided {
    pub fn new(now: Duration) -> Self {
        Self {
            flows: BTreeSet::new(),
            due: Vec::new(),
            next_batch_at: now,
            batches: HashMap::new(),
            last_batch: 0,
            silent: HashMap::new(),
            has_answers: false,
            roster: Roster::default(),
            young: TargetSet::default(),
            old: TargetSet::default(),
            opinions: HashMap::new(),
            uncertain: BTreeSet::new(),
            searches: SEARCH_PACE,
            probes: PROBE_PACE,
            resets: Resets::default(),
            next_check_at: now,
            knew_all_agents: false,
        }
    }

    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns true if packets beyond the first of each flow are kept.
    pub fn keeps_all_packets(&self) -> bool {
        self.flows.len() <= MAX_WITH_ALL_PACKETS
    }

    /// Records when a backend server started compared with this entry.
    fn record_age(&mut self, target: TargetId, is_young: bool) -> usize {
        let index = self.roster.index(target);
        if is_young {
            self.young.insert(index);
        } else {
            self.old.insert(index);
        }
        if self.old.contains(index) {
            self.young.remove(index);
        }
        index
    }
}

impl Resets {
    fn push(&mut self, now: Duration, priority: u8, gives_up_at: Duration, flow: FlowId) {
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
    /// Keeps a flow whose holder is unknown until its caller gives up.
    pub(super) fn keep_undecided(
        &mut self,
        now: Duration,
        flow: FlowId,
        searching: Searching,
        actions: &mut Vec<Action>,
    ) {
        let gives_up_at = searching.gives_up_at;
        if !self.store_flow(now, flow, Phase::Undecided(searching)) {
            return;
        }
        let undecided = &mut self.undecided;
        undecided.flows.insert((gives_up_at, flow));
        undecided.due.push(flow);
        if undecided.flows.len() <= MAX_UNDECIDED {
            return;
        }
        let Some((gives_up_at, first)) = undecided.flows.pop_first() else {
            return;
        };
        let searching = self.searching_mut(&first);
        if searching.is_some_and(|searching| searching.gives_up_at == gives_up_at) {
            self.flows.remove(&first);
            actions.push(Action::UndecidedDropped { flows: 1 });
        }
    }

    /// Asks, decides and resets what is due.
    pub(super) fn advance_undecided(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.retry_batches(now, actions);
        if now >= self.undecided.next_check_at {
            self.undecided.next_check_at = now + CHECK_INTERVAL;
            self.check_undecided(now, actions);
        }
        if !self.undecided.due.is_empty() && now >= self.undecided.next_batch_at {
            self.undecided.next_batch_at = now + BATCH_INTERVAL;
            self.send_batches(now, actions);
        }
        self.search_uncertain(now, actions);
        self.send_resets(now, actions);
    }

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
        let (share, asked_at) = (batch.share, batch.sent_at);
        for findings in &report.findings {
            let index = self.record_findings(now, share, findings);
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
        let may_probe = self.may_probe(now, report.batch, share);
        for (number, flow) in flows.iter().enumerate() {
            let is_decided = self.decide_flow(now, flow, &mut views);
            let mut all = report.findings.iter();
            let is_uncertain =
                all.any(|findings| !findings.denies(number) && !findings.held.contains(number));
            if !is_decided && may_probe && is_uncertain {
                self.undecided.uncertain.insert(*flow);
            }
        }
        if let Some(batch) = self.undecided.batches.get_mut(&report.batch) {
            batch.flows = flows;
        }
    }

    /// Returns true if every known agent that a batch went to has answered, so that a
    /// probe reaches the holder. Probes that only reach other servers break a flow.
    fn may_probe(&mut self, now: Duration, number: batch::Number, share: ServiceAddress) -> bool {
        let routes = Arc::clone(&self.routes);
        let undecided = &mut self.undecided;
        let Some(batch) = undecided.batches.get(&number) else {
            return false;
        };
        let mut targets = routes.targets_of(share);
        let roster = &mut undecided.roster;
        let all_answered = targets.all(|target| batch.answered.contains(roster.index(target.id)));
        all_answered
            && !self.is_doubted(now, share)
            && !routes.services_with_down_targets.contains(&share)
            && self.knows_all_agents(now)
    }

    /// Returns true if an agent of a service knows another one that is marked down, or
    /// more agents than this entry.
    fn is_doubted(&self, now: Duration, share: ServiceAddress) -> bool {
        let known = self.routes.targets_of(share).count();
        let mut opinions = self.undecided.opinions.values();
        opinions.any(|opinion| {
            opinion.share == share
                && now < opinion.stated_at + OPINION_LIFETIME
                && (opinion.has_down_agent || opinion.known_agents > known)
        })
    }

    /// Records what an agent knows about its server and about other agents. Returns
    /// the index of the server.
    fn record_findings(
        &mut self,
        now: Duration,
        share: ServiceAddress,
        findings: &Findings,
    ) -> usize {
        let target = findings.agent.target;
        let opinion = Opinion {
            share,
            stated_at: now,
            known_agents: usize::from(findings.known_agents),
            has_down_agent: findings.has_down_agent,
        };
        self.undecided.opinions.insert(target, opinion);
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
        let Some(searching) = self
            .searching_mut(&flow)
            .filter(|_| findings.denies(number))
        else {
            return;
        };
        searching.denied.insert(index);
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

    fn searching_mut(&mut self, flow: &FlowId) -> Option<&mut Searching> {
        match &mut self.flows.get_mut(flow)?.phase {
            Phase::Searching(searching) | Phase::Undecided(searching) => Some(searching),
            Phase::Opening(_) | Phase::Held(_) => None,
        }
    }

    /// Returns what is known about the possible holders of the flows to an address.
    fn route_view(&mut self, now: Duration, address: SocketAddrV4) -> Option<RouteView> {
        let routes = Arc::clone(&self.routes);
        let route = routes.route(address)?;
        let mut holders = TargetSet::default();
        for target in routes.possible_holders(route) {
            holders.insert(self.undecided.roster.index(target.id));
        }
        let mut shares = route.shares.iter();
        let is_doubted = shares.any(|share| self.is_doubted(now, share.service));
        Some(RouteView {
            holders,
            priority: route.priority,
            knows_all_agents: self.knows_all_agents(now),
            has_doubtful_agent: is_doubted || routes.has_down_target(route),
            is_recent: now <= self.started_at + self.settings.stale_flow_window,
        })
    }

    /// Queues the reset of a flow if it has ended; returns whether it has.
    fn decide_flow(&mut self, now: Duration, flow: &FlowId, views: &mut Views) -> bool {
        let Some((priority, gives_up_at)) = self.urgency_if_ended(now, flow, views) else {
            return false;
        };
        let resets = &mut self.undecided.resets;
        resets.push(now, priority, gives_up_at, *flow);
        true
    }

    /// Returns the priority of a flow that has ended and the time at which its caller
    /// gives up, or `None` if the flow may be open.
    fn urgency_if_ended(
        &mut self,
        now: Duration,
        flow: &FlowId,
        views: &mut Views,
    ) -> Option<(u8, Duration)> {
        if !views.contains_key(&flow.service) {
            let view = self.route_view(now, flow.service);
            views.insert(flow.service, view);
        }
        let route = views.get(&flow.service)?.as_ref()?;
        let view = View {
            knows_all_agents: route.knows_all_agents,
            has_doubtful_agent: route.has_doubtful_agent,
            holders: &route.holders,
            young: &self.undecided.young,
            is_recent: route.is_recent,
        };
        let (Phase::Searching(searching) | Phase::Undecided(searching)) =
            &self.flows.get(flow)?.phase
        else {
            return None;
        };
        let has_ended = proof::decide(&view, &searching.denied) == Verdict::Ended;
        has_ended.then_some((route.priority, searching.gives_up_at))
    }

    /// Sends the resets that are due, unless the flow may be open by now.
    fn send_resets(&mut self, now: Duration, actions: &mut Vec<Action>) {
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

    /// Forgets a flow unless it has been decided.
    fn drop_undecided(&mut self, flow: &FlowId) {
        if let Some(searching) = self.searching_mut(flow) {
            let gives_up_at = searching.gives_up_at;
            self.undecided.flows.remove(&(gives_up_at, *flow));
            self.flows.remove(flow);
        }
    }

    /// Drops the flows whose callers have given up, decides those whose last doubt
    /// has passed, and asks again about the others.
    fn check_undecided(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let knows_all_agents = self.knows_all_agents(now);
        let is_news = knows_all_agents && !self.undecided.knew_all_agents;
        self.undecided.knew_all_agents = knows_all_agents;
        let mut views = Views::new();
        let mut dropped = 0;
        let all = std::mem::take(&mut self.undecided.flows);
        for (gives_up_at, flow) in all {
            let state = self.flows.get(&flow).map(|state| &state.phase);
            let Some(Phase::Undecided(searching)) = state else {
                continue;
            };
            if searching.gives_up_at != gives_up_at {
                continue;
            }
            if now >= gives_up_at {
                self.flows.remove(&flow);
                dropped += 1;
                continue;
            }
            let interval = self.settings.lost_retry_interval;
            let is_due = is_news || now >= searching.batched_at + interval;
            self.undecided.flows.insert((gives_up_at, flow));
            if !self.decide_flow(now, &flow, &mut views) && is_due {
                self.undecided.due.push(flow);
            }
        }
        if dropped > 0 {
            actions.push(Action::UndecidedDropped { flows: dropped });
        }
    }

    /// Asks one agent of each service about all flows that are due.
    fn send_batches(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let routes = Arc::clone(&self.routes);
        let mut by_address: HashMap<SocketAddrV4, Vec<FlowId>> = HashMap::new();
        let mut due = std::mem::take(&mut self.undecided.due);
        due.sort_unstable();
        due.dedup();
        for flow in due {
            let phase = self.flows.get_mut(&flow).map(|state| &mut state.phase);
            if let Some(Phase::Undecided(searching)) = phase {
                searching.batched_at = now;
                by_address.entry(flow.service).or_default().push(flow);
            }
        }
        for (address, flows) in by_address {
            let Some(route) = routes.route(address) else {
                continue;
            };
            for share in &route.shares {
                for part in flows.chunks(batch::MAX_FLOWS) {
                    self.send_batch(now, &routes, share.service, part, actions);
                }
            }
        }
    }

    fn send_batch(
        &mut self,
        now: Duration,
        routes: &Routes,
        share: ServiceAddress,
        flows: &[FlowId],
        actions: &mut Vec<Action>,
    ) {
        let silent: Vec<TargetId> = self.undecided.silent.keys().copied().collect();
        let Some(searcher) = self.choose_searcher(routes, share, &silent) else {
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
            known: routes.targets_of(share).count(),
        });
        let batch = Batch {
            sent_at: now,
            searcher: searcher.id,
            share,
            flows: flows.to_vec(),
            is_answered: false,
            answered: TargetSet::default(),
        };
        self.undecided.batches.insert(number, batch);
    }

    /// Repeats batches that were not answered in time at another agent, and searches
    /// for their flows one by one: all agents may be of a version without batches.
    fn retry_batches(&mut self, now: Duration, actions: &mut Vec<Action>) {
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
        let is_fresh = |opinion: &Opinion| now < opinion.stated_at + OPINION_LIFETIME;
        undecided.opinions.retain(|_, opinion| is_fresh(opinion));
        undecided.silent.retain(|_, until| now < *until);
    }

    /// Searches for the flows that agents could not tell about, so that these probe
    /// their backend servers.
    fn search_uncertain(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let routes = Arc::clone(&self.routes);
        while let Some(flow) = self.undecided.uncertain.first().copied() {
            let phase = self.flows.get(&flow).map(|state| &state.phase);
            let may_search = match phase {
                Some(Phase::Undecided(searching)) => {
                    let interval = self.settings.lost_retry_interval;
                    let last = searching.probed_at;
                    searching.probe_searches < MAX_PROBE_SEARCHES
                        && last.is_none_or(|last| now >= last + interval)
                }
                _ => false,
            };
            if may_search && !self.undecided.probes.take(now) {
                return;
            }
            self.undecided.uncertain.pop_first();
            if !may_search {
                continue;
            }
            let Some(mut state) = self.flows.remove(&flow) else {
                continue;
            };
            if let Phase::Undecided(mut searching) = state.phase {
                searching.probe_searches += 1;
                searching.asked_at = now;
                searching.rounds = search::MAX_ROUNDS - 1;
                self.send_search(&routes, now, flow, &mut searching, actions);
                self.searches.push_back(flow);
                state.phase = Phase::Searching(searching);
            }
            state.last_used = now;
            self.flows.insert(flow, state);
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
