//! Algorithms for weighted rankings that the tree is compared with.
use route::hash::finalize;
use route::hash::mix;
use route::logarithm::neg_log2;
use route::tree::Leaf;

/// Weighted rendezvous hashing that computes a hash for each target.
pub struct Flat {
    leaves: Vec<Leaf>,
}

impl Flat {
    /// Creates a ranking of the given targets.
    pub fn new(leaves: &[Leaf]) -> Self {
        Self {
            leaves: leaves.to_vec(),
        }
    }

    /// Returns the positions of the first `n` targets for a key.
    pub fn top(&self, key: u64, n: usize) -> Vec<usize> {
        let key = finalize(key);
        let scores = self.leaves.iter().map(|leaf| {
            let inverse = u64::MAX / u64::from(leaf.weight.max(1));
            u128::from(neg_log2(mix(key, leaf.hashed_id))) * u128::from(inverse)
        });
        let mut ranked: Vec<Scored> = scores
            .zip(0..)
            .map(|(score, index)| Scored { score, index })
            .collect();
        let n = n.min(ranked.len());
        if n < ranked.len() {
            ranked.select_nth_unstable(n);
        }
        ranked.truncate(n);
        ranked.sort_unstable();
        ranked.into_iter().map(|scored| scored.index).collect()
    }

    /// Returns the memory in bytes.
    pub fn bytes(&self) -> usize {
        self.leaves.capacity() * size_of::<Leaf>()
    }
}

/// A target's position with its score; the lowest score ranks first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scored {
    score: u128,
    index: usize,
}

/// Precomputed table of buckets, each with the first three targets of its own
/// ranking. Ranking a key takes one hash and one lookup.
pub struct Buckets {
    targets: Vec<[u32; 3]>,
}

/// Minimum number of buckets per target.
const BUCKETS_PER_TARGET: usize = 100;

impl Buckets {
    /// Fills the table by weighted rendezvous hashing.
    pub fn new(leaves: &[Leaf]) -> Self {
        let flat = Flat::new(leaves);
        let len = (leaves.len() * BUCKETS_PER_TARGET).next_power_of_two();
        let bucket = |bucket| {
            let top = flat.top(bucket as u64, 3);
            let get = |rank: usize| top.get(rank).map_or(0, |&index| index);
            [0, 1, 2].map(|rank| u32::try_from(get(rank)).unwrap_or(0))
        };
        Self {
            targets: (0..len).map(bucket).collect(),
        }
    }

    /// Returns the positions of the first three targets for a key.
    pub fn top(&self, key: u64) -> [u32; 3] {
        let mask = self.targets.len() as u64 - 1;
        let bucket = usize::try_from(finalize(key) & mask).unwrap_or(0);
        self.targets[bucket]
    }

    /// Returns the memory in bytes.
    pub fn bytes(&self) -> usize {
        self.targets.capacity() * size_of::<[u32; 3]>()
    }
}
