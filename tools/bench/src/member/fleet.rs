//! Simulates entries and agents in one process: messages pass through a queue
//! in memory, and time is virtual.
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use member::Action;
use member::Announcer;
use member::Entry;
use member::Identity;
use member::Message;
use member::Record;
use member::Registry;
use member::Settings;
use member::message::Push;
use wire::ServiceAddress;
use wire::Target;
use wire::ZoneId;
use wire::target::State;

/// Number of zones; each region has three.
pub const ZONES: usize = 9;

const ZONES_PER_REGION: usize = 3;

/// Number of targets of each service.
const TARGETS_PER_SERVICE: usize = 13;

/// Time from the sending of a message to its delivery.
const ONE_WAY_DELAY: Duration = Duration::from_micros(1_500);

/// Maximum number of records in one push message, with which the entries learn
/// of each other at the start.
const PUSH_RECORDS: usize = 20;

/// Entries, agents and the messages in flight between them.
pub struct Fleet {
    /// Virtual time of all processes.
    pub now: Duration,
    /// The entries.
    pub entries: Vec<Registry>,
    /// Number of the zone whose processes neither run nor receive messages, if
    /// any.
    pub frozen_zone: Option<usize>,
    /// Bytes sent by destination; `None` while they are not counted.
    pub volume: Option<Volume>,
    agents: Vec<Announcer>,
    processes: HashMap<SocketAddr, Process>,
    /// Messages in flight by time of delivery, then by number.
    queue: BTreeMap<(Duration, u64), Envelope>,
    /// Number of messages sent so far.
    sent: u64,
}

/// Bytes sent, by whether they left their zone or region.
#[derive(Clone, Copy, Debug, Default)]
pub struct Volume {
    /// All bytes.
    pub total: u64,
    /// Bytes to other zones, including those to other regions.
    pub cross_zone: u64,
    /// Bytes to other regions.
    pub cross_region: u64,
}

/// Kind of a process, with its index among those of its kind.
#[derive(Clone, Copy)]
enum Process {
    Entry(usize),
    Agent(usize),
}

/// A message in flight.
struct Envelope {
    from: SocketAddr,
    to: SocketAddr,
    message: Message,
}

impl Fleet {
    /// Creates entries that know each other, and agents that know three
    /// entries each.
    pub fn new(entries: usize, agents: usize) -> Self {
        let now = Duration::ZERO;
        let settings = Settings::default();
        let identities: Vec<Identity> = (0..entries).map(identity).collect();
        let mut processes = HashMap::new();
        for (number, identity) in identities.iter().enumerate() {
            processes.insert(identity.address, Process::Entry(number));
        }
        let records: Vec<Record> = identities.iter().map(record).collect();
        let new_entry = |(number, identity): (usize, &Identity)| {
            let mut entry = Registry::new(settings.clone(), identity.clone(), number as u64, now);
            for records in records.chunks(PUSH_RECORDS) {
                let push = Push {
                    is_rumor: false,
                    records: records.to_vec(),
                };
                entry.handle(now, identity.address, Message::Push(push), &mut Vec::new());
            }
            entry
        };
        let registries = identities.iter().enumerate().map(new_entry).collect();
        let new_agent = |number| {
            let target = target(number);
            let seeds = (0..3).map(|index| address(0, (number + index * 7) % entries));
            processes.insert(target.address, Process::Agent(number));
            Announcer::new(
                settings.clone(),
                target,
                seeds.collect(),
                number as u64,
                now,
            )
        };
        let agents = (0..agents).map(new_agent).collect();
        Self {
            now,
            entries: registries,
            frozen_zone: None,
            volume: None,
            agents,
            processes,
            queue: BTreeMap::new(),
            sent: 0,
        }
    }

    /// Returns the bytes sent and received by all entries so far.
    pub fn bytes(&self) -> u64 {
        let statuses = self.entries.iter().map(Registry::status);
        statuses
            .map(|status| status.sent_bytes + status.received_bytes)
            .sum()
    }

    /// Returns true if the entry or agent with this number is in the frozen
    /// zone.
    pub fn is_frozen(&self, number: usize) -> bool {
        self.frozen_zone == Some(number % ZONES)
    }

    /// Runs all processes for `time` of virtual time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step(end);
        }
    }

    /// Runs until the condition holds or `limit` has passed. Checks the
    /// condition after every `step` of virtual time.
    pub fn run_until(
        &mut self,
        limit: Duration,
        step: Duration,
        condition: impl Fn(&Self) -> bool,
    ) {
        let end = self.now + limit;
        while self.now < end && !condition(self) {
            self.run(step);
        }
    }

    /// Advances to the next deadline of any process, at most to `end`: delivers
    /// the messages that are due, then ticks the processes that are due.
    fn step(&mut self, end: Duration) {
        let entries = (0..self.entries.len()).filter(|number| !self.is_frozen(*number));
        let agents = (0..self.agents.len()).filter(|number| !self.is_frozen(*number));
        let next = entries
            .map(|number| self.entries[number].next_deadline())
            .chain(agents.map(|number| self.agents[number].next_deadline()))
            .min();
        let tick = next.unwrap_or(end).clamp(self.now, end);
        self.deliver_until(tick);
        self.now = tick;
        let mut actions = Vec::new();
        for number in 0..self.entries.len() {
            if !self.is_frozen(number) && self.entries[number].next_deadline() <= tick {
                self.entries[number].tick(tick, &mut actions);
                self.send(address(0, number), &mut actions);
            }
        }
        for number in 0..self.agents.len() {
            if !self.is_frozen(number) && self.agents[number].next_deadline() <= tick {
                self.agents[number].tick(tick, &mut actions);
                self.send(address(1, number), &mut actions);
            }
        }
    }

    /// Delivers the messages that are due by `end`, in order.
    fn deliver_until(&mut self, end: Duration) {
        let mut actions = Vec::new();
        while let Some(first) = self.queue.first_entry() {
            let at = first.key().0;
            if at > end {
                return;
            }
            let Envelope { from, to, message } = first.remove();
            self.now = at;
            match self.processes.get(&to).copied() {
                Some(Process::Entry(number)) if !self.is_frozen(number) => {
                    self.entries[number].handle(at, from, message, &mut actions);
                }
                Some(Process::Agent(number)) if !self.is_frozen(number) => {
                    self.agents[number].handle(at, from, message, &mut actions);
                }
                _ => {}
            }
            self.send(to, &mut actions);
        }
    }

    /// Queues the messages of a process for delivery.
    fn send(&mut self, from: SocketAddr, actions: &mut Vec<Action>) {
        for Action::Send { to, message } in actions.drain(..) {
            self.sent += 1;
            if let Some(volume) = &mut self.volume {
                volume.count(zone_of(from), zone_of(to), message.datagram_bytes());
            }
            let at = (self.now + ONE_WAY_DELAY, self.sent);
            self.queue.insert(at, Envelope { from, to, message });
        }
    }
}

impl Volume {
    fn count(&mut self, from: ZoneId, to: ZoneId, bytes: u64) {
        let [region, _] = from.to_be_bytes();
        let [other, _] = to.to_be_bytes();
        self.total += bytes;
        self.cross_zone += if from == to { 0 } else { bytes };
        self.cross_region += if region == other { 0 } else { bytes };
    }
}

/// Returns the zone of the process with an address made by [`address`].
fn zone_of(address: SocketAddr) -> ZoneId {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    let [_, high, middle, low] = address.ip().octets();
    zone(u32::from_be_bytes([0, high, middle, low]) as usize)
}

/// Returns the identity of the entry with this number.
pub fn identity(number: usize) -> Identity {
    Identity {
        address: address(0, number),
        zone: zone(number),
        incarnation: 1_700_000_000_000_000,
    }
}

/// Returns the membership record of an entry.
pub fn record(identity: &Identity) -> Record {
    Record::Entry(Entry {
        address: identity.address,
        zone: identity.zone,
        incarnation: identity.incarnation,
        has_left: false,
    })
}

/// Returns the target with this number.
pub fn target(number: usize) -> Target {
    let service = service(number / TARGETS_PER_SERVICE);
    Target {
        id: wire::id::target_id(service, address(2, number)),
        service,
        address: address(1, number),
        control: address(1, number),
        zone: zone(number),
        incarnation: 1_700_000_000_000_000,
        version: 1,
        weight: 120,
        slots: 4,
        state: State::Ready,
    }
}

/// Returns the address of the service with this number.
pub fn service(number: usize) -> ServiceAddress {
    address(3, number)
}

fn zone(number: usize) -> ZoneId {
    let zone = u8::try_from(number % ZONES).unwrap_or(0);
    let region = zone / u8::try_from(ZONES_PER_REGION).unwrap_or(1);
    ZoneId::from_be_bytes([region + 1, zone])
}

/// Returns a distinct address for each kind (0 entry, 1 agent, 2 backend
/// server, 3 service) and number.
fn address(kind: u8, number: usize) -> SocketAddr {
    let [_, high, middle, low] = u32::try_from(number).unwrap_or(0).to_be_bytes();
    SocketAddr::from(([10 + kind, high, middle, low], 7_000))
}
