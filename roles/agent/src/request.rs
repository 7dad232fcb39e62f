//! Requests, cancels, fetches and closes of the flows held here.
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
use crate::agent::Subject;
use crate::agent::Turn;
use crate::agent::Via;
use crate::relay;
use crate::relay::Place;
use crate::relay::Stray;
use crate::relay::Unheld;
use crate::status::Counter;
use crate::task::Origin;
use crate::task::Task;

/// Largest number of chunks that one fetch is answered with.
const MAX_FETCH: usize = 64;

impl Agent {
    pub(crate) fn on_request(
        &mut self,
        turn: &mut Turn<'_>,
        relay: Relay,
        key: FlowKey,
        request: Request,
    ) {
        let token = Token::from_bytes(&request.holder);
        let stray = Stray {
            flow: key,
            token,
            unheld: Unheld::Unknown(request.request),
        };
        match self.locate(&relay, key) {
            Place::Here(flow) if accepts(&flow, &request, token) => {
                self.admit(turn, &relay, &flow, request);
            }
            Place::Here(_) if self.keep.holds(key) => {
                self.answer_kept(turn, &relay, key, request.request);
            }
            Place::Here(_) => self.on_wrong_holder(turn, relay, &stray, request.request),
            Place::Foreign => {
                let subject = Subject {
                    flow: key,
                    request: request.request,
                };
                let refusal = self.refusal(Reason::FlowUnknown, Duration::ZERO);
                self.refuse(turn, relay::via(&relay), subject, refusal, Outcome::Unknown);
            }
            Place::Kept => self.answer_kept(turn, &relay, key, request.request),
            Place::Elsewhere => self.hand_along(turn, relay, &stray),
        }
    }

    /// A request that names another holder. Two opens may have met: the named
    /// target gets the request, or where it has left, whoever has its flows.
    fn on_wrong_holder(
        &mut self,
        turn: &mut Turn<'_>,
        relay: Relay,
        stray: &Stray,
        request: wire::RequestId,
    ) {
        let named = self
            .named(stray.token)
            .filter(|hop| !relay::visited(&relay, hop))
            .filter(|_| usize::from(relay.position) + 1 < wire::frame::MAX_HOPS);
        if let Some(hop) = named {
            self.counters.add(Counter::HandedAlong);
            return relay::forward(turn, relay, hop);
        }
        if stray.token.is_some_and(|token| self.has_left(token)) {
            return self.hand_along(turn, relay, stray);
        }
        let subject = Subject {
            flow: stray.flow,
            request,
        };
        let refusal = self.refusal(Reason::WrongHolder, Duration::ZERO);
        self.refuse(turn, relay::via(&relay), subject, refusal, Outcome::Unknown);
    }

    /// Records a request before anything else is done with it.
    fn admit(&mut self, turn: &mut Turn<'_>, relay: &Relay, flow: &Flow, request: Request) {
        let via = relay::via(relay);
        let key = record::Key {
            flow: flow.key,
            request: request.request,
        };
        let deadline = turn.now + self.time_left(&request);
        if flow.phase == Phase::Closed || self.is_handing_over() {
            return self.answer_record(turn, via, key, flow.phase);
        }
        self.flows.touch(turn.now, flow.key);
        match self.ledger.admit(key, request.idempotent, deadline) {
            Admission::New => {
                self.counters.add(Counter::Request);
                self.budget.deposit();
                if flow.phase == Phase::Open {
                    self.load.request(turn.now);
                }
                let task = Task::new(Origin::Caller(via), key, request, deadline);
                self.start(turn, task);
            }
            Admission::Pending => {
                self.counters.add(Counter::Repeat);
                self.redirect(key, via);
            }
            Admission::Final(state) => {
                self.counters.add(Counter::Repeat);
                self.tell(turn, via, key, &state);
            }
            Admission::Forgotten | Admission::Full => {
                let refusal = self.refusal(Reason::TableFull, self.settings.leave.away);
                self.tell(turn, via, key, &State::Unknown(refusal));
            }
        }
    }

    /// Time that the caller of a request will wait.
    fn time_left(&self, request: &Request) -> Duration {
        let service = &self.view.service;
        match request.deadline_ms {
            0 => service.default_deadline,
            millis => Duration::from_millis(millis.into()).min(service.max_deadline),
        }
    }

    /// Answers from the record alone; nothing new runs.
    fn answer_record(&mut self, turn: &mut Turn<'_>, via: Via, key: record::Key, phase: Phase) {
        match self.ledger.get(key).cloned() {
            Some(state) if state.is_final() => self.tell(turn, via, key, &state),
            Some(_) => self.redirect(key, via),
            None if phase == Phase::Closed => {
                let refusal = self.refusal(Reason::FlowUnknown, Duration::ZERO);
                self.tell(turn, via, key, &State::Unknown(refusal));
            }
            // The flow is on its way to another agent, which will answer.
            None => self.counters.add(Counter::KeptSilent),
        }
    }

    /// Sends the answer of a request that is underway through another entry.
    pub(crate) fn redirect(&mut self, key: record::Key, via: Via) {
        let task = self
            .by_request
            .get(&key)
            .and_then(|job| self.tasks.get_mut(job));
        if let Some(task) = task {
            task.origin = Origin::Caller(via);
        }
    }

    /// Tells a caller the final state of a request.
    pub(crate) fn tell(&mut self, turn: &mut Turn<'_>, via: Via, key: record::Key, state: &State) {
        let subject = Subject {
            flow: key.flow,
            request: key.request,
        };
        match state {
            State::Done(answer) => {
                let burst = usize::try_from(self.settings.burst_chunks).unwrap_or(usize::MAX);
                for chunk in answer.chunks(key.request).take(burst) {
                    self.send_chunk(turn, via, key.flow, chunk);
                }
            }
            State::NotRun(refusal) => self.refuse(turn, via, subject, *refusal, Outcome::NotRun),
            State::Unknown(refusal) => self.refuse(turn, via, subject, *refusal, Outcome::Unknown),
            State::Recorded | State::Queued | State::Running => {}
        }
    }

    pub(crate) fn send_chunk(&self, turn: &mut Turn<'_>, via: Via, flow: FlowKey, chunk: Chunk) {
        self.reply(turn, via, &Packet::new(flow, Body::Chunk(chunk)));
    }

    pub(crate) fn on_fetch(
        &mut self,
        turn: &mut Turn<'_>,
        relay: Relay,
        flow: FlowKey,
        fetch: &Fetch,
    ) {
        let key = record::Key {
            flow,
            request: fetch.request,
        };
        match self.locate(&relay, flow) {
            Place::Here(_) => {
                self.flows.touch(turn.now, flow);
                self.fetch(turn, relay::via(&relay), key, fetch);
            }
            Place::Foreign => {}
            Place::Kept => self.answer_kept(turn, &relay, flow, fetch.request),
            Place::Elsewhere => {
                let stray = Stray {
                    flow,
                    token: Token::from_bytes(&fetch.holder),
                    unheld: Unheld::Unknown(fetch.request),
                };
                self.hand_along(turn, relay, &stray);
            }
        }
    }

    fn fetch(&mut self, turn: &mut Turn<'_>, via: Via, key: record::Key, fetch: &Fetch) {
        match self.ledger.get(key).cloned() {
            Some(State::Done(answer)) => {
                for &index in fetch.chunks.iter().take(MAX_FETCH) {
                    if let Some(chunk) = answer.chunk(key.request, index) {
                        self.send_chunk(turn, via, key.flow, chunk);
                    }
                }
            }
            Some(state) if state.is_final() => self.tell(turn, via, key, &state),
            Some(_) => self.redirect(key, via),
            None => {
                let refusal = self.refusal(Reason::TableFull, Duration::ZERO);
                self.tell(turn, via, key, &State::Unknown(refusal));
            }
        }
    }
}

/// Whether the holder of a flow may run a request: it is named, or the request
/// is idempotent and names nobody.
fn accepts(flow: &Flow, request: &Request, token: Option<Token>) -> bool {
    token == Some(flow.token) || (request.idempotent && request.holder.is_empty())
}
