//! The entry's side: the directory, failure detection and gossip.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use wire::Incarnation;
use wire::ServiceAddress;
use wire::TargetId;
use wire::ZoneId;

use crate::Action;
use crate::Entry;
use crate::Health;
use crate::Message;
use crate::Record;
use crate::Refusal;
use crate::Service;
use crate::Settings;
use crate::Status;
use crate::View;
use crate::directory::Directory;
use crate::message::Ack;
use crate::message::Heartbeat;
use crate::message::Members;
use crate::message::Sequence;
use crate::message::Subject;
use crate::message::pack;

/// Bytes of a datagram beside the message: IP, UDP, seal and frame.
pub const OVERHEAD_BYTES: usize = 50;

/// Who an entry is, from its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// UDP address for frames.
    pub address: SocketAddr,
    /// TCP address for calls between processes.
    pub control: SocketAddr,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Start time of the process.
    pub incarnation: Incarnation,
}

#[derive(Debug)]
struct Watch {
    incarnation: Incarnation,
    sequence: Sequence,
    heard: Duration,
}

/// The directory of an entry and the protocol that keeps it.
#[derive(Debug)]
pub struct Registry {
    settings: Settings,
    identity: Identity,
    rng: Rng,
    directory: Directory,
    watches: BTreeMap<TargetId, Watch>,
    peers: Vec<SocketAddr>,
    next_round: Duration,
    status: Status,
}

impl Registry {
    /// Starts with an empty directory that holds only this entry.
    #[must_use]
    pub fn new(settings: Settings, identity: Identity, seed: u64, now: Duration) -> Self {
        let mut directory = Directory::default();
        directory.merge(Record::Entry(Entry {
            address: identity.address,
            control: identity.control,
            zone: identity.zone,
            incarnation: identity.incarnation,
            left: false,
        }));
        Self {
            settings,
            identity,
            rng: Rng::with_seed(seed),
            directory,
            watches: BTreeMap::new(),
            peers: Vec::new(),
            next_round: now,
            status: Status::default(),
        }
    }

    /// Names entries to learn from; more are learned through them.
    pub fn join(&mut self, now: Duration, peers: &[SocketAddr]) {
        self.peers = peers.to_vec();
        self.peers.retain(|peer| *peer != self.identity.address);
        self.next_round = now;
    }

    /// Takes a configuration record, as read from the platform's store; true
    /// where it is newer than the one held.
    pub fn put(&mut self, _now: Duration, service: Service) -> bool {
        self.directory.merge(Record::Service(service))
    }

    /// Asks peers for a service that is not held yet.
    pub fn need(&mut self, _now: Duration, _address: ServiceAddress) {}

    /// Takes a message that `from` sent.
    pub fn handle(
        &mut self,
        now: Duration,
        from: SocketAddr,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        self.status.received += 1;
        self.status.received_bytes += size(&message);
        match message {
            Message::Heartbeat(heartbeat) => self.heartbeat(now, from, heartbeat, actions),
            Message::Push(records) => self.push(records),
            Message::Ack(_) | Message::Members(_) => self.status.refuse(Refusal::Unexpected),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now < self.next_round {
            return;
        }
        self.next_round = now + self.settings.round;
        self.judge(now);
        self.gossip(actions);
    }

    /// When to call [`Self::tick`] next.
    #[must_use]
    pub const fn next_deadline(&self) -> Duration {
        self.next_round
    }

    /// The view of a service.
    #[must_use]
    pub fn service(&self, address: &ServiceAddress) -> Option<&View> {
        self.directory.view(address)
    }

    /// The views of all services.
    pub fn services(&self) -> impl Iterator<Item = &View> {
        self.directory.views()
    }

    /// The services whose view changed since the last call.
    pub fn changes(&mut self) -> Vec<ServiceAddress> {
        self.directory.take_changes()
    }

    /// All entries known, this one and departed ones included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.directory.entries()
    }

    /// Counters and sizes.
    #[must_use]
    pub fn status(&self) -> Status {
        let members = self.services().flat_map(|view| view.targets.values());
        Status {
            services: self.services().count(),
            targets: self.directory.target_count(),
            silent: members.filter(|member| member.health != Health::Up).count(),
            entries: self.entries().count(),
            ..self.status.clone()
        }
    }

    fn heartbeat(
        &mut self,
        now: Duration,
        from: SocketAddr,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        let Subject::Target(target) = heartbeat.subject else {
            return self.status.refuse(Refusal::Unexpected);
        };
        let replayed = self.watches.get(&target.id).is_some_and(|watch| {
            (watch.incarnation, watch.sequence) >= (target.incarnation, heartbeat.sequence)
        });
        if replayed {
            return self.status.refuse(Refusal::Replay);
        }
        let watch = Watch {
            incarnation: target.incarnation,
            sequence: heartbeat.sequence,
            heard: now,
        };
        self.watches.insert(target.id, watch);
        let (id, address, incarnation) = (target.id, target.service, target.incarnation);
        self.directory.merge(Record::Target(target));
        self.directory.set_health(id, Health::Up);
        let digest = self.service(&address).map_or(0, View::digest);
        let ack = Ack {
            incarnation,
            sequence: heartbeat.sequence,
            watchers: Vec::new(),
            digest,
        };
        self.send(from, Message::Ack(ack), actions);
        if digest != heartbeat.digest {
            self.send_view(from, address, actions);
        }
    }

    fn send_view(&mut self, to: SocketAddr, address: ServiceAddress, actions: &mut Vec<Action>) {
        let Some(view) = self.service(&address) else {
            return;
        };
        let config = Members {
            address,
            config: view.config.clone(),
            members: Vec::new(),
        };
        let chunks = pack(view.targets.values().cloned());
        self.send(to, Message::Members(config), actions);
        for members in chunks {
            let message = Message::Members(Members {
                address,
                config: None,
                members,
            });
            self.send(to, message, actions);
        }
    }

    fn push(&mut self, records: Vec<Record>) {
        for record in records {
            if !self.directory.merge(record) {
                self.status.refuse(Refusal::Stale);
            }
        }
    }

    /// Holds down the targets that this entry watches and does not hear.
    fn judge(&mut self, now: Duration) {
        for (id, watch) in &self.watches {
            if now.saturating_sub(watch.heard) > self.settings.silence {
                self.directory.set_health(*id, Health::Down);
            }
        }
    }

    /// Pushes all records to a few entries.
    fn gossip(&mut self, actions: &mut Vec<Action>) {
        let mut peers: Vec<SocketAddr> = self
            .entries()
            .filter(|entry| !entry.left)
            .map(|entry| entry.address)
            .chain(self.peers.iter().copied())
            .filter(|address| *address != self.identity.address)
            .collect();
        peers.sort_unstable();
        peers.dedup();
        self.rng.shuffle(&mut peers);
        peers.truncate(self.settings.fanout);
        for records in pack(self.directory.records()) {
            for peer in &peers {
                self.send(*peer, Message::Push(records.clone()), actions);
            }
        }
    }

    fn send(&mut self, to: SocketAddr, message: Message, actions: &mut Vec<Action>) {
        self.status.sent += 1;
        self.status.sent_bytes += size(&message);
        actions.push(Action::Send { to, message });
    }
}

/// Bytes of the datagram that carries the message.
fn size(message: &Message) -> u64 {
    let message = message.encode().map_or(0, |bytes| bytes.len());
    (message + OVERHEAD_BYTES) as u64
}
