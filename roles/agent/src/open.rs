//! Handles opens of flows: accepts, refuses or forwards them.
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
use crate::agent::Outbox;
use crate::agent::Subject;
use crate::relay;
use crate::relay::Location;
use crate::status::Counter;
use crate::view::Binding;

impl Agent {
    pub(crate) fn on_open(&mut self, outbox: &mut Outbox<'_>, relay: Relay, key: FlowKey) {
        match self.locate(&relay, key) {
            Location::Here(_) => self.accept_open(outbox, &relay, key),
            Location::OtherCaller => self.refuse_open(outbox, &relay, key, Reason::FlowUnknown),
            Location::Parked => self.refuse_open(outbox, &relay, key, Reason::HolderAway),
            Location::Elsewhere => self.route_open(outbox, relay, key),
        }
    }

    fn route_open(&mut self, outbox: &mut Outbox<'_>, mut relay: Relay, key: FlowKey) {
        let position = usize::from(relay.position);
        let pinned = self
            .pinned(key)
            .filter(|hop| !relay::visited(&relay, hop) && position + 1 < MAX_HOPS)
            .filter(|_| !relay.is_settled);
        if let Some(hop) = pinned {
            // `bids` must have one element per visited hop; this agent
            // places no bid.
            relay.bids.push(u32::MAX);
            return relay::forward(outbox, relay, hop);
        }
        let bid = self.bid(outbox.now);
        match hunt::step(relay.clone(), bid) {
            Step::Accept => self.accept_or_refuse_open(outbox, &relay, key),
            Step::Refuse => self.refuse_open(outbox, &relay, key, Reason::Overloaded),
            Step::Forward(relay) => {
                self.counters.add(Counter::OpenForwarded);
                let hop = relay.path[usize::from(relay.position)];
                outbox.send(hop.address, Frame::Relay(relay));
            }
        }
    }

    /// Returns this agent's bid for a new flow.
    fn bid(&self, now: Duration) -> Bid {
        if !self.accepts_flows() || self.flows.is_full() {
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
            free: self.gate.has_free_slot(),
            wait: self.gate.expected_wait(now),
            load,
        }
    }

    fn accept_or_refuse_open(&mut self, outbox: &mut Outbox<'_>, relay: &Relay, key: FlowKey) {
        match self.open_refusal(outbox.now) {
            Some(reason) => self.refuse_open(outbox, relay, key, reason),
            None => self.accept_open(outbox, relay, key),
        }
    }

    /// Returns why this agent refuses new flows at the moment, or `None` if it
    /// accepts them.
    fn open_refusal(&self, now: Duration) -> Option<Reason> {
        if self.claiming.is_some() {
            return Some(Reason::HolderAway);
        }
        if !self.accepts_flows() {
            return Some(Reason::Draining);
        }
        let wait = self.gate.expected_wait(now);
        (wait > self.view.service.queue_limit).then_some(Reason::Overloaded)
    }

    fn accept_open(&mut self, outbox: &mut Outbox<'_>, relay: &Relay, key: FlowKey) {
        let is_new = self.flows.get(key).is_none();
        match self.flows.open(outbox.now, key, self.token, relay.caller) {
            Ok(flow) => {
                if is_new {
                    self.counters.add(Counter::Opened);
                    self.pin_opened(outbox, relay.home, key);
                }
                self.confirm_open(outbox, relay, flow);
            }
            Err(Error::Full) => self.refuse_open(outbox, relay, key, Reason::TableFull),
            Err(Error::Closed | Error::KeyInUse) => {
                self.refuse_open(outbox, relay, key, Reason::FlowUnknown);
            }
        }
    }

    fn confirm_open(&self, outbox: &mut Outbox<'_>, relay: &Relay, flow: Flow) {
        let idle = self.flows.idle_timeout().as_millis();
        let opened = Opened {
            holder: flow.token.to_bytes().to_vec().into(),
            idle_ms: u32::try_from(idle).unwrap_or(u32::MAX),
        };
        let packet = Packet::new(flow.key, Body::Opened(opened));
        self.reply(outbox, relay::reply_path(relay), &packet);
    }

    fn refuse_open(
        &mut self,
        outbox: &mut Outbox<'_>,
        relay: &Relay,
        flow: FlowKey,
        reason: Reason,
    ) {
        let wait = match reason {
            Reason::Overloaded => self.gate.expected_wait(outbox.now),
            _ => self.settings.leave.retry_after,
        };
        let refusal = self.refusal(reason, wait);
        let subject = Subject { flow, request: 0 };
        self.refuse(
            outbox,
            relay::reply_path(relay),
            subject,
            refusal,
            Outcome::NotRun,
        );
    }
}
