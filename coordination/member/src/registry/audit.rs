//! Audit for processes that no running entry watches. A process whose watchers
//! all died with it would otherwise count as running for ever.
use std::net::SocketAddr;
use std::time::Duration;

use super::Registry;
use crate::Action;
use crate::Message;
use crate::directory::Process;
use crate::record::SubjectId;
use crate::rendezvous;
use crate::rendezvous::score;
use crate::watches::Watch;
use crate::zone::region;

/// Time in which an entry checks every record once.
const AUDIT_PERIOD: Duration = Duration::from_mins(10);

impl Registry {
    /// Checks some processes, and probes those that this entry should watch but
    /// does not. A process that others watch names them in its heartbeat, which
    /// ends the watch here.
    pub(super) fn audit(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let rounds = AUDIT_PERIOD.as_millis() / self.settings.round_interval.as_millis().max(1);
        let rounds = usize::try_from(rounds).unwrap_or(usize::MAX);
        let count = self.directory.len() / rounds.max(1) + 1;
        let keys = self.directory.keys_after(self.last_audited, count);
        // After the last key, the audit starts again at the first.
        self.last_audited = keys.last().copied().unwrap_or(0);
        for subject in keys {
            let Some(process) = self.directory.process(subject) else {
                continue;
            };
            if !self.should_watch(subject, &process) {
                continue;
            }
            let latest = self.directory.statements().latest(subject);
            let watch = Watch {
                address: process.address,
                zone: process.zone,
                incarnation: process.incarnation,
                sequence: latest.map_or(0, |latest| latest.sequence + 1),
                last_heard: now,
                last_probed: now,
                watchers: self.local_watchers(subject, &process),
                is_watcher: true,
            };
            self.link.send(watch.address, Message::Probe, actions);
            self.watches.insert(subject, watch);
        }
    }

    /// Returns whether this entry should watch a process, and no running entry
    /// is known to watch it.
    fn should_watch(&self, subject: SubjectId, process: &Process) -> bool {
        let is_live = |address: &SocketAddr| {
            let mut live = self.live_set.candidates.iter();
            live.any(|candidate| candidate.address == *address)
        };
        let latest = self.directory.statements().latest(subject);
        let is_candidate = subject != self.key
            && !process.has_left
            && region(process.zone) == region(self.identity.zone)
            && !self.directory.zones().is_lost(process.zone)
            && self.watches.get(subject).is_none()
            && latest.is_none_or(|latest| !latest.watchers.iter().any(is_live));
        is_candidate
            && !self.is_outscored(subject)
            && self
                .local_watchers(subject, process)
                .contains(&self.identity.address)
    }

    /// Returns whether there are enough zones for each watcher to be in its
    /// own, and this entry is not the best of its zone. Avoids ranking all
    /// entries.
    fn is_outscored(&self, subject: SubjectId) -> bool {
        let own = score(subject, self.key);
        let mut rivals = self.live_set.candidates.iter();
        self.live_set.zones.len() >= self.settings.watcher_count
            && rivals
                .any(|rival| rival.zone == self.identity.zone && score(subject, rival.key) > own)
    }

    fn local_watchers(&self, subject: SubjectId, process: &Process) -> Vec<SocketAddr> {
        let candidates = &self.live_set.candidates;
        rendezvous::local(
            subject,
            process.zone,
            candidates,
            self.settings.watcher_count,
        )
    }
}
