//! Several entries that decide alone, with reports of different age, share what
//! exceeds a zone without swinging between zones.
#![allow(clippy::cast_precision_loss)]
mod fixtures;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use fixtures::target;
use route::Placement;
use route::placement::Need;
use route::placement::Settings;
use wire::Target;
use wire::TargetId;
use wire::transit::Load;

const ENTRIES: u64 = 8;
const SERVERS_PER_ZONE: TargetId = 5;

/// Flows that fill a zone, and their mean life.
const ZONE_FLOWS: u64 = 400;
const FLOW_LIFE: Duration = Duration::from_secs(4);

/// Interval of the new flows of zone 1, which exceed what it can take by a tenth.
const FLOW_INTERVAL: Duration = Duration::from_micros(9_090);

/// Interval of the reports to one entry, and the steady flows of each zone.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
const STEADY_FLOWS: [u64; 3] = [0, 120, 200];

const START: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(40);

fn targets() -> Vec<Target> {
    let zones = 1..=3;
    let pairs = zones.flat_map(|zone| (0..SERVERS_PER_ZONE).map(move |index| (zone, index)));
    pairs
        .map(|(zone, index)| target(TargetId::from(zone) * 100 + index, zone))
        .collect()
}

fn load(flows: u64) -> Load {
    let used = flows as f64 / ZONE_FLOWS as f64;
    let permille = u16::try_from((flows * 1_000 / ZONE_FLOWS).min(1_000)).unwrap();
    Load {
        running: if used > 0.9 { 2 } else { 1 },
        slots: 2,
        service_us: 20_000,
        held_us: u32::try_from(flows * 100_000 / ZONE_FLOWS).unwrap(),
        risk_us: 0,
        used_permille: Some(permille),
    }
}

#[test]
fn what_exceeds_a_zone_is_shared_without_swinging() {
    let targets = targets();
    let need = Need {
        target_latency: Duration::from_millis(200),
        are_bids_priced: true,
        requests: 20.0,
        request_bytes: 1_000.0,
    };
    let mut entries: Vec<Placement> = (0..ENTRIES)
        .map(|seed| Placement::new(Settings::default(), 1, seed))
        .collect();
    let mut reported = vec![Duration::ZERO; entries.len()];
    let mut flows = STEADY_FLOWS;
    let mut ends: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    let mut random = fastrand::Rng::with_seed(1);
    let mut home_use = Vec::new();
    let (mut now, mut number) = (Duration::ZERO, 0);
    while now < END {
        while ends.peek().is_some_and(|Reverse((end, _))| *end <= now) {
            let Some(Reverse((_, zone))) = ends.pop() else {
                break;
            };
            flows[zone] -= 1;
        }
        let index = number % entries.len();
        let entry = &mut entries[index];
        if now >= reported[index] + REPORT_INTERVAL {
            reported[index] = now;
            for target in &targets {
                let zone = usize::from(target.zone) - 1;
                entry.record_load(now, target.id, load(flows[zone]));
            }
        }
        let zone = usize::from(entry.rank(now, &need, targets.iter(), 3)[0].zone) - 1;
        flows[zone] += 1;
        let life = FLOW_LIFE.mul_f64(-(1.0 - random.f64()).ln());
        ends.push(Reverse((now + life, zone)));
        if now >= START {
            home_use.push(flows[0] as f64 / ZONE_FLOWS as f64);
        }
        now += FLOW_INTERVAL;
        number += 1;
    }
    let mean = home_use.iter().sum::<f64>() / home_use.len() as f64;
    let variance = home_use
        .iter()
        .map(|used| (used - mean).powi(2))
        .sum::<f64>();
    let deviation = (variance / home_use.len() as f64).sqrt();
    assert!((0.7..0.9).contains(&mean), "mean {mean}, {flows:?}");
    assert!(deviation < 0.05, "deviation {deviation}, mean {mean}");
    let added = [flows[1] - STEADY_FLOWS[1], flows[2] - STEADY_FLOWS[2]];
    assert!(added[0] > added[1] && added[1] > 0, "{added:?}");
    println!("mean {mean}, deviation {deviation}, added {added:?}");
}
