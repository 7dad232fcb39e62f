//! Availability zones that operators have emptied.
//!
//! The store holds one key for each emptied zone. The key of a zone that is taken
//! back is deleted. The list of the keys at one revision is the whole state, and the
//! list of a later revision replaces it.
use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use wire::Revision;
use wire::ZoneId;

/// The emptied zones, as the store listed them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Revision at which each zone was emptied.
    pub zones: BTreeMap<ZoneId, Revision>,
}

impl Evacuations {
    /// Encodes the zones as the body of a gossiped record.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes the body of a gossiped record.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the body is malformed.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Returns true if a zone is emptied.
    #[must_use]
    pub fn contains(&self, zone: ZoneId) -> bool {
        self.zones.contains_key(&zone)
    }
}
