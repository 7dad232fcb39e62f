//! Cancels of requests and closes of flows.
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
use crate::agent::Turn;
use crate::agent::Via;
use crate::relay;
use crate::relay::Place;
use crate::relay::Stray;
use crate::relay::Unheld;
use crate::status::Counter;
use crate::task::End;

impl Agent {
    pub(crate) fn on_cancel(
        &mut self,
        turn: &mut Turn<'_>,
        relay: Relay,
        key: FlowKey,
        cancel: &Cancel,
    ) {
        let token = Token::from_bytes(&cancel.holder);
        match self.locate(&relay, key) {
            Place::Here(flow) if token == Some(flow.token) => {
                self.flows.touch(turn.now, key);
                let key = record::Key {
                    flow: key,
                    request: cancel.request,
                };
                self.cancel(turn, relay::via(&relay), key);
            }
            Place::Here(_) | Place::Foreign => self.counters.add(Counter::SpoofedCancel),
            Place::Kept => self.counters.add(Counter::KeptSilent),
            Place::Elsewhere => self.hand_along_silently(turn, relay, key, token),
        }
    }

    fn cancel(&mut self, turn: &mut Turn<'_>, via: Via, key: record::Key) {
        let refusal = self.refusal(Reason::Cancelled, Duration::ZERO);
        match self.ledger.get(key).cloned() {
            Some(state) if state.is_final() => self.tell(turn, via, key, &state),
            Some(_) => {
                self.redirect(key, via);
                if let Some(&job) = self.by_request.get(&key) {
                    self.abandon(turn, job, refusal);
                }
            }
            None => self.cancel_unseen(turn, via, key, refusal),
        }
    }

    /// A cancel of a request that is not recorded. It may have overtaken the
    /// request, which then will not run; or the request ran, and its record is
    /// gone.
    fn cancel_unseen(&mut self, turn: &mut Turn<'_>, via: Via, key: record::Key, refusal: Refusal) {
        if self.is_handing_over() {
            return;
        }
        let state = State::Unknown(refusal);
        if self.ledger.admit(key, false, turn.now) == Admission::New {
            let _ = self.ledger.advance(turn.now, key, state.clone());
        }
        self.tell(turn, via, key, &state);
    }

    pub(crate) fn on_close(
        &mut self,
        turn: &mut Turn<'_>,
        relay: Relay,
        key: FlowKey,
        close: &Close,
    ) {
        let token = Token::from_bytes(&close.holder);
        match self.locate(&relay, key) {
            Place::Here(flow) if token == Some(flow.token) => self.close(turn, &relay, &flow),
            Place::Here(_) if self.names_another(token, &relay) => {
                self.hand_along_silently(turn, relay, key, token);
            }
            Place::Here(_) | Place::Foreign => self.counters.add(Counter::SpoofedClose),
            Place::Kept => self.counters.add(Counter::KeptSilent),
            Place::Elsewhere => self.hand_along_silently(turn, relay, key, token),
        }
    }

    fn close(&mut self, turn: &mut Turn<'_>, relay: &Relay, flow: &Flow) {
        if self.is_handing_over() {
            return;
        }
        if flow.phase != Phase::Closed {
            self.counters.add(Counter::Closed);
            self.flows.close(turn.now, flow.key);
            self.unpin(turn, [*flow]);
        }
        let packet = Packet::new(flow.key, Body::Closed(Closed {}));
        self.reply(turn, relay::via(relay), &packet);
    }

    fn names_another(&self, token: Option<Token>, relay: &Relay) -> bool {
        self.named(token)
            .is_some_and(|hop| !relay::visited(relay, &hop))
    }

    fn hand_along_silently(
        &mut self,
        turn: &mut Turn<'_>,
        relay: Relay,
        flow: FlowKey,
        token: Option<Token>,
    ) {
        let stray = Stray {
            flow,
            token,
            unheld: Unheld::Silent,
        };
        self.hand_along(turn, relay, &stray);
    }

    /// Ends a request that its caller, or its deadline, gave up.
    pub(crate) fn abandon(&mut self, turn: &mut Turn<'_>, job: u64, refusal: Refusal) {
        let ran = self.withdraw(turn, job);
        let end = if ran {
            End::Unknown(refusal)
        } else {
            End::NotRun(refusal)
        };
        self.conclude(turn, job, end);
    }
}
