//! A hasher with an explicit seed: callers that choose keys cannot predict the
//! hashes, and runs with the same seed are reproducible.
use std::hash::BuildHasher;
use std::hash::DefaultHasher;
use std::hash::Hasher;

/// A [`BuildHasher`] with an explicit seed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SeededState(pub(crate) u64);

impl BuildHasher for SeededState {
    type Hasher = DefaultHasher;

    fn build_hasher(&self) -> DefaultHasher {
        let mut hasher = DefaultHasher::new();
        hasher.write_u64(self.0);
        hasher
    }
}
