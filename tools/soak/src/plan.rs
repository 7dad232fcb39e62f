//! Draws the disturbances of a run from its seed, or reads them.
use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;
use fastrand::Rng;
use thiserror::Error;

/// Troubles of a run, at least and at most.
const COUNT: std::ops::Range<usize> = 4..12;

/// Share of the disturbances that come right after another one.
const FOLLOW_UP_SHARE: f64 = 0.5;

/// Time within which such a disturbance comes.
const FOLLOW_UP_WITHIN: Duration = Duration::from_millis(1_500);

/// Shortest and longest time that a disturbance duration.
const DURATION_MS: std::ops::Range<u64> = 300..6_000;

/// A disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// Time since the start of the traffic.
    pub at: Duration,
    /// What happens.
    pub kind: Kind,
    /// How long it duration, where it does.
    pub duration: Duration,
}

macro_rules! kinds {
    ($($kind:ident $name:literal $help:literal)*) => {
        /// What can happen.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Kind {
            $(#[doc = $help] $kind,)*
        }

        impl Kind {
            /// All kinds.
            pub const ALL: &[Self] = &[$(Self::$kind,)*];

            /// Its name on the command line.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$kind => $name,)*
                }
            }

            /// What happens.
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
    RollGateways "roll-gateways" "gateways are stopped and started in turn"
    RollSidecars "roll-sidecars" "sidecars are stopped and started in turn"
    Release "release" "backend servers drain, end and are replaced, one after the other"
    Reload "reload" "processes get SIGHUP"
    Route "route" "a route is removed, and comes back"
    Storm "storm" "routes come and go in quick succession"
    Reuse "reuse" "a backend server ends unannounced and its address serves another service"
    KillGateway "kill-gateway" "a gateway is killed"
    KillSidecar "kill-sidecar" "a sidecar is killed"
    KillAll "kill-all" "all processes are killed"
    PowerOne "power-one" "a host with its backend server loses power"
    PowerAll "power-all" "all hosts lose power"
    Freeze "freeze" "processes are frozen and woken"
    FreezeGateways "freeze-gateways" "all gateways are frozen and woken"
    Cut "cut" "no frames reach a host or leave it"
    Deaf "deaf" "no frames reach a host"
    Mute "mute" "no frames leave a host"
    Lossy "lossy" "a third of the frames of some hosts is lost"
    Far "far" "the frames of some hosts take longer"
    Crash "crash" "backend servers crash and start again"
    StoreSilent "store-silent" "the store does not answer"
    StoreRefuses "store-refuses" "the store refuses all calls"
    StoreLoses "store-loses" "answers to writes are lost"
    StoreLate "store-late" "writes are done late and not answered"
    StoreSlow "store-slow" "the store answers slowly"
    StoreForgets "store-forgets" "the store forgets its history"
    StoreLapses "store-lapses" "all leases end"
    StoreAway "store-away" "some hosts do not reach the store"
    StoreOneWay "store-one-way" "answers of the store do not reach some hosts"
    StoreResets "store-resets" "the connections of some hosts to the store are reset"
    StoreSilences "store-silences" "connections to the store that are open fall silent for good"
}

/// Why a disturbance cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// the kind is unknown; see `soak --kinds`
    Kind,
    /// the times cannot be read; write KIND@AT+LASTS in seconds, such as freeze@5+2.5
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

/// Draws the disturbances of a run that begin within a time.
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
            kind: Kind::ALL[random.usize(..Kind::ALL.len())],
            duration: Duration::from_millis(random.u64(DURATION_MS)),
        });
    }
    disturbances.sort_by_key(|disturbance| disturbance.at);
    disturbances
}
