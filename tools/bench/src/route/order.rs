//! Measures algorithms that rank the targets of a flow.
use std::hint::black_box;
use std::time::Instant;

use route::hash::finalize;
use route::tree::Leaf;
use route::tree::Tree;
use serde::Serialize;

use super::baseline::Buckets;
use super::baseline::Flat;
use crate::timing;

const TARGETS: [u64; 4] = [7, 100, 1000, 10_000];

/// Largest number of targets for which the bucket table is measured; filling it
/// for more takes minutes.
const MAX_BUCKET_TARGETS: u64 = 1000;

/// Number of flows whose homes before and after a removal are compared.
const FLOWS: u64 = 1_000_000;

/// Columns of the table.
pub const HEADER: [&str; 7] = [
    "targets",
    "way",
    "home ns",
    "first 3 ns",
    "build us",
    "KiB",
    "moved/own",
];

/// Results of one algorithm with one number of targets.
#[derive(Debug, Serialize)]
pub struct Row {
    targets: u64,
    /// Name of the algorithm.
    way: String,
    /// Time to find the home of a flow.
    home_ns: f64,
    /// Time to find the first three targets of a flow.
    top_ns: f64,
    build_us: f64,
    /// Memory in bytes.
    bytes: usize,
    /// Flows whose home changes when a target leaves, divided by the flows whose
    /// home it was; 1 is the minimum.
    moved: f64,
}

/// Measures all algorithms with all numbers of targets.
pub fn measure() -> Vec<Row> {
    let mut rows = Vec::new();
    for count in TARGETS {
        let leaves = leaves(count);
        rows.push(flat(&leaves));
        if count <= MAX_BUCKET_TARGETS {
            rows.push(buckets(&leaves));
        }
        rows.push(tree::<4>(&leaves));
        rows.push(tree::<5>(&leaves));
        rows.push(tree::<6>(&leaves));
    }
    rows
}

/// Formats the rows as cells of the table.
pub fn cells(rows: &[Row]) -> Vec<Vec<String>> {
    let cells = |row: &Row| {
        vec![
            row.targets.to_string(),
            row.way.clone(),
            format!("{:.0}", row.home_ns),
            format!("{:.0}", row.top_ns),
            format!("{:.0}", row.build_us),
            format!("{}", row.bytes / 1024),
            format!("{:.2}", row.moved),
        ]
    };
    rows.iter().map(cells).collect()
}

/// Returns targets of which every second has half the weight.
fn leaves(count: u64) -> Vec<Leaf> {
    let weight = |index: u64| if index.is_multiple_of(2) { 50 } else { 100 };
    let leaf = |index| Leaf {
        hashed_id: finalize(finalize(index)),
        weight: weight(index),
    };
    let mut leaves: Vec<Leaf> = (0..count).map(leaf).collect();
    leaves.sort_unstable_by_key(|leaf| leaf.hashed_id);
    leaves
}

fn flat(leaves: &[Leaf]) -> Row {
    let built = Instant::now();
    let flat = Flat::new(leaves);
    let build_us = micros(built);
    Row {
        targets: leaves.len() as u64,
        way: "flat rendezvous".into(),
        home_ns: timing::nanos(|key| drop(black_box(flat.top(key, 1)))),
        top_ns: timing::nanos(|key| drop(black_box(flat.top(key, 3)))),
        build_us,
        bytes: flat.bytes(),
        moved: 1.0,
    }
}

fn buckets(leaves: &[Leaf]) -> Row {
    let built = Instant::now();
    let buckets = Buckets::new(leaves);
    let build_us = micros(built);
    let lookup_ns = timing::nanos(|key| {
        black_box(buckets.top(key));
    });
    let removed = leaves.len() / 2;
    let remaining = Buckets::new(&without(leaves, removed));
    let homes = |key| buckets.top(key)[0] as usize;
    let after = |key| remaining.top(key)[0] as usize;
    Row {
        targets: leaves.len() as u64,
        way: "bucket table".into(),
        home_ns: lookup_ns,
        top_ns: lookup_ns,
        build_us,
        bytes: buckets.bytes(),
        moved: moved(removed, homes, after),
    }
}

fn tree<const BITS: u32>(leaves: &[Leaf]) -> Row {
    let built = Instant::now();
    let tree = Tree::<BITS>::new(leaves.to_vec());
    let build_us = micros(built);
    let removed = leaves.len() / 2;
    let remaining = Tree::<BITS>::new(without(leaves, removed));
    let home = |tree: &Tree<BITS>, key| tree.first(key).map_or(0, |leaf| leaf as usize);
    Row {
        targets: leaves.len() as u64,
        way: format!("tree of {}", 1 << BITS),
        home_ns: timing::nanos(|key| {
            black_box(tree.first(key));
        }),
        top_ns: timing::nanos(|key| {
            black_box(tree.draw(key).take(3).fold(0, |sum, leaf| sum ^ leaf));
        }),
        build_us,
        bytes: tree.bytes(),
        moved: moved(removed, |key| home(&tree, key), |key| home(&remaining, key)),
    }
}

fn without(leaves: &[Leaf], removed: usize) -> Vec<Leaf> {
    let mut remaining = leaves.to_vec();
    remaining.remove(removed);
    remaining
}

/// Returns the number of flows whose home changes when the target at a position
/// leaves, divided by the number whose home it was. The positions after it are
/// one less after the removal.
#[allow(clippy::cast_precision_loss)]
fn moved(removed: usize, before: impl Fn(u64) -> usize, after: impl Fn(u64) -> usize) -> f64 {
    let (mut own, mut moved) = (0_u64, 0_u64);
    for key in 0..FLOWS {
        let home = before(key);
        let stays = home - usize::from(home > removed);
        own += u64::from(home == removed);
        moved += u64::from(home == removed || after(key) != stays);
    }
    moved as f64 / own.max(1) as f64
}

fn micros(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e6
}
