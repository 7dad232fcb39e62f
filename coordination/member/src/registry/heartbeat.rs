//! Heartbeats of agents and entries, and their acknowledgements.
use std::net::SocketAddr;
use std::time::Duration;

use wire::Incarnation;
use wire::ServiceAddress;
use wire::ZoneId;
use wire::target::State;

use super::Registry;
use crate::Action;
use crate::Entry;
use crate::Message;
use crate::Record;
use crate::Refusal;
use crate::View;
use crate::digest::Digest;
use crate::fragment;
use crate::message::Ack;
use crate::message::Heartbeat;
use crate::message::Members;
use crate::message::Subject;
use crate::message::TargetList;
use crate::message::pack;
use crate::record::SubjectId;
use crate::record::entry_key;
use crate::rendezvous;
use crate::view::Member;
use crate::view::PARTS;
use crate::watches::Watch;

/// Number of entries suggested to an agent beyond its watchers.
const SPARE_WATCHERS: usize = 3;

/// Number of other regions in which an entry has observers.
const REMOTE_REGIONS: usize = 2;

/// Number of observers of an entry in each of these regions.
const REMOTE_OBSERVERS: usize = 2;

/// Largest number of processes whose chosen watchers are cached.
const MAX_CACHED_CHOICES: usize = 4_096;

/// Properties that both kinds of subjects have in common.
struct Sender {
    id: SubjectId,
    address: SocketAddr,
    zone: ZoneId,
    incarnation: Incarnation,
    service: Option<ServiceAddress>,
    has_left: bool,
}

impl Sender {
    fn new(subject: &Subject) -> Self {
        match subject {
            Subject::Target(target) => Self {
                id: target.id,
                address: target.address,
                zone: target.zone,
                incarnation: target.incarnation,
                service: Some(target.service),
                has_left: target.state == State::Left,
            },
            Subject::Entry(entry) => Self {
                id: entry_key(entry.address),
                address: entry.address,
                zone: entry.zone,
                incarnation: entry.incarnation,
                service: None,
                has_left: entry.has_left,
            },
        }
    }
}

impl Registry {
    /// Processes a heartbeat and acknowledges it.
    pub(super) fn receive_heartbeat(
        &mut self,
        now: Duration,
        from: SocketAddr,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        let sender = Sender::new(&heartbeat.subject);
        if let Err(reason) = self.check_order(&sender, heartbeat.sequence) {
            self.link.refuse(reason);
            return self.send_successor(from, &sender, actions);
        }
        let record = match heartbeat.subject {
            Subject::Target(target) => Record::Target(target),
            Subject::Entry(entry) => Record::Entry(entry),
        };
        if self.directory.record(record.key()).as_ref() != Some(&record) {
            self.publish(&record);
        }
        let watch = Watch {
            address: sender.address,
            zone: sender.zone,
            incarnation: sender.incarnation,
            sequence: heartbeat.sequence,
            last_heard: now,
            last_probed: now,
            is_watcher: heartbeat.watchers.contains(&self.identity.address),
            watchers: heartbeat.watchers,
        };
        self.update_watch(&sender, watch, heartbeat.to_observer);
        self.refresh_live_set();
        let view = sender.service.and_then(|address| self.view(&address));
        let digest = view.map_or(0, View::digest);
        let ack = Ack {
            incarnation: sender.incarnation,
            sequence: heartbeat.sequence,
            watchers: self.choose_watchers(&sender),
            digest,
        };
        self.link.send(from, Message::Ack(ack), actions);
        if sender.service.is_some() && !sender.has_left {
            self.broadcast_to(now, sender.id, from, sender.incarnation, actions);
        }
        match sender.service {
            Some(address) if digest != heartbeat.digest => {
                self.send_view(from, address, &heartbeat.parts, actions);
            }
            _ => {}
        }
    }

    fn check_order(&self, sender: &Sender, sequence: u64) -> Result<(), Refusal> {
        let held = self.directory.incarnation(sender.id);
        if held.is_some_and(|held| held > sender.incarnation) {
            return Err(Refusal::OldIncarnation);
        }
        match self.watches.get(sender.id) {
            Some(watch)
                if (watch.incarnation, watch.sequence) >= (sender.incarnation, sequence) =>
            {
                Err(Refusal::Replay)
            }
            _ => Ok(()),
        }
    }

    /// Notifies an agent that a newer incarnation announces its backend server.
    fn send_successor(&mut self, from: SocketAddr, sender: &Sender, actions: &mut Vec<Action>) {
        let view = sender.service.and_then(|address| self.view(&address));
        let member = view.and_then(|view| view.targets.get(&sender.id));
        let newer = member.filter(|held| held.target.incarnation > sender.incarnation);
        let Some(newer) = newer.cloned() else {
            return;
        };
        let members = Members {
            address: newer.target.service,
            config: None,
            members: vec![newer],
        };
        self.link.send(from, Message::Members(members), actions);
    }

    /// Starts or renews the watch on a process that names this entry as its
    /// watcher or observer, and renews it while the zone of the process counts
    /// as lost. Ends the watch otherwise, and when the process departs.
    fn update_watch(&mut self, sender: &Sender, watch: Watch, is_observer: bool) {
        let is_watched_in_lost_zone =
            self.watches.get(sender.id).is_some() && self.directory.zones().is_lost(sender.zone);
        if sender.has_left || !(watch.is_watcher || is_observer || is_watched_in_lost_zone) {
            return self.watches.remove(sender.id);
        }
        self.watches.insert(sender.id, watch);
        self.state_heard(sender.id);
    }

    fn choose_watchers(&mut self, sender: &Sender) -> Vec<SocketAddr> {
        if sender.service.is_none() {
            return Vec::new();
        }
        if self.live_set.chosen_watchers.len() >= MAX_CACHED_CHOICES {
            self.live_set.chosen_watchers.clear();
        }
        let count = self.settings.watcher_count + SPARE_WATCHERS;
        let candidates = &self.live_set.candidates;
        let chosen_watchers = &mut self.live_set.chosen_watchers;
        let watchers = chosen_watchers
            .entry(sender.id)
            .or_insert_with(|| rendezvous::local(sender.id, sender.zone, candidates, count));
        watchers.clone()
    }

    /// Sends an agent what its view lacks: the parts that differ if it sent
    /// their digests, or else the recent changes.
    fn send_view(
        &mut self,
        to: SocketAddr,
        address: ServiceAddress,
        parts: &[Digest],
        actions: &mut Vec<Action>,
    ) {
        let Some(view) = self.directory.view(&address) else {
            return;
        };
        let mut messages = Vec::new();
        if parts.len() == PARTS + 1 {
            let own = view.parts();
            let differing = (0..).zip(own.iter().zip(parts));
            for (number, _) in differing.filter(|(_, (own, other))| own != other) {
                match number {
                    PARTS => messages.extend(config_message(view)),
                    _ => messages.extend(part_messages(view, number)),
                }
            }
        } else {
            let recent = self.directory.recent(address);
            if recent.contains(&None) {
                messages.extend(config_message(view));
            }
            let changed = recent.iter().flatten();
            let members = changed.filter_map(|id| view.targets.get(id)).cloned();
            messages.extend(member_messages(address, members));
        }
        // A random order keeps the budget from cutting off the same messages
        // each time.
        self.rng.shuffle(&mut messages);
        for message in messages {
            self.link.send_bulk(to, message, actions);
        }
    }

    /// Sends the heartbeat of this entry to its watchers and observers when it
    /// is due.
    pub(super) fn send_heartbeat_if_due(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now < self.own_heartbeat.next {
            return;
        }
        self.own_heartbeat.next = now + self.settings.heartbeat_interval;
        let candidates = &self.live_set.candidates;
        let zone = self.identity.zone;
        let watchers = rendezvous::local(self.key, zone, candidates, self.settings.watcher_count);
        let observers =
            rendezvous::remote(self.key, zone, candidates, REMOTE_REGIONS, REMOTE_OBSERVERS);
        let mut receivers = self.own_heartbeat.watchers.clone();
        receivers.extend(&self.own_heartbeat.observers);
        receivers.extend(watchers.iter().chain(&observers));
        if receivers.is_empty() {
            receivers.clone_from(&self.seeds);
        }
        // Former watchers learn from the heartbeat that they are no longer named.
        receivers.sort_unstable();
        receivers.dedup();
        self.own_heartbeat.watchers = watchers;
        self.own_heartbeat.observers = observers;
        self.send_heartbeat(&receivers, actions);
    }

    /// Sends a heartbeat of this entry to each receiver.
    pub(super) fn send_heartbeat(&mut self, receivers: &[SocketAddr], actions: &mut Vec<Action>) {
        self.own_heartbeat.sequence += 1;
        let has_left = self
            .directory
            .entry(self.key)
            .is_some_and(|own| own.has_left);
        for to in receivers {
            let heartbeat = Heartbeat {
                subject: Subject::Entry(Entry {
                    address: self.identity.address,
                    zone: self.identity.zone,
                    incarnation: self.identity.incarnation,
                    has_left,
                }),
                sequence: self.own_heartbeat.sequence,
                watchers: self.own_heartbeat.watchers.clone(),
                to_observer: self.own_heartbeat.observers.contains(to),
                digest: 0,
                parts: Vec::new(),
            };
            self.link.send(*to, Message::Heartbeat(heartbeat), actions);
        }
    }
}

pub(super) fn config_message(view: &View) -> Option<Message> {
    let config = view.config.as_ref()?;
    if fragment::is_large(config) {
        return Some(Message::Offer(fragment::offer(config)));
    }
    Some(Message::Members(Members {
        address: view.address,
        config: Some(config.clone()),
        members: Vec::new(),
    }))
}

fn part_messages(view: &View, number: usize) -> Vec<Message> {
    let part = view.part(number);
    let targets = part.iter().map(|member| member.target.id).collect();
    let list = TargetList {
        address: view.address,
        part: u8::try_from(number).unwrap_or(u8::MAX),
        targets,
    };
    let mut messages = vec![Message::TargetList(list)];
    messages.extend(member_messages(view.address, part.iter().cloned()));
    messages
}

fn member_messages(
    address: ServiceAddress,
    members: impl Iterator<Item = Member>,
) -> impl Iterator<Item = Message> {
    let groups = pack(members).into_iter();
    groups.map(move |members| {
        Message::Members(Members {
            address,
            config: None,
            members,
        })
    })
}
