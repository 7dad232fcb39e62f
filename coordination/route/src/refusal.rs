//! Remembers which classes of new flows no backend server of a service has capacity for.
//!
//! Under a lasting overload, flows of the least urgent class visit three agents each
//! before they are refused, and cost entries and agents more than the flows that are
//! served. An entry that has heard from enough agents refuses them itself. It still
//! sends one in [`Settings::trial_interval`], so that a wrong report, or the end of the
//! overload, is found out.
use std::collections::HashMap;
use std::time::Duration;

use wire::Priority;
use wire::ServiceAddress;
use wire::TargetId;

/// Parameters of a [`Refusal`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Age up to which a report counts.
    pub max_age: Duration,
    /// Number of backend servers that must have refused a class and none have admitted
    /// it; fewer only where a service has fewer. Flows visit those that are
    /// expected to answer soonest, so that others are no more likely to have room. With 6
    /// of 8, entries learned too little of the load, and urgent requests were late.
    pub min_reports: usize,
    /// Number of flows of a refused class of which one is sent.
    pub trial_interval: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_age: Duration::from_millis(300),
            min_reports: 12,
            trial_interval: 16,
        }
    }
}

/// What is done with a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Its class may have capacity: it is sent to a backend server.
    Send,
    /// Its class is refused, and it is sent as a trial.
    Try,
    /// It is refused.
    Refuse,
}

/// Latest reports of backend servers about the classes that they refuse.
///
/// ```
/// use std::time::Duration;
/// use route::Refusal;
/// use route::refusal::{Decision, Settings};
///
/// let at = Duration::from_millis;
/// let service = "[fd00::1]:1".parse().unwrap();
/// let mut refusal = Refusal::new(Settings::default());
/// refusal.record_refused(at(0), 1, Some(2));
/// refusal.record_refused(at(0), 2, Some(2));
/// let targets = || [1, 2].into_iter();
/// assert_eq!(refusal.decide(at(1), service, 1, targets()), Decision::Send);
/// assert_eq!(refusal.decide(at(1), service, 2, targets()), Decision::Refuse);
/// refusal.record_admitted(at(2), 1, 2);
/// assert_eq!(refusal.decide(at(3), service, 2, targets()), Decision::Send);
/// ```
#[derive(Debug)]
pub struct Refusal {
    settings: Settings,
    reports: HashMap<TargetId, Report>,
    /// Classes that are refused.
    refused: HashMap<(ServiceAddress, Priority), Refused>,
    change: Option<Change>,
}

/// Flows of a refused class since the refusal began.
#[derive(Clone, Copy, Debug, Default)]
struct Refused {
    /// Flows that were refused.
    refused: u64,
    /// Flows that were refused since the last trial.
    since_trial: u32,
}

/// Beginning or end of the refusal of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The flows of the class are refused from now on.
    Began,
    /// The flows of the class are sent again.
    Ended {
        /// Number of flows that were refused.
        refused: u64,
    },
}

/// Last report of a backend server.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Duration,
    /// Lowest priority whose flows are refused; `None` if none is known to be.
    refused_from: Option<Priority>,
}

impl Refusal {
    /// Creates a memory without reports.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            reports: HashMap::new(),
            refused: HashMap::new(),
            change: None,
        }
    }

    /// Records the lowest priority whose new flows a backend server refuses.
    pub fn record_refused(
        &mut self,
        now: Duration,
        target: TargetId,
        refused_from: Option<Priority>,
    ) {
        let report = Report {
            at: now,
            refused_from,
        };
        self.reports.insert(target, report);
    }

    /// Records that a backend server admitted a flow of a class, or lets it wait.
    pub fn record_admitted(&mut self, now: Duration, target: TargetId, priority: Priority) {
        let previous = self.reports.get(&target);
        let refused_from = previous.and_then(|report| report.refused_from);
        // It is not known to admit classes that are less urgent.
        let refused_from = refused_from.filter(|refused| *refused > priority);
        self.record_refused(now, target, refused_from);
    }

    /// Decides on a new flow of a class to a service with these backend servers.
    pub fn decide(
        &mut self,
        now: Duration,
        service: ServiceAddress,
        priority: Priority,
        targets: impl Iterator<Item = TargetId>,
    ) -> Decision {
        let class = (service, priority);
        if !self.is_refused(now, priority, targets) {
            let ended = self.refused.remove(&class);
            self.change = ended.map(|Refused { refused, .. }| Change::Ended { refused });
            return Decision::Send;
        }
        if !self.refused.contains_key(&class) {
            self.change = Some(Change::Began);
        }
        let class = self.refused.entry(class).or_default();
        if class.since_trial + 1 >= self.settings.trial_interval {
            class.since_trial = 0;
            return Decision::Try;
        }
        class.since_trial += 1;
        class.refused += 1;
        Decision::Refuse
    }

    /// Returns the beginning or end of a refusal that the last decision was, once.
    pub const fn take_change(&mut self) -> Option<Change> {
        self.change.take()
    }

    /// Removes the backend servers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(TargetId) -> bool) {
        self.reports.retain(|target, _| keep(*target));
    }

    /// Returns true if enough backend servers report that they refuse a class, and none
    /// that it does not.
    fn is_refused(
        &self,
        now: Duration,
        priority: Priority,
        targets: impl Iterator<Item = TargetId>,
    ) -> bool {
        if self.reports.is_empty() {
            return false;
        }
        let (mut known, mut refusing) = (0, 0);
        for target in targets {
            known += 1;
            let report = self.reports.get(&target);
            let recent = report.filter(|report| now < report.at + self.settings.max_age);
            match recent.map(|report| report.refused_from) {
                Some(Some(refused)) if refused <= priority => refusing += 1,
                Some(_) => return false,
                None => {}
            }
        }
        refusing > 0 && refusing >= self.settings.min_reports.min(known)
    }
}
