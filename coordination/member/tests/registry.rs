//! Tests of announcements, gossip and departures among a few processes.
mod net;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use member::Action;
use member::Announcer;
use member::Health;
use member::Message;
use member::Refusal;
use member::Service;
use member::announcer::Change;
use member::message::Error;
use wire::Revision;
use wire::target::State;

use crate::net::CONVERGENCE_TIME;
use crate::net::Net;
use crate::net::agent;
use crate::net::entry;
use crate::net::region;
use crate::net::shared_service;
use crate::net::target;

fn config(revision: Revision, len: usize) -> Service {
    Service {
        address: shared_service(),
        revision,
        body: Bytes::from(vec![7; len]),
    }
}

fn put_config(net: &mut Net, number: u8, service: Service) -> bool {
    let now = net.now;
    net.entries
        .get_mut(&entry(number))
        .unwrap()
        .put_service(now, service)
}

fn all_have_config(net: &Net, config: &Service) -> bool {
    let entries = net
        .entries
        .values()
        .map(|registry| registry.view(&shared_service()));
    let agents = net.agents.values().map(|announcer| Some(announcer.view()));
    entries
        .chain(agents)
        .all(|view| view.is_some_and(|view| view.config.as_ref() == Some(config)))
}

fn configuration_reaches_every_process(len: usize) {
    let mut net = region(4, 5, 4);
    let service = config(7, len);
    put_config(&mut net, 1, service.clone());
    net.run_until(CONVERGENCE_TIME, |net| all_have_config(net, &service));
    let digest = net.entries[&entry(1)]
        .view(&shared_service())
        .unwrap()
        .digest();
    assert!(
        net.agents
            .values()
            .all(|agent| agent.view().digest() == digest)
    );
}

cases::cases! { configuration_reaches_every_process;
    an_empty_configuration_reaches_every_process: 0,
    a_small_configuration_reaches_every_process: 300,
    a_configuration_larger_than_a_datagram_reaches_every_process: 20_000,
}

/// A peer that missed an update, or an older revision read from the store, must
/// not replace the newer configuration.
#[test]
fn a_stale_peer_does_not_revert_a_configuration() {
    let mut net = region(4, 2, 4);
    put_config(&mut net, 1, config(7, 10));
    net.run_until(CONVERGENCE_TIME, |net| all_have_config(net, &config(7, 10)));
    net.frozen.insert(entry(4));
    put_config(&mut net, 1, config(8, 20));
    net.run(CONVERGENCE_TIME);
    net.frozen.remove(&entry(4));
    assert!(!put_config(&mut net, 2, config(6, 30)));
    net.run(CONVERGENCE_TIME);
    assert!(all_have_config(&net, &config(8, 20)));
}

#[test]
fn a_change_of_weight_and_state_reaches_every_process() {
    let mut net = region(3, 3, 3);
    let now = net.now;
    let change = Change {
        weight: 300,
        state: State::Draining,
    };
    net.agents.get_mut(&agent(1)).unwrap().announce(now, change);
    let wanted = net.agents[&agent(1)].target().clone();
    net.run_until(CONVERGENCE_TIME, |net| {
        let entries = net
            .entries
            .values()
            .filter_map(|registry| registry.view(&shared_service()));
        let agents = net.agents.values().map(member::Announcer::view);
        entries
            .chain(agents)
            .all(|view| view.targets[&wanted.id].target == wanted)
    });
}

#[test]
fn a_leaving_agent_is_finished_once_its_watchers_have_acknowledged() {
    let mut net = region(3, 3, 3);
    let now = net.now;
    net.agents.get_mut(&agent(1)).unwrap().leave(now);
    net.run_until(Duration::from_secs(2), |net| {
        net.agents[&agent(1)].is_finished()
    });
    net.agents.remove(&agent(1));
    net.run(CONVERGENCE_TIME);
    let left = |net: &Net| {
        net.entries.values().all(|registry| {
            let members = &registry.view(&shared_service()).unwrap().targets;
            let mut members = members.values();
            members.any(|member| member.target.state == State::Left)
        })
    };
    assert!(left(&net));
    assert!(net.all_see(Health::Down, 0));
    assert!(
        net.entries
            .values()
            .all(|registry| registry.status().suspicions == 0)
    );
}

#[test]
fn a_leaving_agent_is_finished_even_if_no_entry_answers() {
    let mut net = region(3, 3, 3);
    net.cut = Some(Box::new(|_, to| to == agent(1)));
    let now = net.now;
    net.agents.get_mut(&agent(1)).unwrap().leave(now);
    net.run_until(CONVERGENCE_TIME, |net| net.agents[&agent(1)].is_finished());
}

#[test]
fn a_leaving_entry_is_no_longer_chosen_as_watcher() {
    let mut net = region(5, 5, 3);
    let now = net.now;
    let mut actions = Vec::new();
    let mut leaver = net.entries.remove(&entry(2)).unwrap();
    leaver.leave(now, &mut actions);
    net.deliver_all(entry(2), actions);
    net.run_until(CONVERGENCE_TIME, |net| {
        let entries = net.entries.values();
        let agents = net.agents.values();
        entries
            .flat_map(member::Registry::live_entries)
            .all(|one| one != entry(2))
            && agents
                .flat_map(member::Announcer::watchers)
                .all(|one| one != entry(2))
    });
}

#[test]
fn an_oversized_message_is_refused() {
    let message = Message::Pull(vec![u64::MAX; 200]);
    assert_eq!(message.encode(), Err(Error::TooLarge));
    assert_eq!(Message::decode(&[0; 1_200]), Err(Error::TooLarge));
    assert_eq!(Message::decode(&[255; 30]), Err(Error::Malformed));
}

#[test]
fn a_message_for_the_other_role_is_refused() {
    let mut net = region(3, 1, 3);
    let now = net.now;
    let mut actions = Vec::new();
    let agent = net.agents.get_mut(&agent(1)).unwrap();
    agent.handle(
        now,
        entry(1),
        Message::PullService(shared_service()),
        &mut actions,
    );
    assert_eq!(agent.status().refusals[&Refusal::Unexpected], 1);
    assert!(actions.is_empty());
}

/// An agent that starts among others must not report its view as current before
/// it has learned of all targets.
#[test]
fn a_view_is_current_once_it_holds_all_targets() {
    let mut net = region(3, 7, 3);
    net.run_until(CONVERGENCE_TIME, |net| {
        net.agents.values().all(Announcer::is_current)
    });
    for announcer in net.agents.values() {
        assert_eq!(announcer.view().targets.len(), 7);
    }
    net.add_agent(8, 1, 1);
    let fresh = agent(8);
    assert!(!net.agents[&fresh].is_current());
    net.run_until(CONVERGENCE_TIME, |net| net.agents[&fresh].is_current());
    assert_eq!(net.agents[&fresh].view().targets.len(), 8);
}

/// After a power failure an agent may start before its entries, and its
/// announcement must not wait for the next regular heartbeat.
#[test]
fn an_agent_without_answers_sends_heartbeats_in_quick_succession() {
    let net = region(3, 0, 1);
    let seeds: Vec<SocketAddr> = net.entries.keys().copied().collect();
    let alone = target(2, 0, 1);
    let mut announcer = Announcer::new(net.settings.clone(), alone, seeds, 1, net.now);
    let heartbeats_within = |announcer: &mut Announcer, start: Duration, time: Duration| {
        let mut count = 0;
        let mut actions = Vec::new();
        while announcer.next_deadline() < start + time {
            announcer.tick(announcer.next_deadline().max(start), &mut actions);
            count += 1;
        }
        count
    };
    let first = heartbeats_within(&mut announcer, net.now, Duration::from_millis(600));
    assert!(first >= 4, "{first}");
    let later = net.now + Duration::from_secs(10);
    heartbeats_within(&mut announcer, net.now, Duration::from_secs(10));
    let regular = heartbeats_within(&mut announcer, later, Duration::from_secs(10));
    assert!(regular <= 12, "{regular}");
}

/// The entries that an agent was started with may all be gone, so entries that
/// it learns of later must not wait for a regular heartbeat.
#[test]
fn entries_added_later_receive_a_heartbeat_at_once() {
    let net = region(3, 0, 1);
    let gone: Vec<SocketAddr> = (101..=103).map(entry).collect();
    let now = net.now;
    let alone = target(2, 0, 1);
    let mut announcer = Announcer::new(net.settings.clone(), alone, gone, 1, now);
    announcer.tick(now, &mut Vec::new());
    announcer.add_entries(now, &[entry(1)]);
    let mut actions = Vec::new();
    announcer.tick(now, &mut actions);
    let is_sent = actions
        .iter()
        .any(|Action::Send { to, .. }| *to == entry(1));
    assert!(is_sent, "{actions:?}");
}

/// A caller that waits for the deadline would spin if it were not in the
/// future.
#[test]
fn the_next_deadline_of_a_finished_agent_is_in_the_future() {
    let mut net = region(3, 1, 1);
    net.run(CONVERGENCE_TIME);
    let now = net.now;
    net.agents.get_mut(&agent(1)).unwrap().leave(now);
    net.run_until(CONVERGENCE_TIME, |net| net.agents[&agent(1)].is_finished());
    net.run(CONVERGENCE_TIME);
    let now = net.now;
    let announcer = net.agents.get_mut(&agent(1)).unwrap();
    announcer.tick(now, &mut Vec::new());
    assert!(announcer.next_deadline() > now);
}

/// The agent announces [`State::Left`] before it calls `leave`, which must
/// still send a heartbeat without waiting for the regular interval.
#[test]
fn a_departure_does_not_wait_for_the_regular_heartbeat() {
    let mut net = region(3, 3, 3);
    net.run(CONVERGENCE_TIME);
    let now = net.now;
    let leaving = net.agents.get_mut(&agent(1)).unwrap();
    let weight = leaving.target().weight;
    let state = State::Left;
    let mut actions = Vec::new();
    leaving.announce(now, Change { weight, state });
    leaving.tick(now, &mut actions);
    leaving.leave(now);
    assert!(leaving.next_deadline() <= now);
}

/// One failed watcher must not delay the departure: most watchers acknowledge
/// it, and the others learn of it by gossip.
#[test]
fn a_leaving_agent_does_not_wait_for_a_failed_watcher() {
    let mut net = region(3, 3, 3);
    net.run(CONVERGENCE_TIME);
    net.entries.remove(&entry(3));
    let now = net.now;
    let leaving = net.agents.get_mut(&agent(1)).unwrap();
    let weight = leaving.target().weight;
    let state = State::Left;
    leaving.announce(now, Change { weight, state });
    net.run(Duration::from_millis(1));
    let now = net.now;
    net.agents.get_mut(&agent(1)).unwrap().leave(now);
    net.run_until(Duration::from_millis(500), |net| {
        net.agents[&agent(1)].is_finished()
    });
}

/// A sidecar that found no backend server announces it as gone. The server may
/// start afterwards, and is then announced under the same id.
#[test]
fn target_that_was_announced_as_gone_returns_with_a_newer_incarnation() {
    let mut net = region(4, 6, 2);
    let now = net.now;
    net.agents.get_mut(&agent(1)).unwrap().leave(now);
    net.run(Duration::from_millis(600));
    net.add_agent(1, 1, 2);
    net.run_until(Duration::from_secs(2), |net| {
        net.all_see(Health::Up, 6)
            && net.entries.values().all(|entry| {
                let view = entry.view(&shared_service()).unwrap();
                let target = &view.targets[&target(1, 1, 2).id].target;
                (target.state, target.incarnation) == (State::Ready, 2)
            })
    });
}
