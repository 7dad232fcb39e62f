//! Trials: targets, work, faults and the policies to compare.
use std::time::Duration;

use serde::Serialize;

use super::policy::Forwarding;
use super::policy::Key;
use super::policy::Place;
use super::policy::Policy;
use super::policy::Signal;

/// Targets, work and a fault, to be simulated under several policies.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Name in tables, plots and files.
    pub name: String,
    /// Targets and their slots.
    pub fleet: Fleet,
    /// Flows and requests of the callers.
    pub work: Work,
    /// Fault that is injected.
    pub fault: Fault,
    /// Offered load, as a multiple of the capacity of all targets.
    pub load: f64,
    /// Policies to compare.
    pub policies: Vec<Policy>,
}

/// Targets of a service; their mean service times are evenly spaced from
/// [`FASTEST_SERVICE_TIME`] to [`SLOWEST_SERVICE_TIME`].
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fleet {
    /// Number of targets.
    pub targets: usize,
    /// Number of slots of each target.
    pub slots: u16,
}

impl Fleet {
    /// Returns the index of the target that a fault slows: the middle one.
    pub const fn faulty_target(self) -> usize {
        self.targets / 2
    }
}

/// Mean service time of the fastest target.
pub const FASTEST_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Mean service time of the slowest target.
pub const SLOWEST_SERVICE_TIME: Duration = Duration::from_millis(80);

/// Offered load, as a multiple of the capacity of all targets, of all trials
/// but one.
const DEFAULT_LOAD: f64 = 0.85;

/// Offered load, as a multiple of the capacity of all targets, of the trial with
/// spare capacity.
const SPARE_LOAD: f64 = 0.57;

/// Simulated time at which a run ends.
pub const RUN_END: Duration = Duration::from_mins(3);

/// Simulated time at which the warm-up ends and the measurement starts.
pub const WARM_UP_END: Duration = Duration::from_mins(1);

/// One-way delay between two hosts.
pub const DELAY: Duration = Duration::from_micros(1500);

/// Mean lifetime of a flow of [`Work::Long`].
pub const MEAN_FLOW_LIFETIME: Duration = Duration::from_mins(1);

/// Time from the issue of a request to its deadline.
pub const DEADLINE: Duration = Duration::from_secs(30);

/// Flows and requests of the callers.
#[derive(Clone, Copy, Debug, Serialize)]
pub enum Work {
    /// Each flow carries one request, which arrives `gap` after the flow was
    /// accepted.
    Single {
        /// Round-trip time between the holder and the caller.
        gap: Duration,
    },
    /// Long-lived flows with uneven request rates (log-normal, sigma 1.25).
    Long {
        /// Number of concurrent flows.
        flows: usize,
    },
}

/// Fault that is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Fault {
    /// No fault.
    None,
    /// Every third target, two of seven, always reports that it is idle.
    Lies,
    /// The middle target takes 5 times as long from 90 s to 120 s.
    Slow,
    /// The middle target restarts at 90 s, and takes 5 times as long for the
    /// first 10 s.
    Cold,
}

/// Start of [`Fault::Slow`] and [`Fault::Cold`].
pub const FAULT_START: Duration = Duration::from_secs(90);

/// End of [`Fault::Slow`].
pub const SLOW_END: Duration = Duration::from_mins(2);

/// End of [`Fault::Cold`].
pub const COLD_END: Duration = Duration::from_secs(100);

/// Factor of the service time during a fault.
pub const SLOW_FACTOR: f64 = 5.0;

const ROSTER: Fleet = Fleet {
    targets: 7,
    slots: 4,
};
const ROTA: Fleet = Fleet {
    targets: 4,
    slots: 4,
};
const ADVICE: Fleet = Fleet {
    targets: 7,
    slots: 2,
};
const INTAKE: Fleet = Fleet {
    targets: 4,
    slots: 2,
};

/// Returns all trials.
pub fn all() -> Vec<Trial> {
    let mut trials = services();
    let long = Work::Long { flows: 14_000 };
    let few = Work::Long { flows: 200 };
    let gap = Work::Single { gap: ROUND_TRIP };
    let roster = |kind, work, fault, policies| trial("roster", kind, ROSTER, work, fault, policies);
    trials.push(Trial {
        load: SPARE_LOAD,
        ..roster("spare few bound", few, Fault::None, bound_policies())
    });
    trials.extend([
        roster("few bound", few, Fault::None, bound_policies()),
        roster("few independent", few, Fault::None, independent_policies()),
        roster("single with gap", gap, Fault::None, single_policies()),
        roster("single lies", SINGLE, Fault::Lies, single_policies()),
        roster("single slow", SINGLE, Fault::Slow, single_policies()),
        roster("single cold", SINGLE, Fault::Cold, single_policies()),
        roster("bound slow", long, Fault::Slow, bound_policies()),
        roster("bound cold", long, Fault::Cold, bound_policies()),
        roster(
            "independent slow",
            long,
            Fault::Slow,
            independent_policies(),
        ),
        roster(
            "independent cold",
            long,
            Fault::Cold,
            independent_policies(),
        ),
    ]);
    trials
}

/// Returns the trials without a fault of both customers' services.
fn services() -> Vec<Trial> {
    let mut trials = Vec::new();
    for (name, fleet) in [
        ("roster", ROSTER),
        ("rota", ROTA),
        ("advice", ADVICE),
        ("intake", INTAKE),
    ] {
        let flows = fleet.targets * 2000;
        let long = Work::Long { flows };
        let new_trial =
            |kind, work, policies| trial(name, kind, fleet, work, Fault::None, policies);
        trials.push(new_trial("single", SINGLE, single_policies()));
        trials.push(new_trial("bound", long, bound_policies()));
        trials.push(new_trial("independent", long, independent_policies()));
    }
    trials
}

const SINGLE: Work = Work::Single {
    gap: Duration::ZERO,
};

/// Round-trip time to a caller in Slovakia.
const ROUND_TRIP: Duration = Duration::from_millis(6);

fn trial(
    service: &str,
    kind: &str,
    fleet: Fleet,
    work: Work,
    fault: Fault,
    policies: Vec<Policy>,
) -> Trial {
    Trial {
        name: format!("{service} {kind}"),
        fleet,
        work,
        fault,
        load: DEFAULT_LOAD,
        policies,
    }
}

fn hunt(width: usize, signal: Signal) -> Place {
    Place::Hunt { width, signal }
}

/// Returns the usual policies that [`Place::Hunt`] is compared with.
fn baseline_policies() -> Vec<Policy> {
    [Place::Hash, Place::RoundRobin, Place::BestOfTwo]
        .map(Policy::bound)
        .to_vec()
}

/// Returns the policies for flows that carry one request.
fn single_policies() -> Vec<Policy> {
    let hunts = (2..=4).map(|width| Policy::bound(hunt(width, Signal::Slots)));
    let bound = Policy::bound(hunt(3, Signal::Blend));
    baseline_policies()
        .into_iter()
        .chain(hunts)
        .chain([bound])
        .collect()
}

/// Returns the policies for long-lived flows whose requests the holder must
/// run.
fn bound_policies() -> Vec<Policy> {
    let slots = [2, 3, 5].map(|width| hunt(width, Signal::Slots));
    let signals = [Signal::Held, Signal::Load, Signal::Blend].map(|signal| hunt(3, signal));
    let hunts = slots.into_iter().chain(signals).map(Policy::bound);
    baseline_policies().into_iter().chain(hunts).collect()
}

/// Returns the policies for long-lived flows whose requests any agent may run.
fn independent_policies() -> Vec<Policy> {
    let place = hunt(3, Signal::Slots);
    let forwarding = |width, millis, key| Policy {
        place,
        pass: Some(Forwarding {
            width,
            threshold: Duration::from_millis(millis),
            key,
        }),
    };
    let thresholds = [0, 6, 12, 25, 50, 100].map(|millis| forwarding(2, millis, Key::Request));
    let mut policies = vec![Policy::bound(Place::Hash), Policy::bound(place)];
    policies.extend(thresholds);
    policies.extend([
        forwarding(2, 12, Key::Flow),
        forwarding(1, 12, Key::Request),
        forwarding(3, 12, Key::Request),
    ]);
    policies
}
