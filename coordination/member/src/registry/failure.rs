//! Suspicions of processes and reports on zones.
use std::collections::BTreeMap;
use std::time::Duration;

use wire::ZoneId;

use super::Registry;
use crate::Action;
use crate::Message;
use crate::Record;
use crate::record::Key;
use crate::record::Report;
use crate::record::Statement;
use crate::record::SubjectId;
use crate::rendezvous::score;
use crate::watches::Tally;
use crate::watches::Watch;
use crate::watches::is_doubtful;
use crate::zone::region;
use crate::zones::LOST_PERCENT;
use crate::zones::MAX_OBSERVERS;

/// Additional delay before the processes of a mostly silent zone are suspected
/// one by one.
const ZONE_SUSPICION_DELAY: Duration = Duration::from_secs(3);

/// Shortest time between two reports of this entry on one zone.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Fewest silent processes for a zone to count as mostly silent.
const MIN_ZONE_SILENT: u16 = 2;

impl Registry {
    /// Probes silent processes, reports on zones and states suspicions.
    pub(super) fn detect_failures(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for to in self.watches.take_due_probes(now, &self.settings) {
            self.link.send(to, Message::Probe, actions);
        }
        let own = self.identity.address;
        let statements = self.directory.statements();
        let is_suspected = |subject| {
            let stated = statements.get(subject, own);
            stated.is_some_and(|stated| stated.silent)
        };
        let silence = self.settings.silence_timeout;
        let tallies = self.watches.tallies(now, silence, is_suspected);
        let is_deaf = now.saturating_sub(self.link.last_received) > silence;
        let was_doubtful = self.is_doubtful;
        self.is_doubtful = is_deaf || is_doubtful(self.identity.zone, &tallies);
        if self.is_doubtful {
            self.link.status.self_doubts += u64::from(!was_doubtful);
            return;
        }
        if was_doubtful {
            // Heartbeats missed while this entry was in doubt say nothing about
            // the processes.
            self.watches.reset_silence(now, |_| true);
            return;
        }
        self.report_zones(now, &tallies);
        self.suspect(now, &tallies);
    }

    fn suspect(&mut self, now: Duration, tallies: &BTreeMap<ZoneId, Tally>) {
        let wait = self.settings.silence_timeout + self.settings.suspicion_delay;
        let due = self.watches.iter().filter(|(subject, watch)| {
            let silence = now.saturating_sub(watch.last_heard);
            let mostly_silent = tallies
                .get(&watch.zone)
                .copied()
                .is_some_and(is_mostly_silent);
            watch.is_watcher
                && silence > wait
                && (!mostly_silent || silence > wait + ZONE_SUSPICION_DELAY)
                && !self.directory.zones().is_lost(watch.zone)
                && self.directory.incarnation(*subject) == Some(watch.incarnation)
                && !self.has_stated(*subject, watch)
        });
        let due: Vec<Statement> = due
            .map(|(subject, watch)| self.statement(subject, watch, true))
            .collect();
        for suspicion in due {
            if self.publish(&Record::Statement(suspicion)) {
                self.link.status.suspicions += 1;
            }
        }
    }

    /// States that this entry hears a process, if others suspect it, this
    /// entry suspected it before, or the latest statement names outdated
    /// watchers.
    pub(super) fn state_heard(&mut self, subject: SubjectId) {
        let statements = self.directory.statements();
        let (Some(watch), Some(latest)) = (self.watches.get(subject), statements.latest(subject))
        else {
            return;
        };
        let own = statements.get(subject, self.identity.address);
        let stated = own.map(|own| own.sequence);
        let suspected = statements.suspected_after(subject);
        let is_contested = suspected
            .is_some_and(|suspected| watch.sequence > suspected && stated <= Some(suspected));
        let is_refuted = own.is_some_and(|own| own.silent && own.sequence < watch.sequence);
        let is_superseded = latest.sequence < watch.sequence && latest.watchers != watch.watchers;
        if watch.is_watcher
            && watch.incarnation == latest.incarnation
            && (is_contested || is_refuted || is_superseded)
        {
            let statement = self.statement(subject, watch, false);
            self.publish(&Record::Statement(statement));
        }
    }

    /// Reports how many processes of each zone are silent, if the zone may
    /// be lost and this entry is among its observers.
    fn report_zones(&mut self, now: Duration, tallies: &BTreeMap<ZoneId, Tally>) {
        for (zone, tally) in tallies {
            let may_be_lost =
                tally.silent * 2 >= tally.watched || self.directory.zones().has_silence(*zone);
            let last = self.last_reports.get(zone);
            let is_due = last.is_none_or(|last| now >= *last + REPORT_INTERVAL);
            let should_report = *zone != self.identity.zone && may_be_lost && is_due;
            if !should_report || !self.is_report_outdated(*zone, *tally) || !self.observes(*zone) {
                continue;
            }
            self.last_reports.insert(*zone, now);
            let report = self.report(*zone, *tally);
            self.publish(&Record::Report(report));
        }
    }

    /// Returns whether the last report on a zone is outdated.
    fn is_report_outdated(&self, zone: ZoneId, tally: Tally) -> bool {
        match self.directory.zones().get(zone, self.identity.address) {
            Some(last) if last.incarnation == self.identity.incarnation => {
                last.silent != tally.silent
                    || last.watched.abs_diff(tally.watched) * 4 > last.watched
            }
            _ => tally.watched > 0,
        }
    }

    fn report(&self, zone: ZoneId, tally: Tally) -> Report {
        let last = self.directory.zones().get(zone, self.identity.address);
        Report {
            zone,
            observer: self.identity.address,
            observer_zone: self.identity.zone,
            incarnation: self.identity.incarnation,
            version: last.map_or(0, |last| last.version + 1),
            silent: tally.silent,
            watched: tally.watched,
        }
    }

    /// Returns whether this entry is among the bounded number of entries of its
    /// own region that observe a zone.
    fn observes(&self, zone: ZoneId) -> bool {
        let own = score(Key::from(zone), self.key);
        let rivals = self.live_set.candidates.iter().filter(|other| {
            other.zone != zone
                && region(other.zone) == region(self.identity.zone)
                && score(Key::from(zone), other.key) > own
        });
        rivals.count() < MAX_OBSERVERS
    }

    fn has_stated(&self, subject: SubjectId, watch: &Watch) -> bool {
        let statements = self.directory.statements();
        let stated = statements.get(subject, self.identity.address);
        stated.is_some_and(|stated| stated.silent && stated.sequence >= watch.sequence)
    }

    fn statement(&self, subject: SubjectId, watch: &Watch, silent: bool) -> Statement {
        Statement {
            subject,
            incarnation: watch.incarnation,
            observer: self.identity.address,
            sequence: watch.sequence,
            silent,
            watchers: watch.watchers.clone(),
        }
    }
}

fn is_mostly_silent(tally: Tally) -> bool {
    tally.silent >= MIN_ZONE_SILENT
        && u32::from(tally.silent) * 100 >= u32::from(tally.watched) * LOST_PERCENT
}
