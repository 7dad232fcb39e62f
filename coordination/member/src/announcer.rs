//! Agent side of membership: announces a backend server and keeps the view of
//! its service.
mod watchers;

use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use wire::Incarnation;
use wire::Target;
use wire::target::State;

use crate::Action;
use crate::BROADCAST_ADDRESS;
use crate::Health;
use crate::Member;
use crate::Message;
use crate::Refusal;
use crate::Service;
use crate::Settings;
use crate::Status;
use crate::View;
use crate::fragment::Assembler;
use crate::fragment::Offer;
use crate::link::Link;
use crate::message::Ack;
use crate::message::Heartbeat;
use crate::message::Members;
use crate::message::Sequence;
use crate::message::Subject;
use crate::message::TargetList;
use watchers::Watchers;

/// Heartbeats that announce a departure before the agent stops sending.
const DEPARTURE_HEARTBEATS: u32 = 8;

/// Time between two departure heartbeats.
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(200);

/// Heartbeats that an agent sends in quick succession after its start while
/// most of its watchers have not answered. After a failure that also stopped
/// the watchers, they start together with the agent and may miss its first
/// heartbeats.
const STARTUP_HEARTBEATS: u32 = 12;

/// Time between two startup heartbeats: a few round trips within a region.
const STARTUP_INTERVAL: Duration = Duration::from_millis(150);

/// Time without an acknowledgement after which the version of the announcement
/// is raised, since the entries may have removed the older version.
const REANNOUNCE_AFTER: Duration = Duration::from_mins(1);

/// Largest fraction by which a heartbeat interval is randomly shortened.
const JITTER: f64 = 0.1;

/// Changeable part of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Learned capacity in requests per second, in coarse steps; at least 1.
    pub weight: u32,
    /// State of the backend server, which says whether it accepts new flows.
    pub state: State,
}

/// State machine that announces one backend server and keeps the view of its
/// service.
#[derive(Debug)]
pub struct Announcer {
    settings: Settings,
    target: Target,
    rng: Rng,
    sequence: Sequence,
    /// Number of the first heartbeat that carries the current version.
    announced_sequence: Sequence,
    last_acknowledged: Duration,
    next_heartbeat: Duration,
    watchers: Watchers,
    view: View,
    view_changed: bool,
    /// Newest record that entries sent to all agents.
    broadcast: Option<Service>,
    broadcast_changed: bool,
    /// Departure heartbeats left to send, once the agent leaves.
    departure_heartbeats: Option<u32>,
    /// Startup heartbeats left to send.
    startup_heartbeats: u32,
    successor: Option<Incarnation>,
    link: Link,
    assembler: Assembler,
}

impl Announcer {
    /// Creates an announcer of `target` that sends heartbeats to some of the
    /// entries in `seeds`.
    #[must_use]
    pub fn new(
        settings: Settings,
        target: Target,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: Duration,
    ) -> Self {
        let mut view = View::new(target.service);
        let mut rng = Rng::with_seed(seed);
        // An empty view accepts any target.
        view.merge_target(target.clone()).ok();
        Self {
            watchers: Watchers::new(settings.clone(), seeds, now, &mut rng),
            link: Link::new(settings.byte_rate, now),
            settings,
            target,
            rng,
            sequence: 0,
            announced_sequence: 1,
            last_acknowledged: now,
            next_heartbeat: now,
            view,
            view_changed: true,
            broadcast: None,
            broadcast_changed: false,
            departure_heartbeats: None,
            startup_heartbeats: STARTUP_HEARTBEATS,
            successor: None,
            assembler: Assembler::default(),
        }
    }

    /// Adds entries that may become watchers. The next heartbeat is due at once
    /// if no watcher has answered yet.
    pub fn add_entries(&mut self, now: Duration, entries: &[SocketAddr]) {
        if self.watchers.add_seeds(now, entries, &mut self.rng) {
            self.next_heartbeat = now;
        }
    }

    /// Announces a change of the backend server at the next tick.
    pub fn announce(&mut self, now: Duration, change: Change) {
        let is_same = (self.target.weight, self.target.state) == (change.weight, change.state);
        if self.departure_heartbeats.is_some() || is_same {
            return;
        }
        self.target.weight = change.weight.max(1);
        self.target.state = change.state;
        self.bump_version(now);
    }

    /// Announces that the backend server has left, until most watchers have
    /// acknowledged it or the last departure heartbeat has been sent.
    pub fn leave(&mut self, now: Duration) {
        let weight = self.target.weight;
        let state = State::Left;
        self.announce(now, Change { weight, state });
        if self.departure_heartbeats.is_none() {
            self.departure_heartbeats = Some(DEPARTURE_HEARTBEATS);
            self.next_heartbeat = now;
        }
    }

    /// Returns the newer incarnation that announces the same backend server, if
    /// there is one. The entries then ignore this process, which must exit or
    /// start again with a larger incarnation.
    #[must_use]
    pub const fn successor(&self) -> Option<Incarnation> {
        self.successor
    }

    /// Raises the incarnation above the newest one known for the same backend
    /// server. Only for a process that is the only one beside this backend
    /// server and whose clock went back.
    pub fn raise_incarnation(&mut self, now: Duration) {
        if let Some(successor) = self.successor.take() {
            self.target.incarnation = successor + 1;
            self.bump_version(now);
        }
    }

    /// Returns whether nothing is left to announce after [`Self::leave`].
    #[must_use]
    pub fn is_finished(&self) -> bool {
        let most_know = self.watchers.most_acknowledged(self.announced_sequence);
        self.departure_heartbeats
            .is_some_and(|left| left == 0 || (left < DEPARTURE_HEARTBEATS && most_know))
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
        let service = self.target.service;
        match message {
            Message::Ack(ack) => self.receive_ack(now, from, ack, actions),
            Message::Probe => self.send_heartbeat(&[from], actions),
            Message::Members(members) if members.address == service => self.merge_members(members),
            Message::Members(members) if members.address == BROADCAST_ADDRESS => {
                self.receive_broadcast(members.config);
            }
            Message::TargetList(list) if list.address == service => self.receive_target_list(&list),
            Message::Offer(offer) if offer.address == service => {
                self.receive_offer(now, from, offer, actions);
            }
            Message::Fragment(fragment) if fragment.offer.address == service => {
                if let Some(config) = self.assembler.add_fragment(now, fragment) {
                    self.view_changed |= self.view.merge_config(config).is_ok();
                }
            }
            _ => self.link.refuse(Refusal::Unexpected),
        }
    }

    /// Sends a due heartbeat and requests overdue fragments again.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now < self.next_heartbeat {
            return;
        }
        let interval = match self.departure_heartbeats {
            Some(_) => DEPARTURE_INTERVAL,
            None if self.startup_heartbeats > 0 && !self.watchers.most_answered() => {
                self.startup_heartbeats -= 1;
                STARTUP_INTERVAL
            }
            None => self.settings.heartbeat_interval,
        };
        self.next_heartbeat = now + interval.mul_f64(1.0 - self.rng.f64() * JITTER);
        if self.is_finished() {
            return;
        }
        self.departure_heartbeats = self.departure_heartbeats.map(|left| left - 1);
        self.watchers.check_answers(now, &mut self.rng);
        let receivers = self.watchers.receivers();
        self.send_heartbeat(&receivers, actions);
        for request in self.assembler.retry_overdue(now) {
            self.link
                .send(request.to, Message::Fetch(request.fetch), actions);
        }
    }

    /// Returns the time at which to call [`Self::tick`] next.
    #[must_use]
    pub const fn next_deadline(&self) -> Duration {
        self.next_heartbeat
    }

    /// Returns the current announcement.
    #[must_use]
    pub const fn target(&self) -> &Target {
        &self.target
    }

    /// Returns the addresses of the entries that watch the agent.
    #[must_use]
    pub fn watchers(&self) -> Vec<SocketAddr> {
        self.watchers.addresses()
    }

    /// Returns the view of the agent's own service.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Returns whether the view equals the one that some watcher had when it
    /// last answered.
    #[must_use]
    pub fn is_current(&self) -> bool {
        let digest = Some(self.view.digest());
        let mut watchers = self.watchers.addresses().into_iter();
        watchers.any(|watcher| self.watchers.acknowledged_digest(watcher) == digest)
    }

    /// Returns whether the view has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.view_changed)
    }

    /// Returns the record at [`BROADCAST_ADDRESS`] if it has changed since the last
    /// call.
    pub fn take_broadcast(&mut self) -> Option<Service> {
        let has_changed = std::mem::take(&mut self.broadcast_changed);
        self.broadcast.clone().filter(|_| has_changed)
    }

    /// Returns counters and sizes.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            services: 1,
            targets: self.view.targets.len(),
            ..self.link.status.clone()
        }
    }

    /// Sends a heartbeat to each receiver.
    fn send_heartbeat(&mut self, receivers: &[SocketAddr], actions: &mut Vec<Action>) {
        self.sequence += 1;
        let watchers = self.watchers.addresses();
        let digest = self.view.digest();
        let differing = |to: &&SocketAddr| self.watchers.acknowledged_digest(**to) != Some(digest);
        let mut differing: Vec<SocketAddr> = receivers.iter().filter(differing).copied().collect();
        self.rng.shuffle(&mut differing);
        for to in receivers {
            // One of the entries whose view differs receives the digests of the
            // parts, and answers with the parts that differ.
            let parts = match differing.first() {
                Some(first) if first == to => self.view.parts(),
                _ => Vec::new(),
            };
            let heartbeat = Heartbeat {
                subject: Subject::Target(self.target.clone()),
                sequence: self.sequence,
                watchers: watchers.clone(),
                to_observer: false,
                digest,
                parts,
            };
            self.link.send(*to, Message::Heartbeat(heartbeat), actions);
        }
    }

    /// Raises the version of the announcement and sends it at the next tick.
    fn bump_version(&mut self, now: Duration) {
        self.target.version += 1;
        self.announced_sequence = self.sequence + 1;
        self.view_changed |= self.view.merge_target(self.target.clone()).is_ok();
        self.next_heartbeat = now;
    }

    fn receive_ack(
        &mut self,
        now: Duration,
        from: SocketAddr,
        ack: Ack,
        actions: &mut Vec<Action>,
    ) {
        if ack.incarnation != self.target.incarnation || ack.sequence > self.sequence {
            return self.link.refuse(Refusal::Unexpected);
        }
        // The entries may have removed a target that they did not hear for
        // long, and then refuse its older version.
        let unheard = now.saturating_sub(self.last_acknowledged);
        self.last_acknowledged = now;
        if unheard > REANNOUNCE_AFTER {
            self.bump_version(now);
        }
        let receivers = self.watchers.acknowledge(now, from, ack);
        if !receivers.is_empty() {
            self.send_heartbeat(&receivers, actions);
        }
    }

    /// Keeps the newest record that concerns every agent.
    fn receive_broadcast(&mut self, record: Option<Service>) {
        let Some(record) = record.filter(|record| record.address == BROADCAST_ADDRESS) else {
            return;
        };
        let held = self.broadcast.as_ref();
        if held.is_none_or(|held| held.revision < record.revision) {
            self.broadcast = Some(record);
            self.broadcast_changed = true;
        }
    }

    fn merge_members(&mut self, members: Members) {
        if let Some(config) = members.config {
            self.view_changed |= self.view.merge_config(config).is_ok();
        }
        for member in members.members {
            self.merge_member(member);
        }
    }

    /// Fetches a large configuration that is newer than the held one.
    fn receive_offer(
        &mut self,
        now: Duration,
        from: SocketAddr,
        offer: Offer,
        actions: &mut Vec<Action>,
    ) {
        let held = self.view.config.as_ref();
        if held.is_some_and(|held| held.revision >= offer.revision) {
            return;
        }
        if let Some(request) = self.assembler.start(now, from, offer) {
            self.link
                .send(request.to, Message::Fetch(request.fetch), actions);
        }
    }

    fn merge_member(&mut self, member: Member) {
        let (id, stamp) = (member.target.id, member.target.stamp());
        if member.target.service != self.target.service {
            return;
        }
        if id == self.target.id && stamp.incarnation > self.target.incarnation {
            self.successor = Some(stamp.incarnation);
            return;
        }
        // The agent's own announcement is authoritative.
        if id != self.target.id {
            self.view_changed |= self.view.merge_target(member.target).is_ok();
        }
        let held = self.view.targets.get(&id).map(|held| held.target.stamp());
        if held == Some(stamp) {
            self.view_changed |= self.view.set_health(id, member.health);
        }
    }

    /// Removes the departed and silent targets that the entry no longer lists.
    fn receive_target_list(&mut self, list: &TargetList) {
        let part = self.view.part(list.part.into()).iter();
        let removed: Vec<u64> = part
            .filter(|member| member.target.state == State::Left || member.health != Health::Up)
            .map(|member| member.target.id)
            .filter(|id| *id != self.target.id && !list.targets.contains(id))
            .collect();
        for id in removed {
            self.view_changed |= self.view.remove(id);
        }
    }
}
