//! What the platform's key-value service answers.
use wire::Revision;

/// Names a lease, as the store chose it.
pub type LeaseId = String;

/// One key of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last write of this key.
    pub revision: Revision,
}

/// All keys under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The keys, in no particular order.
    pub items: Vec<Item>,
    /// Index to watch from for the next change.
    pub index: Revision,
}
