//! Counts what the simulated processes send.
use std::collections::HashMap;
use std::time::Duration;

use wire::FlowId;
use wire::Transit;

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
