//! Draws the disturbances of a run from its seed, or parses them.
use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;
use fastrand::Rng;
use thiserror::Error;

/// Number of disturbances of a run.
const COUNT: std::ops::Range<usize> = 4..12;

/// Probability that a disturbance follows soon after the one drawn before.
const FOLLOW_UP_SHARE: f64 = 0.5;

/// Longest time after which such a disturbance follows.
const FOLLOW_UP_WITHIN: Duration = Duration::from_millis(1_500);

/// Range of the duration of a disturbance, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..6_000;

/// Number of kinds among which the main sequence of a seed draws.
const MAIN_KINDS: usize = 31;

/// Ends of the groups of later kinds, each with the bits by which its sequence rotates
/// the seed. They are drawn apart, so that the seeds of earlier failures still mean the
/// same runs.
const LATER_KINDS: [(usize, u32); 4] = [(33, 32), (35, 16), (38, 48), (44, 8)];

/// Probability that a run has a disturbance, or a further one, of a group of later
/// kinds.
const LATER_KIND_SHARE: f64 = 0.4;

/// A disturbance of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// Time at which it begins, since the start of the traffic.
    pub at: Duration,
    /// Kind of the disturbance.
    pub kind: Kind,
    /// Duration; of no effect on kinds that end by themselves.
    pub duration: Duration,
}

macro_rules! kinds {
    ($($kind:ident $name:literal $help:literal)*) => {
        /// Kind of a disturbance.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Kind {
            $(#[doc = $help] $kind,)*
        }

        impl Kind {
            /// All kinds; their order decides what a seed draws, so new ones
            /// come last.
            pub const ALL: &[Self] = &[$(Self::$kind,)*];

            /// Returns the name of the kind on the command line.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$kind => $name,)*
                }
            }

            /// Returns a description of the kind.
            #[must_use]
            pub const fn help(self) -> &'static str {
                match self {
                    $(Self::$kind => $help,)*
                }
            }
        }
    };
}

kinds! {
    RollGateways "roll-gateways" "all gateways are restarted in turn"
    RollSidecars "roll-sidecars" "half of the sidecars are restarted in turn"
    Release "release" "half of the backend servers of a service are drained and replaced in turn"
    Reload "reload" "half of the processes get SIGHUP"
    Route "route" "a random spare route is added or removed, and a second random one at the end"
    Storm "storm" "routes are added and removed in quick succession"
    Reuse "reuse" "a backend server ends without notice and its address serves another service"
    KillGateway "kill-gateway" "a gateway is killed"
    KillSidecar "kill-sidecar" "a sidecar is killed"
    KillAll "kill-all" "all processes are killed"
    PowerOne "power-one" "a host with its backend server loses power"
    PowerAll "power-all" "all hosts lose power"
    Freeze "freeze" "some processes are frozen and resumed"
    FreezeGateways "freeze-gateways" "all gateways are frozen and resumed"
    Cut "cut" "a host neither receives nor sends frames"
    Deaf "deaf" "some hosts receive no frames"
    Mute "mute" "some hosts send no frames"
    Lossy "lossy" "a third of the frames of some hosts is lost"
    Far "far" "the frames of some hosts are delayed"
    Crash "crash" "backend servers crash and start again"
    StoreSilent "store-silent" "the store does not answer"
    StoreRefuses "store-refuses" "the store refuses all calls"
    StoreLoses "store-loses" "answers to writes are lost"
    StoreLate "store-late" "writes take effect late and are not answered"
    StoreSlow "store-slow" "the store answers slowly"
    StoreForgets "store-forgets" "the store drops its history of changes"
    StoreLapses "store-lapses" "all leases in the store end"
    StoreAway "store-away" "requests of some hosts do not reach the store"
    StoreOneWay "store-one-way" "answers of the store do not reach some hosts"
    StoreResets "store-resets" "the connections of some hosts to the store are reset"
    StoreSilences "store-silences" "the open connections of some hosts to the store stall for good"
    StoreRestored "store-restored" "the store is away and comes back from an older copy"
    Evacuate "evacuate" "a zone is evacuated for longer than the bound, and restored"
    MoveRoute "move-route" "a route with traffic is moved to another service, half of the gateways are restarted once that is in force, and the route is moved back"
    YoungServer "young-server" "a backend server restarts, its sidecar is killed soon after, and half of the gateways are restarted once the host is undisturbed"
    FreezeThenCrash "freeze-then-crash" "a sidecar is frozen for a moment while flows are opened, its backend server crashes soon after, and the flows are used once it is back"
    OddEntries "odd-entries" "another writer leaves odd entries among those of the store, and announces odd backend servers"
    ChangedBound "changed-bound" "the bounds of all settings become fractions, and some processes are restarted"
    Pause "pause" "the callers of a service pause for most of the idle timeout, and use their flows again"
    PairOpening "pair-opening" "two faults of a backend server's host while flows are opened there"
    PairCopy "pair-copy" "two faults of it while copies of opening packets are under way"
    PairIdle "pair-idle" "two faults of it while its flows are idle"
    PairMoved "pair-moved" "two faults of it after its route was moved to another service"
    PairReused "pair-reused" "two faults of it while flows end and their ports are used again"
}

/// Error of parsing a disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// unknown kind of disturbance; `soak --kinds` prints all kinds
    Kind,
    /// invalid times; write KIND@AT+LASTS in seconds, such as freeze@5+2.5
    Times,
}

impl FromStr for Disturbance {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (name, times) = text.split_once('@').ok_or(Error::Times)?;
        let (at, duration) = times.split_once('+').ok_or(Error::Times)?;
        let mut kinds = Kind::ALL.iter();
        let kind = kinds.find(|kind| kind.name() == name).ok_or(Error::Kind)?;
        Ok(Self {
            at: seconds(at)?,
            kind: *kind,
            duration: seconds(duration)?,
        })
    }
}

fn seconds(text: &str) -> Result<Duration, Error> {
    let seconds: f64 = text.parse().map_err(|_| Error::Times)?;
    Duration::try_from_secs_f64(seconds).map_err(|_| Error::Times)
}

/// Draws the disturbances of a run, which begin within the given time, sorted
/// by the time at which they begin.
#[must_use]
pub fn draw(seed: u64, within: Duration) -> Vec<Disturbance> {
    let random = &mut Rng::with_seed(!seed);
    let mut at = Duration::ZERO;
    let mut disturbances = Vec::new();
    for _ in 0..random.usize(COUNT) {
        let soon = at + FOLLOW_UP_WITHIN.mul_f64(random.f64());
        at = if soon < within && random.f64() < FOLLOW_UP_SHARE {
            soon
        } else {
            within.mul_f64(random.f64())
        };
        disturbances.push(Disturbance {
            at,
            kind: Kind::ALL[random.usize(..MAIN_KINDS)],
            duration: Duration::from_millis(random.u64(DURATION_MS)),
        });
    }
    let mut first = MAIN_KINDS;
    for (end, rotation) in LATER_KINDS {
        let random = &mut Rng::with_seed(seed.rotate_left(rotation));
        while random.f64() < LATER_KIND_SHARE {
            disturbances.push(Disturbance {
                at: within.mul_f64(random.f64()),
                kind: Kind::ALL[random.usize(first..end)],
                duration: Duration::from_millis(random.u64(DURATION_MS)),
            });
        }
        first = end;
    }
    disturbances.sort_by_key(|disturbance| disturbance.at);
    disturbances
}
