//! Stores the parked state of other agents for their successors, or adopts it.
//!
//! Parked state is read-only: recorded outcomes are answered from it, and all
//! other packets must wait for the successor. Only complete states are used,
//! and only one incarnation may claim a state, so that no two agents hold the
//! same flow.
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use flow::Answer;
use flow::State;
use flow::record;
use flow::record::Refusal;
use flow::table::Phase;
use wire::FlowKey;
use wire::Incarnation;
use wire::Relay;
use wire::RequestId;
use wire::TargetId;
use wire::Token;
use wire::caller::Reason;

use crate::Action;
use crate::Agent;
use crate::agent::Outbox;
use crate::event::CallId;
use crate::park::Claim;
use crate::park::Grant;
use crate::park::Outcome;
use crate::park::Part;
use crate::park::Purpose;
use crate::park::Record;
use crate::pinning::Batches;
use crate::relay;
use crate::status::Counter;

/// Parked states of other agents, with an index of their flows.
#[derive(Debug, Default)]
pub(crate) struct ParkedStates {
    states: BTreeMap<TargetId, ParkedState>,
    flows: HashMap<FlowKey, Position>,
    bytes: usize,
}

/// Parked state of one agent; incomplete while parts are missing.
#[derive(Debug)]
struct ParkedState {
    owner: Token,
    /// Number of parts of the complete state.
    count: u32,
    /// Number of parts received from the owner.
    received: u32,
    parts: Vec<Part>,
    /// Incarnation that has claimed the state.
    successor: Option<Incarnation>,
    /// Number of parts granted to the successor.
    granted: u32,
    expiry: Duration,
}

impl ParkedState {
    fn is_complete(&self) -> bool {
        self.received == self.count
    }

    /// Returns true if the state is complete and its successor has not claimed
    /// all of its parts.
    fn is_unclaimed(&self) -> bool {
        self.is_complete() && !self.parts.is_empty() && self.granted < self.count
    }
}

/// Position of a parked flow in the state of its owner.
#[derive(Clone, Copy, Debug)]
struct Position {
    owner: TargetId,
    part: usize,
    flow: usize,
}

impl ParkedStates {
    /// Returns the number of parked flows.
    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns true if a flow is parked here and its state is not claimed yet.
    pub(crate) fn has_unclaimed_flow(&self, flow: FlowKey) -> bool {
        self.flows
            .get(&flow)
            .and_then(|position| self.states.get(&position.owner))
            .is_some_and(|parked| parked.successor.is_none())
    }

    /// Returns true if a complete state is parked here of which its successor
    /// has not claimed all parts.
    pub(crate) fn has_unclaimed_state(&self) -> bool {
        self.states.values().any(ParkedState::is_unclaimed)
    }

    pub(crate) fn next_deadline(&self) -> Option<Duration> {
        self.states.values().map(|parked| parked.expiry).min()
    }

    pub(crate) fn expire(&mut self, now: Duration) {
        let due: Vec<TargetId> = self
            .states
            .iter()
            .filter(|(_, parked)| parked.expiry <= now)
            .map(|(&owner, _)| owner)
            .collect();
        for owner in due {
            self.remove(owner);
        }
    }

    fn remove(&mut self, owner: TargetId) {
        if let Some(parked) = self.states.remove(&owner) {
            self.bytes -= parked.parts.iter().map(Part::bytes).sum::<usize>();
            self.flows.retain(|_, position| position.owner != owner);
        }
    }

    fn get(&self, flow: FlowKey) -> Option<&crate::park::Flow> {
        let position = self.flows.get(&flow)?;
        let parked = self.states.get(&position.owner)?;
        parked.parts.get(position.part)?.flows.get(position.flow)
    }

    /// Stores the next part of a state, and accepts repeats of earlier parts.
    /// Returns false if the part is out of order, contradicts earlier parts or
    /// exceeds the memory limit.
    fn store(&mut self, part: Part, expiry: Duration, max_bytes: usize) -> bool {
        let owner = part.owner;
        let stored = self.states.get(&owner.target);
        if stored.is_some_and(|parked| parked.owner.incarnation < owner.incarnation) {
            self.remove(owner.target);
        }
        let parked = self
            .states
            .entry(owner.target)
            .or_insert_with(|| ParkedState {
                owner,
                count: part.count,
                received: 0,
                parts: Vec::new(),
                successor: None,
                granted: 0,
                expiry,
            });
        let is_consistent =
            parked.owner == owner && parked.count == part.count && part.index < part.count;
        if !is_consistent || part.index > parked.received {
            return false;
        }
        if part.index < parked.received {
            return true;
        }
        if self.bytes + part.bytes() > max_bytes {
            return false;
        }
        parked.received += 1;
        parked.expiry = expiry;
        self.bytes += part.bytes();
        parked.parts.push(part);
        true
    }

    /// Indexes the flows of a complete state.
    fn index_flows(&mut self, owner: TargetId) {
        let Some(parked) = self.states.get(&owner) else {
            return;
        };
        for (part, stored) in parked.parts.iter().enumerate() {
            for (flow, stored) in stored.flows.iter().enumerate() {
                let position = Position { owner, part, flow };
                self.flows.insert(stored.key, position);
            }
        }
    }

    /// Removes and returns the parts of a complete state. The state stays
    /// listed without its parts, so that repeated parts are recognized.
    fn take_parts(&mut self, owner: TargetId) -> Vec<Part> {
        let Some(parked) = self.states.get_mut(&owner) else {
            return Vec::new();
        };
        let parts = std::mem::take(&mut parked.parts);
        self.bytes -= parts.iter().map(Part::bytes).sum::<usize>();
        parts
    }

    fn grant(&mut self, claim: Claim) -> Grant {
        let Some(parked) = self.states.get_mut(&claim.target) else {
            return Grant::Nothing;
        };
        let is_complete = parked.is_complete();
        let is_successor = claim.incarnation > parked.owner.incarnation
            && parked.successor.is_none_or(|it| it == claim.incarnation);
        let part = usize::try_from(claim.index)
            .ok()
            .and_then(|index| parked.parts.get(index));
        match part {
            Some(part) if is_complete && is_successor => {
                parked.successor = Some(claim.incarnation);
                parked.granted = parked.granted.max(claim.index + 1);
                Grant::Part(part.clone())
            }
            _ => Grant::Nothing,
        }
    }
}

impl Agent {
    pub(crate) fn on_park(&mut self, outbox: &mut Outbox<'_>, call: CallId, part: Part) {
        let owner = part.owner.target;
        let purpose = part.purpose;
        let is_last = part.index + 1 == part.count;
        let is_willing = self.accepts_flows()
            && part.service == self.identity.service
            && owner != self.identity.id;
        let expiry = outbox.now + self.settings.leave.parked_lifetime;
        let max_bytes = self.settings.leave.max_parked_bytes;
        let was_complete = self.is_complete(owner);
        let accepted = is_willing && self.parked.store(part, expiry, max_bytes);
        outbox.push(Action::AnswerPark { call, accepted });
        if !accepted || !is_last || was_complete {
            return;
        }
        match purpose {
            Purpose::Park => {
                self.parked.index_flows(owner);
                self.pin_parked(outbox);
            }
            Purpose::Adopt => {
                let parts = self.parked.take_parts(owner);
                let flows: Vec<FlowKey> = parts.iter().flat_map(Part::keys).collect();
                for part in parts {
                    self.inherit(outbox.now, part);
                }
                self.pin_adopted(outbox, owner, flows);
                self.renewal.restart(outbox.now, self.flows.slots());
            }
        }
    }

    fn is_complete(&self, owner: TargetId) -> bool {
        let parked = self.parked.states.get(&owner);
        parked.is_some_and(ParkedState::is_complete)
    }

    pub(crate) fn on_claim(&mut self, outbox: &mut Outbox<'_>, call: CallId, claim: Claim) {
        let grant = self.parked.grant(claim);
        outbox.push(Action::AnswerClaim { call, grant });
    }

    /// Pins unclaimed parked flows to this agent at their homes.
    pub(crate) fn pin_parked(&mut self, outbox: &mut Outbox<'_>) {
        let mut batches = Batches::new();
        for parked in self.parked.states.values() {
            if parked.received < parked.count || parked.successor.is_some() {
                continue;
            }
            for flow in parked.parts.iter().flat_map(Part::keys) {
                self.batch_without_owner(parked.owner.target, flow, &mut batches);
            }
        }
        self.send_pins(outbox, batches);
    }

    /// Pins adopted flows at the homes that they get once their former holder
    /// has left. Entries may learn of its departure before the agents do.
    fn pin_adopted(&mut self, outbox: &mut Outbox<'_>, owner: TargetId, flows: Vec<FlowKey>) {
        let mut batches = Batches::new();
        for flow in flows {
            let held = self.flows.get(flow);
            if held.is_some_and(|held| held.phase != Phase::Closed) {
                self.batch_without_owner(owner, flow, &mut batches);
            }
        }
        self.send_pins(outbox, batches);
    }

    /// Adds a flow to the batch of its home, chosen as if `owner` had left.
    fn batch_without_owner(&self, owner: TargetId, flow: FlowKey, batches: &mut Batches) {
        let home = self
            .order
            .top(flow, 2)
            .find(|home| home.id != owner)
            .filter(|home| home.id != self.identity.id);
        if let Some(home) = home {
            batches.entry(home.address).or_default().push(flow);
        }
    }

    /// Answers a packet of a parked flow from the record of its request.
    /// Without a record no reply is sent, so that the caller retransmits until
    /// the successor answers.
    pub(crate) fn answer_from_parked(
        &mut self,
        outbox: &mut Outbox<'_>,
        relay: &Relay,
        flow: FlowKey,
        request: RequestId,
    ) {
        let Some(parked) = self.parked.get(flow) else {
            return;
        };
        let record = parked
            .records
            .iter()
            .filter(|_| parked.caller == relay.caller)
            .find(|record| record.request == request);
        match record.map(Record::state) {
            Some(state) => {
                let key = record::Key { flow, request };
                self.send_outcome(outbox, relay::reply_path(relay), key, &state);
            }
            None => self.counters.add(Counter::Unanswered),
        }
    }
}

impl Record {
    /// Returns the record's state as the ledger stores it.
    pub(crate) fn state(&self) -> State {
        match &self.outcome {
            Outcome::Answered(bytes) => match Answer::new(bytes.clone()) {
                Some(answer) => State::Done(answer),
                None => State::Unknown(refusal(Reason::TooLarge)),
            },
            Outcome::NotRun(reason) => State::NotRun(refusal(decode_reason(*reason))),
            Outcome::Unknown(reason) => State::Unknown(refusal(decode_reason(*reason))),
        }
    }
}

fn decode_reason(reason: i32) -> Reason {
    Reason::try_from(reason).unwrap_or(Reason::HolderAway)
}

const fn refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after: Duration::ZERO,
    }
}
