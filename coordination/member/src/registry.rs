//! Entry side of membership: the directory, failure detection and gossip.
mod anti_entropy;
mod audit;
mod broadcast;
mod failure;
mod gossip;
mod heartbeat;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use wire::Incarnation;
use wire::ServiceAddress;
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
use crate::fragment::Assembler;
use crate::link::Link;
use crate::message::Sequence;
use crate::peers::Peers;
use crate::record::Key;
use crate::record::SubjectId;
use crate::record::entry_key;
use crate::rendezvous::Candidate;
use crate::rumors::Rumors;
use crate::watches::Watches;
use crate::zone::region;
use crate::zones::Scope;
use broadcast::Broadcast;

/// Time between two searches for expired records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Identity of an entry, from its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// UDP address for frames, from which this process also sends.
    pub address: SocketAddr,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Start time of the process.
    pub incarnation: Incarnation,
}

/// Directory of an entry and the protocol that maintains it.
///
/// ```
/// use std::time::Duration;
///
/// let address = "10.0.0.1:7000".parse()?;
/// let identity = member::Identity {
///     address,
///     zone: 1,
///     incarnation: 1,
/// };
/// let now = Duration::ZERO;
/// let mut registry = member::Registry::new(member::Settings::default(), identity, 1, now);
/// registry.join(now, &["10.0.0.2:7000".parse()?]);
/// let mut actions = Vec::new();
/// registry.tick(now, &mut actions);
/// assert!(!actions.is_empty());
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug)]
pub struct Registry {
    settings: Settings,
    identity: Identity,
    key: Key,
    rng: Rng,
    started_at: Duration,
    directory: Directory,
    watches: Watches,
    rumors: Rumors,
    link: Link,
    assembler: Assembler,
    live_set: LiveSet,
    own_heartbeat: OwnHeartbeat,
    broadcast: Broadcast,
    seeds: Vec<SocketAddr>,
    service_requests: BTreeMap<ServiceAddress, ServiceRequest>,
    last_reports: BTreeMap<ZoneId, Duration>,
    /// Key of the last record that the audit checked.
    last_audited: Key,
    /// Keys of records requested in this comparison interval.
    requested_keys: BTreeSet<Key>,
    /// True if the last comparison found records missing here.
    is_behind: bool,
    /// Peers that were asked for a service.
    asked_peers: BTreeSet<SocketAddr>,
    has_peer_answered: bool,
    /// True while this entry doubts itself and states no suspicions.
    is_doubtful: bool,
    next_round: Duration,
    last_push: Duration,
    next_push: Option<Duration>,
    next_compare: Duration,
    next_request_reset: Duration,
    next_expiry: Duration,
}

/// Values derived from the entries, cached until an entry or its liveness
/// changes.
#[derive(Debug, Default)]
struct LiveSet {
    generation: Option<u64>,
    candidates: Vec<Candidate>,
    peers: Peers,
    /// Zones of the own region with entries that have not left; entries that
    /// are silent count too.
    zones: BTreeSet<ZoneId>,
    chosen_watchers: BTreeMap<SubjectId, Vec<SocketAddr>>,
}

/// State of the heartbeats that this entry sends.
#[derive(Debug, Default)]
struct OwnHeartbeat {
    sequence: Sequence,
    next: Duration,
    watchers: Vec<SocketAddr>,
    /// Entries in other regions that observe the zone of this one.
    observers: Vec<SocketAddr>,
}

/// Pending request to peers for a service.
#[derive(Debug)]
struct ServiceRequest {
    tries: u32,
    next: Duration,
}

impl Registry {
    /// Creates a directory that holds only this entry.
    #[must_use]
    pub fn new(settings: Settings, identity: Identity, seed: u64, now: Duration) -> Self {
        let mut registry = Self {
            key: entry_key(identity.address),
            rng: Rng::with_seed(seed),
            started_at: now,
            directory: Directory::default(),
            watches: Watches::default(),
            rumors: Rumors::default(),
            link: Link::new(settings.byte_rate, now),
            assembler: Assembler::default(),
            live_set: LiveSet::default(),
            own_heartbeat: OwnHeartbeat {
                next: now,
                ..OwnHeartbeat::default()
            },
            broadcast: Broadcast::default(),
            seeds: Vec::new(),
            service_requests: BTreeMap::new(),
            last_reports: BTreeMap::new(),
            last_audited: 0,
            requested_keys: BTreeSet::new(),
            is_behind: false,
            asked_peers: BTreeSet::new(),
            has_peer_answered: false,
            is_doubtful: false,
            next_round: now,
            last_push: Duration::ZERO,
            next_push: None,
            next_compare: now,
            next_request_reset: now,
            next_expiry: now + EXPIRY_INTERVAL,
            settings,
            identity,
        };
        registry.publish(&registry.own_record(false));
        registry
    }

    /// Sets the entries to learn from; further entries are learned through them.
    pub fn join(&mut self, now: Duration, seeds: &[SocketAddr]) {
        let others = seeds.iter().copied();
        self.seeds = others
            .filter(|seed| *seed != self.identity.address)
            .collect();
        self.next_round = now;
        self.next_compare = now;
    }

    /// Announces that this entry stops. Its process may exit once the actions
    /// are done.
    pub fn leave(&mut self, _now: Duration, actions: &mut Vec<Action>) {
        self.publish(&self.own_record(true));
        for _ in 0..self.settings.watcher_count {
            self.gossip(actions);
        }
    }

    /// Merges a service configuration read from the platform's store; returns
    /// whether it is newer than the held one.
    pub fn put_service(&mut self, _now: Duration, service: Service) -> bool {
        self.publish(&Record::Service(service))
    }

    /// Requests a service that is not held yet from peers. The rest of the
    /// directory follows by anti-entropy, within the budget.
    pub fn request_service(&mut self, now: Duration, address: ServiceAddress) {
        let is_held = self
            .view(&address)
            .is_some_and(|view| view.config.is_some());
        if is_held || self.service_requests.len() >= anti_entropy::MAX_SERVICE_REQUESTS {
            return;
        }
        self.service_requests
            .entry(address)
            .or_insert(ServiceRequest {
                tries: 0,
                next: now,
            });
        self.next_round = self.next_round.min(now);
    }

    /// Processes a message from `from`.
    pub fn handle(
        &mut self,
        now: Duration,
        from: SocketAddr,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        self.link.receive(now, &message);
        self.directory.set_now(now);
        match message {
            Message::Heartbeat(heartbeat) => self.receive_heartbeat(now, from, heartbeat, actions),
            Message::Probe => self.send_heartbeat(&[from], actions),
            Message::Push(push) => {
                self.has_peer_answered |= !push.is_rumor && self.asked_peers.contains(&from);
                self.receive_push(now, from, push, actions);
            }
            Message::Offer(offer) => self.receive_offer(now, from, offer, actions),
            Message::Fetch(fetch) => self.send_fragments(from, &fetch, actions),
            Message::Fragment(fragment) => self.receive_fragment(now, fragment),
            Message::Compare(compare) => self.receive_compare(from, &compare, actions),
            Message::Leaf(leaf) => self.receive_leaf(from, &leaf, actions),
            Message::Pull(keys) => self.send_requested(from, &keys, actions),
            Message::PullService(address) => self.send_service_records(from, address, actions),
            // An entry uses an acknowledgement only as a sign that it can still
            // receive.
            Message::Ack(_) => {}
            Message::Members(_) | Message::TargetList(_) => self.link.refuse(Refusal::Unexpected),
        }
    }

    /// Does the periodic work that is due.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.gossip_if_due(now, actions);
        self.broadcast_change(now, actions);
        if now < self.next_round {
            return;
        }
        if now > self.next_round + self.settings.max_tick_delay() {
            self.link.status.self_doubts += 1;
            self.watches.reset_silence(now, |_| true);
            self.directory.reset_silence(now);
        }
        self.directory.set_now(now);
        self.next_round = now + self.settings.round_interval;
        self.link.refill(now);
        self.refresh_live_set();
        self.send_heartbeat_if_due(now, actions);
        self.audit(now, actions);
        self.detect_failures(now, actions);
        self.update_verdicts(now);
        self.fetch_overdue(now, actions);
        self.reset_requested(now);
        self.compare_if_due(now, actions);
        self.send_service_requests(now, actions);
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.expire(now);
        }
    }

    /// Returns the time at which to call [`Self::tick`] next.
    #[must_use]
    pub fn next_deadline(&self) -> Duration {
        let push = self.next_push.unwrap_or(self.next_round);
        push.min(self.next_round)
    }

    /// Returns the view of a service.
    #[must_use]
    pub fn view(&self, address: &ServiceAddress) -> Option<&View> {
        self.directory.view(address)
    }

    /// Returns the views of all services.
    pub fn views(&self) -> impl Iterator<Item = &View> {
        self.directory.views()
    }

    /// Returns the services whose view changed since the last call.
    pub fn take_changes(&mut self) -> Vec<ServiceAddress> {
        self.directory.take_changes()
    }

    /// Returns all known entries, including this one, silent and departed ones.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.directory.entries()
    }

    /// Returns the addresses of the running entries, including this one.
    pub fn live_entries(&self) -> impl Iterator<Item = SocketAddr> {
        let live = self.directory.live_entries();
        live.map(|entry| entry.address)
    }

    /// Returns the newer incarnation of an entry at this address, if there is
    /// one. The other entries then ignore this process, which must exit or
    /// start again with a larger incarnation.
    #[must_use]
    pub fn successor(&self) -> Option<Incarnation> {
        let held = self.directory.incarnation(self.key);
        held.filter(|held| *held > self.identity.incarnation)
    }

    /// Raises the incarnation above the newest one known at this address. Only
    /// for a process that is the only one at its address and whose clock went
    /// back.
    pub fn raise_incarnation(&mut self) {
        if let Some(successor) = self.successor() {
            self.identity.incarnation = successor + 1;
            self.publish(&self.own_record(false));
        }
    }

    /// Returns whether an entry that was asked for a service has sent records.
    #[must_use]
    pub const fn has_peer_answered(&self) -> bool {
        self.has_peer_answered
    }

    /// Returns the digest of all records, which is equal in directories that
    /// agree.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.directory.tree().root()
    }

    /// Returns counters and sizes.
    #[must_use]
    pub fn status(&self) -> Status {
        let members = self.views().flat_map(|view| view.targets.values());
        Status {
            services: self.views().count(),
            targets: self.views().map(|view| view.targets.len()).sum(),
            silent_targets: members.filter(|member| member.health != Health::Up).count(),
            entries: self.entries().count(),
            watched: self.watches.len(),
            is_doubtful: self.is_doubtful,
            rumors: self.rumors.len(),
            lost_zones: self.directory.zones().lost().count(),
            ..self.link.status.clone()
        }
    }

    fn own_record(&self, has_left: bool) -> Record {
        Record::Entry(Entry {
            address: self.identity.address,
            zone: self.identity.zone,
            incarnation: self.identity.incarnation,
            has_left,
        })
    }

    /// Merges a record and gossips it if it was new; returns whether it was.
    fn publish(&mut self, record: &Record) -> bool {
        match self.directory.merge(record.clone()) {
            Ok(()) => {
                self.start_gossip(record);
                true
            }
            Err(reason) => {
                self.link.refuse(reason);
                false
            }
        }
    }

    /// Starts to gossip a record.
    fn start_gossip(&mut self, record: &Record) {
        self.rumors.insert(record, self.live_set.candidates.len());
        let earliest = self.last_push + self.settings.push_interval;
        self.next_push.get_or_insert(earliest);
    }

    fn update_verdicts(&mut self, now: Duration) {
        let lost: BTreeSet<ZoneId> = self.directory.zones().lost().collect();
        let scope = Scope {
            region: region(self.identity.zone),
            zones: self.live_set.zones.clone(),
            settle_wait: self.settings.suspicion_delay * 2,
            answer_wait: self.settings.silence_timeout * 2,
        };
        self.directory.update_verdicts(now, &scope);
        let zones = self.directory.zones();
        let is_back = |zone| lost.contains(&zone) && !zones.is_lost(zone);
        self.watches.reset_silence(now, |watch| is_back(watch.zone));
    }

    fn refresh_live_set(&mut self) {
        let generation = self.directory.generation();
        if self.live_set.generation == Some(generation) {
            return;
        }
        let own = &self.identity;
        let near = self
            .directory
            .entries()
            .filter(|entry| !entry.has_left && region(entry.zone) == region(own.zone));
        let zones = near.map(|entry| entry.zone).collect();
        let candidates: Vec<Candidate> = self.directory.live_entries().collect();
        let peers = Peers::new(own.address, own.zone, candidates.iter().copied());
        self.live_set = LiveSet {
            generation: Some(generation),
            candidates,
            peers,
            zones,
            chosen_watchers: BTreeMap::new(),
        };
    }

    fn expire(&mut self, now: Duration) {
        for removal in self.directory.expire(now, self.settings.retention) {
            self.start_gossip(&removal);
        }
        let directory = &self.directory;
        self.watches
            .retain(|subject, _| directory.incarnation(subject).is_some());
        self.broadcast.retain(&self.watches);
    }
}
