//! The order of targets is stable, proportional to the weights, and the same on
//! every platform.
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

/// The number of flows of each target lies within five standard deviations of
/// the number expected from its weight, plus 0.1% for the error of the
/// logarithm's table.
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
            "{count} flows, expected {expected}; the difference exceeds {bound}"
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

/// Removing a target moves its own flows, and for each further level of the
/// tree at most as many other flows.
fn few_flows_move_when_a_target_is_removed(count: u64) {
    let mut targets = targets(count, |_| 100);
    let before = homes(&Order::new(&targets));
    let left = targets.swap_remove(targets.len() / 2).id;
    let after = homes(&Order::new(&targets));
    let own = before.iter().filter(|&&home| home == left).count();
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    let levels = if count > 64 { 3 } else { 2 };
    assert!(moved >= own);
    assert!(
        moved <= own * levels + 30,
        "{moved} flows moved, {own} of the removed target"
    );
}

cases::cases! { few_flows_move_when_a_target_is_removed;
    one_of_two_is_removed: 2,
    one_of_seven_is_removed: 7,
    one_of_a_hundred_is_removed: 100,
    one_of_a_thousand_is_removed: 1000,
}

#[test]
fn few_flows_move_when_a_weight_changes_by_one_step() {
    let mut targets = targets(7, |_| 100);
    let before = homes(&Order::new(&targets));
    targets[3].weight = 119;
    let after = homes(&Order::new(&targets));
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    // The target's share grows from 1/7 to 119/719: 2.3% of the flows.
    assert!(
        (300..=900).contains(&moved),
        "{moved} of {FLOWS} flows moved"
    );
}

/// Guards against a change of the order between versions or platforms: during
/// an upgrade, processes of two versions must send a flow to the same target.
#[test]
fn the_order_is_the_same_in_all_versions() {
    let order = Order::new(&targets(1000, |index| {
        1 + u32::try_from(index % 7).unwrap()
    }));
    let mut digest = 0_u64;
    for key in 0..1000 {
        for target in order.top(key, 3) {
            digest = route::hash::mix(digest, target.id);
        }
    }
    assert_eq!(digest, EXPECTED_DIGEST);
}

const EXPECTED_DIGEST: u64 = 17_962_426_299_438_824_761;

#[test]
fn the_logarithm_has_a_small_relative_error() {
    #[allow(clippy::cast_precision_loss)]
    let float = |value: u64| value as f64;
    for index in 1..100_000_u64 {
        let hash = route::hash::finalize(index);
        let exact = 64.0 - float(hash).log2();
        let fixed = float(neg_log2(hash)) / float(1 << FRACTION_BITS);
        assert!(
            (fixed - exact).abs() <= exact * 5e-4 + 1e-9,
            "hash {hash}: got {fixed}, expected {exact}"
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
    the_logarithm_of_zero_is_that_of_one: Point { hash: 0, log: 64 << FRACTION_BITS },
    the_logarithm_of_the_smallest_hash_is_exact: Point { hash: 1, log: 64 << FRACTION_BITS },
    the_logarithm_of_one_half_is_exact: Point { hash: 1 << 63, log: 1 << FRACTION_BITS },
    the_logarithm_of_one_quarter_is_exact: Point { hash: 1 << 62, log: 2 << FRACTION_BITS },
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
    /// The order contains each target once and does not depend on the sequence
    /// of the targets passed in.
    #[test]
    fn the_order_is_a_permutation(weights in weights(), key in any::<u64>()) {
        let mut targets = build(&weights);
        let order = ids(Order::new(&targets).top(key, usize::MAX));
        prop_assert_eq!(order.len(), targets.len());
        prop_assert_eq!(order.iter().copied().collect::<HashSet<_>>().len(), targets.len());
        targets.reverse();
        prop_assert_eq!(&ids(Order::new(&targets).top(key, usize::MAX)), &order);
        let reversed = Order::new(&targets);
        for target in &targets {
            prop_assert_eq!(reversed.target(target.id), Some(target));
        }
        prop_assert_eq!(reversed.home(key).map(|home| home.id), Some(order[0]));
    }

    /// Removing the first target of an order leaves the rest of the order
    /// unchanged.
    #[test]
    fn flows_of_a_removed_target_go_to_its_second_target(weights in weights(), key in any::<u64>()) {
        let targets = build(&weights);
        let order = ids(Order::new(&targets).top(key, usize::MAX));
        let rest: Vec<Target> = targets.into_iter().filter(|target| target.id != order[0]).collect();
        prop_assert_eq!(&ids(Order::new(&rest).top(key, usize::MAX)), &order[1..]);
    }

    /// Only targets that accept new flows are open, in the order of all
    /// targets.
    #[test]
    fn closed_and_draining_targets_are_not_open(
        weights in weights(),
        key in any::<u64>(),
        modulus in 2_u64..5,
    ) {
        let mut targets = build(&weights);
        let is_draining = |id: TargetId| id.is_multiple_of(modulus);
        let is_closed = |id: TargetId| id % modulus == 1;
        for target in &mut targets {
            if is_draining(target.id) {
                target.state = State::Draining;
            }
        }
        let closed: Vec<TargetId> = weights.keys().copied().filter(|&id| is_closed(id)).collect();
        let order = Order::new(&targets).exclude(closed);
        let open = ids(order.top_open(key, usize::MAX));
        prop_assert!(!open.iter().any(|&id| is_draining(id) || is_closed(id)));
        targets.retain(|target| !is_draining(target.id) && !is_closed(target.id));
        prop_assert_eq!(open, ids(Order::new(&targets).top(key, usize::MAX)));
        prop_assert_eq!(order.top(key, usize::MAX).count(), weights.len());
    }

    /// When a target's weight grows, a flow either stays or moves to that
    /// target, as long as no two targets share a node below the root. In
    /// general, a flow may also move between other targets below a node that
    /// contains the target.
    #[test]
    fn a_growing_weight_moves_flows_only_to_its_target(step in 1_u32..500, key in any::<u64>()) {
        let mut targets = targets(7, |_| 100);
        let before = Order::new(&targets);
        targets[2].weight += step;
        let after = Order::new(&targets);
        let (from, to) = (before.home(key), after.home(key));
        let (from, to) = (from.map(|home| home.id), to.map(|home| home.id));
        prop_assert!(from == to || to == Some(targets[2].id));
    }
}
