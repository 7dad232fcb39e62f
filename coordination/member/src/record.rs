//! Records of the directory, and the order of the versions of one record.
use std::net::IpAddr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use wire::Incarnation;
use wire::Revision;
use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;
use wire::ZoneId;
use wire::revision;

use crate::digest;
use crate::message::Sequence;

/// Key of a record, unique within a directory.
pub type Key = u64;

/// Pseudo service whose configuration entries send to all agents that they watch,
/// of whichever service. It must fit into one message.
pub const BROADCAST_ADDRESS: ServiceAddress = SocketAddr::new(IpAddr::V6(Ipv6Addr::UNSPECIFIED), 2);

/// Id of a watched process: the id of a target, or the key of an entry.
pub type SubjectId = TargetId;

/// Configuration of one service. The larger revision wins.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Address that callers send to.
    pub address: ServiceAddress,
    /// Revision of the configuration in the platform's store.
    #[serde_as(as = "revision::Compact")]
    pub revision: Revision,
    /// Configuration, opaque to this crate. A deletion is a body too.
    pub body: Bytes,
}

/// Entry process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// UDP address for frames.
    pub address: SocketAddr,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Start time of the process; orders its statements.
    pub incarnation: Incarnation,
    /// True once the process has announced its departure.
    pub has_left: bool,
}

/// Statement of one watcher about one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The process.
    pub subject: SubjectId,
    /// Incarnation that the statement is about; it does not apply to others.
    pub incarnation: Incarnation,
    /// UDP address of the watcher that makes the statement.
    pub observer: SocketAddr,
    /// Number of the last heartbeat that the watcher knows of.
    pub sequence: Sequence,
    /// True if the watcher suspects the process; false if it hears it.
    pub silent: bool,
    /// Watchers that the process named in that heartbeat.
    pub watchers: Vec<SocketAddr>,
}

/// Numbers of silent and watched processes in one zone, as one observer sees
/// them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The zone.
    pub zone: ZoneId,
    /// UDP address of the observer.
    pub observer: SocketAddr,
    /// Zone of the observer.
    pub observer_zone: ZoneId,
    /// Incarnation of the observer.
    pub incarnation: Incarnation,
    /// Number of the observer's report on this zone.
    pub version: u32,
    /// Number of watched processes in the zone that are silent.
    pub silent: u16,
    /// Number of watched processes in the zone.
    pub watched: u16,
}

/// Record of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Configuration of a service.
    Service(Service),
    /// Backend server.
    Target(Target),
    /// Entry process.
    Entry(Entry),
    /// Statement of a watcher about a process.
    Statement(Statement),
    /// Report of an observer on a zone.
    Report(Report),
    /// Removal of a process that was silent or departed for long.
    Removal(Removal),
}

/// Removal of a target or entry that was silent or departed for long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// Key of the removed record.
    pub subject: SubjectId,
    /// Version of the removed record; a newer one stays.
    pub stamp: wire::target::Stamp,
}

impl Entry {
    /// Returns the position of this record among those of one entry.
    #[must_use]
    pub const fn position(&self) -> Position {
        Position {
            incarnation: self.incarnation,
            version: self.has_left as u64,
            silent: false,
        }
    }
}

impl Statement {
    /// Returns the position of this statement among those of one watcher about
    /// one process. Silence after a heartbeat is later than that heartbeat.
    #[must_use]
    pub const fn position(&self) -> Position {
        Position {
            incarnation: self.incarnation,
            version: self.sequence,
            silent: self.silent,
        }
    }
}

impl Report {
    /// Returns the position of this report among those of one observer on one
    /// zone.
    #[must_use]
    pub const fn position(&self) -> Position {
        Position {
            incarnation: self.incarnation,
            version: self.version as u64,
            silent: false,
        }
    }
}

/// Position of a version in the history of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    incarnation: Incarnation,
    version: u64,
    /// Silence is later than the heartbeat of the same number.
    silent: bool,
}

/// Input of a key's hash; its variants keep records of different kinds from
/// sharing a key.
#[derive(Serialize)]
enum KeyInput {
    Service(ServiceAddress),
    Entry(SocketAddr),
    Statement(SubjectId, SocketAddr),
    Report(ZoneId, SocketAddr),
}

impl Record {
    /// Returns the key under which the record is held.
    #[must_use]
    pub fn key(&self) -> Key {
        match self {
            Self::Service(service) => service_key(service.address),
            Self::Target(target) => target.id,
            Self::Entry(entry) => entry_key(entry.address),
            Self::Statement(statement) => statement_key(statement.subject, statement.observer),
            Self::Report(report) => report_key(report.zone, report.observer),
            Self::Removal(removal) => removal.subject,
        }
    }
}

/// Returns the key of the configuration of a service.
#[must_use]
pub fn service_key(address: ServiceAddress) -> Key {
    digest::of(&KeyInput::Service(address))
}

/// Returns the key of an entry.
#[must_use]
pub fn entry_key(address: SocketAddr) -> Key {
    digest::of(&KeyInput::Entry(address))
}

/// Returns the key of the statement of a watcher about a process.
#[must_use]
pub fn statement_key(subject: SubjectId, observer: SocketAddr) -> Key {
    digest::of(&KeyInput::Statement(subject, observer))
}

/// Returns the key of the report of an observer on a zone.
#[must_use]
pub fn report_key(zone: ZoneId, observer: SocketAddr) -> Key {
    digest::of(&KeyInput::Report(zone, observer))
}
