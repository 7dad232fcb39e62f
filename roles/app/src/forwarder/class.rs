//! Classes of the packets and frames that a gateway or sidecar sends over its link.
use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use limit::link::Class;
use limit::link::Packet;
use platform::packet;
use wire::FlowId;
use wire::Priority;
use wire::Segment;
use wire::Transit;
use wire::segment::Kind;

/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Largest number of addresses whose priority is learned from frames.
const MAX_LEARNED: usize = 256;

/// Decides on the class of packets and frames.
#[derive(Debug, Default)]
pub struct Classes(Mutex<Priorities>);

/// Priorities by the address that callers send to.
#[derive(Debug, Default)]
struct Priorities {
    by_address: BTreeMap<SocketAddrV4, Priority>,
    most_urgent: Priority,
    least_urgent: Priority,
}

impl Classes {
    /// Replaces the priorities of all addresses.
    pub fn replace(&self, priorities: impl Iterator<Item = (SocketAddrV4, Priority)>) {
        let mut known = self.lock();
        known.by_address = priorities.collect();
        known.update();
    }

    /// Adds the priority that a frame states for an address.
    pub fn learn(&self, address: SocketAddrV4, priority: Priority) {
        let mut known = self.lock();
        let is_known = known.by_address.get(&address) == Some(&priority);
        if is_known || known.by_address.len() >= MAX_LEARNED {
            return;
        }
        known.by_address.insert(address, priority);
        known.update();
    }

    /// Returns the properties of a frame of `bytes` bytes to `to`.
    #[must_use]
    pub fn frame(&self, to: SocketAddr, transit: &Transit, bytes: usize) -> Packet {
        match transit {
            Transit::Open(open) => Packet {
                // Another agent may get the copy; it is still one.
                key: key_of(&open.packet, None),
                ..plain(Class::Opening, bytes)
            },
            Transit::Forward(forward) => self.content(&forward.packet, bytes),
            Transit::Search(search) => Packet {
                flow: None,
                ..self.content(&search.packet, bytes)
            },
            // Each agent gets a lookup of its own.
            Transit::Lookup(lookup) => Packet {
                key: key_of(&lookup.packet, Some(to)),
                flow: None,
                ..self.content(&lookup.packet, bytes)
            },
            Transit::Probes(probes) => match probes.packets.first() {
                Some(packet) => Packet {
                    key: None,
                    flow: None,
                    ..self.content(packet, bytes)
                },
                None => control(bytes),
            },
            Transit::NotHeld(denial) if !denial.packet.is_empty() => Packet {
                flow: None,
                ..self.content(&denial.packet, bytes)
            },
            Transit::NotHeld(_)
            | Transit::Held(_)
            | Transit::HolderAbsent(_)
            | Transit::Busy(_)
            | Transit::SearchBatch(_)
            | Transit::LookupBatch(_)
            | Transit::Answer(_)
            | Transit::Report(_) => control(bytes),
        }
    }

    /// Returns the properties of a packet that is sent as it is.
    #[must_use]
    pub fn packet(&self, packet: &[u8]) -> Packet {
        self.content(packet, packet.len())
    }

    /// Returns the properties of what carries a packet, in `bytes` bytes.
    fn content(&self, packet: &[u8], bytes: usize) -> Packet {
        let Ok(segment) = packet::decode(packet) else {
            return plain(Class::Data, bytes);
        };
        let class = match segment.kind {
            Kind::Open | Kind::Accept => Class::Opening,
            Kind::Reset => Class::Control,
            Kind::Data | Kind::Close => self.priority_class(&segment),
        };
        Packet {
            key: key(&segment, None),
            flow: Some(hash(&(segment.source, segment.destination))),
            ..plain(class, bytes)
        }
    }

    /// Returns the class of content: the address that callers send to is one of the
    /// ends of its flow.
    fn priority_class(&self, segment: &Segment) -> Class {
        let known = self.lock();
        if known.most_urgent == known.least_urgent {
            return Class::Data;
        }
        let FlowId { caller, service } = segment.flow_from_caller();
        let priority = [service, caller]
            .iter()
            .find_map(|address| known.by_address.get(address));
        match priority {
            Some(priority) if *priority == known.most_urgent => Class::Urgent,
            _ => Class::Data,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Priorities> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Priorities {
    fn update(&mut self) {
        let priorities = || self.by_address.values().copied();
        self.most_urgent = priorities().min().unwrap_or_default();
        self.least_urgent = priorities().max().unwrap_or_default();
    }
}

/// Returns the properties of a message of the membership protocol.
#[must_use]
pub const fn control(bytes: usize) -> Packet {
    plain(Class::Control, bytes)
}

const fn plain(class: Class, bytes: usize) -> Packet {
    Packet {
        class,
        bytes: bytes + HEADER_BYTES,
        key: None,
        flow: None,
    }
}

fn key_of(packet: &[u8], to: Option<SocketAddr>) -> Option<u64> {
    key(&packet::decode(packet).ok()?, to)
}

/// Returns what a packet shares with its copies; `None` for an acknowledgement
/// without content, whose number says what it is about.
fn key(segment: &Segment, to: Option<SocketAddr>) -> Option<u64> {
    let is_acknowledgement = segment.kind == Kind::Data && segment.length == 0;
    (!is_acknowledgement).then(|| {
        hash(&(
            (segment.source, segment.destination),
            (segment.kind, segment.is_returned),
            (segment.sequence, segment.length),
            to,
        ))
    })
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
