//! Hashes flow keys and seeds uniformly, with the same result on every
//! platform.

/// The increment of `SplitMix64`: 2^64 divided by the golden ratio.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Applies the finalizer of `SplitMix64` (Steele, Lea and Flood, "Fast
/// splittable pseudorandom number generators", 2014): a bijection whose output
/// bits depend on all input bits.
#[must_use]
pub const fn finalize(value: u64) -> u64 {
    let value = value.wrapping_add(GOLDEN_GAMMA);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Combines a seed with a key that has already been passed through
/// [`finalize`].
#[must_use]
pub const fn mix(key: u64, seed: u64) -> u64 {
    finalize(key ^ seed)
}
