//! Counts what the simulated processes send, and the flows in each state.
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use wire::FlowId;
use wire::Transit;

use super::Simulation;
use crate::fixtures::ms;

/// Frames, probes and resets, with the time of the last.
#[derive(Default)]
pub struct Count {
    /// Frames of searches and lookups of any kind, and of the answers to them.
    pub search_frames: u64,
    /// Frames about batches only.
    pub batch_frames: u64,
    /// Time of the last search or lookup.
    pub last_search: Duration,
    pub probes: u64,
    pub last_probe: Duration,
    /// Time of the first answer on each flow.
    pub first_answers: HashMap<FlowId, Duration>,
    /// Time of each reset that a caller received.
    pub resets: Vec<Duration>,
}

impl Count {
    pub fn record_frame(&mut self, now: Duration, transit: &Transit) {
        let is_question = matches!(
            transit,
            Transit::Search(_)
                | Transit::Lookup(_)
                | Transit::SearchBatch(_)
                | Transit::LookupBatch(_)
                | Transit::Probes(_)
        );
        let is_batch = matches!(
            transit,
            Transit::SearchBatch(_)
                | Transit::LookupBatch(_)
                | Transit::Answer(_)
                | Transit::Report(_)
        );
        let is_answer = matches!(transit, Transit::NotHeld(_) | Transit::HolderAbsent(_));
        self.batch_frames += u64::from(is_batch);
        self.search_frames += u64::from(is_question || is_batch || is_answer);
        if is_question {
            self.last_search = now;
        }
    }

    pub fn record_probe(&mut self, now: Duration) {
        self.probes += 1;
        self.last_probe = now;
    }

    pub fn record_reset(&mut self, now: Duration) {
        self.resets.push(now);
    }
}

impl Simulation {
    /// Returns the number of flows with an unanswered request.
    pub fn unanswered_count(&self) -> usize {
        self.unanswered().len()
    }

    /// Returns the number of flows with a request that stays unanswered for 100 ms, five
    /// times the time to an answer. Requests on their way do not count: callers whose flows
    /// were reset together send their requests together, up to 137 of 1,000 at once.
    pub fn count_stuck(&mut self) -> usize {
        let before = self.unanswered();
        self.run_until(self.now + ms(100));
        let now = self.unanswered();
        before
            .iter()
            .filter(|request| now.contains(request))
            .count()
    }

    /// Returns the flows with an unanswered request, and the number of that request.
    fn unanswered(&self) -> HashSet<(FlowId, u32)> {
        let callers = self.callers.iter();
        callers
            .filter(|(_, caller)| caller.answered_requests < caller.sent_requests)
            .map(|(flow, caller)| (*flow, caller.sent_requests))
            .collect()
    }

    /// Returns the number of callers whose flow a server holds.
    pub fn held_count(&self) -> usize {
        let flows = self.callers.keys();
        let is_held = |flow: &&FlowId| self.servers.values().any(|held| held.contains(*flow));
        flows.filter(is_held).count()
    }

    pub fn open_count(&self) -> usize {
        self.callers
            .values()
            .filter(|caller| caller.is_open)
            .count()
    }
}
