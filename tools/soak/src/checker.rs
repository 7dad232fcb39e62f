//! Checks what callers and backend servers observe against the invariants.
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use wire::FlowId;

use crate::request::TaskId;

/// Consecutive packets of an open flow that have to reach other backend servers
/// before the flow may count as misrouted.
const MIN_MISROUTED: u32 = 3;

/// An invariant that holds throughout a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A caller gets only what its backend server wrote.
    Genuine,
    /// A backend server gets only what callers wrote.
    Unasked,
    /// A flow opens only at a service that some configuration has routed its
    /// address to.
    Service,
    /// A configuration is in force within the time allowed.
    Applied,
    /// A backend server gets no new flows once the time allowed for draining is
    /// over.
    Drained,
    /// A backend server gets no new flows once the time allowed for the evacuation
    /// of its zone is over.
    Evacuated,
    /// A request that is not idempotent runs at most once.
    Once,
    /// An attempt whose flow never opened, such as a refused one, does not run.
    Refused,
    /// An open flow is not reset while its backend server runs.
    Unbroken,
    /// The packets of an open flow reach its backend server.
    Straight,
    /// A process stops in time when asked to, does not exit otherwise, and does
    /// not panic.
    Process,
    /// Service recovers after the last disturbance.
    Recovered,
}

/// A violation of an invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Invariant that was violated.
    pub invariant: Invariant,
    /// Time since the start of the run.
    pub at: Duration,
    /// Description of what was observed.
    pub text: String,
}

/// An open flow, and the start of the backend server that holds it.
#[derive(Debug)]
struct Flow {
    server: usize,
    start: u32,
    misrouted: u32,
    misrouted_since: Option<Duration>,
}

/// Observations of a run so far.
#[derive(Debug, Default)]
pub struct Checker {
    /// Violations, in the order of their detection.
    pub violations: Vec<Violation>,
    /// Counters of events, by name.
    pub counts: BTreeMap<&'static str, u64>,
    open_flows: HashMap<FlowId, Flow>,
    runs: HashMap<TaskId, Vec<u32>>,
    unopened: HashMap<(TaskId, u32), &'static str>,
}

impl Checker {
    /// Records a violation of an invariant.
    pub fn record_violation(&mut self, invariant: Invariant, at: Duration, text: String) {
        self.count("violations");
        self.violations.push(Violation {
            invariant,
            at,
            text,
        });
    }

    /// Adds one to a counter.
    pub fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Returns the value of a counter.
    #[must_use]
    pub fn total(&self, name: &str) -> u64 {
        self.counts.get(name).copied().unwrap_or_default()
    }

    /// Records that a flow is open at one start of a backend server.
    pub fn record_open(&mut self, flow: FlowId, server: usize, start: u32) {
        self.open_flows.insert(
            flow,
            Flow {
                server,
                start,
                misrouted: 0,
                misrouted_since: None,
            },
        );
    }

    /// Records that the caller of a flow no longer holds it open.
    pub fn record_close(&mut self, flow: &FlowId) {
        self.open_flows.remove(flow);
    }

    /// Records that a backend server no longer holds a flow. It may only have accepted a
    /// copy of its opening packet, while another one holds it open.
    pub fn record_server_close(&mut self, flow: &FlowId, server: usize) {
        if self
            .holder(flow)
            .is_some_and(|(holder, _)| holder == server)
        {
            self.record_close(flow);
        }
    }

    /// Returns the backend server that holds an open flow, and the number of
    /// its start.
    #[must_use]
    pub fn holder(&self, flow: &FlowId) -> Option<(usize, u32)> {
        let held = self.open_flows.get(flow)?;
        Some((held.server, held.start))
    }

    /// Records that a packet of a flow reached a backend server. Returns true
    /// if at least `MIN_MISROUTED` packets in a row, over at least `limit`,
    /// reached others than the one that holds the flow.
    pub fn record_arrival(
        &mut self,
        now: Duration,
        flow: &FlowId,
        server: usize,
        limit: Duration,
    ) -> bool {
        let Some(held) = self.open_flows.get_mut(flow) else {
            return false;
        };
        if held.server == server {
            held.misrouted = 0;
            held.misrouted_since = None;
            return false;
        }
        held.misrouted += 1;
        let since = *held.misrouted_since.get_or_insert(now);
        held.misrouted >= MIN_MISROUTED && now >= since + limit
    }

    /// Records that an attempt ended before its flow opened, so that it must
    /// not run.
    pub fn record_unopened(
        &mut self,
        now: Duration,
        task: TaskId,
        attempt: u32,
        reason: &'static str,
    ) {
        self.unopened.insert((task, attempt), reason);
        if self
            .runs
            .get(&task)
            .is_some_and(|runs| runs.contains(&attempt))
        {
            self.record_violation(
                Invariant::Refused,
                now,
                format!("task {task:x} ran, although {reason}"),
            );
        }
    }

    /// Records that a backend server began to run an attempt of a task.
    pub fn record_run(&mut self, now: Duration, task: TaskId, attempt: u32, is_idempotent: bool) {
        let runs = self.runs.entry(task).or_default();
        runs.push(attempt);
        let (count, list) = (runs.len(), format!("{runs:?}"));
        if count > 1 && !is_idempotent {
            let text = format!(
                "task {task:x} is not idempotent but ran {count} times, as attempts {list}"
            );
            self.record_violation(Invariant::Once, now, text);
        }
        if let Some(reason) = self.unopened.get(&(task, attempt)) {
            let text = format!("task {task:x} ran, although {reason}");
            self.record_violation(Invariant::Refused, now, text);
        }
    }
}
