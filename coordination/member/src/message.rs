//! The messages of the membership protocol.
use std::net::SocketAddr;

use bytes::Bytes;
use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use wire::Incarnation;
use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;

use crate::Entry;
use crate::Record;
use crate::Service;
use crate::digest::Digest;
use crate::fragment::Fetch;
use crate::fragment::Fragment;
use crate::fragment::Offer;
use crate::record::Key;
use crate::tree::Node;
use crate::view::Member;

/// Largest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1_150;

/// Bytes of a datagram beside the message: IP, UDP, seal and frame.
pub const OVERHEAD_BYTES: usize = 50;

/// Room that a message needs beside its packed items, in bytes.
const PACK_HEADER_BYTES: usize = 64;

/// Number of a heartbeat within an incarnation.
pub type Sequence = u64;

/// One datagram of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Shows that a process runs.
    Heartbeat(Heartbeat),
    /// Answers a heartbeat.
    Ack(Ack),
    /// Asks a silent process for a heartbeat.
    Probe,
    /// Part of the view of a service, for an agent.
    Members(Members),
    /// Names all targets in some part of a view, for an agent.
    Roll(Roll),
    /// Records of the sender, for an entry.
    Push(Push),
    /// Names a configuration that is too large to be pushed.
    Offer(Offer),
    /// Asks for the fragments of such a configuration.
    Fetch(Fetch),
    /// Part of such a configuration.
    Fragment(Fragment),
    /// Digests of the sender below a node of the digest tree.
    Compare(Compare),
    /// The records that the sender holds in a range of keys.
    Leaf(Leaf),
    /// Asks for the records with these keys.
    Pull(Vec<Key>),
    /// Asks for everything about a service.
    Need(ServiceAddress),
}

/// Shows that a process runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The process.
    pub subject: Subject,
    /// Rises with each heartbeat of an incarnation.
    pub sequence: Sequence,
    /// UDP addresses of the entries that watch the process.
    pub watchers: Vec<SocketAddr>,
    /// True where the receiver, which is no watcher, is to observe whether the
    /// zone of the process can be reached.
    pub observe: bool,
    /// Digest of the view that an agent holds of its service.
    pub digest: Digest,
    /// Digests of the parts of that view, where the receiver's differs for
    /// longer; empty otherwise.
    pub parts: Vec<Digest>,
}

/// The process that a heartbeat is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// An agent and its backend server.
    Target(Target),
    /// An entry.
    Entry(Entry),
}

/// Answers a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Incarnation of the heartbeat.
    pub incarnation: Incarnation,
    /// Number of the heartbeat.
    pub sequence: Sequence,
    /// Entries that should watch the process, best first: as many as watch,
    /// and some to replace those that do not answer.
    pub watchers: Vec<SocketAddr>,
    /// Digest of the view that the entry holds of the agent's service.
    pub digest: Digest,
}

/// Part of the view of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Address of the service.
    pub address: ServiceAddress,
    /// Configuration of the service, where it is part of this message.
    pub config: Option<Service>,
    /// Some of its targets.
    pub members: Vec<Member>,
}

/// Names all targets in some part of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roll {
    /// Address of the service.
    pub address: ServiceAddress,
    /// Number of the part.
    pub part: u8,
    /// Its targets.
    pub targets: Vec<TargetId>,
}

/// Records of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// True where they are news, to be passed on at once.
    pub hot: bool,
    /// The records.
    pub records: Vec<Record>,
}

/// Digests below a node of the digest tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// The node.
    pub node: Node,
    /// Digests of its children.
    pub digests: Vec<Digest>,
}

/// The records that the sender holds in a range of keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaf {
    /// First key of the range.
    pub first: Key,
    /// Last key of the range.
    pub last: Key,
    /// The records, by key.
    pub items: Vec<Item>,
}

/// A record, by its key and digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key of the record.
    pub key: Key,
    /// Lower half of the digest of its version.
    pub digest: u32,
}

/// Why a message could not be encoded or read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Error)]
pub enum Error {
    /// the message cannot be read; upgrade the older process
    Malformed,
    /// the message is larger than a datagram may be; send its items in several
    TooLarge,
}

impl Message {
    /// Encodes the message for `wire::Frame::Control`.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] where it exceeds [`MAX_MESSAGE_BYTES`].
    pub fn encode(&self) -> Result<Bytes, Error> {
        let bytes = postcard::to_stdvec(self).map_err(|_| Error::Malformed)?;
        match bytes.len() {
            0..=MAX_MESSAGE_BYTES => Ok(bytes.into()),
            _ => Err(Error::TooLarge),
        }
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] or [`Error::Malformed`]; the message is then to be
    /// dropped and counted.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(Error::TooLarge);
        }
        postcard::from_bytes(bytes).map_err(|_| Error::Malformed)
    }

    /// Bytes of the datagram that carries the message.
    #[must_use]
    pub fn datagram_bytes(&self) -> u64 {
        let message = self.encode().map_or(0, |bytes| bytes.len());
        (message + OVERHEAD_BYTES) as u64
    }
}

/// Splits items into groups that each fit into one message.
pub(crate) fn pack<T: Serialize>(items: impl Iterator<Item = T>) -> Vec<Vec<T>> {
    let mut groups: Vec<Vec<T>> = Vec::new();
    let mut room = 0;
    for item in items {
        let len = postcard::to_stdvec(&item).map_or(0, |bytes| bytes.len());
        match groups.last_mut() {
            Some(group) if len <= room => {
                room -= len;
                group.push(item);
            }
            _ => {
                room = (MAX_MESSAGE_BYTES - PACK_HEADER_BYTES).saturating_sub(len);
                groups.push(vec![item]);
            }
        }
    }
    groups
}
