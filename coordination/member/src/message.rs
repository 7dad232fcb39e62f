//! Messages of the membership protocol.
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

/// Bytes of a message that are kept free for fields beside its packed items.
const PACK_HEADER_BYTES: usize = 64;

/// Number of a heartbeat within an incarnation.
pub type Sequence = u64;

/// Datagram of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat of a process.
    Heartbeat(Heartbeat),
    /// Acknowledgement of a heartbeat.
    Ack(Ack),
    /// Request for a heartbeat from a silent process.
    Probe,
    /// Part of the view of a service, sent to an agent.
    Members(Members),
    /// List of all targets in one part of a view, sent to an agent.
    TargetList(TargetList),
    /// Records of the sender, sent to an entry.
    Push(Push),
    /// Offer of a configuration that is too large to be pushed.
    Offer(Offer),
    /// Request for the fragments of an offered configuration.
    Fetch(Fetch),
    /// Fragment of an offered configuration.
    Fragment(Fragment),
    /// Digests of the children of a node in the sender's digest tree.
    Compare(Compare),
    /// List of the sender's records in a range of keys.
    Leaf(Leaf),
    /// Request for the records with these keys.
    Pull(Vec<Key>),
    /// Request for all records of a service.
    PullService(ServiceAddress),
}

/// Heartbeat of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Process that the heartbeat is about.
    pub subject: Subject,
    /// Number of the heartbeat; rises within an incarnation.
    pub sequence: Sequence,
    /// UDP addresses of the entries that watch the process.
    pub watchers: Vec<SocketAddr>,
    /// True if the receiver is not a watcher, but observes whether the zone
    /// of the process is reachable.
    pub to_observer: bool,
    /// Digest of the view that an agent has of its service.
    pub digest: Digest,
    /// Digests of the parts of that view, for one receiver whose last
    /// acknowledged digest differs; empty otherwise.
    pub parts: Vec<Digest>,
}

/// Process that a heartbeat is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// Agent and its backend server.
    Target(Target),
    /// Entry.
    Entry(Entry),
}

/// Acknowledgement of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Incarnation in the heartbeat.
    pub incarnation: Incarnation,
    /// Number of the heartbeat.
    pub sequence: Sequence,
    /// Entries that should watch the process, best first: as many as there are
    /// watchers, and spare ones to replace those that do not answer.
    pub watchers: Vec<SocketAddr>,
    /// Digest of the view that the entry has of the agent's service.
    pub digest: Digest,
}

/// Part of the view of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Address of the service.
    pub address: ServiceAddress,
    /// Configuration of the service, if this message carries it.
    pub config: Option<Service>,
    /// Some of its targets.
    pub members: Vec<Member>,
}

/// List of all targets in one part of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    /// Address of the service.
    pub address: ServiceAddress,
    /// Number of the part.
    pub part: u8,
    /// Ids of the targets in the part.
    pub targets: Vec<TargetId>,
}

/// Records of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// True if the receiver is to gossip the records further.
    pub is_rumor: bool,
    /// The records.
    pub records: Vec<Record>,
}

/// Digests of the children of a node in the digest tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// Node of the tree.
    pub node: Node,
    /// Digests of its children.
    pub digests: Vec<Digest>,
}

/// List of the sender's records in a range of keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaf {
    /// First key of the range.
    pub first: Key,
    /// Last key of the range.
    pub last: Key,
    /// Records, in the order of their keys.
    pub records: Vec<RecordDigest>,
}

/// Key and digest of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordDigest {
    /// Key of the record.
    pub key: Key,
    /// Lower half of the digest of its version.
    pub digest: u32,
}

/// Reason why a message could not be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Error)]
pub enum Error {
    /// message cannot be encoded or decoded; upgrade the older process
    Malformed,
    /// message exceeds one datagram; send its items in several messages
    TooLarge,
}

impl Message {
    /// Encodes the message for `wire::Frame::Control`.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] if it exceeds [`MAX_MESSAGE_BYTES`];
    /// [`Error::Malformed`] if it cannot be encoded.
    pub fn encode(&self) -> Result<Bytes, Error> {
        let bytes = postcard::to_stdvec(self).map_err(|_| Error::Malformed)?;
        match bytes.len() {
            0..=MAX_MESSAGE_BYTES => Ok(bytes.into()),
            _ => Err(Error::TooLarge),
        }
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] or [`Error::Malformed`]; the caller drops the
    /// message and counts it.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(Error::TooLarge);
        }
        postcard::from_bytes(bytes).map_err(|_| Error::Malformed)
    }

    /// Returns the size of the datagram that carries the message, in bytes.
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
