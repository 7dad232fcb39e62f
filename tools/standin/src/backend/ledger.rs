//! Record of the requests that a backend server ran, to compare with the
//! outcomes that callers received.
use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Record of the requests that one backend server ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Name of the service.
    pub service: String,
    /// Number of requests that the backend server runs concurrently.
    pub slots: u32,
    /// Time during which slots were busy, summed over the slots, in
    /// milliseconds.
    pub busy_ms: u64,
    /// Number of requests that were refused without being run.
    pub shed: u64,
    /// Requests that were run, by the caller's name of each.
    pub runs: BTreeMap<String, Run>,
}

/// Runs of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Whether the request was marked idempotent.
    pub idempotent: bool,
    /// Number of times that it started to run.
    pub begun: u32,
    /// Number of times that it ran to its end.
    pub finished: u32,
    /// Number of times that it was cancelled because its connection closed.
    pub cancelled: u32,
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(service: String, slots: u32) -> Self {
        Self {
            service,
            slots,
            ..Self::default()
        }
    }

    /// Records that a request starts to run.
    pub fn begin(&mut self, request: &str, idempotent: bool) {
        let run = self.runs.entry(request.into()).or_default();
        run.idempotent = idempotent;
        run.begun += 1;
    }

    /// Records that a request ran to its end.
    pub fn finish(&mut self, request: &str) {
        if let Some(run) = self.runs.get_mut(request) {
            run.finished += 1;
        }
    }

    /// Records that a running request was cancelled.
    pub fn cancel(&mut self, request: &str) {
        if let Some(run) = self.runs.get_mut(request) {
            run.cancelled += 1;
        }
    }
}
