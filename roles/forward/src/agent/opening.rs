//! Takes new flows, or passes them on.
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use wire::FlowId;
use wire::Segment;
use wire::Transit;
use wire::transit;
use wire::transit::Open;

use super::Action;
use super::Agent;
use super::Bid;
use super::Closed;
use super::Drop;
use super::Refusal;
use super::bid;
use super::bid::Verdict;
use super::flow::Flow;

impl Agent {
    pub(super) fn open(
        &mut self,
        now: Duration,
        open: Open,
        segment: Segment,
        actions: &mut Vec<Action>,
    ) {
        let flow = segment.from_caller();
        if let Some(held) = self.flows.get_mut(&flow) {
            held.entry = Some(open.entry);
            if !held.is_waiting() {
                held.used = now;
                actions.push(Action::Deliver(open.packet));
            }
            return self.tell(now, flow, open.entry, actions);
        }
        match self.passed.get(now, &flow) {
            Some(passed) if !open.is_settled => return pass(passed.clone(), actions),
            _ => {}
        }
        let bid = self.bid(now, &open);
        match bid::decide(open, bid.ok()) {
            Verdict::Take(open) => self.take(now, flow, open, bid.unwrap_or_default(), actions),
            Verdict::Pass(open) => {
                self.passed.insert(now, flow, open.clone());
                actions.push(Action::Passed {
                    flow,
                    bid,
                    to: open.path[usize::from(open.position)].target,
                    is_settled: open.is_settled,
                });
                self.tell_busy(now, open.entry, actions);
                pass(open, actions);
            }
            Verdict::Refuse(open) => actions.push(Action::Reset {
                flow,
                sequence: segment.acknowledged,
                reason: Refusal::NoSlot,
                bids: open.bids,
            }),
        }
    }

    /// What a new flow can expect here, or why none is taken.
    fn bid(&self, now: Duration, open: &Open) -> Result<Bid, Closed> {
        let load = self.load(now);
        let objective = Duration::from_millis(open.objective_ms.into());
        let timeout = Duration::from_millis(open.patience_ms.into());
        match self.closed(now) {
            Some(reason) => Err(reason),
            None if load.wait() > self.standing.limit(now, objective, timeout) => {
                Err(Closed::Queue)
            }
            None => Ok(Bid {
                wait: load.wait(),
                held: load.held(),
            }),
        }
    }

    fn take(
        &mut self,
        now: Duration,
        flow: FlowId,
        open: Open,
        bid: Bid,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Taken {
            flow,
            bid,
            running: self.occupancy.running(),
            held: self.flows.len(),
            entry: open.entry,
        });
        let entry = open.entry;
        self.flows.insert(flow, Flow::waiting(now, open));
        self.waiting.push_back(flow);
        self.passed.remove(&flow);
        self.admit(now, actions);
        self.tell(now, flow, entry, actions);
    }

    /// Hands opening packets to the backend server while it has room.
    pub(super) fn admit(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let most = self.occupancy.slots() + self.settings.queue;
        while self.occupancy.running() < most {
            let Some(flow) = self.waiting.pop_front() else {
                break;
            };
            let Some(held) = self.flows.get_mut(&flow) else {
                continue;
            };
            if now >= held.used + self.settings.opening {
                self.flows.remove(&flow);
                actions.push(Action::Dropped(Drop::GivenUp));
                continue;
            }
            let start = self.occupancy.begin(now);
            if let Some(packet) = held.admit(now, start) {
                self.unanswered.get_or_insert(now);
                actions.push(Action::Deliver(packet));
            }
        }
        self.standing.observe(now, !self.waiting.is_empty());
    }

    /// Passes on what waits for a backend server that takes no flows any more.
    pub(super) fn give_up_waiting(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if matches!(self.closed(now), None | Some(Closed::Queue | Closed::Flows)) {
            return;
        }
        for flow in std::mem::take(&mut self.waiting) {
            let Some(open) = self.flows.remove(&flow).and_then(|held| held.open) else {
                continue;
            };
            self.pass_on(now, flow, open, 0, actions);
        }
    }

    /// Passes a flow on that is not taken here after all, or refuses it.
    fn pass_on(
        &mut self,
        now: Duration,
        flow: FlowId,
        open: Open,
        sequence: u32,
        actions: &mut Vec<Action>,
    ) {
        match bid::decide(open, None) {
            Verdict::Pass(open) => {
                self.passed.insert(now, flow, open.clone());
                pass(open, actions);
            }
            Verdict::Take(open) | Verdict::Refuse(open) => actions.push(Action::Reset {
                flow,
                sequence,
                reason: Refusal::NotAccepted,
                bids: open.bids,
            }),
        }
    }

    /// Names this agent as the holder of a flow.
    pub(super) fn tell(
        &self,
        now: Duration,
        flow: FlowId,
        entry: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let held = transit::Held {
            flow,
            holder: self.own,
            load: self.load(now),
        };
        actions.push(Action::Send {
            to: entry,
            transit: Transit::Held(held),
        });
    }

    /// Tells an entry that its view of the load here is too good.
    fn tell_busy(&self, now: Duration, entry: SocketAddr, actions: &mut Vec<Action>) {
        let mut load = self.load(now);
        if self.closed(now).is_some() {
            load.running = load.running.max(load.slots + self.settings.queue);
        }
        let target = self.own.target;
        actions.push(Action::Send {
            to: entry,
            transit: Transit::Busy(transit::Busy { target, load }),
        });
    }

    /// Passes on an opening packet that the backend server did not accept.
    pub(super) fn unaccepted(
        &mut self,
        now: Duration,
        flow: FlowId,
        segment: Segment,
        held: Option<Flow>,
        packet: Bytes,
        actions: &mut Vec<Action>,
    ) {
        if let Some(open) = held.and_then(|flow| flow.open) {
            let open = Open { packet, ..open };
            self.pass_on(now, flow, open, segment.acknowledged, actions);
        }
    }
}

fn pass(open: Open, actions: &mut Vec<Action>) {
    actions.push(Action::Send {
        to: open.path[usize::from(open.position)].address,
        transit: Transit::Open(open),
    });
}
