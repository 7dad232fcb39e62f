//! Processes that an entry watches, and when it last heard each of them.
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

/// Number of other zones of the region that are not expected to fail at once;
/// the watcher doubts itself if as many are mostly silent.
const MIN_LOST_ZONES: usize = 2;

/// Watch on one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watch {
    /// UDP address of the process.
    pub address: SocketAddr,
    /// Zone of the process.
    pub zone: ZoneId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Number of its last heartbeat.
    pub sequence: Sequence,
    /// Time of its last heartbeat, or of the start of the watch.
    pub last_heard: Duration,
    /// Time of the last probe, or of the last heartbeat.
    pub last_probed: Duration,
    /// Watchers that the process named.
    pub watchers: Vec<SocketAddr>,
    /// False if the process does not name this entry as a watcher, and is
    /// only observed to tell whether its zone is reachable.
    pub is_watcher: bool,
}

/// Numbers of silent and watched processes in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Silent processes.
    pub silent: u16,
    /// Watched processes, including silent ones.
    pub watched: u16,
}

/// Watches on processes.
#[derive(Debug, Default)]
pub struct Watches {
    watches: BTreeMap<SubjectId, Watch>,
}

impl Watches {
    /// Returns the watch on a process.
    #[must_use]
    pub fn get(&self, subject: SubjectId) -> Option<&Watch> {
        self.watches.get(&subject)
    }

    /// Starts or renews the watch on a process.
    pub fn insert(&mut self, subject: SubjectId, watch: Watch) {
        self.watches.insert(subject, watch);
    }

    /// Ends the watch on a process.
    pub fn remove(&mut self, subject: SubjectId) {
        self.watches.remove(&subject);
    }

    /// Ends the watches that `keep` does not select.
    pub fn retain(&mut self, keep: impl Fn(SubjectId, &Watch) -> bool) {
        self.watches.retain(|subject, watch| keep(*subject, watch));
    }

    /// Returns all watches.
    pub fn iter(&self) -> impl Iterator<Item = (SubjectId, &Watch)> {
        let watches = self.watches.iter();
        watches.map(|(subject, watch)| (*subject, watch))
    }

    /// Returns the number of watched processes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.watches.len()
    }

    /// Restarts the silences of the watches that `is_affected` selects.
    pub fn reset_silence(&mut self, now: Duration, is_affected: impl Fn(&Watch) -> bool) {
        let watches = self.watches.values_mut();
        for watch in watches.filter(|watch| is_affected(watch)) {
            watch.last_heard = now;
        }
    }

    /// Returns the processes to probe now, and postpones their next probe.
    pub fn take_due_probes(&mut self, now: Duration, settings: &Settings) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for watch in self.watches.values_mut() {
            let silence = now.saturating_sub(watch.last_heard);
            let pause = if silence > settings.silence_timeout + settings.suspicion_delay {
                settings.heartbeat_interval * 4
            } else {
                settings.round_interval
            };
            if silence > settings.probe_after && now >= watch.last_probed + pause {
                watch.last_probed = now;
                due.push(watch.address);
            }
        }
        due
    }

    /// Returns the numbers of silent and watched processes by zone, without
    /// those that `is_excluded` selects.
    pub fn tallies(
        &self,
        now: Duration,
        silence: Duration,
        is_excluded: impl Fn(SubjectId) -> bool,
    ) -> BTreeMap<ZoneId, Tally> {
        let mut tallies: BTreeMap<ZoneId, Tally> = BTreeMap::new();
        let counted = self.iter().filter(|(subject, _)| !is_excluded(*subject));
        for (_, watch) in counted {
            let tally = tallies.entry(watch.zone).or_default();
            let is_silent = now.saturating_sub(watch.last_heard) > silence;
            tally.watched = tally.watched.saturating_add(1);
            tally.silent = tally.silent.saturating_add(is_silent.into());
        }
        tallies
    }
}

/// Returns whether so many processes are silent that the watcher in `own_zone`
/// must doubt itself: most of those outside the zone with the most silent ones,
/// or most of each of two other zones, or most of all if only one zone is
/// watched. Counts only its own region, since partitions between regions do
/// happen.
#[must_use]
pub fn is_doubtful(own_zone: ZoneId, tallies: &BTreeMap<ZoneId, Tally>) -> bool {
    let near = tallies
        .iter()
        .filter(|(zone, _)| region(**zone) == region(own_zone));
    let near: BTreeMap<ZoneId, Tally> = near.map(|(zone, tally)| (*zone, *tally)).collect();
    let lost = near
        .iter()
        .filter(|(zone, tally)| **zone != own_zone && tally.silent * 2 > tally.watched);
    let worst = near.iter().max_by_key(|(_, tally)| tally.silent);
    let worst = worst.map(|(zone, _)| *zone);
    let rest = near.iter().filter(|(zone, _)| Some(**zone) != worst);
    let (silent, watched) = sum(rest.map(|(_, tally)| tally));
    match sum(near.values()) {
        (_, all) if all < MIN_WATCHED => false,
        _ if lost.count() >= MIN_LOST_ZONES => true,
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
