//! Reports on zones, and whether a zone is held to be lost.
//!
//! A lost zone is one report for each of a bounded number of observers, in
//! place of a suspicion for each process in it.
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use wire::ZoneId;

use crate::Refusal;
use crate::choice::score;
use crate::record::Key;
use crate::record::Report;
use crate::record::entry_key;
use crate::zone::RegionId;
use crate::zone::region;

/// Observers of one zone in one region.
pub const MAX_OBSERVERS: usize = 16;

/// Share of silent processes, in percent, from which a zone is lost.
pub const LOST_PERCENT: u32 = 90;

/// Share of silent processes, in percent, below which it is back.
const BACK_PERCENT: u32 = 50;

/// Observers that a verdict needs.
const MIN_REPORTS: usize = 2;

/// Watched processes that a verdict needs, summed over the observers.
const MIN_WATCHED: u32 = 4;

/// What a verdict needs to know of the entries.
#[derive(Clone, Debug)]
pub struct Scope {
    /// Region whose observers are heard.
    pub region: RegionId,
    /// Zones of the region that have entries.
    pub zones: BTreeSet<ZoneId>,
    /// Wait after the first report for those of other observers.
    pub settle: Duration,
    /// Wait for the other watchers of a process that one suspects.
    pub answer: Duration,
}

/// Reports and verdicts.
#[derive(Debug, Default)]
pub struct Zones {
    reports: BTreeMap<ZoneId, BTreeMap<SocketAddr, Report>>,
    opened: BTreeMap<ZoneId, Duration>,
    lost: BTreeSet<ZoneId>,
}

impl Zones {
    /// Takes a report where it is newer; those that it replaces.
    ///
    /// # Errors
    ///
    /// [`Refusal::Stale`], or [`Refusal::NotWatcher`] where enough others that
    /// come first observe the zone.
    pub fn merge(&mut self, new: Report) -> Result<Vec<Report>, Refusal> {
        let zone = new.zone;
        let reports = self.reports.entry(zone).or_default();
        let held = reports.get(&new.observer);
        if held.is_some_and(|held| held.stamp() >= new.stamp()) {
            return Err(Refusal::Stale);
        }
        let observer = new.observer;
        let from = region(new.from);
        let mut replaced: Vec<Report> = reports.insert(observer, new).into_iter().collect();
        let peers = reports.values().filter(|held| region(held.from) == from);
        let ranks: Vec<SocketAddr> = peers.map(|held| held.observer).collect();
        if ranks.len() > MAX_OBSERVERS {
            let last = ranks.into_iter().min_by_key(|peer| rank(zone, *peer));
            replaced.extend(last.and_then(|last| reports.remove(&last)));
            if last == Some(observer) {
                return Err(Refusal::NotWatcher);
            }
        }
        Ok(replaced)
    }

    /// The report of one observer.
    #[must_use]
    pub fn get(&self, zone: ZoneId, observer: SocketAddr) -> Option<&Report> {
        self.reports.get(&zone)?.get(&observer)
    }

    /// True where some observer reports silence in the zone.
    #[must_use]
    pub fn is_open(&self, zone: ZoneId) -> bool {
        self.opened.contains_key(&zone)
    }

    /// True where the zone is held to be lost.
    #[must_use]
    pub fn is_lost(&self, zone: ZoneId) -> bool {
        self.lost.contains(&zone)
    }

    /// The zones held to be lost.
    pub fn lost(&self) -> impl Iterator<Item = ZoneId> {
        self.lost.iter().copied()
    }

    /// Judges all zones again; those whose verdict changed.
    pub fn judge(
        &mut self,
        now: Duration,
        scope: &Scope,
        is_current: impl Fn(&Report) -> bool,
    ) -> Vec<ZoneId> {
        let mut changed = Vec::new();
        for (zone, reports) in &self.reports {
            let heard = reports.values().filter(|report| {
                region(report.from) == scope.region && report.from != *zone && is_current(report)
            });
            let tally = Tally::of(heard);
            if tally.silent == 0 {
                self.opened.remove(zone);
            }
            let opened = match tally.silent {
                0 => now,
                _ => *self.opened.entry(*zone).or_insert(now),
            };
            let settled = now >= opened + scope.settle;
            let was_lost = self.lost.contains(zone);
            let is_lost = if was_lost {
                tally.silent * 100 >= tally.watched * BACK_PERCENT && tally.silent > 0
            } else {
                settled && tally.is_lost() && tally.has_quorum(*zone, &scope.zones)
            };
            if is_lost != was_lost {
                changed.push(*zone);
            }
        }
        for zone in &changed {
            if !self.lost.remove(zone) {
                self.lost.insert(*zone);
            }
        }
        changed
    }
}

/// Sum of reports.
struct Tally {
    silent: u32,
    watched: u32,
    reports: usize,
    zones: BTreeSet<ZoneId>,
}

impl Tally {
    fn of<'a>(reports: impl Iterator<Item = &'a Report>) -> Self {
        let mut tally = Self {
            silent: 0,
            watched: 0,
            reports: 0,
            zones: BTreeSet::new(),
        };
        for report in reports {
            tally.silent += u32::from(report.silent);
            tally.watched += u32::from(report.watched);
            tally.reports += 1;
            tally.zones.insert(report.from);
        }
        tally
    }

    const fn is_lost(&self) -> bool {
        self.watched >= MIN_WATCHED
            && self.reports >= MIN_REPORTS
            && self.silent * 100 >= self.watched * LOST_PERCENT
    }

    /// True where observers of two zones agree, or there is only one other
    /// zone with entries.
    fn has_quorum(&self, zone: ZoneId, zones: &BTreeSet<ZoneId>) -> bool {
        let others = zones.iter().filter(|other| **other != zone).count();
        self.zones.len() >= others.min(2)
    }
}

/// Orders the observers of a zone; the largest come first.
#[must_use]
pub fn rank(zone: ZoneId, observer: SocketAddr) -> u64 {
    score(Key::from(zone), entry_key(observer))
}
