//! Serialization of an optional last field that earlier versions do not have.
//!
//! The value is written without a tag, and nothing is written for `None`. A decoder
//! that finds no value at the end of its input returns `None`.
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Writes the value without a tag.
///
/// # Errors
///
/// Returns the error of the serializer.
#[expect(clippy::ref_option, reason = "serde calls it with a reference")]
pub fn serialize<T: Serialize, S: Serializer>(
    value: &Option<T>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    match value {
        Some(value) => value.serialize(serializer),
        None => serializer.serialize_unit(),
    }
}

/// Reads the value, or `None` if the input ends before it.
///
/// # Errors
///
/// None; the signature is the one that serde expects.
#[expect(clippy::unnecessary_wraps, reason = "serde expects a result")]
pub fn deserialize<'de, T: Deserialize<'de>, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<T>, D::Error> {
    Ok(T::deserialize(deserializer).ok())
}
