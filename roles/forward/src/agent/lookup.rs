//! Finds out whether the backend server holds a flow that this process does not
//! know.
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use wire::FlowId;
use wire::Segment;
use wire::TargetId;
use wire::Transit;
use wire::segment::Kind;
use wire::transit::Forward;
use wire::transit::Lookup;
use wire::transit::NotHeld;
use wire::transit::Terms;

use super::Action;
use super::Agent;
use super::DropReason;
use super::MAX_PROBES;
use super::Probe;
use super::Refusal;
use super::backend::Start;
use super::flow;
use crate::millis;

/// Reason for which a backend server does not hold a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Absence {
    /// It returned or reset a packet of the flow.
    Returned,
    /// Its caller opened the flow at another server, as far as this process has seen.
    Elsewhere,
}

/// Evidence that a backend server does not hold a flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evidence {
    /// Longest time for which the backend server can have been running.
    pub max_age: Duration,
    /// Start time of the backend server by its own clock.
    pub server_start: Start,
}

/// How a packet of an unknown flow is looked up.
#[derive(Clone, Copy, Debug)]
pub(super) struct Inquiry {
    pub terms: Terms,
    /// Receiver of a denial after a probe; `None` where the answer to a batch says so.
    pub reply_to: Option<SocketAddr>,
}

impl Agent {
    /// Returns true if the backend server may hold flows that were opened before this
    /// process started.
    pub(super) const fn may_have_prior_flows(&self) -> bool {
        let has_started_since = self.server_age.is_some() && self.presence.has_started_since();
        self.may_hold_prior_flows && !has_started_since
    }

    /// Returns true if the backend server may hold an unknown flow: one that was
    /// opened before this process started, or that has been idle for long.
    pub(super) fn may_hold(&self, now: Duration, flow: &FlowId) -> bool {
        let may_be_prior =
            self.may_have_prior_flows() && now < self.started_at + self.settings.max_flow_age;
        (may_be_prior || self.idle_flows.get(now, flow).is_some())
            && self.flows_not_held.get(now, flow).is_none()
            && self.passed_flows.get(now, flow).is_none()
            && self.ended_flows.get(now, flow).is_none()
    }

    /// Returns true if a packet belongs to a flow that ended with its backend server. The
    /// caller may have opened another one from the same port since.
    pub(super) fn has_ended(&self, now: Duration, id: &FlowId, segment: &Segment) -> bool {
        let ended = self.ended_flows.get(now, id);
        ended.is_some_and(|position| flow::is_acknowledged(*position, segment.acknowledged))
    }

    /// Returns true if this process has seen that the caller of a flow uses another backend
    /// server: an earlier flow from the same port, or one whose opening packet came here
    /// too, ended here.
    fn is_held_elsewhere(&self, now: Duration, flow: &FlowId) -> bool {
        self.flows_not_held.get(now, flow) == Some(&Absence::Elsewhere)
            || self.ended_flows.get(now, flow).is_some()
    }

    /// Returns the evidence that goes with the denial of a forwarded packet. There is none
    /// if the caller uses another backend server: an entry would take a restart of this
    /// one for the end of the flow.
    pub(super) fn evidence_against(&self, now: Duration, flow: &FlowId) -> Option<Evidence> {
        let evidence = self.evidence(now);
        evidence.filter(|_| !self.is_held_elsewhere(now, flow))
    }

    /// Handles a lookup for a searching agent. An agent that does not hold the
    /// flow stays silent, which saves a reply from each of many agents, unless
    /// its backend server is young enough for a denial to be conclusive.
    pub(super) fn handle_lookup(
        &mut self,
        now: Duration,
        lookup: Lookup,
        segment: Segment,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_caller();
        if lookup.target != self.own.target {
            return;
        }
        if segment.kind == Kind::Open {
            return actions.push(Action::Dropped(DropReason::LateOpening));
        }
        let inquiry = Inquiry {
            terms: lookup.terms,
            reply_to: Some(lookup.searcher),
        };
        let forward = Forward {
            target: lookup.target,
            entry: lookup.entry,
            packet: lookup.packet,
        };
        if self
            .look_up_locally(now, forward, inquiry, segment, actions)
            .is_none()
        {
            return;
        }
        let forward = Forward {
            target: lookup.target,
            entry: lookup.searcher,
            packet: Bytes::new(),
        };
        send_not_held(flow, forward, &segment, self.evidence(now), actions);
    }

    /// Delivers a packet whose holder is unknown if its flow is held here, or
    /// sends it as a probe if the flow may be held. Returns the maximum age of
    /// the backend server if it is certain not to hold the flow and is at most
    /// `max_age_ms` old.
    pub(super) fn look_up_locally(
        &mut self,
        now: Duration,
        forward: Forward,
        inquiry: Inquiry,
        segment: Segment,
        actions: &mut Vec<Action>,
    ) -> Option<Duration> {
        let flow = segment.flow_from_caller();
        let Inquiry { terms, reply_to } = inquiry;
        if self.flows.contains_key(&flow) {
            let entry = forward.entry;
            self.deliver(now, flow, forward, segment, actions);
            if self.flows.contains_key(&flow) {
                self.announce_holder(now, flow, entry, actions);
            }
            return None;
        }
        if self.has_ended(now, &flow, &segment) {
            reset_ended(flow, &segment, actions);
            return None;
        }
        if self.may_hold(now, &flow) {
            if terms.may_probe {
                self.probe(now, &segment, forward, reply_to, actions);
            }
            return None;
        }
        let age = self.max_age_as_proof(now)?;
        (millis(age) <= terms.max_age_ms).then_some(age)
    }

    /// Handles packets of flows that this agent could not tell about in a batch. What
    /// the backend server returns is reported in answer to that batch.
    pub(super) fn handle_probes(
        &mut self,
        now: Duration,
        (target, entry): (TargetId, SocketAddr),
        packets: Vec<(Segment, Bytes)>,
        actions: &mut Vec<Action>,
    ) {
        if target != self.own.target {
            return;
        }
        for (segment, packet) in packets {
            if segment.kind == Kind::Open {
                actions.push(Action::Dropped(DropReason::LateOpening));
                continue;
            }
            let forward = Forward {
                target,
                entry,
                packet,
            };
            let inquiry = Inquiry {
                terms: Terms {
                    may_probe: true,
                    max_age_ms: 0,
                },
                reply_to: None,
            };
            self.look_up_locally(now, forward, inquiry, segment, actions);
        }
    }

    /// Delivers a packet of an unknown flow to learn whether the backend server
    /// holds it.
    pub(super) fn probe(
        &mut self,
        now: Duration,
        segment: &Segment,
        forward: Forward,
        reply_to: Option<SocketAddr>,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_caller();
        let previous = self.probes.get(now, &flow).copied();
        let is_waiting = previous.is_some_and(|probe| {
            probe.count >= MAX_PROBES || now < probe.sent_at + self.settings.probe_interval
        });
        if is_waiting {
            return actions.push(Action::Dropped(DropReason::ProbeLimit));
        }
        let probe = Probe {
            entry: forward.entry,
            reply_to,
            sent_at: now,
            count: previous.map_or(1, |probe| probe.count + 1),
            acknowledged: segment.acknowledged,
        };
        self.probes.insert(now, flow, probe);
        actions.push(Action::Probed { flow });
        actions.push(Action::Deliver(forward.packet));
    }
}

/// Resets a flow whose backend server has terminated.
pub(super) fn reset_ended(flow: FlowId, segment: &Segment, actions: &mut Vec<Action>) {
    if segment.kind != Kind::Reset {
        actions.push(Action::Reset {
            flow,
            sequence: segment.acknowledged,
            reason: Refusal::ServerEnded,
            bids: Vec::new(),
        });
    }
}

/// Reports that a flow is not held here, and returns its packet so that an
/// entry can search for the holder with it.
pub(super) fn send_not_held(
    flow: FlowId,
    forward: Forward,
    segment: &Segment,
    evidence: Option<Evidence>,
    actions: &mut Vec<Action>,
) {
    // The sender of a reset expects no answer, and evidence could make an entry
    // answer it with a reset.
    let evidence = evidence.filter(|_| segment.kind != Kind::Reset);
    actions.push(Action::Send {
        to: forward.entry,
        transit: Transit::NotHeld(NotHeld {
            flow,
            target: forward.target,
            acknowledged: segment.acknowledged,
            age_ms: evidence.map(|evidence| millis(evidence.max_age)),
            start: evidence.map(|evidence| evidence.server_start),
            packet: forward.packet,
        }),
    });
}
