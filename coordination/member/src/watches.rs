//! The processes that an entry watches, and when it last heard them.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use wire::Incarnation;
use wire::ZoneId;

use crate::Settings;
use crate::message::Sequence;
use crate::record::SubjectId;
use crate::zone::region;

/// Fewest watched processes from whose silence a watcher doubts itself.
const MIN_WATCHED: usize = 4;

/// Other zones of the region which do not all fail at once.
const DOUBTFUL_ZONES: usize = 2;

/// One watched process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watch {
    /// UDP address of the process.
    pub address: SocketAddr,
    /// Zone of the process.
    pub zone: ZoneId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its last heartbeat.
    pub sequence: Sequence,
    /// When that arrived, or the watch began.
    pub heard: Duration,
    /// When it was last probed.
    pub probed: Duration,
    /// The watchers that it named.
    pub watchers: Vec<SocketAddr>,
    /// False where the process does not name this entry as a watcher, and is
    /// observed for the sake of its zone.
    pub named: bool,
}

/// Watched and silent processes of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Those that are silent.
    pub silent: u16,
    /// All.
    pub watched: u16,
}

/// All watched processes.
#[derive(Debug, Default)]
pub struct Watches {
    watches: BTreeMap<SubjectId, Watch>,
}

impl Watches {
    /// The watch on a process.
    #[must_use]
    pub fn get(&self, subject: SubjectId) -> Option<&Watch> {
        self.watches.get(&subject)
    }

    /// Begins or renews the watch on a process.
    pub fn put(&mut self, subject: SubjectId, watch: Watch) {
        self.watches.insert(subject, watch);
    }

    /// Ends the watch on a process.
    pub fn remove(&mut self, subject: SubjectId) {
        self.watches.remove(&subject);
    }

    /// Ends the watches that do not meet a condition.
    pub fn retain(&mut self, keep: impl Fn(SubjectId, &Watch) -> bool) {
        self.watches.retain(|subject, watch| keep(*subject, watch));
    }

    /// All watches.
    pub fn iter(&self) -> impl Iterator<Item = (SubjectId, &Watch)> {
        let watches = self.watches.iter();
        watches.map(|(subject, watch)| (*subject, watch))
    }

    /// Number of watched processes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.watches.len()
    }

    /// Begins the silences of some processes anew.
    pub fn restart(&mut self, now: Duration, concerns: impl Fn(&Watch) -> bool) {
        let watches = self.watches.values_mut();
        for watch in watches.filter(|watch| concerns(watch)) {
            watch.heard = now;
        }
    }

    /// The processes to be probed now, which are then not due for a while.
    pub fn take_probes(&mut self, now: Duration, settings: &Settings) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for watch in self.watches.values_mut() {
            let silence = now.saturating_sub(watch.heard);
            let pause = if silence > settings.silence + settings.settle {
                settings.heartbeat * 4
            } else {
                settings.round
            };
            if silence > settings.probe && now >= watch.probed + pause {
                watch.probed = now;
                due.push(watch.address);
            }
        }
        due
    }

    /// Watched and silent processes by zone, but for those to be left out.
    pub fn tallies(
        &self,
        now: Duration,
        silence: Duration,
        leave_out: impl Fn(SubjectId) -> bool,
    ) -> BTreeMap<ZoneId, Tally> {
        let mut tallies: BTreeMap<ZoneId, Tally> = BTreeMap::new();
        let counted = self.iter().filter(|(subject, _)| !leave_out(*subject));
        for (_, watch) in counted {
            let tally = tallies.entry(watch.zone).or_default();
            let is_silent = now.saturating_sub(watch.heard) > silence;
            tally.watched = tally.watched.saturating_add(1);
            tally.silent = tally.silent.saturating_add(is_silent.into());
        }
        tallies
    }
}

/// True where so much is silent that the watcher in zone `own` must doubt
/// itself: most of what it watches beyond one zone, or most of two other zones.
/// Counts what is in its region, since regions do lose each other.
#[must_use]
pub fn is_doubtful(own: ZoneId, tallies: &BTreeMap<ZoneId, Tally>) -> bool {
    let near = tallies
        .iter()
        .filter(|(zone, _)| region(**zone) == region(own));
    let near: BTreeMap<ZoneId, Tally> = near.map(|(zone, tally)| (*zone, *tally)).collect();
    let lost = near
        .iter()
        .filter(|(zone, tally)| **zone != own && tally.silent * 2 > tally.watched);
    let worst = near.iter().max_by_key(|(_, tally)| tally.silent);
    let worst = worst.map(|(zone, _)| *zone);
    let rest = near.iter().filter(|(zone, _)| Some(**zone) != worst);
    let (silent, watched) = sum(rest.map(|(_, tally)| tally));
    match sum(near.values()) {
        (_, all) if all < MIN_WATCHED => false,
        _ if lost.count() >= DOUBTFUL_ZONES => true,
        (all_silent, all) if watched == 0 => all_silent * 2 > all,
        _ => silent * 2 > watched,
    }
}

fn sum<'a>(tallies: impl Iterator<Item = &'a Tally>) -> (usize, usize) {
    tallies.fold((0, 0), |(silent, watched), tally| {
        (
            silent + usize::from(tally.silent),
            watched + usize::from(tally.watched),
        )
    })
}
