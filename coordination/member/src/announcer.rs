//! The agent's side: announces a backend server and follows its service.
mod watchers;

use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use wire::Incarnation;
use wire::Target;
use wire::target::State;

use crate::Action;
use crate::Health;
use crate::Member;
use crate::Message;
use crate::Refusal;
use crate::Settings;
use crate::Status;
use crate::View;
use crate::fragment::Assembler;
use crate::fragment::Offer;
use crate::link::Link;
use crate::message::Ack;
use crate::message::Heartbeat;
use crate::message::Members;
use crate::message::Roll;
use crate::message::Sequence;
use crate::message::Subject;
use watchers::Watchers;

/// Heartbeats that announce a departure before the agent is silent.
const FAREWELLS: u32 = 8;

/// Time between two of these heartbeats.
const FAREWELL_INTERVAL: Duration = Duration::from_millis(200);

/// Heartbeats that an agent sends in quick succession after its start, while most
/// of its watchers have not answered: after a failure they start with it.
const COLD_HEARTBEATS: u32 = 12;

/// Time between two of these heartbeats. Some round trips within a region.
const COLD_INTERVAL: Duration = Duration::from_millis(150);

/// Time without an acknowledgement after which the announcement is made a
/// newer one, since the older may have been dropped.
const REANNOUNCE_AFTER: Duration = Duration::from_mins(1);

/// Largest share by which the time between two heartbeats is shortened.
const JITTER: f64 = 0.1;

/// What an agent may change of its announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Learned capacity in requests a second, in coarse steps; at least 1.
    pub weight: u32,
    /// Whether the backend server takes new flows.
    pub state: State,
}

/// Announces one backend server and keeps the view of its service.
#[derive(Debug)]
pub struct Announcer {
    settings: Settings,
    target: Target,
    rng: Rng,
    sequence: Sequence,
    announced: Sequence,
    acknowledged: Duration,
    next_heartbeat: Duration,
    watchers: Watchers,
    view: View,
    changed: bool,
    farewells: Option<u32>,
    /// Heartbeats in quick succession that are left.
    cold: u32,
    successor: Option<Incarnation>,
    link: Link,
    assembler: Assembler,
}

impl Announcer {
    /// Starts to announce `target` to some of the entries, of which `seeds` are
    /// known.
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
        // A new view takes any target.
        view.merge_target(target.clone()).ok();
        Self {
            watchers: Watchers::new(settings.clone(), seeds, now, &mut rng),
            link: Link::new(settings.send_rate, now),
            settings,
            target,
            rng,
            sequence: 0,
            announced: 1,
            acknowledged: now,
            next_heartbeat: now,
            view,
            changed: true,
            farewells: None,
            cold: COLD_HEARTBEATS,
            successor: None,
            assembler: Assembler::default(),
        }
    }

    /// Takes further entries that may be announced to, at once where none has
    /// answered yet.
    pub fn know(&mut self, now: Duration, entries: &[SocketAddr]) {
        if self.watchers.know(now, entries, &mut self.rng) {
            self.next_heartbeat = now;
        }
    }

    /// Announces a change of the backend server with the next tick.
    pub fn announce(&mut self, now: Duration, change: Change) {
        let is_same = (self.target.weight, self.target.state) == (change.weight, change.state);
        if self.farewells.is_some() || is_same {
            return;
        }
        self.target.weight = change.weight.max(1);
        self.target.state = change.state;
        self.renew(now);
    }

    /// Announces that the backend server has left, until its watchers know or
    /// a few heartbeats have gone out.
    pub fn leave(&mut self, now: Duration) {
        let weight = self.target.weight;
        let state = State::Left;
        self.announce(now, Change { weight, state });
        if self.farewells.is_none() {
            self.farewells = Some(FAREWELLS);
            self.next_heartbeat = now;
        }
    }

    /// The newer incarnation that announces the same backend server, if there
    /// is one. This process is then no longer heard, and must end or start anew
    /// with a larger incarnation.
    #[must_use]
    pub const fn successor(&self) -> Option<Incarnation> {
        self.successor
    }

    /// Takes a larger incarnation than any known of the same backend server. For
    /// a process that is the only one beside it, and whose clock went back.
    pub fn outrank(&mut self, now: Duration) {
        if let Some(successor) = self.successor.take() {
            self.target.incarnation = successor + 1;
            self.renew(now);
        }
    }

    /// True once nothing is left to announce after [`Self::leave`].
    #[must_use]
    pub fn finished(&self) -> bool {
        let most_know = self.watchers.most_acknowledged(self.announced);
        self.farewells
            .is_some_and(|left| left == 0 || (left < FAREWELLS && most_know))
    }

    /// Takes a message that `from` sent.
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
            Message::Ack(ack) => self.ack(now, from, ack, actions),
            Message::Probe => self.beat(&[from], actions),
            Message::Members(members) if members.address == service => self.members(members),
            Message::Roll(roll) if roll.address == service => self.roll(&roll),
            Message::Offer(offer) if offer.address == service => {
                self.offer(now, from, offer, actions);
            }
            Message::Fragment(fragment) if fragment.offer.address == service => {
                if let Some(config) = self.assembler.take(now, fragment) {
                    self.changed |= self.view.merge_config(config).is_ok();
                }
            }
            _ => self.link.refuse(Refusal::Unexpected),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now < self.next_heartbeat {
            return;
        }
        let interval = match self.farewells {
            Some(_) => FAREWELL_INTERVAL,
            None if self.cold > 0 && !self.watchers.most_answered() => {
                self.cold -= 1;
                COLD_INTERVAL
            }
            None => self.settings.heartbeat,
        };
        self.next_heartbeat = now + interval.mul_f64(1.0 - self.rng.f64() * JITTER);
        if self.finished() {
            return;
        }
        self.farewells = self.farewells.map(|left| left - 1);
        self.watchers.check(now, &mut self.rng);
        let receivers = self.watchers.receivers();
        self.beat(&receivers, actions);
        for request in self.assembler.overdue(now) {
            self.link
                .send(request.to, Message::Fetch(request.fetch), actions);
        }
    }

    /// When to call [`Self::tick`] next.
    #[must_use]
    pub const fn next_deadline(&self) -> Duration {
        self.next_heartbeat
    }

    /// The announcement as it stands.
    #[must_use]
    pub const fn target(&self) -> &Target {
        &self.target
    }

    /// The entries that watch the agent.
    #[must_use]
    pub fn watchers(&self) -> Vec<SocketAddr> {
        self.watchers.addresses()
    }

    /// What is known of the agent's own service.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// True where the view is the one that a watcher had when it last answered.
    #[must_use]
    pub fn is_current(&self) -> bool {
        let digest = Some(self.view.digest());
        let mut watchers = self.watchers.addresses().into_iter();
        watchers.any(|watcher| self.watchers.acknowledged_digest(watcher) == digest)
    }

    /// True where the view changed since the last call.
    pub fn changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Counters and sizes.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            services: 1,
            targets: self.view.targets.len(),
            ..self.link.status.clone()
        }
    }

    /// Sends a heartbeat.
    fn beat(&mut self, receivers: &[SocketAddr], actions: &mut Vec<Action>) {
        self.sequence += 1;
        let watchers = self.watchers.addresses();
        let digest = self.view.digest();
        let differing = |to: &&SocketAddr| self.watchers.acknowledged_digest(**to) != Some(digest);
        let mut differing: Vec<SocketAddr> = receivers.iter().filter(differing).copied().collect();
        self.rng.shuffle(&mut differing);
        for to in receivers {
            // One of the entries whose view differs sends the difference.
            let parts = match differing.first() {
                Some(first) if first == to => self.view.parts(),
                _ => Vec::new(),
            };
            let heartbeat = Heartbeat {
                subject: Subject::Target(self.target.clone()),
                sequence: self.sequence,
                watchers: watchers.clone(),
                observe: false,
                digest,
                parts,
            };
            self.link.send(*to, Message::Heartbeat(heartbeat), actions);
        }
    }

    /// Makes the announcement a newer one, and sends it with the next tick.
    fn renew(&mut self, now: Duration) {
        self.target.version += 1;
        self.announced = self.sequence + 1;
        self.changed |= self.view.merge_target(self.target.clone()).is_ok();
        self.next_heartbeat = now;
    }

    fn ack(&mut self, now: Duration, from: SocketAddr, ack: Ack, actions: &mut Vec<Action>) {
        if ack.incarnation != self.target.incarnation || ack.sequence > self.sequence {
            return self.link.refuse(Refusal::Unexpected);
        }
        // Who was not heard for long may have been forgotten.
        let unheard = now.saturating_sub(self.acknowledged);
        self.acknowledged = now;
        if unheard > REANNOUNCE_AFTER {
            self.renew(now);
        }
        let moved = self.watchers.acknowledge(now, from, ack);
        if !moved.is_empty() {
            self.beat(&moved, actions);
        }
    }

    fn members(&mut self, members: Members) {
        if let Some(config) = members.config {
            self.changed |= self.view.merge_config(config).is_ok();
        }
        for member in members.members {
            self.member(member);
        }
    }

    /// Fetches a large configuration that is newer than the one held.
    fn offer(&mut self, now: Duration, from: SocketAddr, offer: Offer, actions: &mut Vec<Action>) {
        let held = self.view.config.as_ref();
        if held.is_some_and(|held| held.revision >= offer.revision) {
            return;
        }
        if let Some(request) = self.assembler.begin(now, from, offer) {
            self.link
                .send(request.to, Message::Fetch(request.fetch), actions);
        }
    }

    fn member(&mut self, member: Member) {
        let (id, stamp) = (member.target.id, member.target.stamp());
        if member.target.service != self.target.service {
            return;
        }
        if id == self.target.id && stamp.incarnation > self.target.incarnation {
            self.successor = Some(stamp.incarnation);
            return;
        }
        // This agent knows best what it announces.
        if id != self.target.id {
            self.changed |= self.view.merge_target(member.target).is_ok();
        }
        let held = self.view.targets.get(&id).map(|held| held.target.stamp());
        if held == Some(stamp) {
            self.changed |= self.view.set_health(id, member.health);
        }
    }

    /// Forgets the departed and silent targets that the entry has dropped.
    fn roll(&mut self, roll: &Roll) {
        let part = self.view.part(roll.part.into()).iter();
        let dropped: Vec<u64> = part
            .filter(|member| member.target.state == State::Left || member.health != Health::Up)
            .map(|member| member.target.id)
            .filter(|id| *id != self.target.id && !roll.targets.contains(id))
            .collect();
        for id in dropped {
            self.changed |= self.view.remove(id);
        }
    }
}
