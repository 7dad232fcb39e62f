//! Tree of digests over all keys, with which two directories find where they
//! differ.
use crate::digest::Digest;
use crate::record::Key;

/// Number of children of an inner node.
pub const BRANCHES: usize = 16;

/// Level of the leaves; the root is level 0.
pub const LEAF_LEVEL: u8 = 3;

const BRANCH_BITS: u32 = BRANCHES.ilog2();

/// Digests of the ranges of keys at each level below the root.
#[derive(Debug)]
pub struct Tree {
    levels: Vec<Vec<Digest>>,
}

/// Node of the tree: the range of keys that share their upper bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Node {
    /// Depth below the root.
    pub level: u8,
    /// Position among the nodes of the level.
    pub index: u16,
}

impl Node {
    /// Root, whose range is all keys.
    pub const ROOT: Self = Self { level: 0, index: 0 };

    /// Returns the child with this number.
    #[must_use]
    pub const fn child(self, number: u16) -> Self {
        Self {
            level: self.level + 1,
            index: (self.index << BRANCH_BITS) | number,
        }
    }

    /// Returns whether the node exists.
    #[must_use]
    pub const fn is_valid(self) -> bool {
        self.level <= LEAF_LEVEL && (self.index as usize) < BRANCHES.pow(self.level as u32)
    }

    /// Returns the smallest key of the range.
    #[must_use]
    pub const fn first(self) -> Key {
        match self.level {
            0 => 0,
            level => (self.index as Key) << (Key::BITS - BRANCH_BITS * level as u32),
        }
    }

    /// Returns the largest key of the range.
    #[must_use]
    pub const fn last(self) -> Key {
        match self.level {
            0 => Key::MAX,
            level => self.first() | (Key::MAX >> (BRANCH_BITS * level as u32)),
        }
    }
}

impl Default for Tree {
    fn default() -> Self {
        let levels = (1..=LEAF_LEVEL).map(|level| vec![0; BRANCHES.pow(u32::from(level))]);
        Self {
            levels: levels.collect(),
        }
    }
}

impl Tree {
    /// Replaces the digest of the record under a key; 0 stands for no record.
    pub fn replace(&mut self, key: Key, old: Digest, new: Digest) {
        for (level, nodes) in (1..).zip(&mut self.levels) {
            let index = usize::try_from(key >> (Key::BITS - BRANCH_BITS * level)).unwrap_or(0);
            nodes[index] = nodes[index].wrapping_sub(old).wrapping_add(new);
        }
    }

    /// Returns the digests of the children of an inner node.
    #[must_use]
    pub fn children(&self, node: Node) -> &[Digest] {
        let first = usize::from(node.index) * BRANCHES;
        &self.levels[usize::from(node.level)][first..first + BRANCHES]
    }

    /// Returns the digest of all records.
    #[must_use]
    pub fn root(&self) -> Digest {
        let top = self.children(Node::ROOT);
        top.iter().fold(0, |sum, digest| sum.wrapping_add(*digest))
    }
}
