//! Agent: delivers the packets of the flows that its backend server holds, and
//! decides which new flows are admitted.
//!
//! A backend server knows which flows it holds and returns every other packet.
//! An agent that has just started relies on this: it delivers one packet of an
//! unknown flow as a probe and learns from the reaction whether the server
//! holds the flow.
mod action;
mod admission;
mod age;
mod backend;
mod batch;
mod bid;
mod class;
mod evacuation;
mod event;
mod expiring_map;
mod flow;
mod lookup;
mod presence;
mod search;
mod server;
mod settings;
mod waiting;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limit::Forecast;
use limit::Occupancy;
use limit::Overload;
use limit::Plausibility;
use limit::Risk;
use limit::Vacancy;
use limit::Waiting;
use limit::WarmUp;
use wire::FlowId;
use wire::Hop;
use wire::Segment;
use wire::Transit;
use wire::segment::Kind;
use wire::transit;
use wire::transit::Forward;

pub use action::Action;
pub use action::Closed;
pub use action::DropReason;
pub use action::Refusal;
use admission::Passed;
use age::Age;
pub use backend::Announcement;
pub use backend::Filter;
pub use backend::Start;
pub use backend::State;
use batch::Batches;
pub use bid::Bid;
pub use class::Step;
pub use event::Event;
use expiring_map::ExpiringMap;
use flow::Flow;
use flow::Progress;
use lookup::Absence;
use lookup::reset_ended;
use lookup::send_not_held;
use presence::Presence;
pub use search::Peers;
use search::Pending;
pub use settings::Settings;
use waiting::Arrival;

/// State machine of an agent.
#[derive(Debug)]
pub struct Agent {
    settings: Settings,
    own: Hop,
    started_at: Duration,
    /// Whether the backend server may hold flows that were opened before this
    /// process started.
    may_hold_prior_flows: bool,
    announcement: Option<Announcement>,
    last_announced: Duration,
    server_age: Option<Age>,
    /// Time of the first opening packet that the backend server has not reacted
    /// to.
    unanswered_since: Option<Duration>,
    presence: Presence,
    is_stopping: bool,
    /// Agents in other zones to pass new flows on to, while the zone of the backend
    /// server is evacuated.
    evacuation: Option<Arc<Vec<Hop>>>,
    occupancy: Occupancy,
    held_load: Forecast,
    risk: Risk,
    plausibility: Plausibility,
    flows: HashMap<FlowId, Flow>,
    /// New flows that wait for a slot.
    waiting: Waiting<Arrival>,
    overload: Overload,
    /// Other backend servers that had room lately.
    vacancy: Vacancy,
    warm_up: WarmUp,
    /// Whether a limit of new flows was in force at the last event.
    is_limited: bool,
    passed_flows: ExpiringMap<Passed>,
    probes: ExpiringMap<Probe>,
    flows_not_held: ExpiringMap<Absence>,
    /// Flows that were dropped as idle while the backend server may keep them.
    idle_flows: ExpiringMap<()>,
    /// Flows that ended with their backend server, and its last sequence number on them.
    ended_flows: ExpiringMap<u32>,
    peers: Peers,
    searches: HashMap<FlowId, Pending>,
    batches: Batches,
    /// Callers' packets that carried only content seen before.
    repeated_packets: u64,
    next_sweep_at: Duration,
}

/// A packet delivered to learn whether the backend server holds its flow.
#[derive(Clone, Copy, Debug)]
struct Probe {
    entry: SocketAddr,
    /// Receiver of the reply if the flow is not held: the entry, or an agent
    /// that searches for the holder. `None` where the answer to a batch says so.
    reply_to: Option<SocketAddr>,
    sent_at: Duration,
    count: u8,
    /// Position up to which the caller had received, which tells the flow from an earlier
    /// one from the same port.
    acknowledged: u32,
}

/// Maximum number of flows that wait for a slot. Each takes the size of its opening
/// frame, some 300 bytes.
const MAX_WAITING: usize = 1024;

/// Maximum number of probes for one unknown flow. Three packets at a backend
/// server that does not hold the flow would break it.
const MAX_PROBES: u8 = 2;

impl Agent {
    /// Creates an agent without a backend server. `may_hold_prior_flows` is
    /// false if no earlier process can have run beside the backend server.
    #[must_use]
    pub fn new(settings: Settings, own: Hop, may_hold_prior_flows: bool, now: Duration) -> Self {
        let mut warm_up = WarmUp::new(settings.warm_up, now);
        if !may_hold_prior_flows {
            warm_up.clear_earlier_use();
        }
        Self {
            own,
            started_at: now,
            may_hold_prior_flows,
            announcement: None,
            last_announced: now,
            server_age: None,
            unanswered_since: None,
            presence: Presence::new(now),
            is_stopping: false,
            evacuation: None,
            occupancy: Occupancy::new(settings.initial_slots, settings.initial_service_time),
            held_load: Forecast::new(settings.held_load, now),
            risk: Risk::new(settings.risk, now),
            plausibility: Plausibility::default(),
            flows: HashMap::new(),
            waiting: Waiting::new(MAX_WAITING),
            overload: Overload::new(settings.overload),
            vacancy: Vacancy::default(),
            warm_up,
            is_limited: false,
            passed_flows: ExpiringMap::new(settings.linger),
            probes: ExpiringMap::new(settings.max_flow_age),
            flows_not_held: ExpiringMap::new(settings.max_flow_age),
            idle_flows: ExpiringMap::new(
                settings.max_flow_age.saturating_sub(settings.idle_timeout),
            ),
            ended_flows: ExpiringMap::new(settings.max_flow_age),
            peers: Peers::default(),
            searches: HashMap::new(),
            batches: Batches::default(),
            repeated_packets: 0,
            next_sweep_at: now + settings.sweep_interval,
            settings,
        }
    }

    /// Processes an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Open { open, .. } if !open.is_consistent() => {
                actions.push(Action::Dropped(DropReason::Malformed));
            }
            Event::Open { open, segment } => self.handle_open(now, open, segment, actions),
            Event::Forward { forward, segment } => {
                self.handle_forward(now, forward, segment, actions);
            }
            Event::Search { search, segment } => self.handle_search(now, search, segment, actions),
            Event::Lookup { lookup, segment } => self.handle_lookup(now, lookup, segment, actions),
            Event::SearchBatch(search) => self.handle_search_batch(now, search, actions),
            Event::LookupBatch(lookup) => self.handle_lookup_batch(now, lookup, actions),
            Event::Probes {
                target,
                entry,
                packets,
            } => self.handle_probes(now, (target, entry), packets, actions),
            Event::Answer(answer) => self.handle_answer(now, answer, actions),
            Event::PeerDenied(denial) => self.record_peer_denial(now, &denial, actions),
            Event::Peers(peers) => self.peers = peers,
            Event::Evacuation(evacuation) => self.evacuation = evacuation,
            Event::ServerPacket { segment, packet } if segment.is_returned => {
                self.unanswered_since = None;
                self.handle_returned(now, segment, packet, actions);
            }
            Event::ServerPacket { segment, packet } => {
                self.unanswered_since = None;
                self.handle_sent(now, segment, packet, actions);
            }
            Event::Announcement(announcement) => {
                self.handle_announcement(now, announcement, actions);
            }
            Event::ServerEnded => self.end_server(now, actions),
            Event::ServerAbsent if self.announcement.is_none() => {
                self.presence.record_absent(now);
            }
            Event::ServerListening => self.record_listening(now, actions),
            Event::Stop => self.is_stopping = true,
            // A server that has announced itself runs, whether it listens or not.
            Event::ServerAbsent | Event::Tick => {}
        }
        if now >= self.next_sweep_at {
            self.next_sweep_at = now + self.settings.sweep_interval;
            self.sweep(now, actions);
        }
        self.report_batches(now, actions);
        if !self.waiting.is_empty() {
            self.admit_waiting(now, actions);
        }
        self.report_overload(now, actions);
        self.report_cold(now, actions);
    }

    /// Returns the reason for which no new flows are admitted, or `None` if
    /// they are.
    #[must_use]
    pub fn closed_reason(&self, now: Duration) -> Option<Closed> {
        let settings = &self.settings;
        let reaction_deadline = self
            .unanswered_since
            .map(|since| since + settings.reaction_timeout);
        match &self.announcement {
            _ if self.is_stopping => Some(Closed::Stopping),
            _ if self.evacuation.is_some() => Some(Closed::Evacuated),
            None if !self.assumes_ready(now) => Some(Closed::Unknown),
            Some(announcement) if announcement.state != State::Ready => Some(Closed::NotReady),
            Some(_) if now >= self.last_announced + settings.announcement_timeout => {
                Some(Closed::Silent)
            }
            _ if reaction_deadline.is_some_and(|deadline| now >= deadline) => Some(Closed::Mute),
            _ if self.flows.len() >= settings.max_flows => Some(Closed::Flows),
            // Where classes differ, each has an expected wait of its own.
            _ if self.overload.has_classes(now) => None,
            _ if !self.has_room(now, None) && self.load(now).wait() > settings.patience() => {
                Some(Closed::Queue)
            }
            _ => None,
        }
    }

    /// Returns true if the backend server is assumed to be ready without an
    /// announcement. It keeps serving after a crash of its agent, so a restarted
    /// agent admits flows at once. A server that only returns opening packets has
    /// not started yet or is not coming back.
    fn assumes_ready(&self, now: Duration) -> bool {
        self.may_hold_prior_flows
            && now < self.started_at + self.settings.assumed_ready_time
            && self.presence.may_be_ready()
    }

    /// Returns true if new flows are admitted, or are refused only because the
    /// backend server is mute or a limit of flows or queued requests is reached.
    #[must_use]
    pub fn is_open(&self, now: Duration) -> bool {
        matches!(
            self.closed_reason(now),
            None | Some(Closed::Mute | Closed::Flows | Closed::Queue)
        )
    }

    /// Returns true if there is no backend server that could hold flows: it has not
    /// started yet, or its host came back without it.
    #[must_use]
    pub fn lacks_server(&self, now: Duration) -> bool {
        let interval = self.settings.max_announcement_interval;
        self.announcement.is_none() && self.presence.is_missing(now, interval)
    }

    /// Returns true if the backend server has not announced itself to this process, or no
    /// process has listened at its address yet.
    #[must_use]
    pub const fn awaits_server(&self) -> bool {
        self.announcement.is_none() || self.presence.is_absent()
    }

    /// Returns true if any request is running or queued.
    #[must_use]
    pub const fn is_busy(&self) -> bool {
        self.occupancy.running() > 0
    }

    /// Returns the number of requests that are running or queued.
    #[must_use]
    pub const fn running(&self) -> u16 {
        self.occupancy.running()
    }

    /// Returns the number of callers' packets that carried only content seen
    /// before. A rising number shows loss on the way to or from this host.
    #[must_use]
    pub const fn repeated_packets(&self) -> u64 {
        self.repeated_packets
    }

    /// Returns the number of held flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns true if no flow is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns the load that is reported to entries.
    #[must_use]
    pub fn load(&self, now: Duration) -> transit::Load {
        let mut own = self.occupancy.load();
        let waiting = u16::try_from(self.waiting.len()).unwrap_or(u16::MAX);
        own.running = own.running.saturating_add(waiting);
        let held = self.held_load.bid(now, own.rate());
        let own = self.warm_up.limit_load(now, self.waiting.len(), own);
        let micros = |time: Duration| u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
        transit::Load {
            held_us: micros(held),
            risk_us: micros(self.risk.expected_cost(now)),
            used_permille: Some(permille(self.occupancy.used(now))),
            ..own
        }
    }

    /// Handles a packet whose flow the entry believes to be held here.
    fn handle_forward(
        &mut self,
        now: Duration,
        forward: Forward,
        segment: Segment,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_caller();
        if segment.kind == Kind::Open {
            return self.handle_forwarded_open(now, forward, &segment, actions);
        }
        if forward.target != self.own.target {
            return send_not_held(flow, forward, &segment, None, actions);
        }
        if self.flows.contains_key(&flow) {
            return self.deliver(now, flow, forward, segment, actions);
        }
        let passed = self.passed_flows.get_mut(now, &flow);
        if let Some(open) = passed.and_then(Passed::follow) {
            let to = open.path[usize::from(open.position)];
            return forward_to_next_holder(flow, to, forward, actions);
        }
        if self.has_ended(now, &flow, &segment) {
            return reset_ended(flow, &segment, actions);
        }
        if self.may_hold(now, &flow) {
            let reply_to = Some(forward.entry);
            return self.probe(now, &segment, forward, reply_to, actions);
        }
        let evidence = self.evidence_against(now, &flow);
        send_not_held(flow, forward, &segment, evidence, actions);
    }

    /// Delivers a packet of a held flow, or reports the flow as not held if the
    /// packet shows that the caller's flow was accepted by another server.
    fn deliver(
        &mut self,
        now: Duration,
        flow: FlowId,
        forward: Forward,
        segment: Segment,
        actions: &mut Vec<Action>,
    ) {
        let Some(held) = self.flows.get_mut(&flow) else {
            return;
        };
        held.entry = Some(forward.entry);
        if held.is_accepted_elsewhere(&segment) {
            held.end_request(now, &mut self.occupancy);
            self.flows.remove(&flow);
            self.flows_not_held.insert(now, flow, Absence::Elsewhere);
            return send_not_held(flow, forward, &segment, None, actions);
        }
        self.repeated_packets += u64::from(held.is_repeated(&segment));
        match held.record_caller_packet(now, &segment, &mut self.occupancy) {
            Some(Progress::NextRequest) => {
                self.held_load.record_request(now);
                self.overload.record_held_request(held.priority);
            }
            Some(Progress::Failed) => self.risk.record_failure(now),
            Some(Progress::Answered(_)) | None => {}
        }
        actions.push(Action::Deliver(forward.packet));
    }

    /// Expires requests, flows, probes and searches.
    fn sweep(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let settings = &self.settings;
        let occupancy = &mut self.occupancy;
        let risk = &mut self.risk;
        let idle_flows = &mut self.idle_flows;
        self.flows.retain(|id, flow| {
            if flow.expire_request(now, settings.reservation_timeout, occupancy) {
                risk.record_failure(now);
                actions.push(Action::Failed { flow: *id });
            }
            let keep = !flow.is_expired(now, settings.linger, settings.idle_timeout);
            if !keep && !flow.has_ended() && flow.server_position.is_some() {
                idle_flows.insert(now, *id, ());
            }
            if !keep && flow.slot.take().is_some() {
                occupancy.release(now);
            }
            keep
        });
        let mut open = HashMap::new();
        for flow in self.flows.values().filter(|flow| flow.is_open()) {
            if let Some(priority) = flow.priority {
                *open.entry(priority).or_insert(0) += 1;
            }
        }
        self.overload.set_open_flows(now, |priority| {
            open.get(&priority).copied().unwrap_or_default()
        });
        let idle = self.flows.values().filter(|flow| flow.is_idle()).count();
        self.held_load
            .set_idle_flows(now, u32::try_from(idle).unwrap_or(u32::MAX));
        self.passed_flows.expire(now);
        self.flows_not_held.expire(now);
        self.idle_flows.expire(now);
        self.ended_flows.expire(now);
        self.probes.expire(now);
        self.vacancy.expire(now);
        self.expire_searches(now, actions);
        self.expire_batches(now);
    }
}

/// Returns a share in thousandths.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the share is clamped"
)]
fn permille(share: f64) -> u16 {
    (share.clamp(0.0, 1.0) * 1_000.0).round() as u16
}

/// Forwards a packet to the agent that its open was forwarded to. Also names
/// that agent to the entry, because the agent's own notification may have been
/// lost.
fn forward_to_next_holder(flow: FlowId, to: Hop, forward: Forward, actions: &mut Vec<Action>) {
    let held = transit::Held {
        flow,
        holder: to,
        start: None,
        load: None,
    };
    actions.push(Action::Send {
        to: forward.entry,
        transit: Transit::Held(held),
    });
    let forward = Forward {
        target: to.target,
        ..forward
    };
    actions.push(Action::Send {
        to: to.address,
        transit: Transit::Forward(forward),
    });
}
