//! Bytes that a gateway or sidecar sends, by kind and by whether they cross between
//! availability zones.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use wire::Transit;
use wire::ZoneId;

use crate::metric::Error;
use crate::metric::Instruments;
use crate::settings::table::Role;

/// Kind of what is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Opening packets that a gateway offers to agents.
    Opening,
    /// Packets that a gateway forwards to the agent that holds their flow.
    Data,
    /// Packets to callers.
    Answer,
    /// Packets that a sidecar forwards to another one, or returns to a gateway.
    Forwarded,
    /// Searches and lookups for the holder of a flow.
    Search,
    /// Lookups that allow a probe of the backend server.
    Probe,
    /// Reports about flows, without their packets.
    Report,
    /// Messages of the membership protocol.
    Membership,
}

/// Whether a receiver is in another availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crossing {
    /// It is in the zone of this host.
    OwnZone,
    /// It is in another zone.
    OtherZone,
    /// Its zone is not known, as that of a caller or of the store.
    Unknown,
}

/// Zones of processes, by the UDP address for frames.
pub type Zones = BTreeMap<SocketAddr, ZoneId>;

/// Bytes sent since the start of the process.
#[derive(Debug)]
pub struct Usage {
    zone: ZoneId,
    /// Replaced as a whole by the control thread; read for each datagram.
    zones: ArcSwap<Zones>,
    bytes: [[AtomicU64; Crossing::ALL.len()]; Kind::ALL.len()],
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 8] = [
        Self::Opening,
        Self::Data,
        Self::Answer,
        Self::Forwarded,
        Self::Search,
        Self::Probe,
        Self::Report,
        Self::Membership,
    ];

    /// Returns the kind of a frame that a process of a role sends.
    #[must_use]
    pub const fn of(role: Role, transit: &Transit) -> Self {
        match (transit, role) {
            (Transit::Open(_), Role::Gateway) => Self::Opening,
            (Transit::Forward(_), Role::Gateway) => Self::Data,
            (Transit::Open(_) | Transit::Forward(_), _) => Self::Forwarded,
            (Transit::Lookup(lookup), _) if lookup.terms.may_probe => Self::Probe,
            (Transit::Probes(_), _) => Self::Probe,
            (
                Transit::Search(_)
                | Transit::Lookup(_)
                | Transit::SearchBatch(_)
                | Transit::LookupBatch(_),
                _,
            ) => Self::Search,
            (Transit::NotHeld(denial), _) if !denial.packet.is_empty() => Self::Forwarded,
            (
                Transit::NotHeld(_)
                | Transit::Held(_)
                | Transit::HolderAbsent(_)
                | Transit::Busy(_)
                | Transit::Answer(_)
                | Transit::Report(_),
                _,
            ) => Self::Report,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Opening => "opening",
            Self::Data => "data",
            Self::Answer => "answer",
            Self::Forwarded => "forwarded",
            Self::Search => "search",
            Self::Probe => "probe",
            Self::Report => "report",
            Self::Membership => "membership",
        }
    }
}

impl Crossing {
    /// All values.
    pub const ALL: [Self; 3] = [Self::OwnZone, Self::OtherZone, Self::Unknown];

    const fn name(self) -> &'static str {
        match self {
            Self::OwnZone => "own_zone",
            Self::OtherZone => "other_zone",
            Self::Unknown => "unknown_zone",
        }
    }
}

impl Usage {
    /// Creates counters for a host in a zone.
    #[must_use]
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            zones: ArcSwap::default(),
            bytes: Default::default(),
        }
    }

    /// Replaces the zones of all processes.
    pub fn replace_zones(&self, zones: Zones) {
        if **self.zones.load() != zones {
            self.zones.store(zones.into());
        }
    }

    /// Counts a datagram.
    pub fn add(&self, kind: Kind, to: SocketAddr, bytes: usize) {
        let crossing = match self.zones.load().get(&to) {
            Some(zone) if *zone == self.zone => Crossing::OwnZone,
            Some(_) => Crossing::OtherZone,
            None => Crossing::Unknown,
        };
        let counter = &self.bytes[kind as usize][crossing as usize];
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes of a kind.
    #[must_use]
    pub fn bytes(&self, kind: Kind, crossing: Crossing) -> u64 {
        self.bytes[kind as usize][crossing as usize].load(Ordering::Relaxed)
    }

    /// Returns all bytes.
    #[must_use]
    pub fn total(&self) -> u64 {
        let all = self.bytes.iter().flatten();
        all.map(|bytes| bytes.load(Ordering::Relaxed)).sum()
    }

    /// Copies the counters to the instruments.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if the metric is not in the table.
    pub fn publish(&self, instruments: &mut Instruments) -> Result<(), Error> {
        for kind in Kind::ALL {
            for crossing in Crossing::ALL {
                let bytes = self.bytes(kind, crossing);
                if bytes > 0 {
                    let reason = format!("{}_{}", kind.name(), crossing.name());
                    instruments.set("carried.sent_bytes", &reason, bytes)?;
                }
            }
        }
        Ok(())
    }
}
