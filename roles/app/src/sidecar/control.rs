//! The control thread of a sidecar: announces the backend server.
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use bytes::Bytes;
use forward::agent::Backend;
use forward::agent::Event;
use forward::agent::Peers;
use forward::agent::State;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use member::Action;
use member::Announcer;
use member::Health;
use member::Message;
use member::announcer::Change;
use platform::name;
use wire::Hop;
use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;
use wire::ZoneId;
use wire::target;

use crate::clock;
use crate::event::Event as LogEvent;
use crate::sidecar::traffic::Traffic;

/// Longest sleep while nothing is due.
const IDLE: Duration = Duration::from_millis(250);

/// Weight that is announced for each slot. Entries go by the load that they are
/// told with each flow.
const WEIGHT_PER_SLOT: u32 = 20;

/// What the control thread is told.
pub enum Input {
    /// A message of the membership protocol arrived.
    Message {
        /// UDP address of the sender.
        from: SocketAddr,
        /// The encoded message.
        payload: Bytes,
    },
    /// The backend server announced itself.
    Backend(Backend),
    /// A backend server ends.
    End {
        /// Its name.
        name: String,
    },
    /// Entries that the store lists.
    Entries(Vec<SocketAddr>),
    /// The process is to stop.
    Stop,
}

/// What the control thread works with.
pub struct Control {
    /// Entries to announce to.
    pub seeds: Vec<SocketAddr>,
    /// The membership protocol, once the backend server is known.
    pub announcer: Option<Announcer>,
    /// Origin of the time.
    pub origin: Instant,
    /// What carries the packets.
    pub traffic: Arc<Traffic>,
    /// Where others reach this process.
    pub own: Hop,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// What arrives from other threads and tasks.
    pub inputs: Receiver<Input>,
    /// What the backend server told last.
    pub backend: Option<Backend>,
}

impl Control {
    /// Runs until dropped.
    pub async fn run(mut self, host: &platform::Settings) {
        let mut actions = Vec::new();
        self.announce_early(self.origin.elapsed(), host);
        loop {
            self.turn(&mut actions).await;
            // Messages that never cease must not keep a stop from being seen.
            yield_now().await;
        }
    }

    async fn turn(&mut self, actions: &mut Vec<Action>) {
        let input = self.next().await;
        let now = self.origin.elapsed();
        match input {
            Some(Input::Message { from, payload }) => self.message(now, from, &payload, actions),
            Some(Input::Backend(backend)) => self.backend(now, backend),
            Some(Input::End { name }) => self.end(&name),
            Some(Input::Entries(entries)) => self.know(now, entries),
            Some(Input::Stop) => self.stop(now),
            None => {}
        }
        self.announce(now);
        if let Some(announcer) = &mut self.announcer {
            announcer.outrank(now);
            announcer.tick(now, actions);
            if announcer.changed() {
                let peers = peers(announcer);
                self.traffic.handle(Event::Peers(peers));
            }
        }
        self.traffic.link.control(actions);
    }

    fn message(
        &mut self,
        now: Duration,
        from: SocketAddr,
        payload: &Bytes,
        actions: &mut Vec<Action>,
    ) {
        match (Message::decode(payload), &mut self.announcer) {
            (Ok(message), Some(announcer)) => announcer.handle(now, from, message, actions),
            (Ok(_), None) => {}
            (Err(error), _) => log::debug!("a message of {from} cannot be read: {error}"),
        }
    }

    /// Takes an announcement of the backend server, unless it is older than the
    /// last.
    fn backend(&mut self, now: Duration, backend: Backend) {
        let held = self.backend.as_ref();
        if held.is_some_and(|held| backend.is_older_than(held)) {
            let (server, sequence) = (backend.name, backend.sequence);
            return LogEvent::OldAnnouncement { server, sequence }.log();
        }
        let is_news =
            held.is_none_or(|held| (&held.name, held.state) != (&backend.name, backend.state));
        if is_news {
            let announced = LogEvent::Announced {
                server: backend.name.clone(),
                state: format!("{:?}", backend.state).to_lowercase(),
                sequence: backend.sequence,
            };
            announced.log();
        }
        self.traffic.handle(Event::Backend(backend.clone()));
        let announced = self
            .announcer
            .as_ref()
            .map(|announcer| announcer.target().id);
        if announced != Some(backend.target) {
            let (service, target, slots) = (backend.service, backend.target, backend.slots);
            self.announcer = Some(self.announcer_of(now, service, target, slots));
        }
        self.backend = Some(backend);
    }

    /// Announces the backend server that the settings name before it announces
    /// itself: it may hold flows, and entries ask only agents that they know.
    pub fn announce_early(&mut self, now: Duration, host: &platform::Settings) {
        let Some(service) = host.service.as_ref() else {
            return;
        };
        let service = name::service(service);
        self.announcer = Some(self.announcer_of(now, service, self.own.target, 1));
    }

    fn announcer_of(
        &self,
        now: Duration,
        service: ServiceAddress,
        id: TargetId,
        slots: u16,
    ) -> Announcer {
        let target = Target {
            id,
            service,
            address: self.own.address,
            control: self.own.address,
            zone: self.zone,
            incarnation: clock::incarnation(),
            version: 0,
            weight: u32::from(slots).max(1) * WEIGHT_PER_SLOT,
            slots,
            state: state(self.traffic.is_open()),
        };
        let settings = member::Settings::default();
        Announcer::new(settings, target, self.seeds.clone(), fastrand::u64(..), now)
    }

    /// Announces to further entries where those that are known do not answer.
    fn know(&mut self, now: Duration, entries: Vec<SocketAddr>) {
        if let Some(announcer) = &mut self.announcer {
            announcer.know(now, &entries);
        }
        for entry in entries {
            if !self.seeds.contains(&entry) {
                self.seeds.push(entry);
            }
        }
    }

    /// Notes that the backend server ends.
    fn end(&mut self, name: &str) {
        if let Some(held) = &mut self.backend
            && held.name == name
        {
            held.state = State::Gone;
            self.traffic.handle(Event::Gone);
        }
    }

    /// Takes no new flows; leaves for good where the backend server has ended.
    fn stop(&mut self, now: Duration) {
        self.traffic.handle(Event::Stop);
        let has_ended = self
            .backend
            .as_ref()
            .is_some_and(|backend| backend.state == State::Gone);
        if let Some(announcer) = self.announcer.as_mut().filter(|_| has_ended) {
            announcer.leave(now);
        }
    }

    /// Announces whether the backend server takes new flows.
    fn announce(&mut self, now: Duration) {
        let Some(announcer) = &mut self.announcer else {
            return;
        };
        let weight = announcer.target().weight;
        let state = state(self.traffic.is_open());
        announcer.announce(now, Change { weight, state });
    }

    async fn next(&self) -> Option<Input> {
        let now = self.origin.elapsed();
        let due = self.announcer.as_ref().map(Announcer::next_deadline);
        let due = due.unwrap_or(now + IDLE).min(now + IDLE);
        let tick = async {
            Timer::at(self.origin + due).await;
            None
        };
        let input = async { self.inputs.recv().await.ok() };
        input.or(tick).await
    }
}

/// The other agents of the service.
fn peers(announcer: &Announcer) -> Peers {
    let own = announcer.target().id;
    let members = || {
        let members = announcer.view().targets.values();
        members.filter(move |member| {
            member.target.id != own && member.target.state != target::State::Left
        })
    };
    let may_hold = members().filter(|member| member.health != Health::Down);
    Peers {
        hops: Arc::new(may_hold.map(|member| member.target.hop()).collect()),
        has_silent: members().any(|member| member.health == Health::Down),
    }
}

const fn state(is_open: bool) -> target::State {
    if is_open {
        target::State::Ready
    } else {
        target::State::Draining
    }
}
