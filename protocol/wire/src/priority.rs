//! Serialization of load-shedding priorities.
//!
//! Earlier versions write and read one byte. Smaller priorities than [`ESCAPE`] still
//! take that form, so that these versions understand them; others follow the byte.
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::Priority;
use crate::escaped;
use crate::trailing;

/// First byte of a priority that takes more than one.
const ESCAPE: u8 = u8::MAX;

/// Priority in its encoded form.
struct Encoded(Priority);

impl Serialize for Encoded {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match u8::try_from(self.0) {
            Ok(byte) if byte < ESCAPE => byte.serialize(serializer),
            _ => (ESCAPE, self.0).serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for Encoded {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (byte, rest) = escaped::deserialize(deserializer, ESCAPE)?;
        Ok(Self(rest.unwrap_or(Priority::from(byte))))
    }
}

/// Writes a priority.
///
/// # Errors
///
/// Returns the error of the serializer.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde calls it with a reference"
)]
pub fn serialize<S: Serializer>(priority: &Priority, serializer: S) -> Result<S::Ok, S::Error> {
    Encoded(*priority).serialize(serializer)
}

/// Reads a priority.
///
/// # Errors
///
/// Returns the error of the deserializer.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Priority, D::Error> {
    Encoded::deserialize(deserializer).map(|encoded| encoded.0)
}

/// An optional priority as the last field of a frame, see [`crate::trailing`].
pub mod last {
    use super::Deserializer;
    use super::Encoded;
    use super::Priority;
    use super::Serializer;
    use super::trailing;

    /// Writes the priority without a tag.
    ///
    /// # Errors
    ///
    /// Returns the error of the serializer.
    #[expect(clippy::ref_option, reason = "serde calls it with a reference")]
    pub fn serialize<S: Serializer>(
        priority: &Option<Priority>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        trailing::serialize(&priority.map(Encoded), serializer)
    }

    /// Reads the priority, or `None` if the input ends before it.
    ///
    /// # Errors
    ///
    /// None; the signature is the one that serde expects.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Priority>, D::Error> {
        let encoded: Option<Encoded> = trailing::deserialize(deserializer)?;
        Ok(encoded.map(|encoded| encoded.0))
    }
}
