//! Settings of a feed.
use std::time::Duration;

use limit::backoff;

/// Settings of a feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum duration of one long poll. Bounds the delay after a missed event.
    pub wait: Duration,
    /// Upper bound of the random delay before the first list.
    pub start_jitter: Duration,
    /// Maximum time between lists of all services; jitter shortens it by up to
    /// half.
    pub relist_interval: Duration,
    /// Backoff after calls that failed or returned nothing newer.
    pub backoff: backoff::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(4),
            start_jitter: Duration::from_millis(500),
            relist_interval: Duration::from_mins(30),
            backoff: backoff::Settings {
                base: Duration::from_millis(200),
                max: Duration::from_secs(5),
            },
        }
    }
}
