//! The agent's side: announces a backend server and follows its service.
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use wire::Target;
use wire::target::State;

use crate::Action;
use crate::Message;
use crate::Refusal;
use crate::Settings;
use crate::Status;
use crate::View;
use crate::message::Ack;
use crate::message::Heartbeat;
use crate::message::Members;
use crate::message::Sequence;
use crate::message::Subject;

/// Heartbeats that carry the last announcement before the agent is silent.
const FAREWELLS: u32 = 5;

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
    seeds: Vec<SocketAddr>,
    rng: Rng,
    sequence: Sequence,
    next_heartbeat: Duration,
    view: View,
    changed: bool,
    farewells: Option<u32>,
    status: Status,
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
        view.merge_target(target.clone());
        Self {
            settings,
            target,
            seeds,
            rng: Rng::with_seed(seed),
            sequence: 0,
            next_heartbeat: now,
            view,
            changed: true,
            farewells: None,
            status: Status::default(),
        }
    }

    /// Announces a change of the backend server with the next tick.
    pub fn announce(&mut self, now: Duration, change: Change) {
        if self.farewells.is_some()
            || (self.target.weight, self.target.state) == (change.weight, change.state)
        {
            return;
        }
        self.target.weight = change.weight.max(1);
        self.target.state = change.state;
        self.target.version += 1;
        self.changed |= self.view.merge_target(self.target.clone());
        self.next_heartbeat = now;
    }

    /// Announces that the backend server has left, until the watchers know.
    pub fn leave(&mut self, now: Duration) {
        let weight = self.target.weight;
        self.announce(
            now,
            Change {
                weight,
                state: State::Left,
            },
        );
        self.farewells.get_or_insert(FAREWELLS);
    }

    /// True once nothing is left to announce after [`Self::leave`].
    #[must_use]
    pub fn finished(&self) -> bool {
        self.farewells == Some(0)
    }

    /// Takes a message that `from` sent.
    pub fn handle(
        &mut self,
        _now: Duration,
        from: SocketAddr,
        message: Message,
        _actions: &mut Vec<Action>,
    ) {
        self.status.received += 1;
        match message {
            Message::Ack(ack) => self.ack(from, &ack),
            Message::Members(members) if members.address == self.target.service => {
                self.members(members);
            }
            Message::Members(_) | Message::Heartbeat(_) | Message::Push(_) => {
                self.status.refuse(Refusal::Unexpected);
            }
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now < self.next_heartbeat || self.finished() {
            return;
        }
        let factor = 1.0 - self.rng.f64() * JITTER;
        self.next_heartbeat = now + self.settings.heartbeat.mul_f64(factor);
        self.farewells = self.farewells.map(|left| left - 1);
        self.sequence += 1;
        for to in self.seeds.clone() {
            let heartbeat = Heartbeat {
                subject: Subject::Target(self.target.clone()),
                sequence: self.sequence,
                watchers: self.seeds.clone(),
                digest: self.view.digest(),
            };
            self.status.sent += 1;
            actions.push(Action::Send {
                to,
                message: Message::Heartbeat(heartbeat),
            });
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

    /// What is known of the agent's own service.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
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
            ..self.status.clone()
        }
    }

    fn ack(&mut self, from: SocketAddr, ack: &Ack) {
        if ack.incarnation != self.target.incarnation || !self.seeds.contains(&from) {
            self.status.refuse(Refusal::Unexpected);
        }
    }

    fn members(&mut self, members: Members) {
        if let Some(config) = members.config {
            self.changed |= self.view.merge_config(config);
        }
        for member in members.members {
            if member.target.id == self.target.id {
                continue;
            }
            let (id, stamp) = (member.target.id, member.target.stamp());
            self.changed |= self.view.merge_target(member.target);
            let held = self.view.targets.get(&id).map(|held| held.target.stamp());
            if held == Some(stamp) {
                self.changed |= self.view.set_health(id, member.health);
            }
        }
    }
}
