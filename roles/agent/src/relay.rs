//! Dispatches relayed packets, and forwards those of flows held elsewhere.
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
use crate::agent::Outbox;
use crate::agent::ReplyPath;
use crate::agent::Subject;
use crate::status::Counter;

/// Location of a packet's flow, as far as this agent knows.
pub(crate) enum Location {
    /// Held here.
    Here(Flow),
    /// Held here, for another caller.
    OtherCaller,
    /// Parked here for the successor of its holder.
    Parked,
    /// Not here.
    Elsewhere,
}

/// A packet of a flow that is not held here.
pub(crate) struct Misrouted {
    pub(crate) flow: FlowKey,
    /// The holder that the caller names.
    pub(crate) token: Option<Token>,
    /// Reply to the caller if no agent holds the flow.
    pub(crate) fallback: Fallback,
}

/// Reply to a caller if no agent holds the flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fallback {
    /// A refusal that states an unknown outcome for this request.
    Unknown(RequestId),
    /// No reply, since the sender may not be the caller.
    Silent,
}

impl Agent {
    pub(crate) fn on_relay(&mut self, outbox: &mut Outbox<'_>, relay: Relay) {
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
            Err(error) => return self.reject(outbox, &relay, error),
        };
        let flow = packet.flow;
        match packet.body {
            Some(Body::Open(_)) => self.on_open(outbox, relay, flow),
            Some(Body::Request(request)) => self.on_request(outbox, relay, flow, request),
            Some(Body::Cancel(cancel)) => self.on_cancel(outbox, relay, flow, &cancel),
            Some(Body::Fetch(fetch)) => self.on_fetch(outbox, relay, flow, &fetch),
            Some(Body::Close(close)) => self.on_close(outbox, relay, flow, &close),
            Some(Body::Opened(_) | Body::Chunk(_) | Body::Refusal(_) | Body::Closed(_)) | None => {
                self.counters.add(Counter::UnexpectedPacket);
            }
        }
    }

    fn reject(&mut self, outbox: &mut Outbox<'_>, relay: &Relay, error: wire::caller::Error) {
        let packet = Packet::reject(relay.packet.clone(), error);
        if let Some(Body::Refusal(refusal)) = &packet.body {
            self.counters.refuse(refusal.reason());
        }
        self.reply(outbox, reply_path(relay), &packet);
    }

    pub(crate) fn locate(&mut self, relay: &Relay, flow: FlowKey) -> Location {
        match self.flows.get(flow) {
            Some(held) if held.caller == relay.caller => Location::Here(*held),
            Some(_) => {
                self.counters.add(Counter::ForeignCaller);
                Location::OtherCaller
            }
            None if self.parked.has_unclaimed_flow(flow) => Location::Parked,
            None => Location::Elsewhere,
        }
    }

    /// Forwards a packet to the first hop that it has not visited among: the
    /// pinned holder, the holder that the caller names, the rest of the path,
    /// and the order of the flow in this agent's view. Without such a hop, or
    /// if the caller names this incarnation, replies according to
    /// `misrouted.fallback`. Drops the packet while its flow may still be part
    /// of an unclaimed predecessor's state.
    pub(crate) fn forward_misrouted(
        &mut self,
        outbox: &mut Outbox<'_>,
        relay: Relay,
        misrouted: &Misrouted,
    ) {
        if self.may_be_inherited(misrouted.token) {
            self.counters.add(Counter::AwaitingState);
            return;
        }
        self.report_stale_pin(outbox, &relay, misrouted.flow);
        let hop = if misrouted.token == Some(self.token) {
            None
        } else {
            self.next_hop(&relay, misrouted)
        };
        match hop {
            Some(hop) => {
                self.counters.add(Counter::PacketForwarded);
                forward(outbox, relay, hop);
            }
            None => self.refuse_unknown_flow(outbox, &relay, misrouted),
        }
    }

    /// Returns true if the flow may be part of a predecessor's state that has
    /// not been claimed yet.
    fn may_be_inherited(&self, token: Option<Token>) -> bool {
        let names_predecessor = token.is_none_or(|token| {
            token.target == self.identity.id && token.incarnation < self.identity.incarnation
        });
        self.claiming.is_some() && names_predecessor
    }

    fn next_hop(&mut self, relay: &Relay, misrouted: &Misrouted) -> Option<Hop> {
        let next = usize::from(relay.position) + 1;
        if next >= MAX_HOPS {
            return None;
        }
        self.pinned(misrouted.flow)
            .filter(|hop| !visited(relay, hop))
            .or_else(|| {
                self.named_hop(misrouted.token)
                    .filter(|hop| !visited(relay, hop))
            })
            .or_else(|| relay.path.get(next).copied())
            .or_else(|| self.next_in_order(relay, misrouted.flow))
    }

    /// Returns the hop to the target that a token names, whatever its
    /// incarnation.
    pub(crate) fn named_hop(&self, token: Option<Token>) -> Option<Hop> {
        let target = self.target(token?.target)?;
        (target.state != State::Left && target.id != self.identity.id).then(|| target.hop())
    }

    /// Returns true if the target that a token names has left or is unknown.
    pub(crate) fn has_left(&self, token: Token) -> bool {
        let target = self.target(token.target);
        target.is_none_or(|target| target.state == State::Left)
    }

    fn next_in_order(&self, relay: &Relay, flow: FlowKey) -> Option<Hop> {
        self.order
            .top(flow, MAX_HOPS + 1)
            .map(Target::hop)
            .find(|hop| {
                hop.target != self.identity.id
                    && !relay.path.iter().any(|it| it.target == hop.target)
            })
    }

    fn refuse_unknown_flow(
        &mut self,
        outbox: &mut Outbox<'_>,
        relay: &Relay,
        misrouted: &Misrouted,
    ) {
        let request = match misrouted.fallback {
            Fallback::Unknown(request) => request,
            Fallback::Silent => return,
        };
        let subject = Subject {
            flow: misrouted.flow,
            request,
        };
        let refusal = self.refusal(Reason::FlowUnknown, self.settings.leave.retry_after);
        self.refuse(
            outbox,
            reply_path(relay),
            subject,
            refusal,
            Outcome::Unknown,
        );
    }
}

/// Returns the addresses that replies to a relayed packet are sent to.
pub(crate) const fn reply_path(relay: &Relay) -> ReplyPath {
    ReplyPath {
        entry: relay.entry,
        caller: relay.caller,
    }
}

/// Returns true if the packet has reached the agent of `hop` already; the
/// later hops of its path do not count.
pub(crate) fn visited(relay: &Relay, hop: &Hop) -> bool {
    let here = usize::from(relay.position);
    relay.path[..=here].iter().any(|it| it.target == hop.target)
}

/// Sends a packet to an agent that it has not visited, ahead of the rest of its
/// path.
pub(crate) fn forward(outbox: &mut Outbox<'_>, mut relay: Relay, hop: Hop) {
    let next = usize::from(relay.position) + 1;
    let later = relay.path.split_off(next);
    relay.path.push(hop);
    let rest = later.into_iter().filter(|it| it.target != hop.target);
    relay.path.extend(rest.take(MAX_HOPS - next - 1));
    relay.position += 1;
    outbox.send(hop.address, Frame::Relay(relay));
}
