//! Announcements of a backend server.
use std::time::Duration;

use wire::ServiceAddress;
use wire::TargetId;

/// Start time of a backend server in milliseconds since the Unix epoch, by the
/// server's own clock. Orders successive servers at one address.
pub type Start = u64;

/// Announcement of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the backend server.
    pub name: String,
    /// Address of the service that it serves.
    pub service: ServiceAddress,
    /// Id of the backend server within the system.
    pub target: TargetId,
    /// Start time by its own clock.
    pub start: Start,
    /// Time since its start by its own clock and the clock of this host; `None` if
    /// the clocks differ too much to tell.
    pub age: Option<Duration>,
    /// Sequence number, incremented with each announcement since the start.
    pub sequence: u64,
    /// Number of requests that it runs concurrently.
    pub slots: u16,
    /// Whether it accepts new flows.
    pub state: State,
    /// Remaining time for which it is slow after its start.
    pub warm_up: Duration,
}

/// Whether a backend server accepts new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Accepts new flows.
    Ready,
    /// Accepts no new flows but serves the existing ones.
    Draining,
    /// Terminated.
    Gone,
}

/// Largest difference between the clocks of a host and of a backend server, which may
/// both jump by seconds.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_hours(1);

/// Shortest mean interval between two announcements of a backend server.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// Tells the announcements of a backend server from those of another writer.
#[derive(Debug, Default)]
pub struct Filter {
    /// Last announcement whose sequence number was too large for the age that it states,
    /// and its time of arrival.
    numbered_high: Option<(Duration, Announcement)>,
}

impl Filter {
    /// Returns true if a backend server can have made an announcement that arrives `now`,
    /// at a time since the Unix epoch. Servers may number theirs from any number: one with
    /// a large number is taken once it follows another.
    pub fn accept(&mut self, now: Duration, unix_time: Duration, stated: &Announcement) -> bool {
        if stated.is_plausible(unix_time) {
            return true;
        }
        if !stated.has_plausible_start(unix_time) {
            return false;
        }
        let previous = self.numbered_high.replace((now, stated.clone()));
        previous.is_some_and(|(at, previous)| stated.follows(&previous, now.saturating_sub(at)))
    }
}

impl Announcement {
    /// Returns true if a backend server that numbers its announcements from a small number
    /// can have made this one, given the time since the Unix epoch. One of another writer
    /// with a start or a sequence number that is too large would make all that the server
    /// announces later count as older.
    #[must_use]
    pub fn is_plausible(&self, now: Duration) -> bool {
        let start = Duration::from_millis(self.start);
        let latest = now.saturating_add(MAX_CLOCK_DIFFERENCE);
        let longest = latest.saturating_sub(start).as_millis();
        let is_possible = u128::from(self.sequence) <= longest / MIN_INTERVAL.as_millis();
        self.has_plausible_start(now) && is_possible
    }

    /// Returns true if a backend server can have started then, given the time since the
    /// Unix epoch.
    fn has_plausible_start(&self, now: Duration) -> bool {
        Duration::from_millis(self.start) <= now.saturating_add(MAX_CLOCK_DIFFERENCE)
    }

    /// Returns true if a server can have made this announcement within `elapsed` after
    /// the `previous` one.
    fn follows(&self, previous: &Self, elapsed: Duration) -> bool {
        let is_same_server = (&self.name, self.start) == (&previous.name, previous.start);
        let most = elapsed.as_millis() / MIN_INTERVAL.as_millis() + 1;
        let step = self.sequence.checked_sub(previous.sequence);
        is_same_server && step.is_some_and(|step| step > 0 && u128::from(step) <= most)
    }

    /// Returns true if the deregistration of a server with this name, and this start where
    /// it is stated, is about the server that made this announcement. It may be that of an
    /// earlier server with the same name, which a cut has delayed.
    #[must_use]
    pub fn is_ended_by(&self, name: &str, start: Option<Start>) -> bool {
        self.name == name && start.is_none_or(|start| start >= self.start)
    }

    /// Returns true if this announcement was made before `other`. The end of a
    /// server follows all its announcements.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        let is_same_server = (&self.name, self.start) == (&other.name, other.start);
        let has_ended = is_same_server && other.state == State::Gone;
        has_ended || (self.start, self.sequence) < (other.start, other.sequence)
    }
}
