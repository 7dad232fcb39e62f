//! Hashing that a caller who chooses the keys cannot predict, and that is the
//! same on every run with the same seed.
use std::hash::BuildHasher;
use std::hash::DefaultHasher;
use std::hash::Hasher;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Seeded(pub(crate) u64);

impl BuildHasher for Seeded {
    type Hasher = DefaultHasher;

    fn build_hasher(&self) -> DefaultHasher {
        let mut hasher = DefaultHasher::new();
        hasher.write_u64(self.0);
        hasher
    }
}
