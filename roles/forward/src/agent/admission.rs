//! Admits new flows or forwards their opening packets to other agents.
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use wire::FlowId;
use wire::Priority;
use wire::Segment;
use wire::TargetId;
use wire::Transit;
use wire::transit;
use wire::transit::Forward;
use wire::transit::Open;

use super::Action;
use super::Agent;
use super::Bid;
use super::Closed;
use super::DropReason;
use super::Refusal;
use super::Step;
use super::bid;
use super::bid::Verdict;
use super::class;
use super::flow::Flow;
use super::flow::Opening;
use super::lookup::send_not_held;

/// Opening packet that was forwarded to another agent.
#[derive(Clone, Debug)]
pub(super) struct Passed {
    /// Initial sequence number of the caller.
    pub sequence: u32,
    /// Frame that was forwarded.
    pub open: Open,
    /// Number of later packets of the flow that followed it.
    followed: u8,
}

/// Maximum number of packets of one flow that follow its first opening packet to
/// another agent: its copies and what arrives until the entry knows the holder. Agents
/// that have passed the flow to each other would forward a packet for ever.
const MAX_FOLLOWED: u8 = 64;

impl Passed {
    fn new(segment: &Segment, open: &Open) -> Self {
        Self {
            sequence: segment.sequence,
            open: open.clone(),
            followed: 0,
        }
    }

    /// Returns the frame to follow, unless too many packets have followed it.
    pub(super) fn follow(&mut self) -> Option<&Open> {
        self.followed = self.followed.saturating_add(1);
        (self.followed <= MAX_FOLLOWED).then_some(&self.open)
    }
}

impl Agent {
    /// Admits a new flow, forwards it, or refuses it. A retransmitted opening
    /// packet follows the first one.
    ///
    /// Only the packet of a flow that is admitted now, or was admitted within the
    /// opening timeout, reaches the backend server; the same holds for
    /// [`Self::handle_forwarded_open`].
    pub(super) fn handle_open(
        &mut self,
        now: Duration,
        open: Open,
        segment: Segment,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_caller();
        let timeout = self.settings.opening_timeout;
        let held = self.flows.get(&flow);
        match held.map(|held| held.compare_opening(now, &segment, timeout)) {
            Some(Opening::Copy) => return self.deliver_copy(now, flow, open, actions),
            Some(Opening::LateCopy) => {
                return actions.push(Action::Dropped(DropReason::LateOpening));
            }
            Some(Opening::Other) => self.forget_flow(now, &flow),
            None => {}
        }
        if self.is_waiting(&segment) {
            return actions.push(Action::Dropped(DropReason::WaitingCopy));
        }
        self.record_demand(now, &open, actions);
        match self.passed_flows.get_mut(now, &flow) {
            Some(passed) if !open.is_settled && passed.sequence == segment.sequence => {
                let Some(passed) = passed.follow().cloned() else {
                    return actions.push(Action::Dropped(DropReason::RefusedCopy));
                };
                let packet = open.packet;
                return pass_on(Open { packet, ..passed }, actions);
            }
            _ => {}
        }
        let class = self.class(now, &open);
        let bid = match intended_target(&open) {
            Some(target) if target == self.own.target => self.bid(now, class),
            _ => Err(Closed::OtherServer),
        };
        let patience = self.class_patience(class, &segment, &open);
        let bid = match bid {
            Ok(bid) if bid.wait > patience && !bid.has_room => Err(Closed::Queue),
            bid => bid,
        };
        self.decide_open(now, segment, open, bid, actions);
    }

    /// Admits a new flow at a bid, or passes it on or refuses it.
    pub(super) fn decide_open(
        &mut self,
        now: Duration,
        segment: Segment,
        open: Open,
        bid: Result<Bid, Closed>,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_caller();
        let intended_target = intended_target(&open).unwrap_or(self.own.target);
        let open = match bid {
            Ok(_) => open,
            Err(_) => self.redirect(&flow, open),
        };
        let class = self.class(now, &open);
        match bid::decide(open, bid.ok()) {
            Verdict::Admit(open) if self.has_room(now, class) => {
                class::report_step(&open, Step::Admitted(Duration::ZERO), actions);
                self.admit(now, &segment, open, bid.unwrap_or_default(), actions);
            }
            Verdict::Admit(open) if self.is_sooner_elsewhere(now, &segment, &open) => {
                self.refuse(now, &segment, open, Refusal::SoonerElsewhere, actions);
            }
            Verdict::Admit(open) => {
                self.hold_back(now, segment, open, bid.unwrap_or_default(), actions);
            }
            Verdict::Pass(open) => {
                self.passed_flows
                    .insert(now, flow, Passed::new(&segment, &open));
                actions.push(Action::PassedOn {
                    flow,
                    bid,
                    to: open.path[usize::from(open.position)].target,
                    is_settled: open.is_settled,
                });
                self.report_busy(now, &open, intended_target, actions);
                pass_on(open, actions);
            }
            // The flow may have been opened elsewhere through an earlier copy
            // of the packet.
            Verdict::Refuse(_) if segment.is_retransmission() => {
                actions.push(Action::Dropped(DropReason::RefusedCopy));
            }
            Verdict::Refuse(open) => self.refuse(now, &segment, open, Refusal::NoSlot, actions),
        }
    }

    /// Resets a new flow whose opening packet has not been delivered.
    pub(super) fn refuse(
        &mut self,
        now: Duration,
        segment: &Segment,
        open: Open,
        reason: Refusal,
        actions: &mut Vec<Action>,
    ) {
        self.passed_flows.remove(&segment.flow_from_caller());
        if open.demand.is_some() {
            let step = match reason {
                Refusal::SoonerElsewhere => Step::SoonerElsewhere,
                _ => Step::TooLate,
            };
            class::report_step(&open, step, actions);
            let target = intended_target(&open).unwrap_or(self.own.target);
            self.report_busy(now, &open, target, actions);
        }
        actions.push(Action::Reset {
            flow: segment.flow_from_caller(),
            sequence: segment.acknowledged,
            reason,
            bids: open.bids,
        });
    }

    /// Delivers a copy of an opening packet whose flow has been admitted.
    fn deliver_copy(&mut self, now: Duration, flow: FlowId, open: Open, actions: &mut Vec<Action>) {
        if let Some(held) = self.flows.get_mut(&flow) {
            held.last_used = now;
            held.entry = Some(open.entry);
            actions.push(Action::Deliver(open.packet));
            self.announce_holder(now, flow, open.entry, actions);
        }
    }

    /// Handles an opening packet that an entry forwarded as a packet of an open
    /// flow. A copy follows the first packet. For any other, the entry is told to
    /// drop its record of the flow, so that the caller's next copy is placed anew.
    pub(super) fn handle_forwarded_open(
        &mut self,
        now: Duration,
        forward: Forward,
        segment: &Segment,
        actions: &mut Vec<Action>,
    ) {
        if self.is_waiting(segment) {
            return actions.push(Action::Dropped(DropReason::WaitingCopy));
        }
        let flow = segment.flow_from_caller();
        let timeout = self.settings.opening_timeout;
        let is_own = forward.target == self.own.target;
        let held = self.flows.get_mut(&flow).filter(|_| is_own);
        let relation = held.map(|held| (held.compare_opening(now, segment, timeout), held));
        match (relation, self.passed_flows.get_mut(now, &flow)) {
            (Some((Opening::Copy, held)), _) => {
                held.last_used = now;
                held.entry = Some(forward.entry);
                actions.push(Action::Deliver(forward.packet));
            }
            (Some((Opening::LateCopy, _)), _) => {
                actions.push(Action::Dropped(DropReason::LateOpening));
            }
            (_, Some(passed)) if passed.sequence == segment.sequence => {
                let Some(open) = passed.follow().cloned() else {
                    return actions.push(Action::Dropped(DropReason::RefusedCopy));
                };
                let packet = forward.packet;
                pass_on(Open { packet, ..open }, actions);
            }
            _ => {
                let packet = Bytes::new();
                let denied = Forward { packet, ..forward };
                send_not_held(flow, denied, segment, None, actions);
            }
        }
    }

    /// Removes a flow whose caller has opened another one from the same port.
    fn forget_flow(&mut self, now: Duration, flow: &FlowId) {
        if let Some(mut held) = self.flows.remove(flow) {
            held.end_request(now, &mut self.occupancy);
        }
    }

    /// Returns the bid for a new flow, or the reason for which none are
    /// admitted.
    pub(super) fn bid(&self, now: Duration, class: Option<Priority>) -> Result<Bid, Closed> {
        let load = self.load(now);
        if let Some(reason) = self.closed_reason(now) {
            return Err(reason);
        }
        let bid = Bid {
            wait: load.wait(),
            held: load.held(),
            risk: load.risk(),
            has_room: self.has_room(now, None),
        };
        Ok(self.class_bid(now, class, bid))
    }

    /// Delivers the opening packet of a new flow to the backend server and
    /// notifies the entry.
    pub(super) fn admit(
        &mut self,
        now: Duration,
        segment: &Segment,
        open: Open,
        bid: Bid,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.flow_from_caller();
        actions.push(Action::Admitted {
            flow,
            bid,
            running: self.occupancy.running(),
            held: self.flows.len(),
            entry: open.entry,
        });
        self.record_admission(now, &open);
        let start = self.occupancy.begin(now);
        self.unanswered_since.get_or_insert(now);
        let entry = open.entry;
        actions.push(Action::Deliver(open.packet.clone()));
        self.flows
            .insert(flow, Flow::opening(now, start, open, segment));
        self.passed_flows.remove(&flow);
        self.announce_holder(now, flow, entry, actions);
    }

    /// Notifies an entry that this agent holds a flow.
    pub(super) fn announce_holder(
        &self,
        now: Duration,
        flow: FlowId,
        entry: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let held = transit::Held {
            flow,
            holder: self.own,
            start: self.server_start(),
            load: Some(self.load(now)),
        };
        actions.push(Action::Send {
            to: entry,
            transit: Transit::Held(held),
        });
    }

    /// Reports the load of a backend server to an entry that sent a flow which
    /// this agent could not admit. For a target that is closed or no longer
    /// here, the load is reported as a full queue.
    fn report_busy(&self, now: Duration, open: &Open, target: TargetId, actions: &mut Vec<Action>) {
        let mut load = self.load(now);
        let is_closed = target != self.own.target || self.closed_reason(now).is_some();
        if is_closed {
            let full = load.slots.saturating_add(self.settings.max_queued);
            load.running = load.running.max(full);
        }
        // A server that is closed to all flows refuses each class.
        let refused_from = if is_closed {
            Some(0)
        } else {
            self.refused_from(now)
        };
        actions.push(Action::Send {
            to: open.entry,
            transit: Transit::Busy(transit::Busy {
                target,
                load,
                refused_from: open.demand.and(refused_from),
            }),
        });
    }

    /// Forwards an opening packet that the backend server did not accept. If no
    /// agent is left, resets the flow, unless it may already be open through
    /// another copy of the packet.
    pub(super) fn handle_rejected_open(
        &mut self,
        now: Duration,
        flow: FlowId,
        segment: Segment,
        held: Option<Flow>,
        packet: Bytes,
        actions: &mut Vec<Action>,
    ) {
        let is_late = held
            .as_ref()
            .is_some_and(|flow| now >= flow.last_used + self.settings.prompt_rejection);
        let open = held.and_then(|flow| flow.open);
        let open = open.map(|open| self.redirect(&flow, Open { packet, ..open }));
        match open.map(|open| bid::decide(open, None)) {
            Some(Verdict::Pass(open)) => {
                self.passed_flows
                    .insert(now, flow, Passed::new(&segment, &open));
                pass_on(open, actions);
            }
            Some(_) if segment.is_retransmission() || is_late => {
                actions.push(Action::Dropped(DropReason::RefusedCopy));
            }
            Some(Verdict::Admit(open) | Verdict::Refuse(open)) => actions.push(Action::Reset {
                flow,
                sequence: segment.acknowledged,
                reason: Refusal::NotAccepted,
                bids: open.bids,
            }),
            None => {}
        }
    }
}

/// Returns the backend server that an opening frame was sent to.
pub(super) fn intended_target(open: &Open) -> Option<TargetId> {
    let hop = open.path.get(usize::from(open.position));
    hop.map(|hop| hop.target)
}

fn pass_on(open: Open, actions: &mut Vec<Action>) {
    actions.push(Action::Send {
        to: open.path[usize::from(open.position)].address,
        transit: Transit::Open(open),
    });
}
