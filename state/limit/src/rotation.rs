//! Decides when a gateway whose network link stays full leaves the rotation, so that
//! callers' packets reach other gateways of its zone.
//!
//! Addresses gateways with slow links among faster ones: callers' packets are spread
//! evenly, so the slow links are full while the fast ones are hardly used.
//!
//! All gateways of a zone decide by the same rule on what each of them states: at most
//! as many leave as keep half of the zone's gateways serving, and only as many as
//! reduce the bytes that no link has room for.
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Time for which a gateway states that it asks to leave, before it does. Statements
/// reach the others within 0.5 s, so two gateways that ask at once know of each other.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Shortest time out of the rotation while the others have room. Each change moves
/// flows to gateways that have to search for their holders.
const MIN_OUT_TIME: Duration = Duration::from_secs(15);

/// Shortest time in the rotation between two absences.
const MIN_IN_TIME: Duration = Duration::from_secs(15);

/// Share of its rate to which a link may be used.
const USED_SHARE: f64 = 0.9;

/// The same for the link of a gateway that considers rejoining; lower, so that it does
/// not leave again.
const REJOIN_SHARE: f64 = 0.6;

/// Change of the load, as a share of what was stated, from which it is stated again.
const STATED_CHANGE: f64 = 0.25;

/// Change of the load in bytes per second below which it is not stated again: 5% of
/// the slowest links, 10 Mbit/s.
const MIN_STATED_CHANGE: f64 = 62_500.0;

/// Shortest time between two statements of a changed load.
const STATEMENT_INTERVAL: Duration = Duration::from_secs(2);

/// Weight of the last measurement in the average of the load.
const LOAD_WEIGHT: f64 = 0.5;

/// Number that orders the gateways of a zone.
pub type Key = u64;

/// Whether a gateway takes part in the rotation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stance {
    /// It does not answer the readiness check as ready.
    Out,
    /// It takes part, and asks to leave.
    Asks,
    /// It takes part.
    In,
}

/// What a gateway states about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Whether it takes part in the rotation.
    pub stance: Stance,
    /// Rate of its link in bytes per second.
    pub rate: u64,
    /// Load of its link in bytes per second.
    pub load: u64,
}

/// Another gateway of the zone that has not announced its departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// Its number in the order of the gateways.
    pub key: Key,
    /// Whether it runs, as far as membership knows.
    pub is_live: bool,
    /// What it states; `None` before its first statement, and of earlier versions.
    pub status: Option<Status>,
}

/// Measurement of the own link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measurement {
    /// Rate of the link in bytes per second.
    pub rate: f64,
    /// Load of the link in bytes per second.
    pub load: f64,
    /// Whether packets wait without interruption.
    pub is_full: bool,
}

/// Change of the own part in the rotation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The gateway has left the rotation.
    Left,
    /// The gateway takes part again.
    Rejoined,
}

/// Part of one gateway in the rotation of its zone.
#[derive(Debug)]
pub struct Rotation {
    key: Key,
    stance: Stance,
    since: Duration,
    /// Time from which it may ask to leave.
    may_ask_from: Duration,
    rate: f64,
    load: f64,
    stated: Option<(Duration, Status)>,
}

/// What is known of one gateway that runs.
#[derive(Clone, Copy, Debug)]
struct Gateway {
    key: Key,
    stance: Stance,
    rate: f64,
    load: f64,
}

impl Status {
    /// Encodes the status.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a status. Later versions may append fields.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the status is malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (status, _) = postcard::take_from_bytes(bytes)?;
        Ok(status)
    }
}

impl Rotation {
    /// Creates the part of a gateway that starts in the rotation.
    #[must_use]
    pub const fn new(key: Key, now: Duration) -> Self {
        Self {
            key,
            stance: Stance::In,
            since: now,
            may_ask_from: now,
            rate: 0.0,
            load: 0.0,
            stated: None,
        }
    }

    /// Returns true unless the gateway has left the rotation.
    #[must_use]
    pub fn is_in(&self) -> bool {
        self.stance != Stance::Out
    }

    /// Decides on a new measurement and on what the others state.
    pub fn update(
        &mut self,
        now: Duration,
        own: Measurement,
        neighbours: &[Neighbour],
    ) -> Option<Change> {
        self.rate = own.rate;
        self.load += (own.load - self.load) * LOAD_WEIGHT;
        let lasted = now.saturating_sub(self.since);
        match self.stance {
            Stance::In if own.is_full && now >= self.may_ask_from => {
                self.enter(now, Stance::Asks);
                None
            }
            Stance::Asks if !own.is_full => {
                self.enter(now, Stance::In);
                None
            }
            Stance::Asks if lasted >= SETTLE_TIME && self.may_be_out(neighbours, USED_SHARE) => {
                self.enter(now, Stance::Out);
                Some(Change::Left)
            }
            Stance::Out if !self.is_allowed(neighbours) => Some(self.rejoin(now)),
            Stance::Out if lasted >= MIN_OUT_TIME && !self.may_be_out(neighbours, REJOIN_SHARE) => {
                Some(self.rejoin(now))
            }
            Stance::In | Stance::Asks | Stance::Out => None,
        }
    }

    /// Returns what is to be stated now: a change of the part in the rotation at once,
    /// that of the load if it is large.
    pub fn take_statement(&mut self, now: Duration) -> Option<Status> {
        let status = self.status();
        let is_due = self.stated.is_none_or(|(stated, last)| {
            let change = (as_rate(status.load) - as_rate(last.load)).abs();
            let least = (as_rate(last.load) * STATED_CHANGE).max(MIN_STATED_CHANGE);
            let is_large = change >= least || status.rate != last.rate;
            status.stance != last.stance || is_large && now >= stated + STATEMENT_INTERVAL
        });
        if !is_due {
            return None;
        }
        self.stated = Some((now, status));
        Some(status)
    }

    /// Returns the last statement, which is to be repeated if others hold another one.
    #[must_use]
    pub fn stated(&self) -> Option<Status> {
        self.stated.map(|(_, status)| status)
    }

    fn status(&self) -> Status {
        Status {
            stance: self.stance,
            rate: whole(self.rate),
            load: whole(self.load),
        }
    }

    fn enter(&mut self, now: Duration, stance: Stance) {
        self.stance = stance;
        self.since = now;
    }

    fn rejoin(&mut self, now: Duration) -> Change {
        self.enter(now, Stance::In);
        self.may_ask_from = now + MIN_IN_TIME;
        Change::Rejoined
    }

    /// Returns true if half of the zone's gateways serve without this one and those
    /// that precede it.
    fn is_allowed(&self, neighbours: &[Neighbour]) -> bool {
        let running = self.running(neighbours);
        self.place(&running) < max_out(running.len(), neighbours.len() + 1)
    }

    /// Returns true if this gateway is among those that are best left out.
    fn may_be_out(&self, neighbours: &[Neighbour], share: f64) -> bool {
        let mut running = self.running(neighbours);
        let max_out = max_out(running.len(), neighbours.len() + 1);
        let place = self.place(&running);
        if let Some(own) = running.get_mut(place) {
            own.rate *= share / USED_SHARE;
        }
        place < best_out(&running, max_out)
    }

    /// Returns the gateways that run, in the order in which they may be out: those that
    /// are, then those that ask, the slowest link first.
    fn running(&self, neighbours: &[Neighbour]) -> Vec<Gateway> {
        let own = Gateway {
            key: self.key,
            stance: self.stance,
            rate: self.rate,
            load: self.load,
        };
        let live = neighbours.iter().filter(|neighbour| neighbour.is_live);
        let stated = live.clone().filter_map(|neighbour| {
            let status = neighbour.status?;
            Some(Gateway {
                key: neighbour.key,
                stance: status.stance,
                rate: as_rate(status.rate),
                load: as_rate(status.load),
            })
        });
        let mut running: Vec<Gateway> = stated.chain([own]).collect();
        let mean = mean_load(&running);
        // A gateway that states nothing has no room for more, as far as is known.
        let silent = live.filter(|neighbour| neighbour.status.is_none());
        running.extend(silent.map(|neighbour| Gateway {
            key: neighbour.key,
            stance: Stance::In,
            rate: mean,
            load: mean,
        }));
        running.sort_by(|a, b| {
            let rates = a.rate.total_cmp(&b.rate);
            let order = a.stance.cmp(&b.stance).then(rates);
            order.then(a.key.cmp(&b.key))
        });
        running
    }

    fn place(&self, running: &[Gateway]) -> usize {
        let place = running.iter().position(|gateway| gateway.key == self.key);
        place.unwrap_or(running.len())
    }
}

/// Returns how many gateways may be out so that half of all stay, those that are down
/// included.
const fn max_out(running: usize, all: usize) -> usize {
    running.saturating_sub(all.div_ceil(2))
}

/// Returns how many of the first gateways are best left out: the fewest for which the
/// least is lost. Callers' packets are spread evenly over those that stay; how many are
/// out now shows how even that is.
fn best_out(running: &[Gateway], max_out: usize) -> usize {
    let count = |stance| {
        let same = running.iter().filter(|gateway| gateway.stance == stance);
        same.count()
    };
    let now_out = count(Stance::Out);
    let claims = now_out + count(Stance::Asks);
    let total: f64 = running.iter().map(|gateway| gateway.load).sum();
    let mut best = (0, f64::INFINITY);
    for out in 0..=claims.min(max_out) {
        let staying = &running[out..];
        let even = total / as_share(staying.len());
        let lost = |gateway: &Gateway| {
            let load = if out == now_out { gateway.load } else { even };
            (load - gateway.rate * USED_SHARE).max(0.0)
        };
        let lost: f64 = staying.iter().map(lost).sum();
        if lost < best.1 {
            best = (out, lost);
        }
    }
    best.0
}

fn mean_load(running: &[Gateway]) -> f64 {
    let total: f64 = running.iter().map(|gateway| gateway.load).sum();
    total / as_share(running.len())
}

#[expect(clippy::cast_precision_loss, reason = "zones have few gateways")]
fn as_share(gateways: usize) -> f64 {
    gateways.max(1) as f64
}

#[expect(
    clippy::cast_precision_loss,
    reason = "rates of links are far below the limit"
)]
const fn as_rate(bytes_per_second: u64) -> f64 {
    bytes_per_second as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "saturates"
)]
const fn whole(bytes_per_second: f64) -> u64 {
    bytes_per_second as u64
}
