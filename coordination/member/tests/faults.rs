//! Tests of random faults, in sequence and together, and of agreement after
//! them.
mod net;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use member::Health;
use member::Registry;
use member::Service;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::Revision;
use wire::ZoneId;

use crate::net::Net;
use crate::net::agent;
use crate::net::entry;
use crate::net::region;
use crate::net::shared_service;

const ENTRIES: u8 = 5;
const AGENTS: u8 = 5;
const ZONES: u8 = 3;

/// Time after the last fault within which all processes agree again.
const RECOVERY: Duration = Duration::from_mins(1);

#[derive(Clone, Debug)]
enum Fault {
    FreezeEntry(u8),
    FreezeAgent(u8),
    ThawAll,
    RestartEntry(u8),
    RestartAgent(u8),
    CutZone(u8),
    LoseThird(u64),
    Heal,
    PutConfig(u8, Revision),
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (1..=ENTRIES).prop_map(Fault::FreezeEntry),
        (1..=AGENTS).prop_map(Fault::FreezeAgent),
        Just(Fault::ThawAll),
        (1..=ENTRIES).prop_map(Fault::RestartEntry),
        (1..=AGENTS).prop_map(Fault::RestartAgent),
        (0..ZONES).prop_map(Fault::CutZone),
        any::<u64>().prop_map(Fault::LoseThird),
        Just(Fault::Heal),
        (1..=ENTRIES, 0..50_u128).prop_map(|(number, revision)| Fault::PutConfig(number, revision)),
    ]
}

fn zone_of(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[3] % ZONES,
        SocketAddr::V6(_) => 0,
    }
}

fn apply_fault(net: &mut Net, fault: &Fault, incarnation: u64) {
    match *fault {
        Fault::FreezeEntry(number) => {
            net.frozen.insert(entry(number));
        }
        Fault::FreezeAgent(number) => {
            net.frozen.insert(agent(number));
        }
        Fault::ThawAll => net.frozen.clear(),
        Fault::RestartEntry(number) => {
            net.entries.remove(&entry(number));
            net.add_entry(number, ZoneId::from(number % ZONES), incarnation);
        }
        Fault::RestartAgent(number) => {
            net.add_agent(number, ZoneId::from(number % ZONES), incarnation);
        }
        Fault::CutZone(zone) => {
            net.cut = Some(Box::new(move |from, to| {
                (zone_of(from) == zone) != (zone_of(to) == zone)
            }));
        }
        Fault::LoseThird(seed) => {
            let rng = RefCell::new(fastrand::Rng::with_seed(seed));
            net.cut = Some(Box::new(move |_, _| rng.borrow_mut().u8(..3) == 0));
        }
        Fault::Heal => net.cut = None,
        Fault::PutConfig(number, revision) => {
            let now = net.now;
            let service = Service {
                address: shared_service(),
                revision,
                body: Bytes::from(revision.to_string()),
            };
            let registry = net.entries.get_mut(&entry(number)).unwrap();
            registry.put_service(now, service);
        }
    }
}

/// Asserts that at most half of the service is down.
fn assert_at_most_half_down(net: &Net) {
    let down = net.count(Health::Down);
    assert!(down.iter().all(|down| *down <= usize::from(AGENTS) / 2));
}

fn all_agree(net: &Net) -> bool {
    let mut digests = net.entries.values().map(Registry::digest);
    let first = digests.next();
    let mut views = net
        .entries
        .values()
        .filter_map(|registry| registry.view(&shared_service()));
    let view = views.next().map(member::View::digest);
    digests.all(|digest| Some(digest) == first)
        && net
            .agents
            .values()
            .all(|announcer| Some(announcer.view().digest()) == view)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]
    #[test]
    fn after_any_faults_all_targets_are_up_and_all_views_agree(
        faults in prop::collection::vec((any_fault(), 1..15_u64), 1..10),
    ) {
        let mut net = region(ENTRIES, AGENTS, ZONES);
        let mut incarnation = 1;
        let mut newest = None;
        for (fault, seconds) in &faults {
            incarnation += 1;
            apply_fault(&mut net, fault, incarnation);
            if let Fault::PutConfig(_, revision) = fault {
                newest = newest.max(Some(*revision));
            }
            net.run_checked(Duration::from_secs(*seconds), assert_at_most_half_down);
        }
        net.cut = None;
        net.frozen.clear();
        net.run_checked(RECOVERY, assert_at_most_half_down);
        prop_assert!(net.all_see(Health::Up, AGENTS.into()));
        net.run_until(RECOVERY, all_agree);
        let view = net.entries[&entry(1)].view(&shared_service()).unwrap();
        let config = view.config.as_ref().map(|config| config.revision);
        // A configuration is lost with the only entry that holds it.
        prop_assert!(config <= newest);
    }
}
