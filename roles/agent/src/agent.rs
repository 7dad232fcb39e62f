//! The agent's state, and the dispatch of events and deadlines to its modules.
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use flow::Ledger;
use flow::Table;
use flow::record;
use flow::record::Refusal;
use limit::Budget;
use limit::Gate;
use limit::Load;
use route::Order;
use route::pin;
use wire::FlowKey;
use wire::Frame;
use wire::Incarnation;
use wire::RequestId;
use wire::Target;
use wire::TargetId;
use wire::Token;
use wire::caller::Outcome;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::target::State;

use crate::Action;
use crate::Event;
use crate::Settings;
use crate::View;
use crate::claim::Claiming;
use crate::event::JobId;
use crate::leave::Leaving;
use crate::offered::Offers;
use crate::parked::ParkedStates;
use crate::pinning::Renewal;
use crate::status::Counter;
use crate::status::Counters;
use crate::status::Status;
use crate::task::Task;
use crate::task::Timer;
use crate::view;

/// The agent beside one backend server: holds flows, admits requests, and
/// exchanges flows and requests with the other agents of the service.
///
/// ```
/// use std::time::Duration;
/// use agent::Agent;
/// use agent::Event;
/// use agent::Settings;
/// # let target = wire::Target {
/// #     id: 1,
/// #     service: "192.0.2.1:53".parse().unwrap(),
/// #     address: "198.51.100.1:7000".parse().unwrap(),
/// #     control: "198.51.100.1:7001".parse().unwrap(),
/// #     zone: 1, incarnation: 1, version: 1, weight: 100, slots: 4,
/// #     state: wire::target::State::Ready,
/// # };
///
/// let mut agent = Agent::new(Settings::default(), target, 7, Duration::ZERO);
/// let mut actions = Vec::new();
/// agent.handle(Duration::from_millis(1), Event::Tick, &mut actions);
/// assert!(agent.next_deadline().is_some());
/// assert_eq!(agent.status().flows, 0);
/// ```
#[derive(Debug)]
pub struct Agent {
    /// Time of the last event.
    now: Duration,
    pub(crate) settings: Settings,
    pub(crate) identity: Target,
    pub(crate) token: Token,
    pub(crate) random: fastrand::Rng,
    pub(crate) counters: Counters,
    pub(crate) view: View,
    pub(crate) order: Order,
    /// Targets that were in an earlier view and are not in the current one,
    /// with their last known incarnation.
    pub(crate) departed: BTreeMap<TargetId, Incarnation>,
    pub(crate) flows: Table,
    pub(crate) ledger: Ledger,
    pub(crate) pins: pin::Table,
    pub(crate) gate: Gate,
    /// Load that the flows held here put on the backend server.
    pub(crate) load: Load,
    pub(crate) budget: Budget,
    pub(crate) tasks: BTreeMap<JobId, Task>,
    /// Tasks by the request that they serve, for flows held here.
    pub(crate) tasks_by_request: HashMap<record::Key, JobId>,
    /// Tasks by the number of the offer that another agent holds for them.
    pub(crate) tasks_by_offer: HashMap<u64, JobId>,
    pub(crate) timers: BTreeSet<Timer>,
    pub(crate) next_id: u64,
    pub(crate) offers: Offers,
    pub(crate) parked: ParkedStates,
    pub(crate) renewal: Renewal,
    pub(crate) claiming: Option<Claiming>,
    pub(crate) draining: bool,
    pub(crate) leaving: Option<Leaving>,
    announced: Announced,
}

/// The state and weight last announced, and the earliest time for the next
/// change of weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Announced {
    state: State,
    weight: u32,
    next_weight: Duration,
}

/// Time and collected actions of one call of [`Agent::handle`].
pub(crate) struct Outbox<'a> {
    pub(crate) now: Duration,
    pub(crate) actions: &'a mut Vec<Action>,
}

impl Outbox<'_> {
    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn send(&mut self, to: SocketAddr, frame: Frame) {
        self.push(Action::Send { to, frame });
    }
}

/// Addresses of the entry and the caller that replies are sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReplyPath {
    pub(crate) entry: SocketAddr,
    pub(crate) caller: SocketAddr,
}

impl Agent {
    /// Creates the agent of `identity`. Once it has its first view, it asks
    /// peers for the state that its predecessor parked, and accepts new flows
    /// afterwards.
    #[must_use]
    pub fn new(settings: Settings, identity: Target, seed: u64, now: Duration) -> Self {
        let token = Token {
            target: identity.id,
            incarnation: identity.incarnation,
        };
        let mut random = fastrand::Rng::with_seed(seed);
        let view = View {
            targets: vec![identity.clone()],
            service: view::Service::default(),
        };
        Self {
            order: Order::new(&view.targets),
            view,
            departed: BTreeMap::new(),
            flows: Table::new(settings.flows, random.u64(..), now),
            ledger: Ledger::new(settings.ledger, random.u64(..)),
            pins: pin::Table::new(settings.pins),
            gate: Gate::new(settings.gate, now),
            load: Load::new(settings.load, now),
            budget: Budget::new(settings.retries),
            tasks: BTreeMap::new(),
            tasks_by_request: HashMap::new(),
            tasks_by_offer: HashMap::new(),
            timers: BTreeSet::new(),
            next_id: 1,
            offers: Offers::default(),
            parked: ParkedStates::default(),
            renewal: Renewal::new(&settings, now),
            claiming: Some(Claiming::new(&settings, now)),
            draining: false,
            leaving: None,
            announced: Announced {
                state: identity.state,
                weight: identity.weight,
                next_weight: now,
            },
            counters: Counters::default(),
            now,
            token,
            random,
            identity,
            settings,
        }
    }

    /// Processes an event and appends the resulting actions to `actions`.
    /// Expired deadlines are processed first, so that a process that was paused
    /// does not run requests whose callers have given up.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        let mut outbox = Outbox { now, actions };
        let outbox = &mut outbox;
        self.process_deadlines(outbox);
        match event {
            Event::Frame { from: _, frame } => self.on_frame(outbox, frame),
            Event::Finished { job, result } => self.on_finished(outbox, job, result),
            Event::Offered { call, offer } => self.on_offered(outbox, call, offer),
            Event::Withdrawn { offer } => self.on_withdrawn(outbox, offer),
            Event::Passed { offer, outcome } => self.on_passed(outbox, offer, outcome),
            Event::View(view) => self.on_view(outbox, view),
            Event::Park { call, part } => self.on_park(outbox, call, part),
            Event::Parked { index, accepted } => self.on_parked(outbox, index, accepted),
            Event::Claim { call, claim } => self.on_claim(outbox, call, claim),
            Event::Claimed { peer, grant } => self.on_claimed(outbox, peer, grant),
            Event::Tick => {}
            Event::Drain => self.draining = true,
            Event::Resume => self.draining = false,
            Event::Stop => self.on_stop(outbox),
            Event::Replace => self.on_replace(outbox),
        }
        self.leave_when_finished(outbox);
        self.announce(outbox);
    }

    /// Returns the latest time for the next call of [`Agent::handle`] with
    /// [`Event::Tick`].
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        [
            self.flows.next_deadline(),
            self.ledger.next_deadline(),
            self.gate.next_deadline(),
            self.timers.first().map(|timer| timer.at),
            self.offers.next_deadline(),
            self.parked.next_deadline(),
            Some(self.renewal.next_deadline()),
            self.pins.next_deadline(),
            self.claiming.as_ref().map(Claiming::next_deadline),
            self.leaving.as_ref().and_then(Leaving::next_deadline),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns the agent's status for operators and metrics, as of the last
    /// event.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            state: self.state(),
            weight: self.announced.weight,
            flows: self.flows.len(),
            flow_bytes: self.flows.bytes(),
            records: self.ledger.len(),
            record_bytes: self.ledger.bytes(),
            pins: self.pins.len(),
            pin_bytes: self.pins.bytes(),
            tasks: self.tasks.len(),
            expected_wait: self.gate.expected_wait(self.now),
            parked: self.parked.len(),
            counters: self.counters.clone(),
        }
    }

    fn process_deadlines(&mut self, outbox: &mut Outbox<'_>) {
        self.expire_flows(outbox);
        self.ledger.expire(outbox.now);
        self.expire_tasks(outbox);
        self.offers.expire(outbox.now);
        self.parked.expire(outbox.now);
        self.renew_pins(outbox);
        self.expire_claim(outbox);
        self.expire_leaving(outbox);
    }

    fn on_frame(&mut self, outbox: &mut Outbox<'_>, frame: Frame) {
        match frame {
            Frame::Relay(relay) => self.on_relay(outbox, relay),
            Frame::Pin(pin) => self.on_pin(outbox, &pin),
            Frame::Unpin(pin) => self.on_unpin(&pin),
            Frame::Reply(_) | Frame::Control(_) | Frame::Encapsulated(_) | Frame::Transit(_) => {
                self.counters.add(Counter::UnexpectedFrame);
            }
        }
    }

    fn on_view(&mut self, outbox: &mut Outbox<'_>, mut view: View) {
        if !view.targets.iter().any(|it| it.id == self.identity.id) {
            view.targets.push(self.identity.clone());
        }
        let old = std::mem::replace(&mut self.view, view);
        for target in old.targets {
            self.departed.insert(target.id, target.incarnation);
        }
        for target in &self.view.targets {
            self.departed.remove(&target.id);
        }
        while self.departed.len() > MAX_DEPARTED {
            self.departed.pop_first();
        }
        self.order = Order::new(&self.view.targets);
        self.flows.set_idle_timeout(self.view.service.idle_timeout);
        self.renewal.restart(outbox.now, self.flows.slots());
        self.pin_parked(outbox);
        self.start_claim(outbox);
    }

    /// Announces a changed state at once, and a changed weight at most once per
    /// [`Settings::announce_interval`].
    fn announce(&mut self, outbox: &mut Outbox<'_>) {
        let state = self.state();
        let weight = self.gate.weight();
        let Announced {
            state: old_state,
            weight: old_weight,
            next_weight,
        } = self.announced;
        if state == old_state && (weight == old_weight || outbox.now < next_weight) {
            return;
        }
        self.announced = Announced {
            state,
            weight,
            next_weight: outbox.now + self.settings.announce_interval,
        };
        outbox.push(Action::Announce { state, weight });
    }

    fn state(&self) -> State {
        match &self.leaving {
            Some(Leaving::Exited) => State::Left,
            Some(_) => State::Draining,
            None if self.draining => State::Draining,
            None => State::Ready,
        }
    }

    /// Returns true if the agent accepts new flows: it is not draining or
    /// leaving, and has no claim to its predecessor's state in progress.
    pub(crate) fn accepts_flows(&self) -> bool {
        !self.draining && self.leaving.is_none() && self.claiming.is_none()
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Looks up a target of the current view.
    pub(crate) fn target(&self, id: TargetId) -> Option<&Target> {
        self.order.target(id)
    }

    /// Randomizes a retry delay by up to half of it either way, so that callers
    /// refused at the same time do not all retry at the same time.
    pub(crate) fn jitter(&mut self, time: Duration) -> Duration {
        time.mul_f64(0.5 + self.random.f64())
    }

    pub(crate) fn refusal(&mut self, reason: Reason, retry_after: Duration) -> Refusal {
        Refusal {
            reason,
            retry_after: self.jitter(retry_after),
        }
    }

    /// Returns the retry delay for a refusal whose source gave none.
    fn retry_after(&mut self, now: Duration, reason: Reason) -> Duration {
        let time = match reason {
            Reason::Cancelled => Duration::ZERO,
            Reason::Deadline | Reason::Overloaded => {
                self.gate.expected_wait(now).max(MIN_RETRY_AFTER)
            }
            _ => self.settings.leave.retry_after,
        };
        self.jitter(time)
    }

    pub(crate) fn reply(&self, outbox: &mut Outbox<'_>, reply_path: ReplyPath, packet: &Packet) {
        let reply = wire::Reply {
            caller: reply_path.caller,
            service: self.identity.service,
            packet: packet.to_bytes(),
        };
        outbox.send(reply_path.entry, Frame::Reply(reply));
    }

    pub(crate) fn refuse(
        &mut self,
        outbox: &mut Outbox<'_>,
        reply_path: ReplyPath,
        subject: Subject,
        refusal: Refusal,
        outcome: Outcome,
    ) {
        self.counters.refuse(refusal.reason);
        let retry_after = match refusal.retry_after {
            Duration::ZERO => self.retry_after(outbox.now, refusal.reason),
            time => time,
        };
        let retry_after = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
        let packet = Packet::refuse(
            subject.flow,
            subject.request,
            refusal.reason,
            outcome,
            retry_after,
        );
        self.reply(outbox, reply_path, &packet);
    }
}

/// The flow and request that a refusal refers to; the request is 0 for an open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Subject {
    pub(crate) flow: FlowKey,
    pub(crate) request: RequestId,
}

/// Shortest retry delay, before randomization, of a refusal because no slot
/// became free in time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Largest number of departed targets that are remembered.
const MAX_DEPARTED: usize = 1_024;
