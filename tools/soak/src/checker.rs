//! Holds what callers and backend servers see against the promises.
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use wire::FlowId;

use crate::request::TaskId;

/// Packets of a flow at other backend servers that may be misrouted.
const MIN_MISROUTED: u32 = 3;

/// A invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A caller gets only what its backend server wrote.
    Genuine,
    /// A backend server gets only what callers wrote.
    Unasked,
    /// A flow ends at a service that its address leads to.
    Service,
    /// Configurations are in force in time.
    Applied,
    /// A backend server that drains gets no new flows.
    Drained,
    /// A request that cannot be repeated runs once.
    Once,
    /// What was refused has not run.
    Refused,
    /// An open flow is not reset.
    Unbroken,
    /// The packets of an open flow reach its backend server.
    Straight,
    /// Processes stop in time, and only when asked.
    Process,
    /// Service comes back.
    Recovered,
}

/// A invariant that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// Time since the start of the run.
    pub at: Duration,
    /// What was seen.
    pub text: String,
}

/// An open flow.
#[derive(Debug)]
struct Flow {
    server: usize,
    start: u32,
    misrouted: u32,
    misrouted_since: Option<Duration>,
}

/// What was seen so far.
#[derive(Debug, Default)]
pub struct Checker {
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// What happened, by name.
    pub counts: BTreeMap<&'static str, u64>,
    open_flows: HashMap<FlowId, Flow>,
    runs: HashMap<TaskId, Vec<u32>>,
    unopened: HashMap<(TaskId, u32), &'static str>,
}

impl Checker {
    /// Notes that a invariant was broken.
    pub fn record_violation(&mut self, invariant: Invariant, at: Duration, text: String) {
        self.count("violations");
        self.violations.push(Violation {
            invariant,
            at,
            text,
        });
    }

    /// Counts something.
    pub fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// How often something was counted.
    #[must_use]
    pub fn total(&self, name: &str) -> u64 {
        self.counts.get(name).copied().unwrap_or_default()
    }

    /// Notes that a flow is open at a backend server's start.
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

    /// Notes that a flow is over for either end.
    pub fn record_close(&mut self, flow: &FlowId) {
        self.open_flows.remove(flow);
    }

    /// The backend server and its start that hold a flow.
    #[must_use]
    pub fn holder(&self, flow: &FlowId) -> Option<(usize, u32)> {
        let open = self.open_flows.get(flow)?;
        Some((open.server, open.start))
    }

    /// Notes that a packet of a flow reached a backend server; true where too
    /// many went to others for too long.
    pub fn record_arrival(
        &mut self,
        now: Duration,
        flow: &FlowId,
        server: usize,
        limit: Duration,
    ) -> bool {
        let Some(open) = self.open_flows.get_mut(flow) else {
            return false;
        };
        if open.server == server {
            open.misrouted = 0;
            open.misrouted_since = None;
            return false;
        }
        open.misrouted += 1;
        let since = *open.misrouted_since.get_or_insert(now);
        open.misrouted >= MIN_MISROUTED && now >= since + limit
    }

    /// Notes that an attempt ended before its flow opened, so that it cannot
    /// have run.
    pub fn record_unopened(
        &mut self,
        now: Duration,
        task: TaskId,
        attempt: u32,
        how: &'static str,
    ) {
        self.unopened.insert((task, attempt), how);
        if self
            .runs
            .get(&task)
            .is_some_and(|runs| runs.contains(&attempt))
        {
            self.record_violation(
                Invariant::Refused,
                now,
                format!("{task:x} ran, though {how}"),
            );
        }
    }

    /// Notes that a backend server began to work on a request.
    pub fn record_run(&mut self, now: Duration, task: TaskId, attempt: u32, is_idempotent: bool) {
        let runs = self.runs.entry(task).or_default();
        runs.push(attempt);
        let (count, list) = (runs.len(), format!("{runs:?}"));
        if count > 1 && !is_idempotent {
            let text = format!("{task:x} ran {count} times, as attempts {list}");
            self.record_violation(Invariant::Once, now, text);
        }
        if let Some(how) = self.unopened.get(&(task, attempt)) {
            let text = format!("{task:x} ran, though {how}");
            self.record_violation(Invariant::Refused, now, text);
        }
    }
}
