//! Encodes and authenticates the messages between processes.
//!
//! A sealed message is a version byte, a key id, a purpose, a 16-byte keyed
//! BLAKE3 tag over all other bytes, and the content in the `postcard` format.
use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::Frame;

/// Length of a key in bytes.
pub const KEY_LEN: usize = 32;

const VERSION: u8 = 1;
const TAG_LEN: usize = 16;
const HEADER_LEN: usize = 3;
const PREFIX_LEN: usize = HEADER_LEN + TAG_LEN;

/// A secret key that the processes of one installation share.
#[derive(Clone)]
pub struct Key {
    /// Id of the key, which each message carries in its header.
    pub id: u8,
    /// Key of the BLAKE3 tag.
    pub secret: [u8; KEY_LEN],
}

/// Kind of a sealed message. The tag covers it, so that a message of one kind
/// is never accepted as another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Purpose {
    /// A datagram between processes.
    Frame,
    /// A call between processes over TCP.
    Call,
    /// The answer to a call.
    Answer,
}

/// Signer and verifier of messages. It signs with the first key and verifies
/// with the key whose id the message carries.
#[derive(Clone)]
pub struct Seal {
    keys: Vec<Key>,
}

/// Reason for rejecting a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Error)]
pub enum Error {
    /// the message is shorter than its header and tag of 19 bytes; check what else sends to this port
    Truncated,
    /// the message's version is not 1; upgrade the older process
    Version,
    /// the message was sealed for another purpose; check that the sender's address names the right port
    Purpose,
    /// no configured key has the message's key id; give both processes a key in common
    UnknownKey,
    /// the message's tag does not match; check that both processes have the same secret for this key id
    BadTag,
    /// the message's content cannot be encoded or decoded; upgrade the older process
    Malformed,
}

impl Seal {
    /// Creates a seal that signs with `sign`, and verifies with `sign` and all
    /// keys of `accept`. Accepting a second key allows rotation without an
    /// interruption.
    #[must_use]
    pub fn new(sign: Key, accept: Vec<Key>) -> Self {
        let mut keys = vec![sign];
        keys.extend(accept);
        Self { keys }
    }

    /// Encodes and signs a frame.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] where the frame cannot be encoded.
    pub fn seal(&self, frame: &Frame) -> Result<Vec<u8>, Error> {
        self.seal_as(Purpose::Frame, frame)
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`]; the receiving process counts and drops the datagram.
    pub fn open(&self, datagram: &[u8]) -> Result<Frame, Error> {
        self.open_as(Purpose::Frame, datagram)
    }

    /// Encodes and signs content for a purpose.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] where the content cannot be encoded.
    pub fn seal_as(&self, purpose: Purpose, content: &impl Serialize) -> Result<Vec<u8>, Error> {
        let key = &self.keys[0];
        let mut message = vec![0; PREFIX_LEN];
        message[..HEADER_LEN].copy_from_slice(&[VERSION, key.id, purpose as u8]);
        let mut message = postcard::to_extend(content, message).map_err(|_| Error::Malformed)?;
        let tag = compute_tag(key, &message);
        message[HEADER_LEN..PREFIX_LEN].copy_from_slice(&tag);
        Ok(message)
    }

    /// Verifies and decodes content that was sealed for a purpose.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`]; the receiving process counts and drops the message.
    pub fn open_as<T: DeserializeOwned>(
        &self,
        purpose: Purpose,
        message: &[u8],
    ) -> Result<T, Error> {
        match message {
            _ if message.len() < PREFIX_LEN => return Err(Error::Truncated),
            _ if message[0] != VERSION => return Err(Error::Version),
            _ if message[2] != purpose as u8 => return Err(Error::Purpose),
            _ => {}
        }
        let key = self
            .keys
            .iter()
            .find(|key| key.id == message[1])
            .ok_or(Error::UnknownKey)?;
        let expected = blake3::Hash::from(pad_tag(compute_tag(key, message)));
        let mut received = [0; TAG_LEN];
        received.copy_from_slice(&message[HEADER_LEN..PREFIX_LEN]);
        // `blake3::Hash` compares in constant time.
        if expected != blake3::Hash::from(pad_tag(received)) {
            return Err(Error::BadTag);
        }
        postcard::from_bytes(&message[PREFIX_LEN..]).map_err(|_| Error::Malformed)
    }
}

fn compute_tag(key: &Key, message: &[u8]) -> [u8; TAG_LEN] {
    let mut hasher = blake3::Hasher::new_keyed(&key.secret);
    hasher.update(&message[..HEADER_LEN]);
    hasher.update(&message[PREFIX_LEN..]);
    let mut tag = [0; TAG_LEN];
    tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_LEN]);
    tag
}

fn pad_tag(tag: [u8; TAG_LEN]) -> [u8; blake3::OUT_LEN] {
    let mut bytes = [0; blake3::OUT_LEN];
    bytes[..TAG_LEN].copy_from_slice(&tag);
    bytes
}
