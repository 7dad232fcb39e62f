//! Entries and agents joined by a message queue with a fixed delay.
#![allow(dead_code)]
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use member::Action;
use member::Announcer;
use member::Identity;
use member::Message;
use member::Registry;
use member::Settings;
use wire::Incarnation;
use wire::ServiceAddress;
use wire::Target;
use wire::ZoneId;
use wire::target::State;

const DELAY: Duration = Duration::from_millis(2);

/// Entries and agents, and the messages between them.
#[derive(Default)]
pub struct Net {
    pub now: Duration,
    pub settings: Settings,
    pub entries: BTreeMap<SocketAddr, Registry>,
    pub agents: BTreeMap<SocketAddr, Announcer>,
    /// Processes that neither run nor receive.
    pub frozen: BTreeSet<SocketAddr>,
    /// True where a message from the first to the second is lost.
    pub cut: Option<fn(SocketAddr, SocketAddr) -> bool>,
    queue: BTreeMap<(Duration, u64), Parcel>,
    sent: u64,
}

struct Parcel {
    from: SocketAddr,
    to: SocketAddr,
    message: Message,
}

/// Address of the entry with this number.
pub fn entry(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

/// Address of the agent with this number.
pub fn agent(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, number], 7000))
}

/// The service that all tests share.
pub fn roster() -> ServiceAddress {
    SocketAddr::from(([10, 1, 0, 1], 80))
}

/// The target beside the agent with this number.
pub fn target(number: u8, zone: ZoneId, incarnation: Incarnation) -> Target {
    let backend = SocketAddr::from(([10, 0, 2, number], 8080));
    Target {
        id: wire::id::target_id(roster(), backend),
        service: roster(),
        address: agent(number),
        control: agent(number),
        zone,
        incarnation,
        version: 0,
        weight: 100,
        slots: 4,
        state: State::Ready,
    }
}

impl Net {
    /// Adds an entry that knows all entries added before it.
    pub fn add_entry(&mut self, number: u8, zone: ZoneId, incarnation: Incarnation) {
        let identity = Identity {
            address: entry(number),
            control: entry(number),
            zone,
            incarnation,
        };
        let seed = u64::from(number);
        let mut registry = Registry::new(self.settings.clone(), identity, seed, self.now);
        let peers: Vec<SocketAddr> = self.entries.keys().copied().collect();
        registry.join(self.now, &peers);
        self.entries.insert(entry(number), registry);
    }

    /// Adds an agent that knows all entries.
    pub fn add_agent(&mut self, number: u8, zone: ZoneId, incarnation: Incarnation) {
        let announcer = Announcer::new(
            self.settings.clone(),
            target(number, zone, incarnation),
            self.entries.keys().copied().collect(),
            u64::from(number),
            self.now,
        );
        self.agents.insert(agent(number), announcer);
    }

    /// Runs everything for a while.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the condition holds; panics where it does not in time.
    pub fn run_until(&mut self, limit: Duration, mut condition: impl FnMut(&mut Self) -> bool) {
        let end = self.now + limit;
        while !condition(self) {
            assert!(self.now < end, "the condition did not come to hold");
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += DELAY;
        while let Some(parcel) = self.due() {
            self.deliver(parcel);
        }
        let mut actions = Vec::new();
        for (address, registry) in &mut self.entries {
            if registry.next_deadline() <= self.now && !self.frozen.contains(address) {
                registry.tick(self.now, &mut actions);
                post(
                    &mut self.queue,
                    &mut self.sent,
                    self.now,
                    *address,
                    &mut actions,
                );
            }
        }
        for (address, announcer) in &mut self.agents {
            if announcer.next_deadline() <= self.now && !self.frozen.contains(address) {
                announcer.tick(self.now, &mut actions);
                post(
                    &mut self.queue,
                    &mut self.sent,
                    self.now,
                    *address,
                    &mut actions,
                );
            }
        }
    }

    fn due(&mut self) -> Option<Parcel> {
        let first = self.queue.first_entry()?;
        (first.key().0 <= self.now).then(|| first.remove())
    }

    fn deliver(&mut self, parcel: Parcel) {
        let Parcel { from, to, message } = parcel;
        let cut = self.cut.is_some_and(|cut| cut(from, to));
        if cut || self.frozen.contains(&to) {
            return;
        }
        let mut actions = Vec::new();
        if let Some(registry) = self.entries.get_mut(&to) {
            registry.handle(self.now, from, message, &mut actions);
        } else if let Some(announcer) = self.agents.get_mut(&to) {
            announcer.handle(self.now, from, message, &mut actions);
        }
        post(&mut self.queue, &mut self.sent, self.now, to, &mut actions);
    }
}

fn post(
    queue: &mut BTreeMap<(Duration, u64), Parcel>,
    sent: &mut u64,
    now: Duration,
    from: SocketAddr,
    actions: &mut Vec<Action>,
) {
    for action in actions.drain(..) {
        let Action::Send { to, message } = action;
        let bytes = message.encode().expect("messages fit into a datagram");
        let message = Message::decode(&bytes).expect("messages can be read");
        *sent += 1;
        queue.insert((now + DELAY, *sent), Parcel { from, to, message });
    }
}
