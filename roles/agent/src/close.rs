//! Handles cancels of requests and closes of flows.
use std::time::Duration;

use flow::Flow;
use flow::State;
use flow::ledger::Admission;
use flow::record;
use flow::record::Refusal;
use flow::table::Phase;
use wire::FlowKey;
use wire::Relay;
use wire::Token;
use wire::caller::Cancel;
use wire::caller::Close;
use wire::caller::Closed;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::caller::packet::Body;

use crate::Agent;
use crate::agent::Outbox;
use crate::agent::ReplyPath;
use crate::relay;
use crate::relay::Fallback;
use crate::relay::Location;
use crate::relay::Misrouted;
use crate::status::Counter;
use crate::task::End;

impl Agent {
    pub(crate) fn on_cancel(
        &mut self,
        outbox: &mut Outbox<'_>,
        relay: Relay,
        key: FlowKey,
        cancel: &Cancel,
    ) {
        let token = Token::from_bytes(&cancel.holder);
        match self.locate(&relay, key) {
            Location::Here(flow) if token == Some(flow.token) => {
                self.flows.touch(outbox.now, key);
                let key = record::Key {
                    flow: key,
                    request: cancel.request,
                };
                self.cancel(outbox, relay::reply_path(&relay), key);
            }
            Location::Here(_) | Location::OtherCaller => self.counters.add(Counter::SpoofedCancel),
            Location::Parked => self.counters.add(Counter::Unanswered),
            Location::Elsewhere => self.forward_silently(outbox, relay, key, token),
        }
    }

    fn cancel(&mut self, outbox: &mut Outbox<'_>, reply_path: ReplyPath, key: record::Key) {
        let refusal = self.refusal(Reason::Cancelled, Duration::ZERO);
        match self.ledger.get(key).cloned() {
            Some(state) if state.is_final() => self.send_outcome(outbox, reply_path, key, &state),
            Some(_) => {
                self.redirect_reply(key, reply_path);
                if let Some(&job) = self.tasks_by_request.get(&key) {
                    self.abandon(outbox, job, refusal);
                }
            }
            None => self.cancel_unrecorded(outbox, reply_path, key, refusal),
        }
    }

    /// Cancels a request that has no record. If the cancel overtook the
    /// request, this keeps the request from running; otherwise the request ran
    /// and its record has expired. The outcome is therefore unknown.
    fn cancel_unrecorded(
        &mut self,
        outbox: &mut Outbox<'_>,
        reply_path: ReplyPath,
        key: record::Key,
        refusal: Refusal,
    ) {
        if self.is_handing_over() {
            return;
        }
        let state = State::Unknown(refusal);
        if self.ledger.admit(key, false, outbox.now) == Admission::New {
            let _ = self.ledger.advance(outbox.now, key, state.clone());
        }
        self.send_outcome(outbox, reply_path, key, &state);
    }

    pub(crate) fn on_close(
        &mut self,
        outbox: &mut Outbox<'_>,
        relay: Relay,
        key: FlowKey,
        close: &Close,
    ) {
        let token = Token::from_bytes(&close.holder);
        match self.locate(&relay, key) {
            Location::Here(flow) if token == Some(flow.token) => self.close(outbox, &relay, &flow),
            Location::Here(_) if self.names_other_holder(token, &relay) => {
                self.forward_silently(outbox, relay, key, token);
            }
            Location::Here(_) | Location::OtherCaller => self.counters.add(Counter::SpoofedClose),
            Location::Parked => self.counters.add(Counter::Unanswered),
            Location::Elsewhere => self.forward_silently(outbox, relay, key, token),
        }
    }

    fn close(&mut self, outbox: &mut Outbox<'_>, relay: &Relay, flow: &Flow) {
        if self.is_handing_over() {
            return;
        }
        if flow.phase != Phase::Closed {
            self.counters.add(Counter::Closed);
            self.flows.close(outbox.now, flow.key);
            self.unpin(outbox, [*flow]);
        }
        let packet = Packet::new(flow.key, Body::Closed(Closed {}));
        self.reply(outbox, relay::reply_path(relay), &packet);
    }

    fn names_other_holder(&self, token: Option<Token>, relay: &Relay) -> bool {
        self.named_hop(token)
            .is_some_and(|hop| !relay::visited(relay, &hop))
    }

    fn forward_silently(
        &mut self,
        outbox: &mut Outbox<'_>,
        relay: Relay,
        flow: FlowKey,
        token: Option<Token>,
    ) {
        let misrouted = Misrouted {
            flow,
            token,
            fallback: Fallback::Silent,
        };
        self.forward_misrouted(outbox, relay, &misrouted);
    }

    /// Ends a request that its caller cancelled or whose deadline has passed.
    pub(crate) fn abandon(&mut self, outbox: &mut Outbox<'_>, job: u64, refusal: Refusal) {
        let may_have_run = self.withdraw(outbox, job);
        let end = if may_have_run {
            End::Unknown(refusal)
        } else {
            End::NotRun(refusal)
        };
        self.conclude(outbox, job, end);
    }
}
