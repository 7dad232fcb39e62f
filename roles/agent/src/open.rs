//! Opens flows.
use std::time::Duration;

use flow::Flow;
use flow::table::Error;
use route::hunt;
use route::hunt::Bid;
use route::hunt::Step;
use wire::FlowKey;
use wire::Frame;
use wire::Relay;
use wire::caller::Opened;
use wire::caller::Outcome;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::caller::packet::Body;
use wire::frame::MAX_HOPS;

use crate::Agent;
use crate::agent::Subject;
use crate::agent::Turn;
use crate::relay;
use crate::relay::Place;
use crate::status::Counter;
use crate::view::Binding;

impl Agent {
    pub(crate) fn on_open(&mut self, turn: &mut Turn<'_>, relay: Relay, key: FlowKey) {
        match self.locate(&relay, key) {
            Place::Here(_) => self.take(turn, &relay, key),
            Place::Foreign => self.refuse_open(turn, &relay, key, Reason::FlowUnknown),
            Place::Kept => self.refuse_open(turn, &relay, key, Reason::HolderAway),
            Place::Elsewhere => self.hunt(turn, relay, key),
        }
    }

    fn hunt(&mut self, turn: &mut Turn<'_>, mut relay: Relay, key: FlowKey) {
        let position = usize::from(relay.position);
        let pinned = self
            .pinned(key)
            .filter(|hop| !relay::visited(&relay, hop) && position + 1 < MAX_HOPS)
            .filter(|_| !relay.settle);
        if let Some(hop) = pinned {
            // The wait keeps the frame's waits in step with its position.
            relay.waits.push(u32::MAX);
            return relay::forward(turn, relay, hop);
        }
        let bid = self.bid(turn.now);
        match hunt::step(relay.clone(), bid) {
            Step::Take => self.take_or_refuse(turn, &relay, key),
            Step::Refuse => self.refuse_open(turn, &relay, key, Reason::Overloaded),
            Step::Forward(relay) => {
                self.counters.add(Counter::OpenPassed);
                let hop = relay.path[usize::from(relay.position)];
                turn.send(hop.address, Frame::Relay(relay));
            }
        }
    }

    /// What this agent offers to an open.
    fn bid(&self, now: Duration) -> Bid {
        if !self.takes_flows() || self.flows.is_full() {
            return Bid {
                free: false,
                wait: Duration::MAX,
                load: Duration::ZERO,
            };
        }
        let load = match self.view.service.binding {
            Binding::Bound => self.load.bid(now, self.gate.weight()),
            Binding::Independent => Duration::ZERO,
        };
        Bid {
            free: self.gate.free(),
            wait: self.gate.expected_wait(now),
            load,
        }
    }

    fn take_or_refuse(&mut self, turn: &mut Turn<'_>, relay: &Relay, key: FlowKey) {
        match self.refuses_flows(turn.now) {
            Some(reason) => self.refuse_open(turn, relay, key, reason),
            None => self.take(turn, relay, key),
        }
    }

    /// Why this agent takes no flow now, if it takes none.
    fn refuses_flows(&self, now: Duration) -> Option<Reason> {
        if self.claiming.is_some() {
            return Some(Reason::HolderAway);
        }
        if !self.takes_flows() {
            return Some(Reason::Draining);
        }
        let wait = self.gate.expected_wait(now);
        (wait > self.view.service.queue_limit).then_some(Reason::Overloaded)
    }

    fn take(&mut self, turn: &mut Turn<'_>, relay: &Relay, key: FlowKey) {
        let is_new = self.flows.get(key).is_none();
        match self.flows.open(turn.now, key, self.token, relay.caller) {
            Ok(flow) => {
                if is_new {
                    self.counters.add(Counter::Opened);
                    self.pin_new(turn, relay.home, key);
                }
                self.say_opened(turn, relay, flow);
            }
            Err(Error::Full) => self.refuse_open(turn, relay, key, Reason::TableFull),
            Err(Error::Closed | Error::Taken) => {
                self.refuse_open(turn, relay, key, Reason::FlowUnknown);
            }
        }
    }

    fn say_opened(&self, turn: &mut Turn<'_>, relay: &Relay, flow: Flow) {
        let idle = self.flows.idle().as_millis();
        let opened = Opened {
            holder: flow.token.to_bytes().to_vec().into(),
            idle_ms: u32::try_from(idle).unwrap_or(u32::MAX),
        };
        let packet = Packet::new(flow.key, Body::Opened(opened));
        self.reply(turn, relay::via(relay), &packet);
    }

    fn refuse_open(&mut self, turn: &mut Turn<'_>, relay: &Relay, flow: FlowKey, reason: Reason) {
        let wait = match reason {
            Reason::Overloaded => self.gate.expected_wait(turn.now),
            _ => self.settings.leave.away,
        };
        let refusal = self.refusal(reason, wait);
        let subject = Subject { flow, request: 0 };
        self.refuse(turn, relay::via(relay), subject, refusal, Outcome::NotRun);
    }
}
