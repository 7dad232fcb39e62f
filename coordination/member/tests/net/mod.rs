//! Simulated network of entries and agents with a fixed message delay.
#![allow(dead_code)]
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use member::Action;
use member::Announcer;
use member::Health;
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
    /// Processes that neither run nor receive messages.
    pub frozen: BTreeSet<SocketAddr>,
    /// Predicate that selects the messages to lose.
    pub cut: Option<Cut>,
    queue: BTreeMap<(Duration, u64), Datagram>,
    /// Messages that wait in the sockets of frozen processes.
    undelivered: Vec<Datagram>,
    sent: u64,
}

/// Predicate that is true if a message from the first address to the second
/// is lost.
pub type Cut = Box<dyn Fn(SocketAddr, SocketAddr) -> bool>;

struct Datagram {
    from: SocketAddr,
    to: SocketAddr,
    message: Message,
}

/// Returns the address of the entry with this number.
pub fn entry(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

/// Returns the address of the agent with this number.
pub fn agent(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, number], 7000))
}

/// Returns entries and agents that are spread evenly over `zones` zones of one
/// region and know each other.
pub fn region(entries: u8, agents: u8, zones: u8) -> Net {
    let mut net = Net::default();
    net.populate(entries, agents, zones);
    net
}

/// Time within which a few processes agree.
pub const CONVERGENCE_TIME: Duration = Duration::from_secs(12);

/// Returns the address of the service that all tests use.
pub fn shared_service() -> ServiceAddress {
    SocketAddr::from(([10, 1, 0, 1], 80))
}

/// Returns the target of the agent with this number.
pub fn target(number: u8, zone: ZoneId, incarnation: Incarnation) -> Target {
    let backend = SocketAddr::from(([10, 0, 2, number], 8080));
    Target {
        id: wire::id::target_id(shared_service(), backend),
        service: shared_service(),
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
        self.add_agent_at(agent(number), &target(number, zone, incarnation));
    }

    /// Adds an agent at an address.
    pub fn add_agent_at(&mut self, address: SocketAddr, target: &Target) {
        let announcer = Announcer::new(
            self.settings.clone(),
            Target {
                address,
                ..target.clone()
            },
            self.entries.keys().copied().collect(),
            u64::from(address.port()),
            self.now,
        );
        self.agents.insert(address, announcer);
    }

    /// Delivers the messages of a process that is no longer in the network.
    pub fn deliver_all(&mut self, from: SocketAddr, actions: Vec<Action>) {
        for Action::Send { to, message } in actions {
            self.deliver(Datagram { from, to, message });
        }
    }

    /// Adds entries and agents, spread evenly over zones of one region, and
    /// lets them learn of each other.
    pub fn populate(&mut self, entries: u8, agents: u8, zones: u8) {
        for number in 1..=entries {
            self.add_entry(number, ZoneId::from(number % zones), 1);
        }
        for number in 1..=agents {
            self.add_agent(number, ZoneId::from(number % zones), 1);
        }
        self.run_until(CONVERGENCE_TIME, |net| {
            net.all_see(Health::Up, agents.into())
        });
        self.run(CONVERGENCE_TIME);
    }

    /// Runs all processes for `time`.
    pub fn run(&mut self, time: Duration) {
        self.run_checked(time, |_| {});
    }

    /// Runs all processes for `time` and calls `check` after each step.
    pub fn run_checked(&mut self, time: Duration, check: impl Fn(&Self)) {
        let end = self.now + time;
        while self.now < end {
            self.step();
            check(self);
        }
    }

    /// Returns the health that an entry gives the target of an agent.
    pub fn health(&self, entry: SocketAddr, agent: SocketAddr) -> Option<Health> {
        let view = self.entries[&entry].view(&shared_service())?;
        let mut members = view.targets.values();
        let member = members.find(|member| member.target.address == agent)?;
        Some(member.health)
    }

    /// Returns the number of targets of this health in the view of each running
    /// entry.
    pub fn count(&self, health: Health) -> Vec<usize> {
        let running = self.entries.keys();
        running
            .filter(|address| !self.frozen.contains(*address))
            .map(|address| self.count_at(*address, health))
            .collect()
    }

    /// Returns the number of targets of this health in the view of one entry.
    pub fn count_at(&self, entry: SocketAddr, health: Health) -> usize {
        self.entries[&entry]
            .view(&shared_service())
            .map_or(0, |view| {
                let members = view.targets.values();
                members.filter(|member| member.health == health).count()
            })
    }

    /// Returns whether each running entry gives `count` targets this health.
    pub fn all_see(&self, health: Health, count: usize) -> bool {
        self.count(health).iter().all(|seen| *seen == count)
    }

    /// Runs until the condition holds; panics if it does not hold within
    /// `limit`.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) {
        let end = self.now + limit;
        while !condition(self) {
            assert!(
                self.now < end,
                "the condition did not hold within {limit:?}"
            );
            self.step();
        }
    }

    /// Advances to the next message or deadline, and processes what is due.
    fn step(&mut self) {
        let running = |address: &SocketAddr| !self.frozen.contains(address);
        let entries = self.entries.iter().filter(|(address, _)| running(address));
        let agents = self.agents.iter().filter(|(address, _)| running(address));
        let next = entries
            .map(|(_, registry)| registry.next_deadline())
            .chain(agents.map(|(_, announcer)| announcer.next_deadline()))
            .chain(self.queue.keys().map(|(at, _)| *at).next())
            .min();
        let soonest = self.now + Duration::from_micros(1);
        self.now = next.map_or(self.now + DELAY, |next| next.max(soonest));
        let (undelivered, thawed): (Vec<Datagram>, Vec<Datagram>) =
            std::mem::take(&mut self.undelivered)
                .into_iter()
                .partition(|datagram| self.frozen.contains(&datagram.to));
        self.undelivered = undelivered;
        for datagram in thawed {
            self.deliver(datagram);
        }
        while let Some(datagram) = self.next_due() {
            self.deliver(datagram);
        }
        let mut actions = Vec::new();
        for (address, registry) in &mut self.entries {
            if registry.next_deadline() <= self.now && !self.frozen.contains(address) {
                registry.tick(self.now, &mut actions);
                enqueue(
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
                enqueue(
                    &mut self.queue,
                    &mut self.sent,
                    self.now,
                    *address,
                    &mut actions,
                );
            }
        }
    }

    fn next_due(&mut self) -> Option<Datagram> {
        let first = self.queue.first_entry()?;
        (first.key().0 <= self.now).then(|| first.remove())
    }

    fn deliver(&mut self, datagram: Datagram) {
        let Datagram { from, to, message } = datagram;
        if self.cut.as_ref().is_some_and(|cut| cut(from, to)) {
            return;
        }
        if self.frozen.contains(&to) {
            return self.undelivered.push(Datagram { from, to, message });
        }
        let mut actions = Vec::new();
        if let Some(registry) = self.entries.get_mut(&to) {
            registry.handle(self.now, from, message, &mut actions);
        } else if let Some(announcer) = self.agents.get_mut(&to) {
            announcer.handle(self.now, from, message, &mut actions);
        }
        enqueue(&mut self.queue, &mut self.sent, self.now, to, &mut actions);
    }
}

fn enqueue(
    queue: &mut BTreeMap<(Duration, u64), Datagram>,
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
        queue.insert((now + DELAY, *sent), Datagram { from, to, message });
    }
}
