//! Behavior of the simulated callers and backend servers.
use std::time::Duration;

use wire::FlowId;
use wire::Segment;
use wire::TargetId;
use wire::segment::Kind;

use super::Caller;
use super::Event;
use super::Simulation;
use crate::fixtures::ms;

/// Time after which a caller retransmits a packet for the first time.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(200);

impl Simulation {
    /// Sends a caller's next request, or retransmits the last one.
    pub(super) fn send(&mut self, flow: FlowId, attempts: u32) {
        let caller = self.callers.get_mut(&flow).unwrap();
        if attempts == 0 && caller.is_open {
            caller.sent_requests += 1;
        }
        let is_done =
            attempts > 0 && caller.is_open && caller.answered_requests == caller.sent_requests;
        let kind = if caller.is_open {
            Kind::Data
        } else {
            Kind::Open
        };
        let (sent, generation, next) = (
            caller.sent_requests,
            caller.generation,
            Duration::from_secs(1),
        );
        let position = caller.server_position;
        if is_done {
            return self.schedule(
                next.saturating_sub(RETRANSMIT_INTERVAL * attempts),
                Event::SendAtCaller(flow, 0, generation),
            );
        }
        let segment = Segment {
            source: flow.caller,
            destination: flow.service,
            kind,
            is_returned: false,
            sequence: sent * 100,
            acknowledged: if kind == Kind::Open {
                attempts
            } else {
                position
            },
            length: if kind == Kind::Data { 100 } else { 0 },
            echo: 0,
        };
        let entry = self.entry_of(&flow);
        for delay in self.delays(kind) {
            self.schedule(delay, Event::PacketAtEntry(entry, segment));
        }
        let wait = RETRANSMIT_INTERVAL * 2_u32.pow(attempts.min(3));
        self.schedule(wait, Event::SendAtCaller(flow, attempts + 1, generation));
    }

    pub(super) fn receive_at_caller(&mut self, segment: &Segment, is_from_system: bool) {
        let flow = segment.flow_from_server();
        let Some(caller) = self.callers.get_mut(&flow) else {
            return;
        };
        match segment.kind {
            Kind::Accept if !caller.is_open => {
                caller.is_open = true;
                caller.server_position = segment.sequence;
                caller.generation += 1;
                let generation = caller.generation;
                self.schedule(Duration::ZERO, Event::SendAtCaller(flow, 0, generation));
            }
            Kind::Reset if is_from_system && caller.is_open => {
                let position = caller.server_position;
                let mut servers = self.servers.iter();
                let is_held = servers
                    .any(|(id, flows)| initial_position(*id) == position && flows.contains(&flow));
                if is_held {
                    self.faults.push(format!(
                        "{:?}: {flow:?} was reset although its server still holds it",
                        self.now
                    ));
                }
                self.count.record_reset(self.now);
                self.open_again(flow);
            }
            Kind::Accept => {}
            _ => {
                self.count.first_answers.entry(flow).or_insert(self.now);
                caller.answered_requests = caller.answered_requests.max(segment.acknowledged / 100);
            }
        }
    }

    /// A caller opens another flow, from a port that it has not used before.
    fn open_again(&mut self, flow: FlowId) {
        self.callers.remove(&flow);
        self.misdelivered.remove(&flow);
        let mut next = flow;
        loop {
            self.last_port = self.last_port.checked_add(1).unwrap_or(4_001);
            next.caller.set_port(self.last_port);
            if !self.callers.contains_key(&next) {
                break;
            }
        }
        self.callers.insert(next, Caller::default());
        self.schedule(Duration::ZERO, Event::SendAtCaller(next, 0, 0));
    }

    pub(super) fn receive_at_server(&mut self, id: TargetId, segment: Segment) {
        let flow = segment.flow_from_caller();
        if !self.servers.contains_key(&id) {
            return;
        }
        let holds = self.servers[&id].contains(&flow);
        self.check_delivery(id, &flow, holds, segment.kind);
        let answer = |kind, length| Segment {
            source: flow.service,
            destination: flow.caller,
            kind,
            length,
            ..segment
        };
        match segment.kind {
            Kind::Open => {
                self.check_opening(id, &flow);
                self.servers.get_mut(&id).unwrap().insert(flow);
                let accept = Segment {
                    sequence: initial_position(id),
                    ..answer(Kind::Accept, 0)
                };
                self.schedule(ms(1), Event::ServerPacket(id, accept));
            }
            _ if holds && segment.acknowledged != initial_position(id) => {
                self.faults.push(format!(
                    "{flow:?} reached a server that holds it too, but was accepted by another one"
                ));
            }
            _ if holds => {
                // The server's position does not depend on the caller's.
                let content = Segment {
                    sequence: initial_position(id),
                    acknowledged: segment.sequence,
                    ..answer(Kind::Data, 50)
                };
                self.schedule(ms(15), Event::ServerPacket(id, content));
            }
            _ => {
                let returned = Segment {
                    is_returned: true,
                    ..segment
                };
                self.schedule(ms(1), Event::ServerPacket(id, returned));
            }
        }
    }

    /// Reports a flow if at least three of its packets, over at least two
    /// seconds, reached only servers that do not hold it.
    fn check_delivery(&mut self, id: TargetId, flow: &FlowId, holds: bool, kind: Kind) {
        let is_open = self.callers.get(flow).is_some_and(|caller| caller.is_open);
        let is_held = self
            .servers
            .iter()
            .any(|(other, flows)| *other != id && flows.contains(flow));
        if holds || kind == Kind::Open || !is_open || !is_held {
            self.misdelivered.remove(flow);
            self.strays.remove(flow);
            return;
        }
        let strays = self.strays.entry(*flow).or_default();
        strays.push(self.now);
        let now = self.now;
        strays.retain(|at| now < *at + Duration::from_secs(2));
        if strays.len() >= 3 {
            self.misdelivered_flows.insert(*flow);
        }
        let now = self.now;
        let (count, since) = self.misdelivered.entry(*flow).or_insert((0, now));
        *count += 1;
        if *count >= 3 && now >= *since + Duration::from_secs(2) {
            self.faults.push(format!(
                "{now:?}: packets of {flow:?} reached only servers that do not hold it"
            ));
        }
    }
}

/// Returns the initial sequence number of a backend server.
fn initial_position(id: TargetId) -> u32 {
    u32::try_from(id).unwrap() * 10_000_000
}
