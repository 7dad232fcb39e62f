//! Operations and requests of a caller.
use std::time::Duration;

use wire::FlowKey;
use wire::RequestId;
use wire::caller::Cancel;
use wire::caller::Chunk;
use wire::caller::Fetch;
use wire::caller::Outcome;
use wire::caller::Reason;
use wire::caller::Refusal;
use wire::caller::Request;
use wire::caller::packet::Body;

use super::Action;
use super::Caller;
use super::Timer;
use super::Wake;
use crate::call::Answer;
use crate::call::answer::Progress;
use crate::call::flow::Deferred;
use crate::call::operation::Ending;
use crate::call::operation::Exchange;
use crate::call::operation::Operation;
use crate::call::operation::OperationId;
use crate::call::payload;

impl Caller {
    /// Starts an operation on the flow with this index and returns its
    /// identifier. The request is sent once the flow is open.
    pub fn start(&mut self, now: Duration, flow: usize, idempotent: bool) -> OperationId {
        let id = self.next_operation;
        self.next_operation += 1;
        let operation = Operation {
            id,
            flow,
            idempotent,
            started: now,
            deadline: now + self.settings.deadline,
            requests: 0,
            last_refusal: None,
        };
        self.defer(now, operation, now);
        id
    }

    /// Defers an operation until `not_before` on the flow that now has its
    /// index.
    fn defer(&mut self, now: Duration, operation: Operation, not_before: Duration) {
        let key = self.flow_keys[operation.flow];
        let Some(flow) = self.flows.get_mut(&key) else {
            return self.end_deferred(&operation, None);
        };
        flow.deferred.push(Deferred {
            operation,
            not_before,
        });
        self.send_due(now, key);
    }

    /// Sends the deferred operations that are due if the flow is open, ends those
    /// past their deadline, and sets a timer for the others.
    pub(super) fn send_due(&mut self, now: Duration, key: FlowKey) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let open = flow.is_open();
        let open_refusal = flow.last_refusal;
        let mut next = None::<Duration>;
        for deferred in std::mem::take(&mut flow.deferred) {
            let deadline = deferred.operation.deadline;
            let due = if open { deferred.not_before } else { deadline };
            if now >= deadline {
                self.end_deferred(&deferred.operation, open_refusal);
            } else if due <= now {
                self.send_request(now, key, deferred.operation);
            } else {
                let due = due.min(deadline);
                next = Some(next.map_or(due, |next| next.min(due)));
                self.push_deferred(key, deferred);
            }
        }
        if let Some(at) = next {
            self.set_timer(at, key, Wake::Deferred);
        }
    }

    fn push_deferred(&mut self, key: FlowKey, deferred: Deferred) {
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.deferred.push(deferred);
        }
    }

    /// Ends an operation that is not in flight: as refused if one of its requests or
    /// the open of its flow was refused, and as lost otherwise.
    fn end_deferred(&mut self, operation: &Operation, open_refusal: Option<Reason>) {
        let reason = operation.last_refusal.or(open_refusal);
        let ending = reason.map_or(Ending::Lost, Ending::Refused);
        self.actions.push_back(Action::Ended(operation.id, ending));
    }

    fn send_request(&mut self, now: Duration, key: FlowKey, mut operation: Operation) {
        let request = self.next_request;
        self.next_request += 1;
        operation.requests += 1;
        let name = payload::name(key, request);
        let payload = payload::build(&name, self.settings.payload);
        let exchange = Exchange {
            operation,
            payload: payload.into(),
            transmissions: 0,
            answer: Answer::default(),
            retransmit_at: now,
        };
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.exchanges.insert(request, exchange);
        }
        self.transmit(now, key, request);
    }

    /// Sends a request, or a fetch of the missing chunks if a part of its answer
    /// has arrived, and sets the timer of the next transmission.
    fn transmit(&mut self, now: Duration, key: FlowKey, request: RequestId) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let holder = flow.token();
        let Some(exchange) = flow.exchanges.get_mut(&request) else {
            return;
        };
        let remaining = exchange.operation.deadline.saturating_sub(now);
        let body = if exchange.answer.has_chunks() {
            Body::Fetch(Fetch {
                request,
                chunks: exchange.answer.missing(),
                holder,
            })
        } else {
            Body::Request(Request {
                request,
                holder,
                idempotent: exchange.operation.idempotent,
                deadline_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
                attempt: exchange.transmissions,
                payload: exchange.payload.clone(),
            })
        };
        let is_retransmission = exchange.transmissions > 0 || exchange.answer.has_chunks();
        let delay = self
            .settings
            .backoff
            .delay(exchange.transmissions, &mut self.random);
        exchange.transmissions += 1;
        exchange.retransmit_at = (now + delay).min(exchange.operation.deadline);
        let at = exchange.retransmit_at;
        self.send(key, body, is_retransmission);
        self.set_timer(at, key, Wake::Request(request));
    }

    pub(super) fn handle_request_timer(&mut self, now: Duration, timer: Timer, request: RequestId) {
        let flow = self.flows.get(&timer.flow);
        let Some(exchange) = flow.and_then(|flow| flow.exchanges.get(&request)) else {
            return;
        };
        match exchange.operation.deadline {
            _ if exchange.retransmit_at != timer.at => {}
            deadline if deadline > now => self.transmit(now, timer.flow, request),
            _ => self.cancel(timer.flow, request),
        }
    }

    fn cancel(&mut self, key: FlowKey, request: RequestId) {
        let Some(holder) = self.flows.get(&key).map(super::Flow::token) else {
            return;
        };
        self.send(key, Body::Cancel(Cancel { request, holder }), false);
        if let Some(ended) = self.remove_exchange(key, request) {
            self.actions
                .push_back(Action::Ended(ended.operation.id, Ending::Lost));
        }
    }

    pub(super) fn handle_chunk(&mut self, now: Duration, key: FlowKey, chunk: Chunk) {
        let request = chunk.request;
        let flow = self.flows.get_mut(&key);
        let Some(exchange) = flow.and_then(|flow| flow.exchanges.get_mut(&request)) else {
            self.actions.push_back(Action::Ignored);
            return;
        };
        match exchange.answer.add(chunk) {
            Progress::Complete => self.check_answer(now, key, request),
            Progress::Duplicate => self.actions.push_back(Action::Ignored),
            Progress::Partial => {
                exchange.retransmit_at =
                    (now + self.settings.fetch_delay).min(exchange.operation.deadline);
                let at = exchange.retransmit_at;
                self.set_timer(at, key, Wake::Request(request));
            }
            Progress::Invalid => self.end_exchange(key, request, Ending::Mismatch),
        }
    }

    fn check_answer(&mut self, now: Duration, key: FlowKey, request: RequestId) {
        let Some(exchange) = self.remove_exchange(key, request) else {
            return;
        };
        let answer = exchange.answer.into_bytes();
        let ending = match payload::check(&answer, &self.settings.service, &exchange.payload) {
            Ok(()) => Ending::Answered {
                latency: now.saturating_sub(exchange.operation.started),
            },
            Err(payload::Error::WrongService) => Ending::WrongService,
            Err(payload::Error::Mismatch) => Ending::Mismatch,
        };
        self.actions
            .push_back(Action::Ended(exchange.operation.id, ending));
    }

    pub(super) fn handle_request_refusal(
        &mut self,
        now: Duration,
        key: FlowKey,
        refusal: &Refusal,
    ) {
        let (reason, outcome) = (refusal.reason(), refusal.outcome());
        let Some(exchange) = self.remove_exchange(key, refusal.request) else {
            self.actions.push_back(Action::Ignored);
            return;
        };
        self.actions.push_back(Action::Refused {
            name: payload::name(key, refusal.request),
            reason,
            outcome,
        });
        if matches!(reason, Reason::FlowUnknown | Reason::WrongHolder) {
            self.replace_flow(now, key, reason);
        }
        let mut operation = exchange.operation;
        let delay = Duration::from_millis(refusal.retry_after_ms.into());
        let delay = delay.max(
            self.settings
                .backoff
                .delay(operation.requests, &mut self.random),
        );
        let may_rerun = outcome == Outcome::NotRun || operation.idempotent;
        let in_limits =
            now + delay < operation.deadline && operation.requests < self.settings.max_requests;
        if may_rerun && in_limits && is_retryable(reason) {
            operation.last_refusal = Some(reason);
            return self.defer(now, operation, now + delay);
        }
        let ending = match outcome {
            Outcome::NotRun => Ending::Refused(reason),
            Outcome::Unknown | Outcome::Unspecified => Ending::Unknown(reason),
        };
        self.actions.push_back(Action::Ended(operation.id, ending));
    }

    fn end_exchange(&mut self, key: FlowKey, request: RequestId, ending: Ending) {
        if let Some(ended) = self.remove_exchange(key, request) {
            self.actions
                .push_back(Action::Ended(ended.operation.id, ending));
        }
    }

    /// Removes a request from those in flight, and its flow if that is broken
    /// and has no other request in flight.
    fn remove_exchange(&mut self, key: FlowKey, request: RequestId) -> Option<Exchange> {
        let flow = self.flows.get_mut(&key)?;
        let removed = flow.exchanges.remove(&request);
        if flow.is_finished() {
            self.flows.remove(&key);
        }
        removed
    }
}

/// Returns true if a later request for the same operation may succeed after a
/// refusal with this reason.
const fn is_retryable(reason: Reason) -> bool {
    match reason {
        Reason::Overloaded
        | Reason::FlowUnknown
        | Reason::Draining
        | Reason::BackendFailed
        | Reason::NoTarget
        | Reason::WrongHolder
        | Reason::TableFull
        | Reason::HolderAway => true,
        Reason::Unspecified
        | Reason::Deadline
        | Reason::Malformed
        | Reason::BadVersion
        | Reason::NoService
        | Reason::Cancelled
        | Reason::TooLarge => false,
    }
}
