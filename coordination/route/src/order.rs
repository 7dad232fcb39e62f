//! Ranks the targets of a service for a flow by weighted rendezvous hashing.
use std::collections::BTreeMap;
use std::collections::HashSet;

use wire::FlowKey;
use wire::Target;
use wire::TargetId;
use wire::target::State;

use crate::hash::finalize;
use crate::tree::Leaf;
use crate::tree::Tree;

/// Bits of a target's hashed id that each level of the tree looks at.
pub const TREE_BITS: u32 = 6;

/// The targets of one service, ready to be ranked for any flow.
///
/// The order is a function of the ids and weights alone, the same on every
/// process and platform. A target comes first for a share of the flows that is
/// its share of the weights; without it, its flows go to the target that was
/// second for them.
///
/// ```
/// # use wire::target::State;
/// # let target = |n: u64| wire::Target {
/// #     id: n,
/// #     service: "192.0.2.1:53".parse().unwrap(),
/// #     address: "198.51.100.1:7000".parse().unwrap(),
/// #     control: "198.51.100.1:7001".parse().unwrap(),
/// #     zone: 1, incarnation: 1, version: 1, weight: 100, slots: 4,
/// #     state: State::Ready,
/// # };
/// let order = route::Order::new(&[target(1), target(2), target(3)]);
/// let ranked: Vec<_> = order.top(42, 3).map(|target| target.id).collect();
///
/// // Keep new flows from the first: they open at the second.
/// let order = order.close([ranked[0]]);
/// assert_eq!(order.top(42, 1).next().unwrap().id, ranked[0]);
/// assert_eq!(order.open(42, 1).next().unwrap().id, ranked[1]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Order {
    /// Sorted by hashed id.
    targets: Vec<Target>,
    all: Tree<TREE_BITS>,
    /// The targets that take new flows.
    open: Tree<TREE_BITS>,
    /// Positions in `targets` of the leaves of `open`.
    positions: Vec<usize>,
}

impl Order {
    /// Prepares the order of the given targets of one service. Of two targets
    /// with the same id the newer announcement counts.
    #[must_use]
    pub fn new(targets: &[Target]) -> Self {
        let mut sorted: BTreeMap<u64, &Target> = BTreeMap::new();
        for target in targets {
            let kept = sorted.entry(finalize(target.id)).or_insert(target);
            if target.stamp() > kept.stamp() {
                *kept = target;
            }
        }
        let targets: Vec<Target> = sorted.into_values().cloned().collect();
        let all = Tree::new(targets.iter().map(leaf).collect());
        let order = Self {
            targets,
            all,
            ..Self::default()
        };
        order.close([])
    }

    /// Keeps new flows from the given targets, such as those held down, and
    /// from no others but those that announce that they take none.
    #[must_use]
    pub fn close(mut self, targets: impl IntoIterator<Item = TargetId>) -> Self {
        let closed: HashSet<TargetId> = targets.into_iter().collect();
        let takes = |target: &Target| target.state == State::Ready && !closed.contains(&target.id);
        self.positions = (0..self.targets.len())
            .filter(|&position| takes(&self.targets[position]))
            .collect();
        let open = self.positions.iter();
        self.open = Tree::new(open.map(|&open| leaf(&self.targets[open])).collect());
        self
    }

    /// Whether some targets take no new flows, so that the first open target
    /// may not be the first of all.
    #[must_use]
    pub const fn has_closed(&self) -> bool {
        self.positions.len() < self.targets.len()
    }

    /// Finds a target by its id.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        let spread = finalize(id);
        let position = self
            .targets
            .binary_search_by_key(&spread, |target| finalize(target.id));
        self.targets.get(position.ok()?)
    }

    /// Number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there is no target.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The flow's home: the first of all targets.
    #[must_use]
    pub fn home(&self, key: FlowKey) -> Option<&Target> {
        let first = self.all.first(key)?;
        self.targets.get(first as usize)
    }

    /// The first `n` of all targets; the first is the flow's home.
    pub fn top(&self, key: FlowKey, n: usize) -> impl Iterator<Item = &Target> {
        let drawn = self.all.draw(key).take(n);
        drawn.map(|leaf| &self.targets[leaf as usize])
    }

    /// The first `n` of the targets that take new flows.
    pub fn open(&self, key: FlowKey, n: usize) -> impl Iterator<Item = &Target> {
        let drawn = self.open.draw(key).take(n);
        drawn.map(|leaf| &self.targets[self.positions[leaf as usize]])
    }

    /// Memory that the order holds, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let targets = self.targets.capacity() * size_of::<Target>();
        let positions = self.positions.capacity() * size_of::<usize>();
        targets + positions + self.all.bytes() + self.open.bytes()
    }
}

fn leaf(target: &Target) -> Leaf {
    Leaf {
        spread: finalize(target.id),
        weight: target.weight,
    }
}
