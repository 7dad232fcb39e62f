//! Entry: finds the agent that holds each flow, or selects agents for a new
//! one.
//!
//! The flow table of an entry is only a cache that saves searches. Any other
//! entry, including one that has just started, finds the holder of a flow by
//! asking one agent of the service, which asks all others.
mod action;
mod batch;
mod decision;
mod flow;
mod holder;
mod new_flow;
mod opening;
pub mod proof;
mod rate_limit;
mod refusal;
mod search;
mod settings;
mod tally;
mod undecided;

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use route::Placement;
use route::Size;
use wire::FlowId;
use wire::Hop;
use wire::Segment;
use wire::TargetId;
use wire::Transit;
use wire::Version;
use wire::ZoneId;
use wire::batch::Report;
use wire::segment::Kind;
use wire::transit::Busy;
use wire::transit::Forward;
use wire::transit::Held;
use wire::transit::HolderAbsent;
use wire::transit::NotHeld;

use crate::Routes;
pub use action::Action;
pub use action::DropReason;
pub use action::Refusal;
use flow::Flow;
use flow::Kept;
use flow::Phase;
pub use flow::Proofs;
pub use settings::Settings;
pub use tally::Reason;
use tally::Tally;
use undecided::Undecided;

/// Input of an entry.
#[derive(Clone, Debug)]
pub enum Event {
    /// A packet arrived from a caller.
    Packet {
        /// Header of the packet.
        segment: Segment,
        /// Complete packet.
        packet: Bytes,
    },
    /// An agent reports the holder of a flow.
    Held(Held),
    /// An agent returned a packet whose flow it does not hold.
    NotHeld(NotHeld),
    /// An agent reports that no agent of its service holds a flow.
    HolderAbsent(HolderAbsent),
    /// Agents report what they know about the flows of a batch.
    Report(Report),
    /// An agent reported its load instead of admitting a flow.
    Busy(Busy),
    /// The routes or the known backend servers changed.
    Routes(Arc<Routes>),
    /// A timer fired. Searches are retried and expired flows removed if due.
    Tick,
}

/// State machine of an entry.
#[derive(Debug)]
pub struct Entry {
    settings: Settings,
    address: SocketAddr,
    zone: ZoneId,
    routes: Arc<Routes>,
    flows: HashMap<FlowId, Flow>,
    placement: Placement,
    /// What the flows of each route carry, by the address that callers send to.
    sizes: HashMap<SocketAddrV4, Size>,
    tally: Tally,
    refusal: route::Refusal,
    started_at: Duration,
    known_targets: HashSet<TargetId>,
    /// Time at which a backend server was last added to the known ones.
    last_target_added: Duration,
    /// Flows whose holder is being searched for, ordered by the time at which
    /// agents were last asked.
    searches: VecDeque<FlowId>,
    undecided: Undecided,
    random: fastrand::Rng,
    next_sweep_at: Duration,
}

/// Packet that is being processed, with the output of its processing.
struct PacketContext<'a> {
    now: Duration,
    segment: Segment,
    packet: Bytes,
    actions: &'a mut Vec<Action>,
}

impl Entry {
    /// Creates an entry without routes. Agents reply to `address`.
    #[must_use]
    pub fn new(
        settings: Settings,
        address: SocketAddr,
        zone: ZoneId,
        seed: u64,
        now: Duration,
    ) -> Self {
        Self {
            placement: Placement::new(settings.place, zone, seed),
            random: fastrand::Rng::with_seed(seed),
            refusal: route::Refusal::new(settings.refusal),
            address,
            zone,
            routes: Arc::default(),
            flows: HashMap::new(),
            sizes: HashMap::new(),
            tally: Tally::default(),
            started_at: now,
            known_targets: HashSet::new(),
            last_target_added: now,
            searches: VecDeque::new(),
            undecided: Undecided::new(now),
            next_sweep_at: now + settings.sweep_interval,
            settings,
        }
    }

    /// Processes an event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Packet { segment, packet } => {
                let context = PacketContext {
                    now,
                    segment,
                    packet,
                    actions,
                };
                self.handle_packet(context);
            }
            Event::Held(held) => self.record_holder(now, &held, actions),
            Event::NotHeld(denial) => self.handle_not_held(now, denial, actions),
            Event::HolderAbsent(report) => self.handle_holder_absent(now, report, actions),
            Event::Report(report) => self.handle_report(now, &report, actions),
            Event::Busy(busy) => self.record_busy(now, &busy),
            Event::Routes(routes) => self.replace_routes(now, routes),
            Event::Tick => {}
        }
        self.retry_searches(now, actions);
        self.advance_undecided(now, actions);
        if now >= self.next_sweep_at {
            self.next_sweep_at = now + self.settings.sweep_interval;
            self.sweep(now);
            actions.extend(self.tally.review(now));
        }
    }

    /// Returns the number of new flows by zone and reason.
    pub fn placed_flows(&self) -> impl Iterator<Item = (ZoneId, Reason, u64)> {
        self.tally.flows()
    }

    /// Returns what the flows of each route carry, by the address that callers send to.
    pub fn sizes(&self) -> impl Iterator<Item = (SocketAddrV4, Size)> {
        self.sizes.iter().map(|(address, size)| (*address, *size))
    }

    /// Returns the version of the current configuration; 0 before the first.
    #[must_use]
    pub fn version(&self) -> Version {
        self.routes.table.version
    }

    /// Returns the number of flows in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns the number of flows whose holder is unknown.
    #[must_use]
    pub fn undecided(&self) -> usize {
        self.undecided.len()
    }

    /// Returns true if the flow table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Replaces the routes and the known backend servers.
    fn replace_routes(&mut self, now: Duration, routes: Arc<Routes>) {
        let targets = routes.targets.values().flat_map(|targets| targets.iter());
        let known: HashSet<TargetId> = targets.map(|target| target.id).collect();
        if !known.is_subset(&self.known_targets) {
            self.last_target_added = now;
        }
        self.placement.retain(|target| known.contains(&target));
        self.refusal.retain(|target| known.contains(&target));
        self.known_targets = known;
        self.sizes
            .retain(|address, _| routes.table.routes.contains_key(address));
        self.routes = routes;
    }

    /// Returns true once all agents can be assumed to be known. Agents may not
    /// probe their backend servers before, because the holder might be an
    /// unknown agent that does not receive the packet.
    fn knows_all_agents(&self, now: Duration) -> bool {
        let settings = &self.settings;
        let is_complete =
            self.routes.is_complete || now >= self.started_at + settings.max_discovery;
        is_complete
            && now >= self.started_at + settings.min_discovery
            && now >= self.last_target_added + settings.discovery_quiet
    }

    fn handle_packet(&mut self, context: PacketContext<'_>) {
        let routes = Arc::clone(&self.routes);
        let is_routed = routes.route(context.segment.destination).is_some();
        match context.segment.kind {
            _ if !is_routed => self.handle_unrouted(&context.segment, context.actions),
            Kind::Open => self.handle_open(&routes, context),
            Kind::Accept => context.actions.push(Action::Dropped(DropReason::Direction)),
            Kind::Data | Kind::Close | Kind::Reset => self.handle_forward(&routes, context),
        }
    }

    /// Handles a packet to an address without a route. While the configuration
    /// may be out of date, nothing is sent and callers retransmit.
    fn handle_unrouted(&mut self, segment: &Segment, actions: &mut Vec<Action>) {
        let flow = segment.flow_from_caller();
        self.flows.remove(&flow);
        match segment.kind {
            Kind::Reset => {}
            _ if !self.routes.is_confirmed => {
                actions.push(Action::Dropped(DropReason::Unconfirmed));
            }
            Kind::Open if !segment.is_retransmission() => actions.push(Action::Reset {
                flow,
                sequence: segment.acknowledged,
                reason: Refusal::NoRoute,
            }),
            // The flow may be open under a newer configuration than this one.
            _ => actions.push(Action::Dropped(DropReason::NoRoute)),
        }
    }

    /// Sends a packet to the agent that holds its flow, or starts a search for
    /// the holder.
    fn handle_forward(&mut self, routes: &Routes, context: PacketContext<'_>) {
        let flow = context.segment.flow_from_caller();
        let Some(state) = self.flows.get_mut(&flow) else {
            return self.start_search(routes, None, context);
        };
        let is_lost = matches!(state.phase, Phase::Undecided(_));
        if is_lost && context.now >= state.phase_since + self.settings.lost_retry_interval {
            return self.start_search(routes, None, context);
        }
        state.last_used = context.now;
        state.is_closing |= matches!(context.segment.kind, Kind::Close | Kind::Reset);
        let (is_request, bytes) = state.record_packet(&context.segment);
        let size = self.sizes.entry(flow.service).or_default();
        size.record_packet(context.now, is_request, bytes);
        match &mut state.phase {
            Phase::Held(holder) => {
                let holder = *holder;
                self.send_to_holder(holder, context);
            }
            Phase::Opening(opening) => {
                let first = opening.path[0];
                self.send_to_holder(first, context);
            }
            Phase::Searching(searching) => {
                searching.record_packet(&context.segment);
                if !searching.enqueue(context.packet) {
                    context.actions.push(Action::Dropped(DropReason::QueueFull));
                }
            }
            Phase::Undecided(searching) => {
                searching.record_packet(&context.segment);
                if !self.undecided.keeps_all_packets() {
                    return context.actions.push(Action::Dropped(DropReason::QueueFull));
                }
                let dropped = match searching.keep(&context.segment, context.packet) {
                    Kept::Queued => return,
                    Kept::Repeated => DropReason::HolderNotFound,
                    Kept::Full => DropReason::QueueFull,
                };
                context.actions.push(Action::Dropped(dropped));
            }
        }
    }

    /// Sends a packet to the agent that holds its flow or is expected to.
    fn send_to_holder(&self, holder: Hop, context: PacketContext<'_>) {
        context.actions.push(Action::Send {
            to: holder.address,
            transit: Transit::Forward(Forward {
                target: holder.target,
                entry: self.address,
                packet: context.packet,
            }),
        });
    }

    /// Stores a flow. A full table ignores new flows, which only costs
    /// searches. Returns whether the flow is stored.
    fn store_flow(&mut self, now: Duration, flow: FlowId, phase: Phase) -> bool {
        let is_full = self.flows.len() >= self.settings.max_flows;
        if is_full && !self.flows.contains_key(&flow) {
            return false;
        }
        self.flows.insert(flow, Flow::new(now, phase));
        true
    }

    /// Removes flows that are closed or idle.
    fn sweep(&mut self, now: Duration) {
        let settings = &self.settings;
        let idle = self
            .routes
            .table
            .idle_timeout
            .max(settings.min_idle_timeout);
        self.flows.retain(|_, flow| {
            let limit = match &flow.phase {
                Phase::Held(_) if flow.is_closing => settings.linger,
                Phase::Held(_) => idle,
                Phase::Opening(_) | Phase::Searching(_) => settings.linger,
                // Dropped when their callers give up.
                Phase::Undecided(_) => return true,
            };
            now < flow.last_used + limit
        });
    }
}
