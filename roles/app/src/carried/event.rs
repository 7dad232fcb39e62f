//! Logs the decisions on carried flows, each kind at a bounded rate.
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use log::Level;
use wire::FlowId;

use crate::event::Event;

/// Lines a second of one kind of event.
const RATE: f64 = 20.0;

/// Lines of one kind that may come at once.
const BURST: f64 = 60.0;

/// How many times as many warnings may come.
const WARNINGS: f64 = 3.0;

/// Time between two lines that tell how many were dropped.
const SUMMARY: Duration = Duration::from_secs(10);

/// Logs events, each kind at a bounded rate.
#[derive(Debug, Default)]
pub struct Journal {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    buckets: HashMap<u16, Bucket>,
    dropped: u64,
    summary: Duration,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled: Duration,
}

impl Journal {
    /// Logs an event unless its kind has had its share.
    pub fn log(&self, now: Duration, event: &Event) {
        let dropped = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            if !state.allows(now, event) {
                state.dropped += 1;
                return;
            }
            state.summary(now)
        };
        event.log();
        if let Some(lines) = dropped {
            Event::Unlogged { lines }.log();
        }
    }
}

impl State {
    fn allows(&mut self, now: Duration, event: &Event) -> bool {
        let times = match event.level() {
            Level::Error | Level::Warn => WARNINGS,
            Level::Info | Level::Debug | Level::Trace => 1.0,
        };
        let bucket = self.buckets.entry(event.number()).or_insert(Bucket {
            tokens: BURST * times,
            filled: now,
        });
        let passed = now.saturating_sub(bucket.filled).as_secs_f64();
        bucket.filled = now;
        bucket.tokens = (bucket.tokens + passed * RATE * times).min(BURST * times);
        let allows = bucket.tokens >= 1.0;
        if allows {
            bucket.tokens -= 1.0;
        }
        allows
    }

    fn summary(&mut self, now: Duration) -> Option<u64> {
        if self.dropped == 0 || now < self.summary {
            return None;
        }
        self.summary = now + SUMMARY;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// A flow in the log: caller, arrow, service address.
#[must_use]
pub fn flow(flow: &FlowId) -> String {
    format!("{}>{}", flow.caller, flow.service)
}
