//! Settings of a feed.
use std::time::Duration;

use limit::backoff;

/// Settings of a feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest wait of one long poll. Bounds the delay of a missed event.
    pub wait: Duration,
    /// Longest time before the first read, jittered.
    pub spread: Duration,
    /// Time between reads of everything; jittered.
    pub relist: Duration,
    /// Pauses after calls that failed or brought nothing.
    pub backoff: backoff::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(4),
            spread: Duration::from_millis(500),
            relist: Duration::from_mins(30),
            backoff: backoff::Settings {
                base: Duration::from_millis(200),
                max: Duration::from_secs(5),
            },
        }
    }
}
