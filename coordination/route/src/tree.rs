//! Draws leaves in proportion to their weights, without a hash per leaf.
//!
//! The leaves hang in a trie over their hashed ids. At each node the children
//! are ranked by weighted rendezvous hashing over the sums of their weights, so
//! that a draw costs one hash per child of each node on its way: a few dozen
//! for any number of leaves. The seed of a child is its place in the trie and
//! not what it holds; a change of one leaf therefore moves only flows of the
//! nodes above it, at most its own share at each level.
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
    /// The hashed id: [`finalize`] of the id.
    pub spread: u64,
    /// The weight; zero counts as one.
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
    /// `u64::MAX` over the weight.
    inverse: u64,
    weight: u64,
    /// The leaves below, by position.
    leaves: Range<u32>,
    /// The children of this child; empty for a single leaf.
    children: Range<u32>,
}

/// Score of a child whose leaves are all drawn.
const EXHAUSTED: u128 = u128::MAX;

/// Draws leaves for one key, each once; see [`Tree::draw`].
#[derive(Debug)]
pub struct Draw<'a, const BITS: u32> {
    tree: &'a Tree<BITS>,
    key: u64,
    /// Scores of the root's children; [`EXHAUSTED`] where all is drawn.
    scores: Vec<u128>,
    drawn: Vec<u32>,
}

impl<const BITS: u32> Tree<BITS> {
    /// Builds the trie. The leaves must be sorted by `spread`, without
    /// duplicates; a leaf is later named by its position.
    #[must_use]
    pub fn new(leaves: Vec<Leaf>) -> Self {
        let mut tree = Self {
            leaves,
            children: Vec::new(),
            root: 0..0,
        };
        tree.root = tree.node(0..position(tree.leaves.len()), 0);
        tree
    }

    /// Draws leaves for a key, without replacement: what follows a leaf is the
    /// order of the tree without it.
    #[must_use]
    pub fn draw(&self, key: u64) -> Draw<'_, BITS> {
        let key = finalize(key);
        let root = self.span(&self.root).iter();
        Draw {
            tree: self,
            key,
            scores: root.map(|child| child.score(key)).collect(),
            drawn: Vec::new(),
        }
    }

    /// The first leaf that [`Tree::draw`] yields.
    #[must_use]
    pub fn first(&self, key: u64) -> Option<u32> {
        let key = finalize(key);
        let mut children = self.span(&self.root);
        loop {
            let child = &children[least(children.iter().map(|child| child.score(key)))?];
            if child.children.is_empty() {
                return Some(child.leaves.start);
            }
            children = self.span(&child.children);
        }
    }

    /// Memory that the tree holds, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.leaves.capacity() * size_of::<Leaf>() + self.children.capacity() * size_of::<Child>()
    }

    /// Adds the children for a range of leaves that agree in all bits above the
    /// level, and those below them.
    fn node(&mut self, leaves: Range<u32>, level: u32) -> Range<u32> {
        let first = position(self.children.len());
        let mut rest = leaves;
        while !rest.is_empty() {
            let slot = self.slot(rest.start, level);
            let below = &self.leaves[rest.start as usize..rest.end as usize];
            let len = below.partition_point(|leaf| slot_of::<BITS>(leaf.spread, level) <= slot);
            let leaves = rest.start..rest.start + position(len);
            rest.start = leaves.end;
            self.push(leaves, level);
        }
        let children = first..position(self.children.len());
        for index in children.clone() {
            let leaves = self.children[index as usize].leaves.clone();
            if leaves.len() > 1 {
                self.children[index as usize].children = self.node(leaves, level + 1);
            }
        }
        children
    }

    fn push(&mut self, leaves: Range<u32>, level: u32) {
        let below = &self.leaves[leaves.start as usize..leaves.end as usize];
        let weight = below.iter().map(|leaf| weight(*leaf)).sum();
        let prefix = below[0].spread >> shift::<BITS>(level);
        self.children.push(Child {
            seed: finalize(prefix ^ (u64::from(level) << (u64::BITS - 8))),
            inverse: u64::MAX / weight,
            weight,
            leaves,
            children: 0..0,
        });
    }

    fn slot(&self, leaf: u32, level: u32) -> u64 {
        slot_of::<BITS>(self.leaves[leaf as usize].spread, level)
    }

    fn span(&self, children: &Range<u32>) -> &[Child] {
        &self.children[children.start as usize..children.end as usize]
    }

    /// Draws a leaf below a child that is not exhausted.
    fn descend(&self, child: &Child, key: u64, drawn: &[u32]) -> Option<u32> {
        let mut child = child;
        while !child.children.is_empty() {
            let children = self.span(&child.children);
            let scores = children.iter().map(|child| self.rest(child, key, drawn));
            child = &children[least(scores)?];
        }
        Some(child.leaves.start)
    }

    /// The score of a child without the drawn leaves.
    fn rest(&self, child: &Child, key: u64, drawn: &[u32]) -> u128 {
        let gone = drawn.iter().filter(|leaf| child.leaves.contains(leaf));
        let gone = gone.map(|&leaf| weight(self.leaves[leaf as usize]));
        match gone.sum() {
            0 => child.score(key),
            gone if gone >= child.weight => EXHAUSTED,
            gone => score(child.log(key), u64::MAX / (child.weight - gone)),
        }
    }
}

impl Child {
    fn log(&self, key: u64) -> u64 {
        neg_log2(mix(key, self.seed))
    }

    fn score(&self, key: u64) -> u128 {
        score(self.log(key), self.inverse)
    }
}

impl<const BITS: u32> Iterator for Draw<'_, BITS> {
    type Item = u32;

    fn next(&mut self) -> Option<u32> {
        let index = least(self.scores.iter().copied())?;
        let child = &self.tree.span(&self.tree.root)[index];
        let leaf = self.tree.descend(child, self.key, &self.drawn)?;
        self.drawn.push(leaf);
        self.scores[index] = self.tree.rest(child, self.key, &self.drawn);
        Some(leaf)
    }
}

/// Index of the least score, the first of equals, or `None` where all are
/// exhausted.
fn least(scores: impl Iterator<Item = u128>) -> Option<usize> {
    let mut least = EXHAUSTED;
    let mut found = None;
    for (index, score) in scores.enumerate() {
        if score < least {
            least = score;
            found = Some(index);
        }
    }
    found
}

fn weight(leaf: Leaf) -> u64 {
    u64::from(leaf.weight.max(1))
}

fn score(log: u64, inverse: u64) -> u128 {
    u128::from(log) * u128::from(inverse)
}

const fn shift<const BITS: u32>(level: u32) -> u32 {
    u64::BITS.saturating_sub(BITS * (level + 1))
}

/// The bits of a spread that choose the child at a level, and those above.
const fn slot_of<const BITS: u32>(spread: u64, level: u32) -> u64 {
    spread >> shift::<BITS>(level)
}

fn position(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
