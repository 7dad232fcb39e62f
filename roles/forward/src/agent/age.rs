//! Bounds of the age of a backend server, from the first announcement that its agent
//! received.
use std::time::Duration;

use super::Announcement;

/// Sequence number of the announcement that a server sends at its start.
const FIRST_SEQUENCE: u64 = 1;

/// Maximum number of announcements that a backend server has made when the first is
/// answered, for that to be certain: it repeats a call that fails, but not that often.
const MAX_UNANSWERED_ANNOUNCEMENTS: u64 = 6;

/// Share of the longest announcement interval below which no interval lies: a backend
/// server whose announcement was answered makes the next one after this time at least.
const MIN_INTERVAL_SHARE: f64 = 0.4;

/// Share of the longest announcement interval within which a backend server repeats an
/// announcement that was not answered.
const REPEAT_SHARE: f64 = 0.25;

/// Share of the longest announcement interval within which announcements that follow
/// each other so soon were probably not answered.
const UNANSWERED_SHARE: f64 = 0.8;

/// Age of one incarnation of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Age {
    /// Time of the first announcement.
    announced_at: Duration,
    /// Upper bound of the age at that time.
    max: Duration,
    /// The longest of all estimates of that age. Holds even if the server was suspended
    /// between two announcements, or its clock was set back.
    longest: Duration,
    /// Whether no earlier announcement can have been answered: the next one would have
    /// followed an interval later.
    pub is_first_answered: bool,
    /// Whether earlier announcements were probably not answered. No proof, as the
    /// intervals of servers vary.
    pub is_probably_first_answered: bool,
}

impl Age {
    /// Creates the age of a server that makes an announcement in each `interval` at
    /// least.
    pub fn new(now: Duration, interval: Duration, announcement: &Announcement) -> Self {
        // The first announcement is sent at the start, so each later one adds at most
        // one interval to the age. A server whose calls fail repeats them sooner, which
        // its clock shows.
        let later_announcements = announcement.sequence.saturating_sub(FIRST_SEQUENCE);
        let later_announcements = u32::try_from(later_announcements).unwrap_or(u32::MAX);
        let by_sequence = interval.saturating_mul(later_announcements);
        let by_clock = announcement.age;
        let is_repeated_rarely = announcement.sequence <= MAX_UNANSWERED_ANNOUNCEMENTS;
        let is_within =
            |limit: Duration| is_repeated_rarely && by_clock.is_some_and(|age| age < limit);
        let is_first_answered = announcement.sequence == FIRST_SEQUENCE
            || is_within(interval.mul_f64(MIN_INTERVAL_SHARE));
        let repeats = interval
            .mul_f64(REPEAT_SHARE)
            .saturating_mul(later_announcements);
        let limit = repeats.min(interval.mul_f64(UNANSWERED_SHARE));
        Self {
            announced_at: now,
            max: by_clock.map_or(by_sequence, |age| age.min(by_sequence)),
            longest: by_clock.unwrap_or_default().max(by_sequence),
            is_first_answered,
            is_probably_first_answered: is_first_answered || is_within(limit),
        }
    }

    /// Returns an upper bound of the time for which the server has been running.
    pub fn max(&self, now: Duration) -> Duration {
        self.max + now.saturating_sub(self.announced_at)
    }

    /// Returns the longest time for which the server can have been running by any
    /// estimate.
    pub fn longest(&self, now: Duration) -> Duration {
        self.longest + now.saturating_sub(self.announced_at)
    }
}
