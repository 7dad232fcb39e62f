//! Divides a backend server among classes of new work while there is too much of it.
//!
//! Addresses a lasting excess of work of several priorities, part of which comes on
//! flows that are open already and cannot be held back. Without it, the most urgent
//! single requests are served worst: each needs a new flow, and finds the queue of the
//! backend server filled by work that needs none.
//!
//! The sign of overload is urgent work that had to wait. For a second after it,
//! less urgent work may not take the last places of the backend server's queue, nor
//! the share of its capacity that urgent work needs. A class that is passed over keeps
//! one slot in eight.
use std::collections::BTreeMap;
use std::time::Duration;

use wire::Priority;

use crate::Held;
use crate::Rate;

/// Share of the backend server that may be planned for. At 0.98 and 1.5 times the load,
/// only 0.94 of the urgent requests were answered within their target latency.
const FULL_SHARE: f64 = 0.97;

/// Share that requests on open flows must need to limit further flows.
const LOW_HELD_SHARE: f64 = 0.1;

/// Time constant of the mean request rate of an open flow.
const HELD_AVERAGING: Duration = Duration::from_secs(5);

/// Number of slots beyond its share that a class is remembered to have had.
const MAX_CREDIT: i32 = 4;

/// Number of agents that a new flow visits while all backend servers are busy.
const VISITS_PER_FLOW: f64 = 3.0;

/// Parameters of an [`Overload`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time after the last sign of overload for which places are kept.
    pub sign_time: Duration,
    /// Time after its last arrival for which a class counts as present.
    pub presence_time: Duration,
    /// Time constant of the rate at which flows arrive. With 5 s, long flows that were
    /// accepted before the rate was known filled the servers after a step of the load.
    pub smoothing: Duration,
    /// Number of slots of which a class that is passed over gets one.
    pub slots_per_turn: u8,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            sign_time: Duration::from_secs(1),
            presence_time: Duration::from_mins(1),
            smoothing: Duration::from_secs(2),
            slots_per_turn: 8,
        }
    }
}

/// Classes of work at one backend server, and the signs of overload.
///
/// ```
/// use std::time::Duration;
/// use limit::Overload;
/// use limit::overload::Settings;
///
/// let now = Duration::ZERO;
/// let mut overload = Overload::new(Settings::default());
/// overload.record_arrival(now, 1, true);
/// assert!(!overload.has_classes(now));
/// overload.record_arrival(now, 2, true);
/// assert!(overload.has_classes(now));
/// overload.record_sign(now, 1);
/// assert!(overload.is_restricted(now, 2));
/// assert!(!overload.is_restricted(now, 1));
/// ```
#[derive(Debug)]
pub struct Overload {
    settings: Settings,
    classes: BTreeMap<Priority, Class>,
    /// Start of the present overload.
    since: Option<Duration>,
}

/// One class of work.
#[derive(Debug)]
struct Class {
    last_arrival: Duration,
    /// Rate of new flows, each counted at the first agent that it visits.
    arrivals: Rate,
    /// Rate of new flows that visit this agent at all.
    visits: Rate,
    /// Rate of new flows that are admitted here.
    admitted: Rate,
    /// Flows of the class that are open.
    held: Held,
    /// Last time at which work of the class had to wait.
    sign: Option<Duration>,
    /// Number of admissions of more urgent work while work of this class waited, less
    /// those that each request of this class makes up for.
    passed_over: i32,
}

/// Beginning or end of an overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Urgent work had to wait.
    Began {
        /// Class of that work.
        priority: Priority,
    },
    /// No urgent work has had to wait for [`Settings::sign_time`].
    Ended {
        /// Duration of the overload.
        lasted: Duration,
    },
}

impl Overload {
    /// Creates a division without classes.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            classes: BTreeMap::new(),
            since: None,
        }
    }

    /// Records that new work of a class arrived; `is_first` if no other backend server
    /// was asked before.
    pub fn record_arrival(&mut self, now: Duration, priority: Priority, is_first: bool) {
        let rate = Rate::new(self.settings.smoothing, now);
        let class = self.classes.entry(priority).or_insert_with(|| Class {
            last_arrival: now,
            arrivals: rate,
            visits: rate,
            admitted: rate,
            // The rate of the first flows counts only after some seconds of them.
            held: Held::new(HELD_AVERAGING, 0.0, now),
            sign: None,
            passed_over: 0,
        });
        class.last_arrival = now;
        class.visits.record(now);
        if is_first {
            class.arrivals.record(now);
        }
    }

    /// Records a request on a flow that was open already. It counts as a turn of its
    /// class.
    pub fn record_held_request(&mut self, priority: Option<Priority>) {
        let turn = self.turn();
        let class = priority.and_then(|priority| self.classes.get_mut(&priority));
        if let Some(class) = class {
            class.take_turn(turn);
            class.held.record_request();
        }
    }

    /// Records the number of open flows of each class.
    pub fn set_open_flows(&mut self, now: Duration, count: impl Fn(Priority) -> u32) {
        for (priority, class) in &mut self.classes {
            class.held.set_flows(now, count(*priority));
        }
    }

    /// Returns true if work of more than one class arrives, so that there is
    /// something to decide.
    #[must_use]
    pub fn has_classes(&self, now: Duration) -> bool {
        self.priorities(now).nth(1).is_some()
    }

    /// Returns the most urgent class whose work arrives.
    #[must_use]
    pub fn most_urgent(&self, now: Duration) -> Option<Priority> {
        self.priorities(now).next()
    }

    /// Records that work of a class had to wait. A sign only where there is less
    /// urgent work that could make room for it.
    pub fn record_sign(&mut self, now: Duration, priority: Priority) {
        let is_least = self.priorities(now).all(|other| other <= priority);
        if let Some(class) = self.classes.get_mut(&priority).filter(|_| !is_least) {
            class.sign = Some(now);
        }
    }

    /// Returns true if more urgent work than that of a class had to wait lately.
    #[must_use]
    pub fn is_restricted(&self, now: Duration, priority: Priority) -> bool {
        let mut urgent = self.classes.range(..priority);
        urgent.any(|(_, class)| self.is_pressed(now, class))
    }

    /// Records that work of a class was admitted while work of the classes `waiting`
    /// waited.
    pub fn record_admission(
        &mut self,
        now: Duration,
        priority: Priority,
        waiting: impl Iterator<Item = Priority>,
    ) {
        let turn = self.turn();
        let mut passed: Vec<Priority> = waiting.filter(|other| *other > priority).collect();
        passed.sort_unstable();
        passed.dedup();
        for other in passed {
            if let Some(class) = self.classes.get_mut(&other) {
                class.passed_over = class.passed_over.saturating_add(1);
            }
        }
        if let Some(class) = self.classes.get_mut(&priority) {
            class.take_turn(turn);
            class.held.add_flow();
            class.admitted.record(now);
        }
    }

    /// Returns the class that was passed over most often, if it is its turn.
    #[must_use]
    pub fn due(&self) -> Option<Priority> {
        let turn = self.turn();
        let classes = self.classes.iter();
        let due = classes.filter(|(_, class)| class.passed_over >= turn);
        let due = due.max_by_key(|(_, class)| class.passed_over);
        due.map(|(priority, _)| *priority)
    }

    /// Ends the turn of a class that has no waiting work.
    pub fn skip_turn(&mut self, priority: Priority) {
        if let Some(class) = self.classes.get_mut(&priority) {
            class.passed_over = class.passed_over.min(0);
        }
    }

    /// Returns the share of the backend server that is left to a class by requests on
    /// open flows and by more urgent work, given the service rate in requests a
    /// second; at least the share of a class that is passed over.
    #[must_use]
    pub fn share(&self, now: Duration, priority: Priority, rate: u32) -> f64 {
        (1.0 - self.need(now, priority, rate)).max(self.least_share())
    }

    /// Returns the share of the backend server that requests on open flows and more
    /// urgent work than that of a class need, given the service rate in requests a
    /// second.
    #[must_use]
    pub fn need(&self, now: Duration, priority: Priority, rate: u32) -> f64 {
        let urgent = self.classes.range(..priority);
        let urgent: f64 = urgent.map(|(_, class)| class.new_flows(now)).sum();
        (urgent + self.held_requests()) / f64::from(rate.max(1))
    }

    /// Returns true if no more flows of a class should be opened, because requests on
    /// them could not be held back: open flows, what is admitted of the class, and more
    /// urgent work need the backend server.
    #[must_use]
    pub fn is_used_up(&self, now: Duration, priority: Priority, rate: u32) -> bool {
        // Flows with a single request each are limited by the places that they get.
        if self.held_requests() < f64::from(rate) * LOW_HELD_SHARE {
            return false;
        }
        let class = self.classes.get(&priority);
        let own = class.map_or(0.0, |class| class.admitted.per_second(now));
        self.need(now, priority, rate) + own / f64::from(rate.max(1)) >= FULL_SHARE
    }

    /// Returns true if there is more urgent work than that of a class.
    #[must_use]
    pub fn is_preceded(&self, now: Duration, priority: Priority) -> bool {
        self.priorities(now).any(|other| other < priority)
    }

    /// Returns the beginning or end of an overload, once each.
    pub fn take_change(&mut self, now: Duration) -> Option<Change> {
        let mut classes = self.classes.iter();
        let pressed = classes.find(|(_, class)| self.is_pressed(now, class));
        match (pressed, self.since) {
            (Some((priority, _)), None) => {
                let priority = *priority;
                self.since = Some(now);
                Some(Change::Began { priority })
            }
            (None, Some(since)) => {
                self.since = None;
                let lasted = now.saturating_sub(since);
                Some(Change::Ended { lasted })
            }
            _ => None,
        }
    }

    /// Returns the number of slots of more urgent work after which it is the turn of a
    /// class.
    fn turn(&self) -> i32 {
        i32::from(self.settings.slots_per_turn) - 1
    }

    /// Returns the expected number of requests a second on open flows of all classes.
    fn held_requests(&self) -> f64 {
        let classes = self.classes.values();
        classes.map(|class| class.held.expected()).sum()
    }

    fn least_share(&self) -> f64 {
        1.0 / f64::from(self.settings.slots_per_turn.max(1))
    }

    fn is_pressed(&self, now: Duration, class: &Class) -> bool {
        let sign_time = self.settings.sign_time;
        class.sign.is_some_and(|at| now < at + sign_time)
    }

    /// Returns the classes whose work arrives, most urgent first.
    pub fn priorities(&self, now: Duration) -> impl Iterator<Item = Priority> {
        let presence_time = self.settings.presence_time;
        let classes = self.classes.iter();
        classes
            .filter(move |(_, class)| now < class.last_arrival + presence_time)
            .map(|(priority, _)| *priority)
    }
}

impl Class {
    /// Records that a request of the class got a slot.
    fn take_turn(&mut self, turn: i32) {
        let credit = turn.saturating_mul(MAX_CREDIT);
        self.passed_over = self.passed_over.saturating_sub(turn).max(-credit);
    }

    /// Returns the number of new flows a second that this backend server has to serve.
    /// No single count of them holds: entries avoid a backend server that is busy with
    /// less urgent work, so that fewer urgent flows arrive first or are admitted there
    /// than fall to it.
    fn new_flows(&self, now: Duration) -> f64 {
        let visits = self.visits.per_second(now) / VISITS_PER_FLOW;
        let first = self.arrivals.per_second(now);
        let admitted = self.admitted.per_second(now);
        visits.max(first).max(admitted)
    }
}
