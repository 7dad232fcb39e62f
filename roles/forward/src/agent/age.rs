//! Bounds of the age of a backend server, from the first announcement that its agent
//! received.
use std::time::Duration;

use super::Announcement;

/// Maximum number of announcements that a backend server has made when the first is
/// answered, for that to be probable: it repeats a call that fails, but not that often.
const MAX_UNANSWERED_ANNOUNCEMENTS: u64 = 6;

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
    /// Whether earlier announcements were probably not answered. No proof, as the
    /// intervals and first sequence numbers of servers vary.
    pub is_probably_first_answered: bool,
}

impl Age {
    /// Creates the age of a server that makes an announcement in each `interval` at
    /// least.
    pub fn new(now: Duration, interval: Duration, announcement: &Announcement) -> Self {
        // Servers may number their announcements from any number, so there were as many
        // as that at most. The first may follow an interval after the start.
        let announcements = announcement.sequence.saturating_add(1);
        let announcements = u32::try_from(announcements).unwrap_or(u32::MAX);
        let by_sequence = interval.saturating_mul(announcements);
        let by_clock = announcement.age;
        let is_repeated_rarely = announcement.sequence <= MAX_UNANSWERED_ANNOUNCEMENTS;
        let repeats = interval.mul_f64(REPEAT_SHARE).saturating_mul(announcements);
        let limit = repeats.min(interval.mul_f64(UNANSWERED_SHARE));
        Self {
            announced_at: now,
            max: by_clock.map_or(by_sequence, |age| age.min(by_sequence)),
            longest: by_clock.unwrap_or_default().max(by_sequence),
            is_probably_first_answered: is_repeated_rarely
                && by_clock.is_some_and(|age| age < limit),
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
