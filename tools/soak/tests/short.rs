//! Short runs: seeds that once broke a invariant, and one of all kinds of disturbance.
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
use soak::topology::Topology;

type Result = std::result::Result<(), Box<dyn Error>>;

/// Backend servers of a deployment, at most.
const SERVERS: usize = 12;

/// Time within which drawn disturbances begin.
const WITHIN: Duration = Duration::from_secs(12);

/// First of the networks of these runs.
const FIRST_NETWORK: u8 = 120;

fn keeps_its_promises(number: u8, seed: u64, disturbances: Vec<Disturbance>) -> Result {
    let network = Network(FIRST_NETWORK + number);
    let plan = Plan {
        topology: Topology::draw(seed, SERVERS),
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
        "nothing was served"
    );
    fs::remove_dir_all(&plan.folder)?;
    Ok(())
}

/// An address served another service, whose sidecar took flows of the first.
#[test]
fn an_address_that_serves_another_service_gets_no_flows_of_the_first() -> Result {
    keeps_its_promises(0, 200, plan::draw(200, WITHIN))
}

/// Sidecars beside a backend server that had ended spun instead of stopping.
#[test]
fn sidecars_beside_ended_backend_servers_stop_in_time() -> Result {
    keeps_its_promises(1, 300, plan::draw(300, WITHIN))
}

#[test]
fn one_trouble_after_the_other() -> Result {
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
    keeps_its_promises(2, 7, disturbances.collect())
}
