//! Reads relayed packets, and hands along those of flows held elsewhere.
use flow::Flow;
use wire::FlowKey;
use wire::Frame;
use wire::Hop;
use wire::Relay;
use wire::RequestId;
use wire::Target;
use wire::Token;
use wire::caller::Outcome;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::caller::packet::Body;
use wire::frame::MAX_HOPS;
use wire::target::State;

use crate::Agent;
use crate::agent::Subject;
use crate::agent::Turn;
use crate::agent::Via;
use crate::status::Counter;

/// Where the flow of a packet is, as far as this agent knows.
pub(crate) enum Place {
    /// Held here.
    Here(Flow),
    /// Held here, for another caller.
    Foreign,
    /// Kept here for the successor of its holder.
    Kept,
    /// Not here.
    Elsewhere,
}

/// A packet of a flow that is not held here.
pub(crate) struct Stray {
    pub(crate) flow: FlowKey,
    /// The holder, as the caller names it.
    pub(crate) token: Option<Token>,
    /// What the caller is told where nobody holds the flow.
    pub(crate) unheld: Unheld,
}

/// What a caller is told where nobody holds the flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unheld {
    /// That the outcome of this request is unknown.
    Unknown(RequestId),
    /// Nothing: the sender may not be the caller.
    Silent,
}

impl Agent {
    pub(crate) fn on_relay(&mut self, turn: &mut Turn<'_>, relay: Relay) {
        if relay.service != self.identity.service {
            self.counters.add(Counter::ForeignService);
            return;
        }
        if usize::from(relay.position) >= relay.path.len() || relay.path.len() > MAX_HOPS {
            self.counters.add(Counter::MalformedFrame);
            return;
        }
        let packet = match Packet::from_bytes(relay.packet.clone()) {
            Ok(packet) => packet,
            Err(error) => return self.reject(turn, &relay, error),
        };
        let flow = packet.flow;
        match packet.body {
            Some(Body::Open(_)) => self.on_open(turn, relay, flow),
            Some(Body::Request(request)) => self.on_request(turn, relay, flow, request),
            Some(Body::Cancel(cancel)) => self.on_cancel(turn, relay, flow, &cancel),
            Some(Body::Fetch(fetch)) => self.on_fetch(turn, relay, flow, &fetch),
            Some(Body::Close(close)) => self.on_close(turn, relay, flow, &close),
            Some(Body::Opened(_) | Body::Chunk(_) | Body::Refusal(_) | Body::Closed(_)) | None => {
                self.counters.add(Counter::UnexpectedPacket);
            }
        }
    }

    fn reject(&mut self, turn: &mut Turn<'_>, relay: &Relay, error: wire::caller::Error) {
        let packet = Packet::reject(relay.packet.clone(), error);
        if let Some(Body::Refusal(refusal)) = &packet.body {
            self.counters.refuse(refusal.reason());
        }
        self.reply(turn, via(relay), &packet);
    }

    pub(crate) fn locate(&mut self, relay: &Relay, flow: FlowKey) -> Place {
        match self.flows.get(flow) {
            Some(held) if held.caller == relay.caller => Place::Here(*held),
            Some(_) => {
                self.counters.add(Counter::ForeignCaller);
                Place::Foreign
            }
            None if self.keep.holds(flow) => Place::Kept,
            None => Place::Elsewhere,
        }
    }

    /// Hands a packet along: to the pinned holder, the holder that the caller
    /// names, the rest of the path, and this agent's own order.
    pub(crate) fn hand_along(&mut self, turn: &mut Turn<'_>, relay: Relay, stray: &Stray) {
        if self.awaits_state(stray.token) {
            self.counters.add(Counter::AwaitingState);
            return;
        }
        self.report_stale_pin(turn, &relay, stray.flow);
        let hop = if stray.token == Some(self.token) {
            None
        } else {
            self.next_hop(&relay, stray)
        };
        match hop {
            Some(hop) => {
                self.counters.add(Counter::HandedAlong);
                forward(turn, relay, hop);
            }
            None => self.declare_unheld(turn, &relay, stray),
        }
    }

    /// Whether the flow may be among those that a predecessor left and that
    /// have not been claimed yet.
    fn awaits_state(&self, token: Option<Token>) -> bool {
        let names_predecessor = token.is_none_or(|token| {
            token.target == self.identity.id && token.incarnation < self.identity.incarnation
        });
        self.claiming.is_some() && names_predecessor
    }

    fn next_hop(&mut self, relay: &Relay, stray: &Stray) -> Option<Hop> {
        let next = usize::from(relay.position) + 1;
        if next >= MAX_HOPS {
            return None;
        }
        self.pinned(stray.flow)
            .filter(|hop| !visited(relay, hop))
            .or_else(|| self.named(stray.token).filter(|hop| !visited(relay, hop)))
            .or_else(|| relay.path.get(next).copied())
            .or_else(|| self.next_of_order(relay, stray.flow))
    }

    /// The agent of the target that a token names, whichever incarnation.
    pub(crate) fn named(&self, token: Option<Token>) -> Option<Hop> {
        let target = self.target(token?.target)?;
        (target.state != State::Left && target.id != self.identity.id).then(|| target.hop())
    }

    /// Whether the target that a token names has left or is not known.
    pub(crate) fn has_left(&self, token: Token) -> bool {
        let target = self.target(token.target);
        target.is_none_or(|target| target.state == State::Left)
    }

    fn next_of_order(&self, relay: &Relay, flow: FlowKey) -> Option<Hop> {
        self.order
            .top(flow, MAX_HOPS + 1)
            .map(Target::hop)
            .find(|hop| {
                hop.target != self.identity.id
                    && !relay.path.iter().any(|it| it.target == hop.target)
            })
    }

    fn declare_unheld(&mut self, turn: &mut Turn<'_>, relay: &Relay, stray: &Stray) {
        let request = match stray.unheld {
            Unheld::Unknown(request) => request,
            Unheld::Silent => return,
        };
        let subject = Subject {
            flow: stray.flow,
            request,
        };
        let refusal = self.refusal(Reason::FlowUnknown, self.settings.leave.away);
        self.refuse(turn, via(relay), subject, refusal, Outcome::Unknown);
    }
}

/// Where replies to a relayed packet go.
pub(crate) const fn via(relay: &Relay) -> Via {
    Via {
        entry: relay.entry,
        caller: relay.caller,
    }
}

/// Whether the packet has been at an agent.
pub(crate) fn visited(relay: &Relay, hop: &Hop) -> bool {
    let here = usize::from(relay.position);
    relay.path[..=here].iter().any(|it| it.target == hop.target)
}

/// Sends a packet to an agent that it has not visited.
pub(crate) fn forward(turn: &mut Turn<'_>, mut relay: Relay, hop: Hop) {
    let next = usize::from(relay.position) + 1;
    let later = relay.path.split_off(next);
    relay.path.push(hop);
    let rest = later.into_iter().filter(|it| it.target != hop.target);
    relay.path.extend(rest.take(MAX_HOPS - next - 1));
    relay.position += 1;
    turn.send(hop.address, Frame::Relay(relay));
}
