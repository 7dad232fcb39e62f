//! Rate-limited logging of decisions on forwarded flows.
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use log::Level;
use wire::FlowId;
use wire::Priority;

use crate::event::Event;

/// Sustained rate of log lines per second for one kind of event.
const LINES_PER_SECOND: f64 = 20.0;

/// Log lines of one kind of event that may come in a burst.
const BURST_LINES: f64 = 60.0;

/// Factor by which warnings and errors exceed the rate and the burst.
const WARNING_FACTOR: f64 = 3.0;

/// Shortest time between two summaries of suppressed lines.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// Log of events with a token bucket for each kind.
#[derive(Debug, Default)]
pub struct Limiter {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    buckets: HashMap<u16, Bucket>,
    dropped: u64,
    next_summary: Duration,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled: Duration,
}

impl Limiter {
    /// Logs an event unless its kind has exceeded its rate, and logs a summary of
    /// suppressed lines if one is due.
    pub fn log(&self, now: Duration, event: &Event) {
        let dropped = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            if !state.allows(now, event) {
                state.dropped += 1;
                return;
            }
            state.take_dropped(now)
        };
        event.log();
        if let Some(lines) = dropped {
            Event::Unlogged { lines }.log();
        }
    }
}

impl State {
    /// Takes a token for an event. Returns false if its bucket is empty.
    fn allows(&mut self, now: Duration, event: &Event) -> bool {
        let factor = match event.level() {
            Level::Error | Level::Warn => WARNING_FACTOR,
            Level::Info | Level::Debug | Level::Trace => 1.0,
        };
        let bucket = self.buckets.entry(event.number()).or_insert(Bucket {
            tokens: BURST_LINES * factor,
            refilled: now,
        });
        let elapsed = now.saturating_sub(bucket.refilled).as_secs_f64();
        bucket.refilled = now;
        bucket.tokens =
            (bucket.tokens + elapsed * LINES_PER_SECOND * factor).min(BURST_LINES * factor);
        let allows = bucket.tokens >= 1.0;
        if allows {
            bucket.tokens -= 1.0;
        }
        allows
    }

    /// Returns the number of suppressed lines and resets it, if a summary is due.
    fn take_dropped(&mut self, now: Duration) -> Option<u64> {
        if self.dropped == 0 || now < self.next_summary {
            return None;
        }
        self.next_summary = now + SUMMARY_INTERVAL;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Returns the name of a flow for the log: `CALLER>SERVICE`.
#[must_use]
pub fn flow_name(flow: &FlowId) -> String {
    format!("{}>{}", flow.caller, flow.service)
}

/// Returns a priority as the reason of a counter.
#[must_use]
pub const fn priority_name(priority: Priority) -> &'static str {
    match priority {
        0 => "0",
        1 => "1",
        2 => "2",
        3 => "3",
        4 => "4",
        5 => "5",
        6 => "6",
        7 => "7",
        _ => "other",
    }
}
