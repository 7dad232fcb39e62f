//! Records what a backend server ran, so that a test can hold it against what
//! callers were told.
use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Everything that one backend server ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Name of the service.
    pub service: String,
    /// Requests that the backend server runs at a time.
    pub slots: u32,
    /// Time during which slots were busy, summed over the slots, in
    /// milliseconds.
    pub busy_ms: u64,
    /// Requests that were shed without being run.
    pub shed: u64,
    /// The requests that were run, by the name that the caller gave each.
    pub runs: BTreeMap<String, Run>,
}

/// What happened to one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Whether the request was marked idempotent.
    pub idempotent: bool,
    /// Times that it was begun.
    pub begun: u32,
    /// Times that it ran to its end.
    pub finished: u32,
    /// Times that it was stopped because its connection closed.
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

    /// Notes that a request starts to run.
    pub fn begin(&mut self, request: &str, idempotent: bool) {
        let run = self.runs.entry(request.into()).or_default();
        run.idempotent = idempotent;
        run.begun += 1;
    }

    /// Notes that a request ran to its end.
    pub fn finish(&mut self, request: &str) {
        if let Some(run) = self.runs.get_mut(request) {
            run.finished += 1;
        }
    }

    /// Notes that a running request was stopped.
    pub fn cancel(&mut self, request: &str) {
        if let Some(run) = self.runs.get_mut(request) {
            run.cancelled += 1;
        }
    }
}
