//! The requests of a caller.
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
use crate::call::flow::Held;
use crate::call::operation::Ending;
use crate::call::operation::Operation;
use crate::call::operation::OperationId;
use crate::call::operation::Try;
use crate::call::payload;

impl Caller {
    /// Starts an operation on the flow with this index; it is sent once the
    /// flow is open.
    pub fn start(&mut self, now: Duration, flow: usize, idempotent: bool) -> OperationId {
        let id = self.next_operation;
        self.next_operation += 1;
        let operation = Operation {
            id,
            flow,
            idempotent,
            started: now,
            deadline: now + self.settings.deadline,
            tries: 0,
            refused: None,
        };
        self.hold(now, operation, now);
        id
    }

    /// Keeps an operation until `resume`, on the current flow of its index.
    fn hold(&mut self, now: Duration, operation: Operation, resume: Duration) {
        let key = self.current[operation.flow];
        let Some(flow) = self.flows.get_mut(&key) else {
            return self.end_held(&operation, None);
        };
        flow.held.push(Held { operation, resume });
        self.release(now, key);
    }

    /// Sends the held operations that may be sent, ends those that are too
    /// late, and sets the timer for the others.
    pub(super) fn release(&mut self, now: Duration, key: FlowKey) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let open = flow.is_open();
        let refused = flow.refused;
        let mut next = None::<Duration>;
        for held in std::mem::take(&mut flow.held) {
            let deadline = held.operation.deadline;
            let due = if open { held.resume } else { deadline };
            if now >= deadline {
                self.end_held(&held.operation, refused);
            } else if due <= now {
                self.send_try(now, key, held.operation);
            } else {
                let due = due.min(deadline);
                next = Some(next.map_or(due, |next| next.min(due)));
                self.put_back(key, held);
            }
        }
        if let Some(at) = next {
            self.set_timer(at, key, Wake::Held);
        }
    }

    fn put_back(&mut self, key: FlowKey, held: Held) {
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.held.push(held);
        }
    }

    fn end_held(&mut self, operation: &Operation, flow_refused: Option<Reason>) {
        let reason = operation.refused.or(flow_refused);
        let ending = reason.map_or(Ending::Lost, Ending::Refused);
        self.actions.push_back(Action::Ended(operation.id, ending));
    }

    fn send_try(&mut self, now: Duration, key: FlowKey, mut operation: Operation) {
        let request = self.next_request;
        self.next_request += 1;
        operation.tries += 1;
        let name = payload::name(key, request);
        let payload = payload::build(&name, self.settings.payload);
        let attempt = Try {
            operation,
            payload: payload.into(),
            attempt: 0,
            answer: Answer::default(),
            repeat: now,
        };
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.tries.insert(request, attempt);
        }
        self.transmit(now, key, request);
    }

    /// Sends a request, or asks for the chunks that are missing of its answer.
    fn transmit(&mut self, now: Duration, key: FlowKey, request: RequestId) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let holder = flow.token();
        let Some(current) = flow.tries.get_mut(&request) else {
            return;
        };
        let left = current.operation.deadline.saturating_sub(now);
        let body = if current.answer.started() {
            Body::Fetch(Fetch {
                request,
                chunks: current.answer.missing(),
                holder,
            })
        } else {
            Body::Request(Request {
                request,
                holder,
                idempotent: current.operation.idempotent,
                deadline_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
                attempt: current.attempt,
                payload: current.payload.clone(),
            })
        };
        let repeated = current.attempt > 0 || current.answer.started();
        let delay = self
            .settings
            .backoff
            .delay(current.attempt, &mut self.random);
        current.attempt += 1;
        current.repeat = (now + delay).min(current.operation.deadline);
        let at = current.repeat;
        self.send(key, body, repeated);
        self.set_timer(at, key, Wake::Request(request));
    }

    pub(super) fn wake_request(&mut self, now: Duration, timer: Timer, request: RequestId) {
        let flow = self.flows.get(&timer.flow);
        let Some(current) = flow.and_then(|flow| flow.tries.get(&request)) else {
            return;
        };
        match current.operation.deadline {
            _ if current.repeat != timer.at => {}
            deadline if deadline > now => self.transmit(now, timer.flow, request),
            _ => self.give_up(timer.flow, request),
        }
    }

    fn give_up(&mut self, key: FlowKey, request: RequestId) {
        let Some(holder) = self.flows.get(&key).map(super::Flow::token) else {
            return;
        };
        self.send(key, Body::Cancel(Cancel { request, holder }), false);
        if let Some(ended) = self.take(key, request) {
            self.actions
                .push_back(Action::Ended(ended.operation.id, Ending::Lost));
        }
    }

    pub(super) fn chunk(&mut self, now: Duration, key: FlowKey, chunk: Chunk) {
        let request = chunk.request;
        let flow = self.flows.get_mut(&key);
        let Some(current) = flow.and_then(|flow| flow.tries.get_mut(&request)) else {
            self.actions.push_back(Action::Ignored);
            return;
        };
        match current.answer.add(chunk) {
            Progress::Complete => self.answered(now, key, request),
            Progress::Duplicate => self.actions.push_back(Action::Ignored),
            Progress::Partial => {
                current.repeat = (now + self.settings.fetch).min(current.operation.deadline);
                let at = current.repeat;
                self.set_timer(at, key, Wake::Request(request));
            }
            Progress::Invalid => self.end(key, request, Ending::Mismatch),
        }
    }

    fn answered(&mut self, now: Duration, key: FlowKey, request: RequestId) {
        let Some(current) = self.take(key, request) else {
            return;
        };
        let answer = current.answer.into_bytes();
        let ending = match payload::check(&answer, &self.settings.service, &current.payload) {
            Ok(()) => Ending::Answered {
                latency: now.saturating_sub(current.operation.started),
            },
            Err(payload::Error::WrongService) => Ending::WrongService,
            Err(payload::Error::Mismatch) => Ending::Mismatch,
        };
        self.actions
            .push_back(Action::Ended(current.operation.id, ending));
    }

    pub(super) fn request_refused(&mut self, now: Duration, key: FlowKey, refusal: &Refusal) {
        let (reason, outcome) = (refusal.reason(), refusal.outcome());
        let Some(current) = self.take(key, refusal.request) else {
            self.actions.push_back(Action::Ignored);
            return;
        };
        self.actions.push_back(Action::Refused {
            name: payload::name(key, refusal.request),
            reason,
            outcome,
        });
        if matches!(reason, Reason::FlowUnknown | Reason::WrongHolder) {
            self.break_flow(now, key, reason);
        }
        let mut operation = current.operation;
        let pause = Duration::from_millis(refusal.retry_after_ms.into());
        let pause = pause.max(
            self.settings
                .backoff
                .delay(operation.tries, &mut self.random),
        );
        let safe = outcome == Outcome::NotRun || operation.idempotent;
        let room = now + pause < operation.deadline && operation.tries < self.settings.tries;
        if safe && room && is_retryable(reason) {
            operation.refused = Some(reason);
            return self.hold(now, operation, now + pause);
        }
        let ending = match outcome {
            Outcome::NotRun => Ending::Refused(reason),
            Outcome::Unknown | Outcome::Unspecified => Ending::Unknown(reason),
        };
        self.actions.push_back(Action::Ended(operation.id, ending));
    }

    fn end(&mut self, key: FlowKey, request: RequestId, ending: Ending) {
        if let Some(ended) = self.take(key, request) {
            self.actions
                .push_back(Action::Ended(ended.operation.id, ending));
        }
    }

    /// Takes a request out of flight, and its flow away if it was the last one
    /// of a broken flow.
    fn take(&mut self, key: FlowKey, request: RequestId) -> Option<Try> {
        let flow = self.flows.get_mut(&key)?;
        let taken = flow.tries.remove(&request);
        if flow.is_spent() {
            self.flows.remove(&key);
        }
        taken
    }
}

/// Whether the same operation can succeed later.
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
