//! Finds processes that nobody watches: those whose watchers all died with
//! them would otherwise be taken for running for ever.
use std::net::SocketAddr;
use std::time::Duration;

use super::Registry;
use crate::Action;
use crate::Message;
use crate::choice;
use crate::choice::score;
use crate::directory::Process;
use crate::record::SubjectId;
use crate::watches::Watch;
use crate::zone::region;

/// Time in which an entry looks at every record once.
const PERIOD: Duration = Duration::from_mins(10);

impl Registry {
    /// Looks at some processes, and probes those that this entry should watch
    /// and does not. Whoever is watched by others says so, and the watch ends.
    pub(super) fn audit(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let rounds = PERIOD.as_millis() / self.settings.round.as_millis().max(1);
        let rounds = usize::try_from(rounds).unwrap_or(usize::MAX);
        let count = self.directory.len() / rounds.max(1) + 1;
        let keys = self.directory.keys_after(self.audited, count);
        // At the end, the search begins anew.
        self.audited = keys.last().copied().unwrap_or(0);
        for subject in keys {
            let Some(process) = self.directory.process(subject) else {
                continue;
            };
            if !self.should_watch(subject, &process) {
                continue;
            }
            let rule = self.directory.statements().governing(subject);
            let watch = Watch {
                address: process.address,
                zone: process.zone,
                incarnation: process.incarnation,
                sequence: rule.map_or(0, |rule| rule.sequence + 1),
                heard: now,
                probed: now,
                watchers: self.local_watchers(subject, &process),
                named: true,
            };
            self.link.send(watch.address, Message::Probe, actions);
            self.watches.put(subject, watch);
        }
    }

    /// True for a process that this entry would watch, if nobody running is
    /// known to.
    fn should_watch(&self, subject: SubjectId, process: &Process) -> bool {
        let is_live = |address: &SocketAddr| {
            let mut live = self.fleet.candidates.iter();
            live.any(|candidate| candidate.address == *address)
        };
        let rule = self.directory.statements().governing(subject);
        let is_candidate = subject != self.key
            && !process.has_left
            && region(process.zone) == region(self.identity.zone)
            && !self.directory.zones().is_lost(process.zone)
            && self.watches.get(subject).is_none()
            && rule.is_none_or(|rule| !rule.watchers.iter().any(is_live));
        is_candidate
            && !self.is_outranked(subject)
            && self
                .local_watchers(subject, process)
                .contains(&self.identity.address)
    }

    /// True where there are zones enough for each watcher, and this entry is not
    /// the best of its zone; found without ranking all entries.
    fn is_outranked(&self, subject: SubjectId) -> bool {
        let own = score(subject, self.key);
        let mut rivals = self.fleet.candidates.iter();
        self.fleet.zones.len() >= self.settings.watchers
            && rivals
                .any(|rival| rival.zone == self.identity.zone && score(subject, rival.key) > own)
    }

    fn local_watchers(&self, subject: SubjectId, process: &Process) -> Vec<SocketAddr> {
        let candidates = &self.fleet.candidates;
        choice::local(subject, process.zone, candidates, self.settings.watchers)
    }
}
