//! Remembers for a moment which other backend servers had room for new work.
//!
//! A caller that is refused tries again elsewhere, but has few attempts. Refusing its
//! work early is of use only where another backend server can take it: while all
//! are full, as after a restart of everything, callers would lose all their attempts
//! within milliseconds.
use std::collections::HashMap;
use std::time::Duration;

use wire::Priority;
use wire::TargetId;

/// Age up to which an observation counts. A backend server with two slots and a
/// service time of 25 ms answers eight requests in this time.
const MAX_AGE: Duration = Duration::from_millis(100);

/// Latest observations of other backend servers.
///
/// ```
/// use std::time::Duration;
/// use limit::Vacancy;
///
/// let at = Duration::from_millis;
/// let mut vacancy = Vacancy::default();
/// vacancy.record(at(0), 7, 1, Some(at(30)));
/// assert!(vacancy.has_sooner(at(50), 1, at(40)));
/// assert!(!vacancy.has_sooner(at(50), 2, at(40)), "only less urgent work is refused there");
/// assert!(!vacancy.has_sooner(at(50), 1, at(20)));
/// assert!(!vacancy.has_sooner(at(200), 1, at(40)));
/// ```
#[derive(Debug, Default)]
pub struct Vacancy {
    observations: HashMap<TargetId, Observation>,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Duration,
    priority: Priority,
    /// Expected wait of work of this priority; `None` if there was no room for it.
    wait: Option<Duration>,
}

impl Vacancy {
    /// Records the expected wait of work of a class at a backend server, or `None` if
    /// there was no room for it.
    pub fn record(
        &mut self,
        now: Duration,
        target: TargetId,
        priority: Priority,
        wait: Option<Duration>,
    ) {
        let observation = Observation {
            at: now,
            priority,
            wait,
        };
        self.observations.insert(target, observation);
    }

    /// Returns true if another backend server lately had room for work of a class, with
    /// a shorter wait.
    #[must_use]
    pub fn has_sooner(&self, now: Duration, priority: Priority, wait: Duration) -> bool {
        self.observations.values().any(|observation| {
            let is_recent = now < observation.at + MAX_AGE;
            // Room for less urgent work is room for urgent work, but not the reverse.
            let is_for_class = observation.priority >= priority;
            is_recent && is_for_class && observation.wait.is_some_and(|other| other < wait)
        })
    }

    /// Removes the observations that no longer count.
    pub fn expire(&mut self, now: Duration) {
        self.observations
            .retain(|_, observation| now < observation.at + MAX_AGE);
    }
}
