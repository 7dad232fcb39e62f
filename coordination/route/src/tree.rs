//! Weighted rendezvous hashing over a tree, which draws leaves in proportion to
//! their weights without computing a hash for every leaf.
//!
//! The leaves form a trie over their hashed ids. At each node the children are
//! ranked by weighted rendezvous hashing over the sums of their leaves'
//! weights, so that a draw costs one hash for each child of each node on its
//! path: a few dozen for any number of leaves. The seed of a child depends on
//! its position in the trie and not on its contents. A change to one leaf
//! therefore moves only flows of the nodes above that leaf, and at each level
//! at most the leaf's own share.
//!
//! Sources: Thaler and Ravishankar, "Using name-based mappings to increase hit
//! rates", 1998 (rendezvous hashing); Wang and Ravishankar, "Hash-based virtual
//! hierarchies for scalable location service in mobile ad-hoc networks", 2009
//! (skeletons); Schindelhauer and Schomaker, "Weighted distributed hash
//! tables", 2005 (the logarithmic weights).
use std::ops::Range;

use crate::hash::finalize;
use crate::hash::mix;
use crate::logarithm::neg_log2;

/// A leaf of a [`Tree`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaf {
    /// Hashed id: [`finalize`] applied to the id.
    pub hashed_id: u64,
    /// Weight; zero counts as one.
    pub weight: u32,
}

/// A trie with up to `2^BITS` children at each node.
#[derive(Clone, Debug, Default)]
pub struct Tree<const BITS: u32> {
    leaves: Vec<Leaf>,
    children: Vec<Child>,
    root: Range<u32>,
}

#[derive(Clone, Debug)]
struct Child {
    seed: u64,
    /// `u64::MAX` divided by the weight.
    inverse_weight: u64,
    weight: u64,
    /// Positions of the leaves below this child.
    leaves: Range<u32>,
    /// Positions of this child's own children; empty for a single leaf.
    children: Range<u32>,
}

/// Score of a child whose leaves have all been drawn.
const EXHAUSTED: u128 = u128::MAX;

/// Iterator that draws leaves for one key without replacement; see
/// [`Tree::draw`].
#[derive(Debug)]
pub struct Draw<'a, const BITS: u32> {
    tree: &'a Tree<BITS>,
    key: u64,
    /// Scores of the root's children; [`EXHAUSTED`] for one without undrawn
    /// leaves.
    scores: Vec<u128>,
    drawn: Vec<u32>,
}

impl<const BITS: u32> Tree<BITS> {
    /// Builds the trie. The leaves must be sorted by `hashed_id`, without
    /// duplicates; leaves are identified by their position in `leaves`.
    #[must_use]
    pub fn new(leaves: Vec<Leaf>) -> Self {
        let mut tree = Self {
            leaves,
            children: Vec::new(),
            root: 0..0,
        };
        tree.root = tree.build_children(0..position(tree.leaves.len()), 0);
        tree
    }

    /// Draws leaves for a key, without replacement: the leaves that follow a
    /// drawn leaf come in the order of the tree without that leaf.
    #[must_use]
    pub fn draw(&self, key: u64) -> Draw<'_, BITS> {
        let key = finalize(key);
        let root = self.child_slice(&self.root).iter();
        Draw {
            tree: self,
            key,
            scores: root.map(|child| child.score(key)).collect(),
            drawn: Vec::new(),
        }
    }

    /// Returns the first leaf that [`Tree::draw`] yields.
    #[must_use]
    pub fn first(&self, key: u64) -> Option<u32> {
        let key = finalize(key);
        let mut children = self.child_slice(&self.root);
        loop {
            let child = &children[index_of_least(children.iter().map(|child| child.score(key)))?];
            if child.children.is_empty() {
                return Some(child.leaves.start);
            }
            children = self.child_slice(&child.children);
        }
    }

    /// Returns the memory that the tree uses, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.leaves.capacity() * size_of::<Leaf>() + self.children.capacity() * size_of::<Child>()
    }

    /// Adds the children for a range of leaves whose hashed ids agree in all
    /// bits above the level, and then their descendants.
    fn build_children(&mut self, leaves: Range<u32>, level: u32) -> Range<u32> {
        let first = position(self.children.len());
        let mut remaining = leaves;
        while !remaining.is_empty() {
            let prefix = self.prefix(remaining.start, level);
            let below = &self.leaves[remaining.start as usize..remaining.end as usize];
            let len =
                below.partition_point(|leaf| prefix_at::<BITS>(leaf.hashed_id, level) <= prefix);
            let leaves = remaining.start..remaining.start + position(len);
            remaining.start = leaves.end;
            self.push_child(leaves, level);
        }
        let children = first..position(self.children.len());
        for index in children.clone() {
            let leaves = self.children[index as usize].leaves.clone();
            if leaves.len() > 1 {
                self.children[index as usize].children = self.build_children(leaves, level + 1);
            }
        }
        children
    }

    fn push_child(&mut self, leaves: Range<u32>, level: u32) {
        let below = &self.leaves[leaves.start as usize..leaves.end as usize];
        let weight = below.iter().map(|leaf| weight(*leaf)).sum();
        let prefix = below[0].hashed_id >> shift::<BITS>(level);
        self.children.push(Child {
            seed: finalize(prefix ^ (u64::from(level) << (u64::BITS - 8))),
            inverse_weight: u64::MAX / weight,
            weight,
            leaves,
            children: 0..0,
        });
    }

    fn prefix(&self, leaf: u32, level: u32) -> u64 {
        prefix_at::<BITS>(self.leaves[leaf as usize].hashed_id, level)
    }

    fn child_slice(&self, children: &Range<u32>) -> &[Child] {
        &self.children[children.start as usize..children.end as usize]
    }

    /// Returns the highest-ranked undrawn leaf below a child that has one.
    fn descend(&self, child: &Child, key: u64, drawn: &[u32]) -> Option<u32> {
        let mut child = child;
        while !child.children.is_empty() {
            let children = self.child_slice(&child.children);
            let scores = children
                .iter()
                .map(|child| self.remaining_score(child, key, drawn));
            child = &children[index_of_least(scores)?];
        }
        Some(child.leaves.start)
    }

    /// Returns the score of a child without its drawn leaves.
    fn remaining_score(&self, child: &Child, key: u64, drawn: &[u32]) -> u128 {
        let drawn = drawn.iter().filter(|leaf| child.leaves.contains(leaf));
        let weights = drawn.map(|&leaf| weight(self.leaves[leaf as usize]));
        match weights.sum() {
            0 => child.score(key),
            drawn_weight if drawn_weight >= child.weight => EXHAUSTED,
            drawn_weight => score(child.neg_log(key), u64::MAX / (child.weight - drawn_weight)),
        }
    }
}

impl Child {
    fn neg_log(&self, key: u64) -> u64 {
        neg_log2(mix(key, self.seed))
    }

    fn score(&self, key: u64) -> u128 {
        score(self.neg_log(key), self.inverse_weight)
    }
}

impl<const BITS: u32> Iterator for Draw<'_, BITS> {
    type Item = u32;

    fn next(&mut self) -> Option<u32> {
        let index = index_of_least(self.scores.iter().copied())?;
        let child = &self.tree.child_slice(&self.tree.root)[index];
        let leaf = self.tree.descend(child, self.key, &self.drawn)?;
        self.drawn.push(leaf);
        self.scores[index] = self.tree.remaining_score(child, self.key, &self.drawn);
        Some(leaf)
    }
}

/// Returns the index of the lowest score, or `None` if all children are
/// exhausted; the first one wins a tie.
fn index_of_least(scores: impl Iterator<Item = u128>) -> Option<usize> {
    let mut least = EXHAUSTED;
    let mut least_index = None;
    for (index, score) in scores.enumerate() {
        if score < least {
            least = score;
            least_index = Some(index);
        }
    }
    least_index
}

fn weight(leaf: Leaf) -> u64 {
    u64::from(leaf.weight.max(1))
}

/// Returns the score of a child, its negative logarithm divided by its weight,
/// in fixed point. The child with the lowest score ranks first.
fn score(neg_log: u64, inverse_weight: u64) -> u128 {
    u128::from(neg_log) * u128::from(inverse_weight)
}

const fn shift<const BITS: u32>(level: u32) -> u32 {
    u64::BITS.saturating_sub(BITS * (level + 1))
}

/// Returns the bits of a hashed id that select the child at a level, together
/// with all bits above them.
const fn prefix_at<const BITS: u32>(hashed_id: u64, level: u32) -> u64 {
    hashed_id >> shift::<BITS>(level)
}

fn position(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
