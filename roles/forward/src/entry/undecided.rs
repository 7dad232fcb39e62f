//! Flows whose holder is unknown: kept with a packet of their caller, looked up many
//! at a time, and decided together.
//!
//! The load that this addresses: after a loss of power of all hosts, callers still
//! use thousands of flows that have ended. They get a reset as soon as every possible
//! holder has denied the flow, not only when they next send a packet, which may take
//! as long as their retransmission interval of up to 1.6 s.
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use wire::FlowId;
use wire::TargetId;
use wire::Transit;
use wire::batch;
use wire::batch::Number;

use super::Action;
use super::Entry;
use super::batch::Batch;
use super::batch::PeerView;
use super::decision::Resets;
use super::decision::Views;
use super::flow::Phase;
use super::flow::Searching;
use super::proof::Roster;
use super::proof::TargetSet;
use super::rate_limit::RateLimit;
use super::search;

/// Maximum number of undecided flows. Each takes the size of one to a few packets.
const MAX_UNDECIDED: usize = 16_384;

/// Maximum number of undecided flows at which all their packets are kept. Beyond it,
/// only the first packet of each is, so that an entry keeps 50 MB at most.
const MAX_WITH_ALL_PACKETS: usize = 1_024;

/// Time between two batches to one service, within which flows are collected.
const BATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Batches a second, and how many are sent at that interval: each is a frame at every
/// agent of the service, from every entry at once after a failure of everything.
const BATCH_LIMIT: RateLimit = RateLimit::new(25, 5);

/// Interval between two checks of all undecided flows.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Searches a second for single flows, and how many are sent at once. They are faster
/// than batches but cost several frames at each agent.
const SEARCH_LIMIT: RateLimit = RateLimit::new(20, 8);

/// Searches a second for single flows after a batch, in which agents that cannot tell
/// probe their backend server.
const PROBE_LIMIT: RateLimit = RateLimit::new(800, 64);

/// Number of undecided flows from which uncertain ones are probed for in batches. Fewer are
/// searched for one by one, which is quicker.
const MIN_PROBE_BATCH: usize = 64;

/// Time between two batches of probes, within which flows are collected.
const PROBE_BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Flows a second that are probed for in batches, and how many at once.
const PROBE_BATCH_LIMIT: RateLimit = RateLimit::new(2_000, 512);

/// Maximum number of searches with probes for one flow. Agents probe twice at most.
const MAX_PROBE_SEARCHES: u8 = 2;

/// State of an entry about its undecided flows.
#[derive(Debug)]
pub(super) struct Undecided {
    /// Undecided flows by the time at which their callers give up. May contain flows
    /// that have been decided since.
    pub flows: BTreeSet<(Duration, FlowId)>,
    /// Flows to ask about with the next batch.
    pub due: Vec<FlowId>,
    next_batch_at: Duration,
    batch_limit: RateLimit,
    /// Batches that answers can arrive for.
    pub batches: HashMap<Number, Batch>,
    pub last_batch: Number,
    /// Agents that did not answer a batch, and the time until which others are asked.
    pub silent: HashMap<TargetId, Duration>,
    /// Whether any agent has answered a batch. Agents of earlier versions do not.
    pub has_answers: bool,
    pub roster: Roster,
    /// Backend servers that started about when this entry did, or later, by the last
    /// answer of their agents, and those that did not by any answer.
    pub young: TargetSet,
    pub old: TargetSet,
    /// What each agent said last about the other agents of its service.
    pub peer_views: HashMap<TargetId, PeerView>,
    /// Flows that an agent could not tell about, to be probed for in batches.
    to_probe: BTreeSet<FlowId>,
    /// Those to be searched for with probes, one by one.
    pub uncertain: BTreeSet<FlowId>,
    /// Limit of the searches for single flows.
    pub searches: RateLimit,
    /// Limit of those with probes.
    probes: RateLimit,
    /// Limit of the flows that are probed for in batches.
    batched_probes: RateLimit,
    next_probes_at: Duration,
    pub resets: Resets,
    next_check_at: Duration,
    /// Whether all agents were known at the last check.
    knew_all_agents: bool,
}

impl Undecided {
    pub fn new(now: Duration) -> Self {
        Self {
            flows: BTreeSet::new(),
            due: Vec::new(),
            next_batch_at: now,
            batch_limit: BATCH_LIMIT,
            batches: HashMap::new(),
            last_batch: 0,
            silent: HashMap::new(),
            has_answers: false,
            roster: Roster::default(),
            young: TargetSet::default(),
            old: TargetSet::default(),
            peer_views: HashMap::new(),
            to_probe: BTreeSet::new(),
            uncertain: BTreeSet::new(),
            searches: SEARCH_LIMIT,
            probes: PROBE_LIMIT,
            batched_probes: PROBE_BATCH_LIMIT,
            next_probes_at: now,
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
    pub fn record_age(&mut self, target: TargetId, is_young: bool) -> usize {
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
        let is_due = !self.undecided.due.is_empty() && now >= self.undecided.next_batch_at;
        if is_due && self.undecided.batch_limit.take(now) {
            self.undecided.next_batch_at = now + BATCH_INTERVAL;
            self.send_batches(now, actions);
        }
        self.send_probes(now, actions);
        self.search_uncertain(now, actions);
        self.send_resets(now, actions);
    }

    /// Returns the state of a flow whose holder is unknown.
    pub(super) fn searching_mut(&mut self, flow: &FlowId) -> Option<&mut Searching> {
        match &mut self.flows.get_mut(flow)?.phase {
            Phase::Searching(searching) | Phase::Undecided(searching) => Some(searching),
            Phase::Opening(_) | Phase::Held(_) => None,
        }
    }

    /// Forgets a flow unless it has been decided.
    pub(super) fn drop_undecided(&mut self, flow: &FlowId) {
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
        let mut silent = HashMap::new();
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
            if self.decide_flow(now, &flow, &mut views) {
                continue;
            }
            let is_widened = self.widens_search(now, &flow, &mut views);
            if is_widened {
                actions.push(Action::SearchWidened { flow });
            }
            if is_widened || is_due {
                self.undecided.due.push(flow);
            }
            if is_widened || !is_due {
                continue;
            }
            let has_silent_agent = silent
                .entry(flow.service)
                .or_insert_with(|| self.has_silent_agent(now, flow.service));
            if *has_silent_agent && knows_all_agents {
                self.undecided.uncertain.insert(flow);
            }
        }
        if dropped > 0 {
            actions.push(Action::UndecidedDropped { flows: dropped });
        }
    }

    /// Queues a flow that agents could not tell about to be probed for.
    pub(super) fn queue_probe(&mut self, flow: FlowId) {
        let phase = self.flows.get(&flow).map(|state| &state.phase);
        let is_first = matches!(phase, Some(Phase::Undecided(searching))
            if searching.probe_searches == 0 && searching.probed_at.is_none());
        let undecided = &mut self.undecided;
        if is_first && undecided.flows.len() >= MIN_PROBE_BATCH {
            undecided.to_probe.insert(flow);
        } else {
            undecided.uncertain.insert(flow);
        }
    }

    /// Sends a packet of each queued flow to the agents that could not tell about it, so
    /// that they probe their backend servers. Flows that remain uncertain are searched for
    /// one by one, also at agents of earlier versions, which do not know this frame.
    fn send_probes(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_due = !self.undecided.to_probe.is_empty() && now >= self.undecided.next_probes_at;
        // A probe that does not reach the holder breaks the flow.
        if !is_due || !self.knows_all_agents(now) {
            return;
        }
        self.undecided.next_probes_at = now + PROBE_BATCH_INTERVAL;
        let routes = Arc::clone(&self.routes);
        let mut by_agent: BTreeMap<TargetId, (SocketAddr, Vec<Bytes>)> = BTreeMap::new();
        while let Some(flow) = self.undecided.to_probe.first().copied() {
            if !self.undecided.batched_probes.take(now) {
                break;
            }
            self.undecided.to_probe.pop_first();
            let phase = self.flows.get_mut(&flow).map(|state| &mut state.phase);
            let Some(Phase::Undecided(searching)) = phase else {
                continue;
            };
            searching.probe_searches = 1;
            searching.rounds = searching.rounds.max(1);
            searching.asked_at = now;
            searching.probed_at = Some(now);
            let services = routes.candidates(now, flow.service).named;
            for target in routes.targets_of_all(&services) {
                let index = self.undecided.roster.index(target.id);
                if !searching.answers.denied.contains(index) {
                    let (_, packets) = by_agent
                        .entry(target.id)
                        .or_insert_with(|| (target.address, Vec::new()));
                    packets.push(searching.packet.clone());
                }
            }
        }
        for (target, (to, packets)) in by_agent {
            self.send_probes_to(target, to, &packets, actions);
        }
    }

    /// Sends packets to one agent, in as many frames as they need.
    fn send_probes_to(
        &self,
        target: TargetId,
        to: SocketAddr,
        packets: &[Bytes],
        actions: &mut Vec<Action>,
    ) {
        let mut rest = packets;
        while !rest.is_empty() {
            let mut bytes = 0;
            let fits = |packet: &&Bytes| {
                bytes += packet.len();
                bytes <= batch::MAX_PROBE_BYTES
            };
            let count = rest.iter().take_while(fits).count().max(1);
            let (now, later) = rest.split_at(count);
            rest = later;
            actions.push(Action::ProbesRequested {
                target,
                flows: now.len(),
            });
            actions.push(Action::Send {
                to,
                transit: Transit::Probes(batch::Probes {
                    target,
                    entry: self.address,
                    packets: now.to_vec(),
                }),
            });
        }
    }

    /// Searches for the flows that agents could not tell about, so that these probe
    /// their backend servers.
    fn search_uncertain(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let routes = Arc::clone(&self.routes);
        let knows_all_agents = self.knows_all_agents(now);
        let interval = self.settings.lost_retry_interval;
        while let Some(flow) = self.undecided.uncertain.first().copied() {
            let phase = self.flows.get(&flow).map(|state| &state.phase);
            let may_search = match phase {
                Some(Phase::Undecided(searching)) => {
                    let is_first =
                        searching.rounds == 0 || knows_all_agents && searching.probed_at.is_none();
                    searching.probe_searches < MAX_PROBE_SEARCHES
                        && (is_first || now >= searching.asked_at + interval)
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
                // A probe that does not reach the holder breaks the flow. A silent agent
                // may be of an earlier version, though, and need the probe to tell.
                let may_probe = searching.rounds > 0
                    || !self.undecided.has_answers
                    || !self.has_silent_agent(now, flow.service);
                searching.asked_at = now;
                searching.rounds = search::MAX_ROUNDS - 1;
                self.send_search(&routes, now, flow, may_probe, &mut searching, actions);
                searching.probe_searches += u8::from(searching.probed_at == Some(now));
                self.searches.push_back(flow);
                state.phase = Phase::Searching(searching);
            }
            state.last_used = now;
            self.flows.insert(flow, state);
        }
    }
}
