//! Verdicts on processes and services, derived from statements and zone
//! reports.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use wire::ServiceAddress;
use wire::ZoneId;
use wire::target::State;

use super::Directory;
use super::EntryState;
use super::Location;
use crate::Health;
use crate::message::Sequence;
use crate::record::Key;
use crate::record::SubjectId;
use crate::record::entry_key;
use crate::zones::Scope;

/// Time after a suspicion in which the other watchers of the process may state
/// that they hear it.
#[derive(Debug)]
pub struct AnswerWindow {
    /// Number of the last heartbeat before the suspicion.
    suspected: Sequence,
    since: Duration,
    may_answer: bool,
}

impl Directory {
    /// Updates the verdicts affected by the records merged since the last call.
    pub fn update_verdicts(&mut self, now: Duration, scope: &Scope) {
        let entry_states = &self.entry_states;
        let changed = self.zones.update_lost(now, scope, |report| {
            let state = entry_states.get(&entry_key(report.observer));
            state.is_some_and(|state| state.live && state.entry.incarnation == report.incarnation)
        });
        self.update_answer_windows(now, scope.answer_wait);
        for zone in &changed {
            self.mark_zone_dirty(*zone);
        }
        if self.entries_dirty || !changed.is_empty() {
            self.update_live_entries();
        }
        for address in std::mem::take(&mut self.dirty_services) {
            self.update_service_health(now, address);
        }
    }

    /// Updates the answer window of each suspected process.
    fn update_answer_windows(&mut self, now: Duration, answer_wait: Duration) {
        let mut windows = BTreeMap::new();
        let mut changed = Vec::new();
        for subject in self.statements.subjects() {
            let Some(suspected) = self.statements.suspected_after(subject) else {
                continue;
            };
            let held = self.answer_windows.get(&subject);
            let since = held
                .filter(|held| held.suspected == suspected)
                .map_or(now, |held| held.since);
            let may_answer = now <= since + answer_wait;
            if held.is_some_and(|held| held.may_answer != may_answer) {
                changed.push(subject);
            }
            windows.insert(
                subject,
                AnswerWindow {
                    suspected,
                    since,
                    may_answer,
                },
            );
        }
        self.answer_windows = windows;
        for subject in changed {
            self.mark_dirty(subject);
        }
    }

    fn may_answer(&self, subject: SubjectId) -> bool {
        let window = self.answer_windows.get(&subject);
        window.is_none_or(|window| window.may_answer)
    }

    fn update_live_entries(&mut self) {
        self.entries_dirty = false;
        let mut changed = Vec::new();
        for (key, state) in &self.entry_states {
            let live = !state.entry.has_left
                && !self.zones.is_lost(state.entry.zone)
                && !self
                    .statements
                    .is_silent(*key, self.may_answer(*key), |watcher| {
                        is_live(&self.entry_states, watcher)
                    });
            if live != state.live {
                changed.push(*key);
            }
        }
        for key in &changed {
            if let Some(state) = self.entry_states.get_mut(key) {
                state.live = !state.live;
            }
        }
        if changed.is_empty() {
            return;
        }
        self.generation += 1;
        // The majority among the running watchers may have changed.
        let subjects: Vec<SubjectId> = self.statements.subjects().collect();
        for subject in subjects {
            self.mark_dirty(subject);
        }
    }

    fn update_service_health(&mut self, now: Duration, address: ServiceAddress) {
        let Some(index) = self.services.get(&address).copied() else {
            return;
        };
        let view = &mut self.views[index as usize];
        let (statements, zones, entry_states) = (&self.statements, &self.zones, &self.entry_states);
        let windows = &self.answer_windows;
        let changed = view.update_health(|target| {
            target.state != State::Left
                && (zones.is_lost(target.zone)
                    || statements.is_silent(
                        target.id,
                        windows.get(&target.id).is_none_or(|held| held.may_answer),
                        |watcher| is_live(entry_states, watcher),
                    ))
        });
        for member in view.targets.values() {
            let id = member.target.id;
            let gone = member.target.state == State::Left
                || (member.health != Health::Up && !zones.is_lost(member.target.zone));
            if gone {
                self.gone_since.entry(id).or_insert(now);
            } else {
                self.gone_since.remove(&id);
            }
        }
        for target in changed {
            self.add_change(address, Some(target));
        }
    }

    /// Marks the verdict on a process to be updated.
    pub(super) fn mark_dirty(&mut self, subject: SubjectId) {
        match self
            .record_index
            .get(&subject)
            .map(|indexed| &indexed.location)
        {
            Some(Location::Target(index)) => {
                let address = self.view_at(*index).map(|view| view.address);
                self.dirty_services.extend(address);
            }
            Some(Location::Entry) => self.entries_dirty = true,
            _ => {}
        }
    }

    fn mark_zone_dirty(&mut self, zone: ZoneId) {
        let views = self.views.iter();
        let touched = views.filter(|view| {
            let mut members = view.targets.values();
            members.any(|member| member.target.zone == zone)
        });
        self.dirty_services.extend(touched.map(|view| view.address));
    }
}

fn is_live(entry_states: &BTreeMap<Key, EntryState>, address: SocketAddr) -> bool {
    entry_states
        .get(&entry_key(address))
        .is_some_and(|state| state.live)
}
