//! Ranks the targets of a service for a flow by weighted rendezvous hashing.
use std::collections::HashSet;

use wire::FlowKey;
use wire::Target;
use wire::TargetId;
use wire::target::State;

use crate::logarithm::neg_log2;

/// The targets of one service, ready to be ranked for any flow.
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
/// let home = order.top(42, 1).next().unwrap();
/// assert_eq!(order.top(42, 3).next(), Some(home));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Order {
    targets: Vec<Target>,
    closed: HashSet<TargetId>,
}

struct Scored<'a> {
    score: u128,
    target: &'a Target,
}

impl Order {
    /// Prepares the order of the given targets of one service.
    #[must_use]
    pub fn new(targets: &[Target]) -> Self {
        Self {
            targets: targets.to_vec(),
            closed: HashSet::new(),
        }
    }

    /// Keeps new flows from the given targets, such as those held down.
    #[must_use]
    pub fn close(mut self, targets: impl IntoIterator<Item = TargetId>) -> Self {
        self.closed.extend(targets);
        self
    }

    /// Finds a target by its id.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        self.targets.iter().find(|target| target.id == id)
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

    /// The first `n` of all targets; the first is the flow's home.
    pub fn top(&self, key: FlowKey, n: usize) -> impl Iterator<Item = &Target> {
        self.rank(key, n, |_| true)
    }

    /// The first `n` of the targets that take new flows.
    pub fn open(&self, key: FlowKey, n: usize) -> impl Iterator<Item = &Target> {
        self.rank(key, n, |target| {
            target.state == State::Ready && !self.closed.contains(&target.id)
        })
    }

    fn rank(
        &self,
        key: FlowKey,
        n: usize,
        accept: impl Fn(&Target) -> bool,
    ) -> std::vec::IntoIter<&Target> {
        let mut scored: Vec<Scored<'_>> = self
            .targets
            .iter()
            .filter(|target| accept(target))
            .map(|target| Scored {
                score: score(key, target),
                target,
            })
            .collect();
        scored.sort_unstable_by_key(|scored| (scored.score, scored.target.id));
        let top: Vec<&Target> = scored
            .into_iter()
            .take(n)
            .map(|scored| scored.target)
            .collect();
        top.into_iter()
    }
}

fn score(key: FlowKey, target: &Target) -> u128 {
    let inverse = u64::MAX / u64::from(target.weight.max(1));
    u128::from(neg_log2(mix(key, target.id))) * u128::from(inverse)
}

/// Mixes a flow key and a seed; the finalizer of `SplitMix64` (Steele, Lea and
/// Flood, 2014), applied twice.
fn mix(key: u64, seed: u64) -> u64 {
    finalize(finalize(key.wrapping_add(GOLDEN)) ^ seed)
}

const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

const fn finalize(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
