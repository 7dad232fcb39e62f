//! State machine of a caller.
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

/// Settings of a caller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name that the service's backend servers echo; empty to accept any.
    pub service: String,
    /// Longest time that an operation may take, retries included.
    pub deadline: Duration,
    /// Smallest size of a request's payload in bytes.
    pub payload: usize,
    /// Largest number of requests that one operation sends, each under a new
    /// id.
    pub max_requests: u32,
    /// Delays between retransmissions, and before retries after a refusal.
    pub backoff: Backoff,
    /// Time after the last new chunk at which missing chunks are fetched.
    pub fetch_delay: Duration,
    /// Largest number of transmissions of a close, after which the flow is removed
    /// without a confirmation.
    pub max_closes: u32,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            service: String::new(),
            deadline: Duration::from_secs(5),
            payload: 64,
            max_requests: 5,
            backoff: Backoff::default(),
            fetch_delay: Duration::from_millis(50),
            max_closes: 5,
            seed: 0,
        }
    }
}

/// A datagram that the caller sends, or an event that it reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a datagram to the service address.
    Send(Bytes),
    /// An operation has ended.
    Ended(OperationId, Ending),
    /// A request was refused; the operation may still be retried.
    Refused {
        /// Name of the request, as in its payload.
        name: String,
        /// Reason of the refusal.
        reason: Reason,
        /// Whether the service may have run the request.
        outcome: Outcome,
    },
    /// A flow was opened.
    Opened,
    /// The open of a flow was refused; it is retried.
    OpenRefused(Reason),
    /// An open flow was lost; a new one is opened in its place.
    Broken(Reason),
    /// A close of a flow was confirmed.
    Closed,
    /// A packet was retransmitted, or missing chunks were fetched.
    Retransmitted,
    /// A received packet was ignored: it cannot be decoded, belongs to no flow
    /// or request in flight, or is a duplicate.
    Ignored,
}

/// Scheduled timer of a flow. Timers are not removed when the time that they
/// stand for changes; an outdated one is ignored when it fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Duration,
    flow: FlowKey,
    wake: Wake,
}

/// Purpose of a timer: the open or close of the flow, its deferred operations, or
/// a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    Flow,
    Deferred,
    Request(RequestId),
}

/// Sans-IO state machine of a caller; see the module [`crate::call`].
///
/// All times are durations since one start, which the code that drives the caller
/// chooses.
pub struct Caller {
    settings: Settings,
    random: fastrand::Rng,
    flow_keys: Vec<FlowKey>,
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
            flow_keys: Vec::new(),
            flows: HashMap::new(),
            timers: BTreeSet::new(),
            actions: VecDeque::new(),
            next_request: 1,
            next_operation: 1,
        }
    }

    /// Opens one more flow and returns its index.
    pub fn open(&mut self, now: Duration) -> usize {
        let index = self.flow_keys.len();
        let key = self.add_flow(index);
        self.flow_keys.push(key);
        self.send_open(now, key);
        index
    }

    /// Returns the number of flows, open or not.
    #[must_use]
    pub const fn flows(&self) -> usize {
        self.flow_keys.len()
    }

    /// Returns the number of open flows.
    #[must_use]
    pub fn open_flows(&self) -> usize {
        self.flows.values().filter(|flow| flow.is_open()).count()
    }

    /// Returns the number of operations that have not ended.
    #[must_use]
    pub fn pending(&self) -> usize {
        let pending = |flow: &Flow| flow.deferred.len() + flow.exchanges.len();
        self.flows.values().map(pending).sum()
    }

    /// Closes all open flows.
    pub fn close(&mut self, now: Duration) {
        for key in self.flow_keys.clone() {
            let Some(flow) = self.flows.get_mut(&key) else {
                continue;
            };
            if let State::Open(token) = &flow.state {
                flow.state = State::Closing(token.clone());
                flow.transmissions = 0;
                self.send_close(now, key);
            }
        }
    }

    /// Returns the number of flows whose close is not confirmed.
    #[must_use]
    pub fn closing(&self) -> usize {
        let closing = |flow: &&Flow| matches!(flow.state, State::Closing(_));
        self.flows.values().filter(closing).count()
    }

    /// Removes and returns the next action, if any.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Returns the time of the next timer, at which [`Caller::tick`] is due.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        self.timers.first().map(|timer| timer.at)
    }

    /// Handles all timers that are due at `now`.
    pub fn tick(&mut self, now: Duration) {
        while let Some(timer) = self.timers.first().copied().filter(|timer| timer.at <= now) {
            self.timers.pop_first();
            match timer.wake {
                Wake::Flow => self.handle_flow_timer(now, timer),
                Wake::Deferred => self.send_due(now, timer.flow),
                Wake::Request(request) => self.handle_request_timer(now, timer, request),
            }
        }
    }

    /// Handles a datagram received from the service address; [`Action::Ignored`]
    /// reports one that cannot be used.
    pub fn receive(&mut self, now: Duration, datagram: Bytes) {
        let Ok(packet) = Packet::from_bytes(datagram) else {
            self.actions.push_back(Action::Ignored);
            return;
        };
        let key = packet.flow;
        let known = self.flows.contains_key(&key);
        match packet.body {
            Some(Body::Opened(opened)) if known => self.handle_opened(now, key, opened.holder),
            Some(Body::Chunk(chunk)) if known => self.handle_chunk(now, key, chunk),
            Some(Body::Refusal(refusal)) if known && refusal.request == 0 => {
                self.handle_open_refusal(now, key, &refusal);
            }
            Some(Body::Refusal(refusal)) if known => {
                self.handle_request_refusal(now, key, &refusal);
            }
            Some(Body::Closed(_)) if known => self.handle_closed(now, key),
            _ => self.actions.push_back(Action::Ignored),
        }
    }

    fn add_flow(&mut self, index: usize) -> FlowKey {
        let key = self.random.u64(1..);
        self.flows.insert(key, Flow::new(index));
        key
    }

    fn handle_opened(&mut self, now: Duration, key: FlowKey, token: Bytes) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        // Several agents may accept the open; the first that replies stays the
        // holder.
        if flow.state != State::Opening {
            self.actions.push_back(Action::Ignored);
            return;
        }
        flow.state = State::Open(token);
        flow.last_refusal = None;
        self.actions.push_back(Action::Opened);
        self.send_due(now, key);
    }

    fn handle_open_refusal(
        &mut self,
        now: Duration,
        key: FlowKey,
        refusal: &wire::caller::Refusal,
    ) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow.state != State::Opening {
            self.actions.push_back(Action::Ignored);
            return;
        }
        flow.last_refusal = Some(refusal.reason());
        let delay = Duration::from_millis(refusal.retry_after_ms.into());
        let delay = delay.max(
            self.settings
                .backoff
                .delay(flow.transmissions, &mut self.random),
        );
        flow.retransmit_at = now + delay;
        let at = flow.retransmit_at;
        self.actions
            .push_back(Action::OpenRefused(refusal.reason()));
        self.set_timer(at, key, Wake::Flow);
    }

    fn handle_closed(&mut self, now: Duration, key: FlowKey) {
        match self.flows.get(&key).map(|flow| &flow.state) {
            Some(State::Closing(_)) => {
                self.flows.remove(&key);
                self.actions.push_back(Action::Closed);
            }
            Some(State::Open(_)) => self.replace_flow(now, key, Reason::FlowUnknown),
            _ => self.actions.push_back(Action::Ignored),
        }
    }

    /// Marks a flow as broken and opens a new one under the same index, which
    /// takes over the deferred operations.
    fn replace_flow(&mut self, now: Duration, key: FlowKey, reason: Reason) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let State::Open(token) = &flow.state else {
            return;
        };
        flow.state = State::Broken(token.clone());
        let index = flow.index;
        let deferred = std::mem::take(&mut flow.deferred);
        let finished = flow.is_finished();
        if finished {
            self.flows.remove(&key);
        }
        self.actions.push_back(Action::Broken(reason));
        let new_key = self.add_flow(index);
        self.flow_keys[index] = new_key;
        if let Some(flow) = self.flows.get_mut(&new_key) {
            flow.deferred = deferred;
        }
        self.send_open(now, new_key);
        self.send_due(now, new_key);
    }

    fn handle_flow_timer(&mut self, now: Duration, timer: Timer) {
        let Some(flow) = self.flows.get(&timer.flow) else {
            return;
        };
        match flow.state {
            _ if flow.retransmit_at != timer.at => {}
            State::Opening => self.send_open(now, timer.flow),
            State::Closing(_) if flow.transmissions >= self.settings.max_closes => {
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
        let attempt = flow.transmissions;
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
        let is_retransmission = flow.transmissions > 0;
        flow.retransmit_at = now
            + self
                .settings
                .backoff
                .delay(flow.transmissions, &mut self.random);
        flow.transmissions += 1;
        let at = flow.retransmit_at;
        self.send(key, body, is_retransmission);
        self.set_timer(at, key, Wake::Flow);
    }

    fn send(&mut self, key: FlowKey, body: Body, is_retransmission: bool) {
        if is_retransmission {
            self.actions.push_back(Action::Retransmitted);
        }
        let bytes = Packet::new(key, body).to_bytes();
        self.actions.push_back(Action::Send(bytes));
    }

    fn set_timer(&mut self, at: Duration, flow: FlowKey, wake: Wake) {
        self.timers.insert(Timer { at, flow, wake });
    }
}
