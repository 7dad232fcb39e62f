//! The records that the directory is made of.
use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use wire::Incarnation;
use wire::Revision;
use wire::ServiceAddress;
use wire::Target;
use wire::ZoneId;

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
    /// TCP address for calls between processes.
    pub control: SocketAddr,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Start time of the process; orders its statements.
    pub incarnation: Incarnation,
    /// True once the process has announced that it stops.
    pub left: bool,
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
}
