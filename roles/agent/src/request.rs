//! Handles requests and fetches of flows held here.
use std::time::Duration;

use flow::Flow;
use flow::State;
use flow::ledger::Admission;
use flow::record;
use flow::table::Phase;
use wire::FlowKey;
use wire::Relay;
use wire::Token;
use wire::caller::Chunk;
use wire::caller::Fetch;
use wire::caller::Outcome;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::caller::Request;
use wire::caller::packet::Body;

use crate::Agent;
use crate::agent::Outbox;
use crate::agent::ReplyPath;
use crate::agent::Subject;
use crate::relay;
use crate::relay::Fallback;
use crate::relay::Location;
use crate::relay::Misrouted;
use crate::status::Counter;
use crate::task::Origin;
use crate::task::Task;

/// Largest number of chunks sent in reply to one fetch.
const MAX_FETCHED_CHUNKS: usize = 64;

impl Agent {
    pub(crate) fn on_request(
        &mut self,
        outbox: &mut Outbox<'_>,
        relay: Relay,
        key: FlowKey,
        request: Request,
    ) {
        let token = Token::from_bytes(&request.holder);
        let misrouted = Misrouted {
            flow: key,
            token,
            fallback: Fallback::Unknown(request.request),
        };
        match self.locate(&relay, key) {
            Location::Here(flow) if may_run(&flow, &request, token) => {
                self.admit(outbox, &relay, &flow, request);
            }
            // The flow held here is a duplicate of the parked one.
            Location::Here(_) if self.parked.has_unclaimed_flow(key) => {
                self.answer_from_parked(outbox, &relay, key, request.request);
            }
            Location::Here(_) => self.on_wrong_holder(outbox, relay, &misrouted, request.request),
            Location::OtherCaller => {
                let subject = Subject {
                    flow: key,
                    request: request.request,
                };
                let refusal = self.refusal(Reason::FlowUnknown, Duration::ZERO);
                self.refuse(
                    outbox,
                    relay::reply_path(&relay),
                    subject,
                    refusal,
                    Outcome::Unknown,
                );
            }
            Location::Parked => self.answer_from_parked(outbox, &relay, key, request.request),
            Location::Elsewhere => self.forward_misrouted(outbox, relay, &misrouted),
        }
    }

    /// Handles a request that names another holder, as after two concurrent
    /// opens of one flow: forwards it to the named target or, if that has left,
    /// to the agent that holds its flows.
    fn on_wrong_holder(
        &mut self,
        outbox: &mut Outbox<'_>,
        relay: Relay,
        misrouted: &Misrouted,
        request: wire::RequestId,
    ) {
        let named = self
            .named_hop(misrouted.token)
            .filter(|hop| !relay::visited(&relay, hop))
            .filter(|_| usize::from(relay.position) + 1 < wire::frame::MAX_HOPS);
        if let Some(hop) = named {
            self.counters.add(Counter::PacketForwarded);
            return relay::forward(outbox, relay, hop);
        }
        if misrouted.token.is_some_and(|token| self.has_left(token)) {
            return self.forward_misrouted(outbox, relay, misrouted);
        }
        let subject = Subject {
            flow: misrouted.flow,
            request,
        };
        let refusal = self.refusal(Reason::WrongHolder, Duration::ZERO);
        self.refuse(
            outbox,
            relay::reply_path(&relay),
            subject,
            refusal,
            Outcome::Unknown,
        );
    }

    /// Records a request before it is queued, run or forwarded, and answers
    /// repeats from the record.
    fn admit(&mut self, outbox: &mut Outbox<'_>, relay: &Relay, flow: &Flow, request: Request) {
        let reply_path = relay::reply_path(relay);
        let key = record::Key {
            flow: flow.key,
            request: request.request,
        };
        let deadline = outbox.now + self.time_left(&request);
        if flow.phase == Phase::Closed || self.is_handing_over() {
            return self.answer_from_record(outbox, reply_path, key, flow.phase);
        }
        self.flows.touch(outbox.now, flow.key);
        match self.ledger.admit(key, request.idempotent, deadline) {
            Admission::New => {
                self.counters.add(Counter::RequestAdmitted);
                self.budget.deposit();
                if flow.phase == Phase::Open {
                    self.load.record_request(outbox.now);
                }
                let task = Task::new(Origin::Caller(reply_path), key, request, deadline);
                self.start_task(outbox, task);
            }
            Admission::Pending => {
                self.counters.add(Counter::RequestRepeated);
                self.redirect_reply(key, reply_path);
            }
            Admission::Final(state) => {
                self.counters.add(Counter::RequestRepeated);
                self.send_outcome(outbox, reply_path, key, &state);
            }
            Admission::RecordExpired | Admission::Full => {
                let refusal = self.refusal(Reason::TableFull, self.settings.leave.retry_after);
                self.send_outcome(outbox, reply_path, key, &State::Unknown(refusal));
            }
        }
    }

    /// Returns the time until the request's deadline.
    fn time_left(&self, request: &Request) -> Duration {
        let service = &self.view.service;
        match request.deadline_ms {
            0 => service.default_deadline,
            millis => Duration::from_millis(millis.into()).min(service.max_deadline),
        }
    }

    /// Answers a request from its record only, without running anything.
    fn answer_from_record(
        &mut self,
        outbox: &mut Outbox<'_>,
        reply_path: ReplyPath,
        key: record::Key,
        phase: Phase,
    ) {
        match self.ledger.get(key).cloned() {
            Some(state) if state.is_final() => self.send_outcome(outbox, reply_path, key, &state),
            Some(_) => self.redirect_reply(key, reply_path),
            None if phase == Phase::Closed => {
                let refusal = self.refusal(Reason::FlowUnknown, Duration::ZERO);
                self.send_outcome(outbox, reply_path, key, &State::Unknown(refusal));
            }
            // The flow is being handed over to another agent, which will
            // answer.
            None => self.counters.add(Counter::Unanswered),
        }
    }

    /// Redirects the reply to a pending request to another entry.
    pub(crate) fn redirect_reply(&mut self, key: record::Key, reply_path: ReplyPath) {
        let task = self
            .tasks_by_request
            .get(&key)
            .and_then(|job| self.tasks.get_mut(job));
        if let Some(task) = task {
            task.origin = Origin::Caller(reply_path);
        }
    }

    /// Sends the final state of a request to its caller.
    pub(crate) fn send_outcome(
        &mut self,
        outbox: &mut Outbox<'_>,
        reply_path: ReplyPath,
        key: record::Key,
        state: &State,
    ) {
        let subject = Subject {
            flow: key.flow,
            request: key.request,
        };
        match state {
            State::Done(answer) => {
                let count = usize::try_from(self.settings.initial_chunks).unwrap_or(usize::MAX);
                for chunk in answer.chunks(key.request).take(count) {
                    self.send_chunk(outbox, reply_path, key.flow, chunk);
                }
            }
            State::NotRun(refusal) => {
                self.refuse(outbox, reply_path, subject, *refusal, Outcome::NotRun);
            }
            State::Unknown(refusal) => {
                self.refuse(outbox, reply_path, subject, *refusal, Outcome::Unknown);
            }
            State::Recorded | State::Queued | State::Running => {}
        }
    }

    pub(crate) fn send_chunk(
        &self,
        outbox: &mut Outbox<'_>,
        reply_path: ReplyPath,
        flow: FlowKey,
        chunk: Chunk,
    ) {
        self.reply(outbox, reply_path, &Packet::new(flow, Body::Chunk(chunk)));
    }

    pub(crate) fn on_fetch(
        &mut self,
        outbox: &mut Outbox<'_>,
        relay: Relay,
        flow: FlowKey,
        fetch: &Fetch,
    ) {
        let key = record::Key {
            flow,
            request: fetch.request,
        };
        match self.locate(&relay, flow) {
            Location::Here(_) => {
                self.flows.touch(outbox.now, flow);
                self.fetch(outbox, relay::reply_path(&relay), key, fetch);
            }
            Location::OtherCaller => {}
            Location::Parked => self.answer_from_parked(outbox, &relay, flow, fetch.request),
            Location::Elsewhere => {
                let misrouted = Misrouted {
                    flow,
                    token: Token::from_bytes(&fetch.holder),
                    fallback: Fallback::Unknown(fetch.request),
                };
                self.forward_misrouted(outbox, relay, &misrouted);
            }
        }
    }

    fn fetch(
        &mut self,
        outbox: &mut Outbox<'_>,
        reply_path: ReplyPath,
        key: record::Key,
        fetch: &Fetch,
    ) {
        match self.ledger.get(key).cloned() {
            Some(State::Done(answer)) => {
                for &index in fetch.chunks.iter().take(MAX_FETCHED_CHUNKS) {
                    if let Some(chunk) = answer.chunk(key.request, index) {
                        self.send_chunk(outbox, reply_path, key.flow, chunk);
                    }
                }
            }
            Some(state) if state.is_final() => self.send_outcome(outbox, reply_path, key, &state),
            Some(_) => self.redirect_reply(key, reply_path),
            None => {
                let refusal = self.refusal(Reason::TableFull, Duration::ZERO);
                self.send_outcome(outbox, reply_path, key, &State::Unknown(refusal));
            }
        }
    }
}

/// Returns true if the holder of a flow may run a request: the request names
/// it, or is idempotent and names no holder.
fn may_run(flow: &Flow, request: &Request, token: Option<Token>) -> bool {
    token == Some(flow.token) || (request.idempotent && request.holder.is_empty())
}
