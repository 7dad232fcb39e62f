//! Data types in the answers of the platform's key-value service.
use wire::Revision;

/// Id of a lease, assigned by the store.
pub type LeaseId = String;

/// A key of the store with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last write to the key. Ordered across restores of the
    /// store, see [`crate::era`].
    pub revision: Revision,
}

/// All keys under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The keys, in no particular order.
    pub items: Vec<KeyValue>,
    /// Index from which to watch for the next change.
    pub index: Revision,
}
