//! Tests of the loss and return of zones and regions.
mod net;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use member::Health;
use member::Message;
use member::Record;
use member::Service;
use member::message::Push;
use member::record::Report;
use wire::Revision;
use wire::ZoneId;

use crate::net::CONVERGENCE_TIME;
use crate::net::Net;
use crate::net::agent;
use crate::net::entry;
use crate::net::region;
use crate::net::shared_service;

const ZONES: u8 = 3;
const ENTRIES: u8 = 9;
const AGENTS: u8 = 12;
const HOUR: Duration = Duration::from_hours(1);

/// Returns the processes of the first zone.
fn first_zone() -> Vec<SocketAddr> {
    let entries = (1..=ENTRIES).filter(|number| number % ZONES == 0);
    let agents = (1..=AGENTS).filter(|number| number % ZONES == 0);
    entries.map(entry).chain(agents.map(agent)).collect()
}

fn suspicions(net: &Net) -> u64 {
    let entries = net.entries.values();
    entries.map(|registry| registry.status().suspicions).sum()
}

fn sent_bytes(net: &Net) -> Vec<u64> {
    let entries = net.entries.values();
    entries
        .map(|registry| registry.status().sent_bytes)
        .collect()
}

/// Runs for `time`, and asserts that no entry sends more than its rate and one
/// burst.
fn run_within_budget(net: &mut Net, time: Duration) {
    let before = sent_bytes(net);
    net.run(time);
    let seconds = time.as_secs() + 3;
    let limit = u64::from(net.settings.byte_rate) * seconds;
    let after = sent_bytes(net);
    assert!(
        before
            .iter()
            .zip(&after)
            .all(|(old, new)| new - old <= limit)
    );
}

/// The loss of a zone must be handled by reports on the zone, since a suspicion
/// for each of its processes would use up the budget.
#[test]
fn a_lost_zone_raises_no_suspicions_and_returns() {
    let mut net = region(ENTRIES, AGENTS, ZONES);
    net.frozen.extend(first_zone());
    net.run_until(CONVERGENCE_TIME, |net| net.all_see(Health::Down, 4));
    net.run(CONVERGENCE_TIME);
    assert!(net.all_see(Health::Down, 4) && net.all_see(Health::Doubted, 0));
    assert_eq!(suspicions(&net), 0);
    net.frozen.clear();
    run_within_budget(&mut net, CONVERGENCE_TIME);
    assert!(net.all_see(Health::Up, 12));
    run_within_budget(&mut net, CONVERGENCE_TIME);
    assert!(net.all_see(Health::Up, 12));
    assert_eq!(suspicions(&net), 0);
}

/// Processes of a lost zone that are still silent must not be suspected while
/// others of the zone return.
#[test]
fn a_zone_that_returns_gradually_raises_no_suspicions() {
    let mut net = region(ENTRIES, AGENTS, ZONES);
    net.frozen.extend(first_zone());
    net.run(CONVERGENCE_TIME * 2);
    assert!(net.all_see(Health::Down, 4));
    for address in first_zone() {
        net.frozen.remove(&address);
        net.run(Duration::from_millis(500));
    }
    net.run(CONVERGENCE_TIME);
    assert!(net.all_see(Health::Up, 12));
    assert_eq!(suspicions(&net), 0);
}

#[test]
fn a_zone_that_lost_power_returns_with_new_incarnations() {
    let mut net = region(ENTRIES, AGENTS, ZONES);
    net.frozen.extend(first_zone());
    net.run(CONVERGENCE_TIME * 5);
    assert!(net.all_see(Health::Down, 4));
    net.frozen.clear();
    for number in (1..=ENTRIES).filter(|number| number % ZONES == 0) {
        net.add_entry(number, 0, 2);
    }
    for number in (1..=AGENTS).filter(|number| number % ZONES == 0) {
        net.add_agent(number, 0, 2);
    }
    run_within_budget(&mut net, CONVERGENCE_TIME);
    net.run_until(CONVERGENCE_TIME, |net| net.all_see(Health::Up, 12));
    net.run(CONVERGENCE_TIME * 2);
    assert!(net.all_see(Health::Up, 12));
    assert_eq!(suspicions(&net), 0);
}

#[test]
fn entries_in_a_partitioned_zone_take_no_target_down() {
    let mut net = region(ENTRIES, AGENTS, ZONES);
    let zone = first_zone();
    let inside = zone.clone();
    net.cut = Some(Box::new(move |from, to| {
        inside.contains(&from) != inside.contains(&to)
    }));
    net.run(CONVERGENCE_TIME * 5);
    for address in net.entries.keys() {
        let seen = [Health::Up, Health::Down].map(|health| net.count_at(*address, health));
        let is_inside = zone.contains(address);
        assert_eq!(seen, if is_inside { [12, 0] } else { [8, 4] }, "{address}");
    }
    net.cut = None;
    run_within_budget(&mut net, CONVERGENCE_TIME * 2);
    assert!(net.all_see(Health::Up, 12));
}

/// Observers in one zone may be cut off from another zone that is running.
#[test]
fn reports_from_one_zone_alone_do_not_mark_another_as_lost() {
    let mut net = region(ENTRIES, 1, ZONES);
    let report = |number: u8| {
        Record::Report(Report {
            zone: 0,
            observer: entry(number),
            observer_zone: ZoneId::from(number % ZONES),
            incarnation: 1,
            version: 1,
            silent: 3,
            watched: 3,
        })
    };
    let lost_zones = |net: &mut Net, observers: &[u8]| {
        let records = observers.iter().map(|number| report(*number)).collect();
        let push = Push {
            is_rumor: false,
            records,
        };
        let start = net.now;
        let registry = net.entries.get_mut(&entry(1)).unwrap();
        registry.handle(start, entry(2), Message::Push(push), &mut Vec::new());
        for round in 1..=12 {
            let now = start + net.settings.round_interval * round;
            registry.tick(now, &mut Vec::new());
        }
        net.now = start + net.settings.round_interval * 12;
        net.entries[&entry(1)].status().lost_zones
    };
    assert_eq!(lost_zones(&mut net, &[1, 4, 7]), 0);
    assert_eq!(lost_zones(&mut net, &[2, 5]), 1);
}

#[test]
fn single_failures_do_not_mark_their_zone_as_lost() {
    let mut net = region(ENTRIES, AGENTS, ZONES);
    net.frozen.insert(agent(3));
    net.frozen.insert(entry(6));
    net.run_until(CONVERGENCE_TIME, |net| net.all_see(Health::Down, 1));
    net.run(CONVERGENCE_TIME);
    assert!(net.all_see(Health::Down, 1));
    let running = net.entries.iter();
    let mut running = running.filter(|(address, _)| **address != entry(6));
    assert!(running.all(|(_, registry)| registry.status().lost_zones == 0));
}

/// Returns two regions of two zones with four entries and four agents each;
/// those with odd numbers are in the first region.
fn regions() -> Net {
    let zone = |number: u8| ZoneId::from_be_bytes([1 + number % 2, (number / 2) % 2]);
    let mut net = Net::default();
    for number in 1..=8 {
        net.add_entry(number, zone(number), 1);
    }
    for number in 1..=8 {
        net.add_agent(number, zone(number), 1);
    }
    net.run(CONVERGENCE_TIME * 2);
    assert!(net.all_see(Health::Up, 8));
    net
}

fn is_first_region(address: SocketAddr) -> bool {
    matches!(address, SocketAddr::V4(address) if address.ip().octets()[3] % 2 == 1)
}

fn put_config(net: &mut Net, number: u8, revision: Revision) {
    let now = net.now;
    let service = Service {
        address: shared_service(),
        revision,
        body: Bytes::from(revision.to_string()),
    };
    let registry = net.entries.get_mut(&entry(number)).unwrap();
    registry.put_service(now, service);
}

/// A partition between regions is expected to be shorter than the retention
/// time, so it must not remove any record.
#[test]
fn regions_partitioned_for_an_hour_keep_all_records_and_agree_afterwards() {
    let mut net = regions();
    put_config(&mut net, 1, 5);
    net.run(CONVERGENCE_TIME);
    net.cut = Some(Box::new(|from, to| {
        is_first_region(from) != is_first_region(to)
    }));
    net.run(Duration::from_mins(1));
    // The targets of the other region are silent, which is half of the service.
    assert!(net.all_see(Health::Up, 4) && net.all_see(Health::Down, 4));
    put_config(&mut net, 1, 6);
    put_config(&mut net, 2, 7);
    net.add_agent(3, 0x0201, 2);
    net.add_agent(4, 0x0100, 2);
    net.run(HOUR);
    let count =
        |registry: &member::Registry| registry.view(&shared_service()).unwrap().targets.len();
    assert!(net.entries.values().all(|registry| count(registry) == 8));
    assert!(
        net.entries
            .values()
            .all(|registry| registry.entries().count() == 8)
    );
    let revisions = |net: &Net| -> Vec<Revision> {
        let views = net
            .entries
            .values()
            .map(|registry| registry.view(&shared_service()));
        views
            .flatten()
            .filter_map(|view| view.config.as_ref())
            .map(|config| config.revision)
            .collect()
    };
    assert_eq!(revisions(&net), [6, 7, 6, 7, 6, 7, 6, 7]);
    net.cut = None;
    run_within_budget(&mut net, CONVERGENCE_TIME);
    run_within_budget(&mut net, CONVERGENCE_TIME);
    assert!(net.all_see(Health::Up, 8));
    assert_eq!(revisions(&net), [7; 8]);
    let digests: Vec<u64> = net.entries.values().map(member::Registry::digest).collect();
    assert_eq!(digests, [digests[0]; 8]);
    assert_eq!(suspicions(&net), 0);
}
