//! Reports on zones, and whether a zone counts as lost.
//!
//! A lost zone takes one report from each of a bounded number of observers,
//! instead of a suspicion for each process in it.
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use wire::ZoneId;

use crate::Refusal;
use crate::record::Key;
use crate::record::Report;
use crate::record::entry_key;
use crate::rendezvous::score;
use crate::zone::RegionId;
use crate::zone::region;

/// Largest number of observers of one zone in one region.
pub const MAX_OBSERVERS: usize = 16;

/// Share of silent processes, in percent, from which a zone counts as lost.
pub const LOST_PERCENT: u32 = 90;

/// Share of silent processes, in percent, below which a lost zone has
/// recovered.
const RECOVERED_PERCENT: u32 = 50;

/// Fewest reports from which a zone may count as lost.
const MIN_REPORTS: usize = 2;

/// Fewest watched processes from which a zone may count as lost, summed over
/// the observers.
const MIN_WATCHED: u32 = 4;

/// Inputs of a verdict on zones and processes beside the statements.
#[derive(Clone, Debug)]
pub struct Scope {
    /// Region whose observers count.
    pub region: RegionId,
    /// Zones of the region that have entries.
    pub zones: BTreeSet<ZoneId>,
    /// Delay after the first report of silence, in which other observers may
    /// report.
    pub settle_wait: Duration,
    /// Delay after a suspicion, in which the other watchers of the process may
    /// answer.
    pub answer_wait: Duration,
}

/// Reports on zones, and the zones that count as lost.
#[derive(Debug, Default)]
pub struct Zones {
    reports: BTreeMap<ZoneId, BTreeMap<SocketAddr, Report>>,
    silent_since: BTreeMap<ZoneId, Duration>,
    lost: BTreeSet<ZoneId>,
}

impl Zones {
    /// Merges a report if it is newer; returns the reports that it replaces.
    ///
    /// # Errors
    ///
    /// [`Refusal::Stale`], or [`Refusal::NotWatcher`] if enough observers of
    /// higher rank have reported on the zone.
    pub fn merge(&mut self, new: Report) -> Result<Vec<Report>, Refusal> {
        let zone = new.zone;
        let reports = self.reports.entry(zone).or_default();
        let held = reports.get(&new.observer);
        if held.is_some_and(|held| held.position() >= new.position()) {
            return Err(Refusal::Stale);
        }
        let observer = new.observer;
        let from = region(new.observer_zone);
        let mut replaced: Vec<Report> = reports.insert(observer, new).into_iter().collect();
        let peers = reports
            .values()
            .filter(|held| region(held.observer_zone) == from);
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

    /// Returns the report of one observer.
    #[must_use]
    pub fn get(&self, zone: ZoneId, observer: SocketAddr) -> Option<&Report> {
        self.reports.get(&zone)?.get(&observer)
    }

    /// Returns whether some observer reports silence in the zone.
    #[must_use]
    pub fn has_silence(&self, zone: ZoneId) -> bool {
        self.silent_since.contains_key(&zone)
    }

    /// Returns whether the zone counts as lost.
    #[must_use]
    pub fn is_lost(&self, zone: ZoneId) -> bool {
        self.lost.contains(&zone)
    }

    /// Returns the zones that count as lost.
    pub fn lost(&self) -> impl Iterator<Item = ZoneId> {
        self.lost.iter().copied()
    }

    /// Updates the verdicts on all zones; returns the zones whose verdict
    /// changed.
    pub fn update_lost(
        &mut self,
        now: Duration,
        scope: &Scope,
        is_current: impl Fn(&Report) -> bool,
    ) -> Vec<ZoneId> {
        let mut changed = Vec::new();
        for (zone, reports) in &self.reports {
            let heard = reports.values().filter(|report| {
                region(report.observer_zone) == scope.region
                    && report.observer_zone != *zone
                    && is_current(report)
            });
            let tally = Tally::of(heard);
            if tally.silent == 0 {
                self.silent_since.remove(zone);
            }
            let silent_since = match tally.silent {
                0 => now,
                _ => *self.silent_since.entry(*zone).or_insert(now),
            };
            let settled = now >= silent_since + scope.settle_wait;
            let was_lost = self.lost.contains(zone);
            let is_lost = if was_lost {
                tally.silent * 100 >= tally.watched * RECOVERED_PERCENT && tally.silent > 0
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

/// Sum of the reports on one zone.
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
            tally.zones.insert(report.observer_zone);
        }
        tally
    }

    const fn is_lost(&self) -> bool {
        self.watched >= MIN_WATCHED
            && self.reports >= MIN_REPORTS
            && self.silent * 100 >= self.watched * LOST_PERCENT
    }

    /// Returns whether observers in two zones other than `zone` have reported,
    /// or in one where only one other zone has entries.
    fn has_quorum(&self, zone: ZoneId, zones: &BTreeSet<ZoneId>) -> bool {
        let others = zones.iter().filter(|other| **other != zone).count();
        self.zones.len() >= others.min(2)
    }
}

/// Returns the rank of an observer of a zone; those with the largest are kept.
#[must_use]
pub fn rank(zone: ZoneId, observer: SocketAddr) -> u64 {
    score(Key::from(zone), entry_key(observer))
}
