//! The state machine of a caller.
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use wire::FlowKey;
use wire::RequestId;
use wire::caller::Outcome;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::caller::packet::Body;

use super::Backoff;
use super::flow::Flow;
use super::flow::State;
use super::operation::Ending;
use super::operation::OperationId;

mod request;

/// Behaviour of a caller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name that the service's backend servers echo; empty to accept any.
    pub service: String,
    /// How long an operation may take.
    pub deadline: Duration,
    /// Smallest size of a payload in bytes.
    pub payload: usize,
    /// Largest number of requests that one operation sends under new ids.
    pub tries: u32,
    /// Repeats of what got no reply.
    pub backoff: Backoff,
    /// Time without a new chunk after which missing ones are fetched.
    pub fetch: Duration,
    /// Transmissions of a close before it is given up.
    pub closes: u32,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            service: String::new(),
            deadline: Duration::from_secs(5),
            payload: 64,
            tries: 5,
            backoff: Backoff::default(),
            fetch: Duration::from_millis(50),
            closes: 5,
            seed: 0,
        }
    }
}

/// What a caller does or reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a datagram to the service address.
    Send(Bytes),
    /// An operation is over.
    Ended(OperationId, Ending),
    /// A request was refused; `name` is that in its payload.
    Refused {
        /// The name in the request's payload.
        name: String,
        /// Why.
        reason: Reason,
        /// Whether it may have run.
        outcome: Outcome,
    },
    /// A flow was opened.
    Opened,
    /// The open of a flow was refused; it is tried again.
    OpenRefused(Reason),
    /// An open flow was lost; another is opened in its place.
    Broken(Reason),
    /// A flow has ended as the caller asked.
    Closed,
    /// Something was sent again, or missing chunks were asked for.
    Repeated,
    /// A packet was ignored: unreadable, or of nothing that is in flight.
    Ignored,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Duration,
    flow: FlowKey,
    wake: Wake,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    Flow,
    Held,
    Request(RequestId),
}

/// The state machine of a caller; see the module [`crate::call`].
pub struct Caller {
    settings: Settings,
    random: fastrand::Rng,
    current: Vec<FlowKey>,
    flows: HashMap<FlowKey, Flow>,
    timers: BTreeSet<Timer>,
    actions: VecDeque<Action>,
    next_request: RequestId,
    next_operation: OperationId,
}

impl Caller {
    /// Creates a caller without flows; see [`Caller::open`].
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            random: fastrand::Rng::with_seed(settings.seed),
            settings,
            current: Vec::new(),
            flows: HashMap::new(),
            timers: BTreeSet::new(),
            actions: VecDeque::new(),
            next_request: 1,
            next_operation: 1,
        }
    }

    /// Opens one more flow and returns its index.
    pub fn open(&mut self, now: Duration) -> usize {
        let index = self.current.len();
        let key = self.add_flow(index);
        self.current.push(key);
        self.send_open(now, key);
        index
    }

    /// Number of flows, open or not.
    #[must_use]
    pub const fn flows(&self) -> usize {
        self.current.len()
    }

    /// Number of flows that are open.
    #[must_use]
    pub fn open_flows(&self) -> usize {
        self.flows.values().filter(|flow| flow.is_open()).count()
    }

    /// Number of operations without an ending.
    #[must_use]
    pub fn pending(&self) -> usize {
        let pending = |flow: &Flow| flow.held.len() + flow.tries.len();
        self.flows.values().map(pending).sum()
    }

    /// Asks for the end of all flows that are open.
    pub fn close(&mut self, now: Duration) {
        for key in self.current.clone() {
            let Some(flow) = self.flows.get_mut(&key) else {
                continue;
            };
            if let State::Open(token) = &flow.state {
                flow.state = State::Closing(token.clone());
                flow.attempt = 0;
                self.send_close(now, key);
            }
        }
    }

    /// Number of flows whose close is not confirmed.
    #[must_use]
    pub fn closing(&self) -> usize {
        let closing = |flow: &&Flow| matches!(flow.state, State::Closing(_));
        self.flows.values().filter(closing).count()
    }

    /// Takes the next action, if any.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When [`Caller::tick`] is next due.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        self.timers.first().map(|timer| timer.at)
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Duration) {
        while let Some(timer) = self.timers.first().copied().filter(|timer| timer.at <= now) {
            self.timers.pop_first();
            match timer.wake {
                Wake::Flow => self.wake_flow(now, timer),
                Wake::Held => self.release(now, timer.flow),
                Wake::Request(request) => self.wake_request(now, timer, request),
            }
        }
    }

    /// Takes a datagram from the service address.
    pub fn receive(&mut self, now: Duration, datagram: Bytes) {
        let Ok(packet) = Packet::from_bytes(datagram) else {
            self.actions.push_back(Action::Ignored);
            return;
        };
        let key = packet.flow;
        let known = self.flows.contains_key(&key);
        match packet.body {
            Some(Body::Opened(opened)) if known => self.opened(now, key, opened.holder),
            Some(Body::Chunk(chunk)) if known => self.chunk(now, key, chunk),
            Some(Body::Refusal(refusal)) if known && refusal.request == 0 => {
                self.open_refused(now, key, &refusal);
            }
            Some(Body::Refusal(refusal)) if known => self.request_refused(now, key, &refusal),
            Some(Body::Closed(_)) if known => self.closed(now, key),
            _ => self.actions.push_back(Action::Ignored),
        }
    }

    fn add_flow(&mut self, index: usize) -> FlowKey {
        let key = self.random.u64(1..);
        self.flows.insert(key, Flow::new(index));
        key
    }

    fn opened(&mut self, now: Duration, key: FlowKey, token: Bytes) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        // The first holder that answers is kept.
        if flow.state != State::Opening {
            self.actions.push_back(Action::Ignored);
            return;
        }
        flow.state = State::Open(token);
        flow.refused = None;
        self.actions.push_back(Action::Opened);
        self.release(now, key);
    }

    fn open_refused(&mut self, now: Duration, key: FlowKey, refusal: &wire::caller::Refusal) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow.state != State::Opening {
            self.actions.push_back(Action::Ignored);
            return;
        }
        flow.refused = Some(refusal.reason());
        let pause = Duration::from_millis(refusal.retry_after_ms.into());
        let pause = pause.max(self.settings.backoff.delay(flow.attempt, &mut self.random));
        flow.repeat = now + pause;
        let at = flow.repeat;
        self.actions
            .push_back(Action::OpenRefused(refusal.reason()));
        self.set_timer(at, key, Wake::Flow);
    }

    fn closed(&mut self, now: Duration, key: FlowKey) {
        match self.flows.get(&key).map(|flow| &flow.state) {
            Some(State::Closing(_)) => {
                self.flows.remove(&key);
                self.actions.push_back(Action::Closed);
            }
            Some(State::Open(_)) => self.break_flow(now, key, Reason::FlowUnknown),
            _ => self.actions.push_back(Action::Ignored),
        }
    }

    /// Gives a flow up and opens another in its place.
    fn break_flow(&mut self, now: Duration, key: FlowKey, reason: Reason) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let State::Open(token) = &flow.state else {
            return;
        };
        flow.state = State::Broken(token.clone());
        let index = flow.index;
        let held = std::mem::take(&mut flow.held);
        let spent = flow.is_spent();
        if spent {
            self.flows.remove(&key);
        }
        self.actions.push_back(Action::Broken(reason));
        let fresh = self.add_flow(index);
        self.current[index] = fresh;
        if let Some(flow) = self.flows.get_mut(&fresh) {
            flow.held = held;
        }
        self.send_open(now, fresh);
        self.release(now, fresh);
    }

    fn wake_flow(&mut self, now: Duration, timer: Timer) {
        let Some(flow) = self.flows.get(&timer.flow) else {
            return;
        };
        match flow.state {
            _ if flow.repeat != timer.at => {}
            State::Opening => self.send_open(now, timer.flow),
            State::Closing(_) if flow.attempt >= self.settings.closes => {
                self.flows.remove(&timer.flow);
            }
            State::Closing(_) => self.send_close(now, timer.flow),
            State::Open(_) | State::Broken(_) => {}
        }
    }

    fn send_open(&mut self, now: Duration, key: FlowKey) {
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        let attempt = flow.attempt;
        let body = Body::Open(wire::caller::Open { attempt });
        self.send_for_flow(now, key, body);
    }

    fn send_close(&mut self, now: Duration, key: FlowKey) {
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        let holder = flow.token();
        self.send_for_flow(now, key, Body::Close(wire::caller::Close { holder }));
    }

    fn send_for_flow(&mut self, now: Duration, key: FlowKey, body: Body) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let repeated = flow.attempt > 0;
        flow.repeat = now + self.settings.backoff.delay(flow.attempt, &mut self.random);
        flow.attempt += 1;
        let at = flow.repeat;
        self.send(key, body, repeated);
        self.set_timer(at, key, Wake::Flow);
    }

    fn send(&mut self, key: FlowKey, body: Body, repeated: bool) {
        if repeated {
            self.actions.push_back(Action::Repeated);
        }
        let bytes = Packet::new(key, body).to_bytes();
        self.actions.push_back(Action::Send(bytes));
    }

    fn set_timer(&mut self, at: Duration, flow: FlowKey, wake: Wake) {
        self.timers.insert(Timer { at, flow, wake });
    }
}
