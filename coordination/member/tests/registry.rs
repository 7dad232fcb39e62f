//! Announcing, spreading and detecting failure among a few processes.
mod net;

use std::time::Duration;

use bytes::Bytes;
use member::Health;
use member::Service;

use crate::net::Net;
use crate::net::agent;
use crate::net::entry;
use crate::net::roster;

const SOON: Duration = Duration::from_secs(10);

/// Three entries and four agents in as many zones.
fn small() -> Net {
    let mut net = Net::default();
    for number in 1..=3 {
        net.add_entry(number, number.into(), 1);
    }
    for number in 1..=4 {
        net.add_agent(number, number.into(), 1);
    }
    net
}

fn config(revision: u64) -> Service {
    Service {
        address: roster(),
        revision,
        body: Bytes::from_static(b"body"),
    }
}

fn count(net: &Net, health: Health) -> Vec<usize> {
    net.entries
        .values()
        .map(|registry| {
            registry.service(&roster()).map_or(0, |view| {
                let members = view.targets.values();
                members.filter(|member| member.health == health).count()
            })
        })
        .collect()
}

#[test]
fn targets_and_configuration_reach_every_process() {
    let mut net = small();
    let now = net.now;
    net.entries.get_mut(&entry(1)).unwrap().put(now, config(7));
    net.run_until(SOON, |net| {
        count(net, Health::Up) == [4, 4, 4]
            && net.agents.values().all(|agent| {
                let revision = agent.view().config.as_ref().map(|config| config.revision);
                revision == Some(7) && agent.view().targets.len() == 4
            })
    });
    let digest = net.entries[&entry(1)].service(&roster()).unwrap().digest();
    assert!(
        net.agents
            .values()
            .all(|agent| agent.view().digest() == digest)
    );
}

#[test]
fn a_dead_target_is_held_down_and_its_return_lifts_it() {
    let mut net = small();
    net.run_until(SOON, |net| count(net, Health::Up) == [4, 4, 4]);
    net.frozen.insert(agent(2));
    net.run_until(SOON, |net| count(net, Health::Down) == [1, 1, 1]);
    net.frozen.remove(&agent(2));
    net.run_until(SOON, |net| count(net, Health::Up) == [4, 4, 4]);
}
