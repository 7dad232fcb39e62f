//! Splits an agent's state into parts of bounded size for the transfer to a
//! peer.
use std::collections::BTreeMap;
use std::time::Duration;

use flow::State;
use flow::record::Record;
use flow::seen::Seen;
use flow::table::Phase;
use wire::FlowKey;
use wire::caller::Reason;

use crate::Agent;
use crate::park;
use crate::park::Outcome;
use crate::park::Part;
use crate::park::Purpose;

/// Records by flow.
type Records = BTreeMap<FlowKey, Vec<park::Record>>;

impl Agent {
    /// Returns the whole state: a first part without flows, then the flows. A
    /// part exceeds the size limit only if the records of a single flow do.
    pub(crate) fn parts(&self, now: Duration, purpose: Purpose) -> Vec<Part> {
        let mut records = self.park_records(now);
        let mut groups = vec![Vec::new()];
        let mut size = usize::MAX;
        for held in self.flows.iter() {
            let flow = self.park_flow(held, &mut records);
            if size.saturating_add(flow.bytes()) > self.settings.leave.max_part_bytes {
                groups.push(Vec::new());
                size = 0;
            }
            size += flow.bytes();
            if let Some(group) = groups.last_mut() {
                group.push(flow);
            }
        }
        let count = u32::try_from(groups.len()).unwrap_or(u32::MAX);
        (0..)
            .zip(groups)
            .map(|(index, flows)| Part {
                owner: self.token,
                service: self.identity.service,
                purpose,
                index,
                count,
                flows,
            })
            .collect()
    }

    fn park_flow(&self, held: &flow::Flow, records: &mut Records) -> park::Flow {
        let seen = self.ledger.seen(held.key);
        park::Flow {
            key: held.key,
            token: held.token,
            caller: held.caller,
            closed: held.phase == Phase::Closed,
            floor: seen.map_or(0, Seen::floor),
            seen: seen.map(|seen| seen.ids().collect()).unwrap_or_default(),
            records: records.remove(&held.key).unwrap_or_default(),
        }
    }

    /// Returns all records by flow. Answers that are too large to hand over
    /// become unknown outcomes: those of one flow beyond the size of a part,
    /// and those of all flows beyond a share of the memory that a peer has for
    /// parked state.
    fn park_records(&self, now: Duration) -> Records {
        let mut records = Records::new();
        for entry in self.ledger.iter() {
            let record = park_record(now, entry.key.request, entry.record);
            records.entry(entry.key.flow).or_default().push(record);
        }
        let limits = self.settings.leave;
        let mut left = limits.max_parked_bytes / ANSWERS_DIVISOR;
        for records in records.values_mut() {
            records.sort_by_key(|record| record.request);
            let mut left_of_part = limits.max_part_bytes;
            // Callers are most likely to request the latest answers again.
            for record in records.iter_mut().rev() {
                record.limit_answer(left.min(left_of_part));
                left -= record.answer_bytes();
                left_of_part -= record.answer_bytes();
            }
        }
        records
    }
}

/// Divisor of a peer's memory for parked state; the quotient limits the answers
/// of one agent.
const ANSWERS_DIVISOR: usize = 4;

fn park_record(now: Duration, request: wire::RequestId, record: &Record) -> park::Record {
    let outcome = match &record.state {
        State::Done(answer) => Outcome::Answered(answer.bytes().clone()),
        State::NotRun(refusal) => Outcome::NotRun(refusal.reason.into()),
        State::Unknown(refusal) => Outcome::Unknown(refusal.reason.into()),
        State::Recorded | State::Queued | State::Running => {
            Outcome::Unknown(Reason::HolderAway.into())
        }
    };
    park::Record {
        request,
        idempotent: record.idempotent,
        remaining: record.deadline.saturating_sub(now),
        outcome,
    }
}

impl park::Record {
    /// Replaces an answer larger than `bytes` by an unknown outcome.
    fn limit_answer(&mut self, bytes: usize) {
        if self.answer_bytes() > bytes {
            self.outcome = Outcome::Unknown(Reason::TableFull.into());
        }
    }

    fn answer_bytes(&self) -> usize {
        match &self.outcome {
            Outcome::Answered(bytes) => bytes.len(),
            Outcome::NotRun(_) | Outcome::Unknown(_) => 0,
        }
    }
}
