//! Mixes flow keys and seeds into uniform hashes, the same on every platform.

const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

/// The finalizer of `SplitMix64` (Steele, Lea and Flood, "Fast splittable
/// pseudorandom number generators", 2014): a bijection whose output bits depend
/// on all input bits.
#[must_use]
pub const fn finalize(value: u64) -> u64 {
    let value = value.wrapping_add(GOLDEN);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Mixes a key that went through [`finalize`] with a seed.
#[must_use]
pub const fn mix(key: u64, seed: u64) -> u64 {
    finalize(key ^ seed)
}
