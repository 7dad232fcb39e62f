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

use crate::Entry;
use crate::Record;
use crate::Service;
use crate::digest::Digest;
use crate::view::Member;

/// Largest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1_150;

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
    /// Part of the view of a service, for an agent.
    Members(Members),
    /// Records of the sender, for an entry.
    Push(Vec<Record>),
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
    /// Digest of the view that an agent holds of its service.
    pub digest: Digest,
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
    /// The entries that should watch the process, by UDP address.
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
