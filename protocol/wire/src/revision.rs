//! Serialization of revisions between processes.
//!
//! Earlier versions hold a revision in 64 bits: the number of the change in the lower
//! 48, the era in the upper 16. What fits is still encoded so. Anything else follows a
//! number that these versions reject.
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;

use crate::Revision;
use crate::escaped;

/// Bits of an encoded revision that hold the number of the change.
const NUMBER_BITS: u32 = 48;

/// Mask of these bits.
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

/// Number that an encoded era and number follow. It has more than 64 bits.
const ESCAPE: u128 = 1 << u64::BITS;

/// Returns the revision of a change of an era. A later era orders before any number.
#[must_use]
pub const fn join(era: u64, number: u64) -> Revision {
    (era as Revision) << u64::BITS | number as Revision
}

/// Returns the era of a revision and the number of the change within it.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "each half of a revision has 64 bits"
)]
pub const fn split(revision: Revision) -> (u64, u64) {
    ((revision >> u64::BITS) as u64, revision as u64)
}

/// Returns the revision that is encoded as `packed`. Keeps the order.
#[must_use]
pub const fn from_packed(packed: u64) -> Revision {
    join(packed >> NUMBER_BITS, packed & NUMBER_MASK)
}

/// Returns a revision in 64 bits; `None` if it does not fit.
const fn to_packed(revision: Revision) -> Option<u64> {
    let (era, number) = split(revision);
    if era <= u64::MAX >> NUMBER_BITS && number <= NUMBER_MASK {
        Some(era << NUMBER_BITS | number)
    } else {
        None
    }
}

/// Adapter for the revisions in frames and messages.
pub struct Compact;

impl SerializeAs<Revision> for Compact {
    fn serialize_as<S: Serializer>(revision: &Revision, serializer: S) -> Result<S::Ok, S::Error> {
        match to_packed(*revision) {
            Some(packed) => packed.serialize(serializer),
            None => (ESCAPE, split(*revision)).serialize(serializer),
        }
    }
}

impl<'de> DeserializeAs<'de, Revision> for Compact {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Revision, D::Error> {
        match escaped::deserialize(deserializer, ESCAPE)? {
            (_, Some((era, number))) => Ok(join(era, number)),
            (packed, None) => {
                let packed = u64::try_from(packed).map_err(D::Error::custom)?;
                Ok(from_packed(packed))
            }
        }
    }
}
