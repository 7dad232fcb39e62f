//! The control thread of a sidecar, which announces the backend server to entries.
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use forward::agent::Announcement;
use forward::agent::Event;
use forward::agent::Peers;
use forward::agent::Start;
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
use crate::forwarder::usage::Zones;
use crate::sidecar::evacuation::Evacuation;
use crate::sidecar::traffic::Traffic;

/// Longest sleep when no deadline is pending.
const IDLE: Duration = Duration::from_millis(250);

/// Announced weight per slot. A constant is enough, because entries choose by the
/// load that agents report with each flow.
const WEIGHT_PER_SLOT: u32 = 20;

/// Interval at which the share of repeated packets is taken.
const REPEATS_INTERVAL: Duration = Duration::from_secs(1);

/// An input to the control thread.
pub enum Input {
    /// A message of the membership protocol.
    Message {
        /// UDP address of the sender.
        from: SocketAddr,
        /// The encoded message.
        payload: Bytes,
    },
    /// A call of the backend server.
    Server {
        /// What it announced.
        notice: Notice,
        /// Receives a value once the notice is in force.
        done: Sender<()>,
    },
    /// Addresses of the entries that the store lists.
    Entries(Vec<SocketAddr>),
    /// A request to stop accepting new flows.
    Stop,
}

/// What a backend server announced.
pub enum Notice {
    /// Its state.
    State(Announcement),
    /// Its end.
    End {
        /// Name of the backend server.
        name: String,
        /// Its start time, if it is stated.
        start: Option<Start>,
    },
}

/// State of the control thread.
pub struct Control {
    /// Addresses of entries to announce the backend server to.
    pub seeds: Vec<SocketAddr>,
    /// The membership protocol, once the service of the backend server is known.
    pub announcer: Option<Announcer>,
    /// Origin of the monotonic time of the membership protocol.
    pub origin: Instant,
    /// State shared with the threads that forward packets.
    pub traffic: Arc<Traffic>,
    /// Identity and address of this sidecar on the path of a flow.
    pub own: Hop,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Inputs from other threads and tasks.
    pub inputs: Receiver<Input>,
    /// Last announcement of the backend server.
    pub announcement: Option<Announcement>,
    /// The evacuated availability zones.
    pub evacuation: Evacuation,
    /// Numbers of callers' packets, and of repeated ones, that were last reported.
    pub repeats: (u64, u64),
    /// Time at which they are next reported.
    pub next_repeats: Duration,
}

impl Control {
    /// Runs until dropped.
    pub async fn run(mut self, host: &platform::Settings) {
        let mut actions = Vec::new();
        self.announce_early(self.origin.elapsed(), host);
        loop {
            self.process_next(&mut actions).await;
            // Lets the stop task run even under a continuous stream of messages.
            yield_now().await;
        }
    }

    /// Waits for an input or a deadline, handles it, and sends and publishes what
    /// follows from it.
    async fn process_next(&mut self, actions: &mut Vec<Action>) {
        let input = self.next_input().await;
        let now = self.origin.elapsed();
        match input {
            Some(Input::Message { from, payload }) => self.receive(now, from, &payload, actions),
            Some(Input::Server { notice, done }) => {
                self.handle_notice(now, notice);
                // The call may have timed out meanwhile.
                let _ = done.try_send(());
            }
            Some(Input::Entries(entries)) => self.add_entries(now, entries),
            Some(Input::Stop) => self.stop(now),
            None => {}
        }
        if let Some(record) = self.announcer.as_mut().and_then(Announcer::take_broadcast) {
            self.evacuation.observe(now, &record);
        }
        if let Some(event) = self.evacuation.take_change(now, self.announcer.as_ref()) {
            self.traffic.handle(event);
        }
        self.announce(now);
        if let Some(announcer) = &mut self.announcer {
            announcer.raise_incarnation(now);
            announcer.tick(now, actions);
            if announcer.take_changed() {
                let peers = peers(announcer);
                self.traffic.link.usage.replace_zones(zones(announcer));
                self.traffic.handle(Event::Peers(peers));
            }
        }
        self.traffic.link.send_control(actions);
        self.traffic.link.report_load();
        self.report_repeats(now);
    }

    /// Reports to the network link how much callers repeat: answers may be lost or
    /// delayed there.
    fn report_repeats(&mut self, now: Duration) {
        let pacer = &self.traffic.link.pacer;
        if now < self.next_repeats || !pacer.is_active() {
            return;
        }
        self.next_repeats = now + REPEATS_INTERVAL;
        let (received, repeated) = self.traffic.repeats();
        let (last_received, last_repeated) = self.repeats;
        self.repeats = (received, repeated);
        pacer.record_repeats(
            now,
            received.saturating_sub(last_received),
            repeated.saturating_sub(last_repeated),
        );
    }

    fn receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        payload: &Bytes,
        actions: &mut Vec<Action>,
    ) {
        match (Message::decode(payload), &mut self.announcer) {
            (Ok(message), Some(announcer)) => announcer.handle(now, from, message, actions),
            (Ok(_), None) => {}
            (Err(error), _) => log::debug!("cannot decode message from {from}: {error}"),
        }
    }

    fn handle_notice(&mut self, now: Duration, notice: Notice) {
        match notice {
            Notice::State(announcement) => self.handle_announcement(now, announcement),
            Notice::End { name, start } => self.mark_ended(&name, start),
        }
    }

    /// Applies an announcement of the backend server, unless it is older than the
    /// last one.
    fn handle_announcement(&mut self, now: Duration, announcement: Announcement) {
        let last = self.announcement.as_ref();
        if last.is_some_and(|last| announcement.is_older_than(last)) {
            let (server, sequence) = (announcement.name, announcement.sequence);
            return LogEvent::OldAnnouncement { server, sequence }.log();
        }
        let has_changed = last.is_none_or(|last| {
            (&last.name, last.state) != (&announcement.name, announcement.state)
        });
        if has_changed {
            let announced = LogEvent::Announced {
                server: announcement.name.clone(),
                state: format!("{:?}", announcement.state).to_lowercase(),
                sequence: announcement.sequence,
            };
            announced.log();
        }
        self.traffic
            .handle(Event::Announcement(announcement.clone()));
        let announced = self.announcer.as_ref().map(Announcer::target);
        let is_announced = announced.is_some_and(|target| {
            target.id == announcement.target && target.state != target::State::Left
        });
        if !is_announced {
            let (service, target, slots) = (
                announcement.service,
                announcement.target,
                announcement.slots,
            );
            self.announcer = Some(self.new_announcer(now, service, target, slots));
        }
        self.announcement = Some(announcement);
    }

    /// Announces the backend server from the settings, before it has announced
    /// itself: it may hold flows already, and entries search only the agents that
    /// they know.
    pub fn announce_early(&mut self, now: Duration, host: &platform::Settings) {
        let Some(service) = host.service.as_ref() else {
            return;
        };
        let service = name::service_address(service);
        self.announcer = Some(self.new_announcer(now, service, self.own.target, 1));
    }

    fn new_announcer(
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

    /// Adds entries that can be announced to if the known ones do not answer.
    fn add_entries(&mut self, now: Duration, entries: Vec<SocketAddr>) {
        if let Some(announcer) = &mut self.announcer {
            announcer.add_entries(now, &entries);
        }
        for entry in entries {
            if !self.seeds.contains(&entry) {
                self.seeds.push(entry);
            }
        }
    }

    /// Marks the backend server as ended if it has this name and start, or if none has
    /// announced itself to this process.
    fn mark_ended(&mut self, name: &str, start: Option<Start>) {
        match &mut self.announcement {
            Some(last) if last.is_ended_by(name, start) => {
                last.state = State::Gone;
                self.traffic.handle(Event::ServerEnded);
            }
            Some(_) => {}
            None => self.traffic.handle(Event::ServerEnded),
        }
    }

    /// Stops accepting new flows. Announces the departure of the backend server if it
    /// has ended.
    fn stop(&mut self, now: Duration) {
        self.traffic.handle(Event::Stop);
        let has_ended = self
            .announcement
            .as_ref()
            .is_some_and(|announcement| announcement.state == State::Gone);
        if let Some(announcer) = self.announcer.as_mut().filter(|_| has_ended) {
            announcer.leave(now);
        }
    }

    /// Announces whether the backend server accepts new flows, or that there is
    /// none: a search for the holder of a flow would wait for its answer.
    fn announce(&mut self, now: Duration) {
        let Some(announcer) = &mut self.announcer else {
            return;
        };
        if announcer.target().state == target::State::Left {
            return;
        }
        if self.traffic.lacks_server() {
            LogEvent::ServerMissing {}.log();
            return announcer.leave(now);
        }
        let weight = announcer.target().weight;
        let state = state(self.traffic.is_open());
        announcer.announce(now, Change { weight, state });
    }

    /// Waits for an input. Returns `None` once a deadline is due instead.
    async fn next_input(&self) -> Option<Input> {
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

/// Returns the other agents of the service that may hold flows, and whether one of
/// them is marked down.
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
        has_down_agent: members().any(|member| member.health == Health::Down),
    }
}

/// Returns the zones of the agents of the service. Those of entries are not known to
/// an agent.
fn zones(announcer: &Announcer) -> Zones {
    let members = announcer.view().targets.values();
    members
        .map(|member| (member.target.address, member.target.zone))
        .collect()
}

const fn state(is_open: bool) -> target::State {
    if is_open {
        target::State::Ready
    } else {
        target::State::Draining
    }
}
