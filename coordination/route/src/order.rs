//! Ranking of a service's targets for a flow by weighted rendezvous hashing.
use std::collections::BTreeMap;
use std::collections::HashSet;

use wire::FlowKey;
use wire::Target;
use wire::TargetId;
use wire::target::State;

use crate::hash::finalize;
use crate::tree::Leaf;
use crate::tree::Tree;

/// Number of bits of a target's hashed id that select a child at each level of
/// the tree.
pub const TREE_BITS: u32 = 6;

/// The targets of one service, prepared for ranking for any flow.
///
/// The ranking depends on the ids and weights alone and is the same on every
/// process and platform. A target ranks first for a share of the flows equal to
/// its share of the total weight. When a target is removed, each of its flows
/// goes to the target that ranked second for that flow.
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
/// // Exclude the first target from new flows: they open at the second.
/// let order = order.exclude([ranked[0]]);
/// assert_eq!(order.top(42, 1).next().unwrap().id, ranked[0]);
/// assert_eq!(order.top_open(42, 1).next().unwrap().id, ranked[1]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Order {
    /// All targets, sorted by hashed id.
    targets: Vec<Target>,
    all: Tree<TREE_BITS>,
    /// The targets that accept new flows.
    open: Tree<TREE_BITS>,
    /// For each leaf of `open`, its index in `targets`.
    positions: Vec<usize>,
}

impl Order {
    /// Builds the order of the given targets of one service. If two targets
    /// have the same id, the one with the newer announcement is used.
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
        order.exclude([])
    }

    /// Excludes the given targets, such as those that are held down, from new
    /// flows, in place of those excluded before. Targets that are not in state
    /// [`State::Ready`] are always excluded.
    #[must_use]
    pub fn exclude(mut self, targets: impl IntoIterator<Item = TargetId>) -> Self {
        let closed: HashSet<TargetId> = targets.into_iter().collect();
        let is_open =
            |target: &Target| target.state == State::Ready && !closed.contains(&target.id);
        self.positions = (0..self.targets.len())
            .filter(|&position| is_open(&self.targets[position]))
            .collect();
        let positions = self.positions.iter();
        self.open = Tree::new(
            positions
                .map(|&position| leaf(&self.targets[position]))
                .collect(),
        );
        self
    }

    /// Returns true if some targets accept no new flows. The first open target
    /// then may differ from the flow's home.
    #[must_use]
    pub const fn has_excluded(&self) -> bool {
        self.positions.len() < self.targets.len()
    }

    /// Returns the target with the given id.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        let hashed_id = finalize(id);
        let position = self
            .targets
            .binary_search_by_key(&hashed_id, |target| finalize(target.id));
        self.targets.get(position.ok()?)
    }

    /// Returns the number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns true if there are no targets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the flow's home: the target that ranks first among all targets.
    #[must_use]
    pub fn home(&self, key: FlowKey) -> Option<&Target> {
        let first = self.all.first(key)?;
        self.targets.get(first as usize)
    }

    /// Returns the `n` highest-ranked of all targets; the first one is the
    /// flow's home.
    pub fn top(&self, key: FlowKey, n: usize) -> impl Iterator<Item = &Target> {
        let drawn = self.all.draw(key).take(n);
        drawn.map(|leaf| &self.targets[leaf as usize])
    }

    /// Returns the `n` highest-ranked of the targets that accept new flows.
    pub fn top_open(&self, key: FlowKey, n: usize) -> impl Iterator<Item = &Target> {
        let drawn = self.open.draw(key).take(n);
        drawn.map(|leaf| &self.targets[self.positions[leaf as usize]])
    }

    /// Returns the memory that the order uses, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let targets = self.targets.capacity() * size_of::<Target>();
        let positions = self.positions.capacity() * size_of::<usize>();
        targets + positions + self.all.bytes() + self.open.bytes()
    }
}

fn leaf(target: &Target) -> Leaf {
    Leaf {
        hashed_id: finalize(target.id),
        weight: target.weight,
    }
}
