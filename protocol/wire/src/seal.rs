//! Encodes and authenticates the datagrams between processes.
//!
//! A sealed datagram is a version byte, a key id, a 16-byte keyed BLAKE3 tag
//! over all other bytes, and the frame in the `postcard` format.
use displaydoc::Display;
use thiserror::Error;

use crate::Frame;

/// Number of bytes of a key.
pub const KEY_LEN: usize = 32;

const VERSION: u8 = 1;
const TAG_LEN: usize = 16;
const HEADER_LEN: usize = 2;
const PREFIX_LEN: usize = HEADER_LEN + TAG_LEN;

/// A key that the processes of one installation share.
#[derive(Clone)]
pub struct Key {
    /// Names the key in a datagram.
    pub id: u8,
    /// The secret.
    pub secret: [u8; KEY_LEN],
}

/// Seals datagrams with the first key and opens those of every key.
#[derive(Clone)]
pub struct Seal {
    keys: Vec<Key>,
}

/// Why a datagram was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Error)]
pub enum Error {
    /// the datagram is shorter than its header; check what else sends to this port
    Truncated,
    /// the datagram's version is not supported; upgrade the older process
    Version,
    /// the datagram's key id is unknown; give both processes a key in common
    UnknownKey,
    /// the datagram's tag does not match; check that both processes have the same secret
    BadTag,
    /// the datagram's frame cannot be read; upgrade the older process
    Malformed,
}

impl Seal {
    /// Uses `sign` for what is sent, and `sign` or any of `accept` for what is
    /// received. Two keys in force allow rotation.
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
        let key = &self.keys[0];
        let mut datagram = vec![0; PREFIX_LEN];
        datagram[0] = VERSION;
        datagram[1] = key.id;
        let mut datagram = postcard::to_extend(frame, datagram).map_err(|_| Error::Malformed)?;
        let tag = tag(key, &datagram);
        datagram[HEADER_LEN..PREFIX_LEN].copy_from_slice(&tag);
        Ok(datagram)
    }

    /// Checks and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the datagram is then to be dropped and counted.
    pub fn open(&self, datagram: &[u8]) -> Result<Frame, Error> {
        if datagram.len() < PREFIX_LEN {
            return Err(Error::Truncated);
        }
        if datagram[0] != VERSION {
            return Err(Error::Version);
        }
        let key = self
            .keys
            .iter()
            .find(|key| key.id == datagram[1])
            .ok_or(Error::UnknownKey)?;
        let expected = blake3::Hash::from(padded(tag(key, datagram)));
        let mut received = [0; TAG_LEN];
        received.copy_from_slice(&datagram[HEADER_LEN..PREFIX_LEN]);
        // `blake3::Hash` compares in constant time.
        if expected != blake3::Hash::from(padded(received)) {
            return Err(Error::BadTag);
        }
        postcard::from_bytes(&datagram[PREFIX_LEN..]).map_err(|_| Error::Malformed)
    }
}

fn tag(key: &Key, datagram: &[u8]) -> [u8; TAG_LEN] {
    let mut hasher = blake3::Hasher::new_keyed(&key.secret);
    hasher.update(&datagram[..HEADER_LEN]);
    hasher.update(&datagram[PREFIX_LEN..]);
    let mut tag = [0; TAG_LEN];
    tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_LEN]);
    tag
}

fn padded(tag: [u8; TAG_LEN]) -> [u8; blake3::OUT_LEN] {
    let mut bytes = [0; blake3::OUT_LEN];
    bytes[..TAG_LEN].copy_from_slice(&tag);
    bytes
}
