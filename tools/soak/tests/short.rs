//! Short runs: seeds that once led to a violation, and a sequence of
//! disturbances.
use std::env;
use std::error::Error;
use std::fs;
use std::time::Duration;

use soak::address::Network;
use soak::plan;
use soak::plan::Disturbance;
use soak::plan::Kind;
use soak::run;
use soak::run::Plan;
use soak::topology::Origins;
use soak::topology::Service;
use soak::topology::Topology;

type Result = std::result::Result<(), Box<dyn Error>>;

/// Largest number of backend servers of a deployment.
const SERVERS: usize = 12;

/// Time within which drawn disturbances begin.
const WITHIN: Duration = Duration::from_secs(12);

/// Loopback network of the first run; the others use the next ones.
const FIRST_NETWORK: u8 = 120;

fn assert_no_violations(number: u8, seed: u64, disturbances: Vec<Disturbance>) -> Result {
    assert_none_with(number, Topology::draw(seed, SERVERS), disturbances)
}

fn assert_none_with(number: u8, topology: Topology, disturbances: Vec<Disturbance>) -> Result {
    let network = Network(FIRST_NETWORK + number);
    let plan = Plan {
        topology,
        disturbances,
        network,
        folder: env::temp_dir().join(format!("soak-test-{}-{number}", std::process::id())),
    };
    let result = run::execute(&plan)?;
    let violations = &result.checker.violations;
    assert!(
        violations.is_empty(),
        "{violations:#?}: {}",
        plan.folder.display()
    );
    assert!(
        result.checker.total("tasks served") > 0,
        "no task was served"
    );
    fs::remove_dir_all(&plan.folder)?;
    Ok(())
}

/// Guards against flows that reach a backend server of the wrong service: an
/// address was reused for another service, whose sidecar accepted flows of the
/// former one.
#[test]
fn a_reused_address_gets_no_flows_of_its_former_service() -> Result {
    assert_no_violations(0, 200, plan::draw(200, WITHIN))
}

/// Guards against sidecars that do not stop in time: the sidecar of a backend
/// server that had ended ran in a busy loop instead of stopping.
#[test]
fn sidecars_of_ended_backend_servers_stop_in_time() -> Result {
    assert_no_violations(1, 300, plan::draw(300, WITHIN))
}

#[test]
fn successive_disturbances_lead_to_no_violation() -> Result {
    let kinds = [
        Kind::RollGateways,
        Kind::Lossy,
        Kind::KillAll,
        Kind::Storm,
        Kind::Freeze,
        Kind::StoreSilent,
        Kind::PowerAll,
    ];
    let disturbances = (0..).zip(kinds).map(|(number, kind)| Disturbance {
        at: Duration::from_millis(number * 2_000),
        kind,
        duration: Duration::from_millis(1_500),
    });
    assert_no_violations(2, 7, disturbances.collect())
}

/// Guards against new flows in an evacuated zone, whatever else happens.
#[test]
fn evacuated_zones_get_no_new_flows() -> Result {
    let kinds = [
        (0, Kind::Evacuate),
        (1_000, Kind::RollSidecars),
        (4_000, Kind::StoreRestored),
        (9_000, Kind::Evacuate),
        (11_000, Kind::KillGateway),
    ];
    let disturbances = kinds.map(|(at, kind)| Disturbance {
        at: Duration::from_millis(at),
        kind,
        duration: Duration::from_secs(6),
    });
    assert_no_violations(3, 17, disturbances.into())
}

/// Guards against packets that are lost, duplicated or overtaken while they wait for
/// room on a network link, and against too many gateways that leave the rotation:
/// uploads exceed the links of half of the gateways, and processes end meanwhile.
#[test]
fn full_links_lead_to_no_violation() -> Result {
    let mut topology = Topology::draw(7, SERVERS);
    topology.zones = 1;
    topology.gateways = 4;
    topology.slow_mbps = Some(1.0);
    for service in &mut topology.services {
        service.lengths = (20_000, 300);
        service.deadline = Duration::from_secs(5);
    }
    let kinds = [Kind::RollGateways, Kind::Lossy, Kind::KillAll];
    let disturbances = (0..).zip(kinds).map(|(number, kind)| Disturbance {
        at: Duration::from_millis(4_000 + number * 3_000),
        kind,
        duration: Duration::from_millis(1_500),
    });
    assert_none_with(4, topology, disturbances.collect())
}

/// Returns a deployment of three gateways and two services, whose callers keep many long
/// flows.
fn with_long_flows() -> Topology {
    let mut topology = Topology::draw(2, SERVERS);
    topology.zones = 1;
    topology.gateways = 3;
    topology.services.truncate(1);
    let first = &mut topology.services[0];
    first.servers = 3;
    first.slots = 4;
    first.work = Duration::from_millis(10);
    first.rate = 60;
    first.is_idempotent = false;
    first.long_flows = 90;
    first.lengths = (0, 1_000);
    first.deadline = Duration::from_secs(3);
    let second = Service {
        name: "service-1".into(),
        ..first.clone()
    };
    topology.services.push(second);
    topology
}

/// Guards against resets of live flows by gateways that search for them only where their
/// route points now.
#[test]
fn moved_routes_break_no_open_flow() -> Result {
    let disturbances = [1, 9].map(|at| Disturbance {
        at: Duration::from_secs(at),
        kind: Kind::MoveRoute,
        duration: Duration::from_secs(2),
    });
    assert_none_with(5, with_long_flows(), disturbances.into())
}

/// Guards against resets of live flows because a restarted sidecar denies the flows that
/// its predecessor admitted to a server which had just started.
#[test]
fn restarts_beside_young_servers_break_no_open_flow() -> Result {
    let disturbances = [1, 10].map(|at| Disturbance {
        at: Duration::from_secs(at),
        kind: Kind::YoungServer,
        duration: Duration::from_secs(1),
    });
    assert_none_with(6, with_long_flows(), disturbances.into())
}

/// Guards against resets of flows that an agent claimed by a late copy of their opening
/// packet, once its backend server has restarted.
#[test]
fn a_freeze_beside_a_crash_breaks_no_open_flow() -> Result {
    let disturbances = [1, 8].map(|at| Disturbance {
        at: Duration::from_secs(at),
        kind: Kind::FreezeThenCrash,
        duration: Duration::from_secs(1),
    });
    assert_none_with(7, with_long_flows(), disturbances.into())
}

/// Guards against processes that end, or stop following the store or their backend server,
/// because of odd entries of another writer, and that do not start once a bound is a
/// fraction.
#[test]
fn odd_entries_and_changed_bounds_stop_no_process() -> Result {
    let kinds = [
        (500, Kind::OddEntries),
        (1_000, Kind::Route),
        (1_500, Kind::ChangedBound),
        (5_000, Kind::KillGateway),
        (6_000, Kind::Storm),
        (8_000, Kind::OddEntries),
    ];
    let disturbances = kinds.map(|(at, kind)| Disturbance {
        at: Duration::from_millis(at),
        kind,
        duration: Duration::from_secs(4),
    });
    assert_none_with(8, with_long_flows(), disturbances.into())
}

/// Guards against changes that never come into force, and backend servers that never serve
/// or whose flows are reset, because a number is larger, or counted from another one, than
/// a process expects.
#[test]
fn large_numbers_hide_no_change_and_no_backend_server() -> Result {
    let mut topology = with_long_flows();
    topology.origins = Origins {
        era: 1 << 40,
        revision: 1_796_000_000_000_000,
        version: 1 << 48,
        sequence: 4_000_000,
        priority: 300,
        listens: true,
    };
    let kinds = [
        (1_000, Kind::Route),
        (3_000, Kind::Crash),
        (4_000, Kind::StoreRestored),
        (8_000, Kind::Storm),
    ];
    let disturbances = kinds.map(|(at, kind)| Disturbance {
        at: Duration::from_millis(at),
        kind,
        duration: Duration::from_secs(2),
    });
    assert_none_with(9, topology, disturbances.into())
}

/// Guards against resets of live flows because a restarted sidecar takes the number of an
/// announcement for proof that it knows all flows.
#[test]
fn restarts_beside_servers_that_count_from_zero_break_no_open_flow() -> Result {
    let mut topology = with_long_flows();
    topology.origins.sequence = 0;
    topology.origins.listens = false;
    let disturbances = [1, 10].map(|at| Disturbance {
        at: Duration::from_secs(at),
        kind: Kind::YoungServer,
        duration: Duration::from_secs(1),
    });
    assert_none_with(10, topology, disturbances.into())
}

/// Guards against flows that are reset, or reach another backend server, after two faults of
/// one host while they are opened, and while their route points elsewhere.
#[test]
fn pairs_of_faults_of_a_host_break_no_open_flow() -> Result {
    let kinds = [Kind::PairOpening, Kind::PairMoved];
    let disturbances = (0..).zip(kinds).map(|(number, kind)| Disturbance {
        at: Duration::from_secs(1 + 11 * number),
        kind,
        duration: Duration::from_secs(1),
    });
    assert_none_with(11, with_long_flows(), disturbances.collect())
}
