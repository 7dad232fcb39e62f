//! Tests of the record that entries send to all agents.
mod net;

use std::cell::RefCell;
use std::time::Duration;

use wire::Revision;

use bytes::Bytes;
use fastrand::Rng;
use member::Announcer;
use member::BROADCAST_ADDRESS;
use member::Message;
use member::Service;

use crate::net::Net;
use crate::net::agent;
use crate::net::entry;
use crate::net::region;

const AGENTS: u8 = 12;

/// Time from a change until every agent that runs and is reachable knows it.
const SPREAD_TIME: Duration = Duration::from_millis(500);

/// Time after which an agent knows the record that started, or whose messages were
/// lost. The bound of an evacuation is 5 s, of which copies of opening packets take
/// 1.4 s.
const LATE_SPREAD_TIME: Duration = Duration::from_millis(3_500);

/// Publishes a revision at the first entry.
fn publish(net: &mut Net, revision: Revision) {
    let service = Service {
        address: BROADCAST_ADDRESS,
        revision,
        body: Bytes::from(revision.to_string()),
    };
    let now = net.now;
    net.entries
        .get_mut(&entry(1))
        .unwrap()
        .put_service(now, service);
}

/// Returns the agents that have not received a revision since they were last asked.
fn lacking(net: &mut Net, revision: Revision) -> usize {
    let agents = net.agents.values_mut();
    let records = agents.map(Announcer::take_broadcast);
    records
        .filter(|record| record.as_ref().map(|record| record.revision) != Some(revision))
        .count()
}

#[test]
fn each_change_reaches_all_agents_at_once() {
    let mut net = region(6, AGENTS, 3);
    for revision in [3, 8] {
        publish(&mut net, revision);
        net.run(SPREAD_TIME);
        assert_eq!(lacking(&mut net, revision), 0);
    }
}

/// All entries have sent the record to the process before it.
#[test]
fn an_agent_that_starts_again_receives_the_record() {
    let mut net = region(3, AGENTS, 3);
    publish(&mut net, 3);
    net.run(SPREAD_TIME);
    for number in 1..=AGENTS {
        net.add_agent(number, u16::from(number % 3), 2);
    }
    net.run(SPREAD_TIME);
    assert_eq!(lacking(&mut net, 3), 0);
}

/// Heartbeats go on, so the agents do not choose other watchers.
#[test]
fn a_lost_message_is_sent_again() {
    let mut net = region(3, AGENTS, 3);
    net.cut = Some(Box::new(|_, to| {
        (1..=AGENTS).any(|number| agent(number) == to)
    }));
    publish(&mut net, 3);
    net.run(SPREAD_TIME);
    net.cut = None;
    net.run(LATE_SPREAD_TIME.saturating_sub(SPREAD_TIME));
    assert_eq!(lacking(&mut net, 3), 0);
}

/// No message is acknowledged, so that each has to be repeated.
#[test]
fn all_agents_know_the_record_in_time_although_half_of_the_messages_are_lost() {
    for seed in 0..10 {
        let mut net = region(6, AGENTS, 3);
        let random = RefCell::new(Rng::with_seed(seed));
        net.cut = Some(Box::new(move |_, to| {
            (1..=AGENTS).any(|number| agent(number) == to) && random.borrow_mut().bool()
        }));
        publish(&mut net, 3);
        net.run(LATE_SPREAD_TIME);
        assert_eq!(lacking(&mut net, 3), 0, "seed {seed}");
    }
}

/// Repeating the record to each agent all the time would take much of the budget.
#[test]
fn the_record_is_rarely_repeated_once_it_is_old() {
    let mut net = region(6, AGENTS, 3);
    publish(&mut net, 3);
    net.run(Duration::from_secs(10));
    let sent = |net: &Net| -> u64 {
        let agents = net.agents.values();
        agents
            .map(|announcer| announcer.status().received_bytes)
            .sum()
    };
    let before = sent(&net);
    net.run(Duration::from_secs(10));
    let with_record = sent(&net) - before;
    let mut net = region(6, AGENTS, 3);
    net.run(Duration::from_secs(10));
    let before = sent(&net);
    net.run(Duration::from_secs(10));
    let added = with_record.saturating_sub(sent(&net) - before);
    // Three watchers send some 110 bytes every five seconds.
    assert!(added <= u64::from(AGENTS) * 3 * 3 * 110, "{added} bytes");
}

/// A watcher that was cut off sends what it knew.
#[test]
fn an_older_record_does_not_replace_a_newer_one() {
    let mut net = region(3, 2, 3);
    publish(&mut net, 3);
    net.run(SPREAD_TIME);
    let now = net.now;
    let older = Service {
        address: BROADCAST_ADDRESS,
        revision: 2,
        body: Bytes::new(),
    };
    let message = Message::Members(member::message::Members {
        address: BROADCAST_ADDRESS,
        config: Some(older),
        members: Vec::new(),
    });
    let announcer = net.agents.get_mut(&agent(1)).unwrap();
    assert_eq!(
        announcer.take_broadcast().map(|record| record.revision),
        Some(3)
    );
    announcer.handle(now, entry(1), message, &mut Vec::new());
    assert_eq!(announcer.take_broadcast(), None);
}
