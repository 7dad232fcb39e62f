//! The records that the directory is made of, and how versions of one record
//! are ordered.
use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use wire::Incarnation;
use wire::Revision;
use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;
use wire::ZoneId;

use crate::digest;
use crate::message::Sequence;

/// Names a record among all records of a directory.
pub type Key = u64;

/// Names a watched process: the id of a target, or the key of an entry.
pub type SubjectId = TargetId;

/// Configuration of one service. The larger revision wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Address that callers send to.
    pub address: ServiceAddress,
    /// Revision of the platform's store.
    pub revision: Revision,
    /// The configuration, opaque to this crate. Deletion is a body too.
    pub body: Bytes,
}

/// One entry process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// UDP address for frames.
    pub address: SocketAddr,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Start time of the process; orders its statements.
    pub incarnation: Incarnation,
    /// True once the process has announced that it stops.
    pub left: bool,
}

/// What one watcher says of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The process.
    pub subject: SubjectId,
    /// The incarnation that the statement is about; it says nothing of others.
    pub incarnation: Incarnation,
    /// UDP address of the watcher.
    pub observer: SocketAddr,
    /// Last heartbeat that the watcher knows of.
    pub sequence: Sequence,
    /// True where the watcher suspects the process; false where it hears it.
    pub silent: bool,
    /// The watchers that the process named in that heartbeat.
    pub watchers: Vec<SocketAddr>,
}

/// How much one observer hears of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The zone.
    pub zone: ZoneId,
    /// UDP address of the observer.
    pub observer: SocketAddr,
    /// Zone of the observer.
    pub from: ZoneId,
    /// Incarnation of the observer.
    pub incarnation: Incarnation,
    /// Counts the reports of the observer on this zone.
    pub version: u32,
    /// Watched processes in the zone that are silent.
    pub silent: u16,
    /// Watched processes in the zone.
    pub watched: u16,
}

/// One item of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Configuration of a service.
    Service(Service),
    /// A backend server.
    Target(Target),
    /// An entry process.
    Entry(Entry),
    /// What a watcher says of a process.
    Suspicion(Suspicion),
    /// What an observer says of a zone.
    Report(Report),
    /// That a process was silent or departed for long, and is forgotten.
    Removal(Removal),
}

/// Forgets a target or entry that was silent or departed for long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// Key of the record that is forgotten.
    pub subject: SubjectId,
    /// Its position in the history of the process; a newer one stays.
    pub stamp: wire::target::Stamp,
}

impl Entry {
    /// Orders the statements of one entry.
    #[must_use]
    pub const fn stamp(&self) -> Stamp {
        Stamp {
            incarnation: self.incarnation,
            version: self.left as u64,
            last: false,
        }
    }
}

impl Suspicion {
    /// Orders the statements of one watcher on one process. Silence after a
    /// heartbeat is later than that heartbeat.
    #[must_use]
    pub const fn stamp(&self) -> Stamp {
        Stamp {
            incarnation: self.incarnation,
            version: self.sequence,
            last: self.silent,
        }
    }
}

impl Report {
    /// Orders the reports of one observer on one zone.
    #[must_use]
    pub const fn stamp(&self) -> Stamp {
        Stamp {
            incarnation: self.incarnation,
            version: self.version as u64,
            last: false,
        }
    }
}

/// Position of a statement in the history of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    incarnation: Incarnation,
    version: u64,
    last: bool,
}

/// Kinds of keys, so that records of different kinds do not share one.
#[derive(Serialize)]
enum Name {
    Service(ServiceAddress),
    Entry(SocketAddr),
    Suspicion(SubjectId, SocketAddr),
    Report(ZoneId, SocketAddr),
}

impl Record {
    /// The key under which the record is held.
    #[must_use]
    pub fn key(&self) -> Key {
        match self {
            Self::Service(service) => service_key(service.address),
            Self::Target(target) => target.id,
            Self::Entry(entry) => entry_key(entry.address),
            Self::Suspicion(suspicion) => suspicion_key(suspicion.subject, suspicion.observer),
            Self::Report(report) => report_key(report.zone, report.observer),
            Self::Removal(removal) => removal.subject,
        }
    }
}

/// Key of the configuration of a service.
#[must_use]
pub fn service_key(address: ServiceAddress) -> Key {
    digest::item(&Name::Service(address))
}

/// Key of an entry.
#[must_use]
pub fn entry_key(address: SocketAddr) -> Key {
    digest::item(&Name::Entry(address))
}

/// Key of the statement of a watcher on a process.
#[must_use]
pub fn suspicion_key(subject: SubjectId, observer: SocketAddr) -> Key {
    digest::item(&Name::Suspicion(subject, observer))
}

/// Key of the report of an observer on a zone.
#[must_use]
pub fn report_key(zone: ZoneId, observer: SocketAddr) -> Key {
    digest::item(&Name::Report(zone, observer))
}
