//! The order of targets: stable, proportional, the same everywhere.
use std::collections::HashMap;
use std::collections::HashSet;

use proptest::collection::hash_map;
use proptest::prelude::*;
use route::Order;
use route::logarithm::FRACTION_BITS;
use route::logarithm::neg_log2;
use wire::Target;
use wire::TargetId;
use wire::target::State;

const FLOWS: u64 = 20_000;

fn target(id: TargetId, weight: u32) -> Target {
    Target {
        id,
        service: "192.0.2.1:53".parse().expect("an address"),
        address: "198.51.100.1:7000".parse().expect("an address"),
        control: "198.51.100.1:7001".parse().expect("an address"),
        zone: 1,
        incarnation: 1,
        version: 1,
        weight,
        slots: 4,
        state: State::Ready,
    }
}

fn targets(count: u64, weight: impl Fn(u64) -> u32) -> Vec<Target> {
    (0..count)
        .map(|index| target(route::hash::finalize(index), weight(index)))
        .collect()
}

fn homes(order: &Order) -> Vec<TargetId> {
    (0..FLOWS)
        .map(|key| order.home(key).expect("there are targets").id)
        .collect()
}

fn ids<'a>(targets: impl Iterator<Item = &'a Target>) -> Vec<TargetId> {
    targets.map(|target| target.id).collect()
}

/// The share of each target lies within five standard deviations of its share
/// of the weights, and 0.1% for the logarithm's table.
fn shares_follow_the_weights(count: u64) {
    let targets = targets(count, |index| 50 + u32::try_from(index % 4).unwrap() * 50);
    let total: f64 = targets.iter().map(|target| f64::from(target.weight)).sum();
    let mut counts: HashMap<TargetId, f64> = HashMap::new();
    for home in homes(&Order::new(&targets)) {
        *counts.entry(home).or_default() += 1.0;
    }
    #[allow(clippy::cast_precision_loss)]
    let flows = FLOWS as f64;
    for target in &targets {
        let share = f64::from(target.weight) / total;
        let expected = flows * share;
        let bound = 5.0 * (expected * (1.0 - share)).sqrt() + expected / 1000.0 + 1.0;
        let count = counts.get(&target.id).copied().unwrap_or_default();
        assert!(
            (count - expected).abs() <= bound,
            "{count} flows, {expected} expected, off by more than {bound}"
        );
    }
}

cases::cases! { shares_follow_the_weights;
    shares_of_one_target: 1,
    shares_of_two_targets: 2,
    shares_of_seven_targets: 7,
    shares_of_a_hundred_targets: 100,
    shares_of_a_thousand_targets: 1000,
}

/// A target that leaves moves its own flows and at most as many others again
/// for each level of the tree.
fn few_flows_move_when_a_target_leaves(count: u64) {
    let mut targets = targets(count, |_| 100);
    let before = homes(&Order::new(&targets));
    let left = targets.swap_remove(targets.len() / 2).id;
    let after = homes(&Order::new(&targets));
    let own = before.iter().filter(|&&home| home == left).count();
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    let levels = if count > 64 { 3 } else { 2 };
    assert!(moved >= own);
    assert!(moved <= own * levels + 30, "{moved} moved, {own} had to");
}

cases::cases! { few_flows_move_when_a_target_leaves;
    one_of_two_leaves: 2,
    one_of_seven_leaves: 7,
    one_of_a_hundred_leaves: 100,
    one_of_a_thousand_leaves: 1000,
}

#[test]
fn few_flows_move_when_a_weight_takes_a_step() {
    let mut targets = targets(7, |_| 100);
    let before = homes(&Order::new(&targets));
    targets[3].weight = 119;
    let after = homes(&Order::new(&targets));
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    // The target's share grows from 1/7 to 119/719: 2.3% of the flows.
    assert!((300..=900).contains(&moved), "{moved} of {FLOWS} moved");
}

/// The order must not change between versions or platforms: processes of two
/// versions work side by side during an upgrade.
#[test]
fn the_order_is_pinned() {
    let order = Order::new(&targets(1000, |index| {
        1 + u32::try_from(index % 7).unwrap()
    }));
    let mut digest = 0_u64;
    for key in 0..1000 {
        for target in order.top(key, 3) {
            digest = route::hash::mix(digest, target.id);
        }
    }
    assert_eq!(digest, PINNED_DIGEST);
}

const PINNED_DIGEST: u64 = 17_962_426_299_438_824_761;

#[test]
fn the_logarithm_is_close_to_the_exact_one() {
    #[allow(clippy::cast_precision_loss)]
    let float = |value: u64| value as f64;
    for index in 1..100_000_u64 {
        let hash = route::hash::finalize(index);
        let exact = 64.0 - float(hash).log2();
        let fixed = float(neg_log2(hash)) / float(1 << FRACTION_BITS);
        assert!(
            (fixed - exact).abs() <= exact * 5e-4 + 1e-9,
            "{hash}: {fixed} for {exact}"
        );
    }
}

#[derive(Clone, Copy)]
struct Point {
    hash: u64,
    log: u64,
}

fn the_logarithm_is_exact(point: Point) {
    assert_eq!(neg_log2(point.hash), point.log);
}

cases::cases! { the_logarithm_is_exact;
    of_zero_as_of_one: Point { hash: 0, log: 64 << FRACTION_BITS },
    of_the_smallest: Point { hash: 1, log: 64 << FRACTION_BITS },
    of_a_half: Point { hash: 1 << 63, log: 1 << FRACTION_BITS },
    of_a_quarter: Point { hash: 1 << 62, log: 2 << FRACTION_BITS },
}

fn weights() -> impl Strategy<Value = HashMap<TargetId, u32>> {
    hash_map(any::<u64>(), 0_u32..1000, 1..150)
}

fn build(weights: &HashMap<TargetId, u32>) -> Vec<Target> {
    weights
        .iter()
        .map(|(&id, &weight)| target(id, weight))
        .collect()
}

proptest! {
    /// Each target comes once, whatever the sequence in which the targets were
    /// learned.
    #[test]
    fn the_order_is_a_permutation(weights in weights(), key in any::<u64>()) {
        let mut targets = build(&weights);
        let order = ids(Order::new(&targets).top(key, usize::MAX));
        prop_assert_eq!(order.len(), targets.len());
        prop_assert_eq!(order.iter().copied().collect::<HashSet<_>>().len(), targets.len());
        targets.reverse();
        prop_assert_eq!(&ids(Order::new(&targets).top(key, usize::MAX)), &order);
        let again = Order::new(&targets);
        for target in &targets {
            prop_assert_eq!(again.target(target.id), Some(target));
        }
        prop_assert_eq!(again.home(key).map(|home| home.id), Some(order[0]));
    }

    /// Without its first target, the order is what is left.
    #[test]
    fn flows_of_a_target_that_leaves_go_to_the_second(weights in weights(), key in any::<u64>()) {
        let targets = build(&weights);
        let order = ids(Order::new(&targets).top(key, usize::MAX));
        let rest: Vec<Target> = targets.into_iter().filter(|target| target.id != order[0]).collect();
        prop_assert_eq!(&ids(Order::new(&rest).top(key, usize::MAX)), &order[1..]);
    }

    /// Only targets that take new flows are open, in the order of all.
    #[test]
    fn closed_and_draining_targets_are_not_open(
        weights in weights(),
        key in any::<u64>(),
        modulus in 2_u64..5,
    ) {
        let mut targets = build(&weights);
        let drains = |id: TargetId| id.is_multiple_of(modulus);
        let held = |id: TargetId| id % modulus == 1;
        for target in &mut targets {
            if drains(target.id) {
                target.state = State::Draining;
            }
        }
        let closed: Vec<TargetId> = weights.keys().copied().filter(|&id| held(id)).collect();
        let order = Order::new(&targets).close(closed);
        let open = ids(order.open(key, usize::MAX));
        prop_assert!(!open.iter().any(|&id| drains(id) || held(id)));
        targets.retain(|target| !drains(target.id) && !held(target.id));
        prop_assert_eq!(open, ids(Order::new(&targets).top(key, usize::MAX)));
        prop_assert_eq!(order.top(key, usize::MAX).count(), weights.len());
    }

    /// A flow moves to a target whose weight grows, or stays within the nodes
    /// of the tree that the target hangs in; with a node for each target, it
    /// moves nowhere else.
    #[test]
    fn a_growing_weight_only_attracts(step in 1_u32..500, key in any::<u64>()) {
        let mut targets = targets(7, |_| 100);
        let before = Order::new(&targets);
        targets[2].weight += step;
        let after = Order::new(&targets);
        let (from, to) = (before.home(key), after.home(key));
        let (from, to) = (from.map(|home| home.id), to.map(|home| home.id));
        prop_assert!(from == to || to == Some(targets[2].id));
    }
}
