//! Order-independent digests of sets of records.
use serde::Serialize;

/// Digest of a set: the wrapping sum of the digests of its records.
pub type Digest = u64;

/// Returns the digest of one value.
pub fn of(value: &impl Serialize) -> Digest {
    let mut hasher = blake3::Hasher::new();
    // Encoding cannot fail for the types of this crate.
    let bytes = postcard::to_stdvec(value).unwrap_or_default();
    hasher.update(&bytes);
    let mut digest = [0; size_of::<Digest>()];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..size_of::<Digest>()]);
    Digest::from_le_bytes(digest)
}

/// Returns the lower half of a digest.
pub fn lower_half(digest: Digest) -> u32 {
    let [a, b, c, d, ..] = digest.to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}
