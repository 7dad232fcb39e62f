//! Verdicts on processes, entries and services from what is stated of them.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use wire::ServiceAddress;
use wire::ZoneId;
use wire::target::State;

use super::Directory;
use super::Host;
use super::Place;
use crate::Health;
use crate::message::Sequence;
use crate::record::Key;
use crate::record::SubjectId;
use crate::record::entry_key;
use crate::zones::Scope;

/// A process that is suspected, and whose other watchers may still answer.
#[derive(Debug)]
pub struct Contest {
    suspected: Sequence,
    since: Duration,
    may_answer: bool,
}

impl Directory {
    /// Judges again whatever the records merged since the last call touch.
    pub fn judge(&mut self, now: Duration, scope: &Scope) {
        let hosts = &self.hosts;
        let changed = self.zones.judge(now, scope, |report| {
            let host = hosts.get(&entry_key(report.observer));
            host.is_some_and(|host| host.live && host.entry.incarnation == report.incarnation)
        });
        self.review_contests(now, scope.answer);
        for zone in &changed {
            self.dirty_zone(*zone);
        }
        if self.stale_hosts || !changed.is_empty() {
            self.judge_hosts();
        }
        for address in std::mem::take(&mut self.dirty) {
            self.judge_service(now, address);
        }
    }

    /// Notes since when processes are suspected, and for how long their other
    /// watchers may answer.
    fn review_contests(&mut self, now: Duration, answer: Duration) {
        let mut contests = BTreeMap::new();
        let mut turned = Vec::new();
        for subject in self.statements.subjects() {
            let Some(suspected) = self.statements.suspected(subject) else {
                continue;
            };
            let held = self.contests.get(&subject);
            let since = held
                .filter(|held| held.suspected == suspected)
                .map_or(now, |held| held.since);
            let may_answer = now <= since + answer;
            if held.is_some_and(|held| held.may_answer != may_answer) {
                turned.push(subject);
            }
            contests.insert(
                subject,
                Contest {
                    suspected,
                    since,
                    may_answer,
                },
            );
        }
        self.contests = contests;
        for subject in turned {
            self.stale_subject(subject);
        }
    }

    fn may_answer(&self, subject: SubjectId) -> bool {
        let contest = self.contests.get(&subject);
        contest.is_none_or(|contest| contest.may_answer)
    }

    fn judge_hosts(&mut self) {
        self.stale_hosts = false;
        let mut turned = Vec::new();
        for (key, host) in &self.hosts {
            let live = !host.entry.left
                && !self.zones.is_lost(host.entry.zone)
                && !self
                    .statements
                    .is_silent(*key, self.may_answer(*key), |watcher| {
                        is_live(&self.hosts, watcher)
                    });
            if live != host.live {
                turned.push(*key);
            }
        }
        for key in &turned {
            if let Some(host) = self.hosts.get_mut(key) {
                host.live = !host.live;
            }
        }
        if turned.is_empty() {
            return;
        }
        self.generation += 1;
        // The majority among running watchers may have changed.
        let subjects: Vec<SubjectId> = self.statements.subjects().collect();
        for subject in subjects {
            self.stale_subject(subject);
        }
    }

    fn judge_service(&mut self, now: Duration, address: ServiceAddress) {
        let Some(index) = self.services.get(&address).copied() else {
            return;
        };
        let view = &mut self.views[index as usize];
        let (statements, zones, hosts) = (&self.statements, &self.zones, &self.hosts);
        let contests = &self.contests;
        let turned = view.judge(|target| {
            target.state != State::Left
                && (zones.is_lost(target.zone)
                    || statements.is_silent(
                        target.id,
                        contests.get(&target.id).is_none_or(|held| held.may_answer),
                        |watcher| is_live(hosts, watcher),
                    ))
        });
        for member in view.targets.values() {
            let id = member.target.id;
            let gone = member.target.state == State::Left
                || (member.health != Health::Up && !zones.is_lost(member.target.zone));
            if gone {
                self.silent_since.entry(id).or_insert(now);
            } else {
                self.silent_since.remove(&id);
            }
        }
        for target in turned {
            self.note(address, Some(target));
        }
    }

    /// Has the verdict on a process renewed.
    pub(super) fn stale_subject(&mut self, subject: SubjectId) {
        match self.slots.get(&subject).map(|slot| &slot.place) {
            Some(Place::Target(index)) => {
                let address = self.view_at(*index).map(|view| view.address);
                self.dirty.extend(address);
            }
            Some(Place::Entry) => self.stale_hosts = true,
            _ => {}
        }
    }

    fn dirty_zone(&mut self, zone: ZoneId) {
        let views = self.views.iter();
        let touched = views.filter(|view| {
            let mut members = view.targets.values();
            members.any(|member| member.target.zone == zone)
        });
        self.dirty.extend(touched.map(|view| view.address));
    }
}

fn is_live(hosts: &BTreeMap<Key, Host>, address: SocketAddr) -> bool {
    hosts.get(&entry_key(address)).is_some_and(|host| host.live)
}
