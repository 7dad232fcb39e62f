//! Tests of failure detection: crashes, freezes, replays and returning
//! processes.
mod net;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use member::Health;
use member::Message;
use member::Record;
use member::Refusal;
use member::message::Heartbeat;
use member::message::Push;
use member::message::Subject;
use wire::Incarnation;
use wire::ZoneId;

use crate::net::CONVERGENCE_TIME;
use crate::net::Net;
use crate::net::agent;
use crate::net::entry;
use crate::net::region;
use crate::net::shared_service;
use crate::net::target;

const MINUTE: Duration = Duration::from_mins(1);

fn assert_no_target_is_silent(net: &Net) {
    assert!(net.all_see(Health::Down, 0) && net.all_see(Health::Doubted, 0));
}

fn heartbeat(incarnation: Incarnation, sequence: u64) -> Message {
    Message::Heartbeat(Heartbeat {
        subject: Subject::Target(target(1, 1, incarnation)),
        sequence,
        watchers: vec![entry(1)],
        to_observer: false,
        digest: 0,
        parts: Vec::new(),
    })
}

#[test]
fn a_silent_target_goes_down_and_comes_up_on_its_return() {
    let mut net = region(3, 4, 4);
    net.frozen.insert(agent(2));
    net.run_until(CONVERGENCE_TIME, |net| net.all_see(Health::Down, 1));
    assert_eq!(net.health(entry(1), agent(2)), Some(Health::Down));
    net.frozen.remove(&agent(2));
    net.run_until(CONVERGENCE_TIME, |net| net.all_see(Health::Up, 4));
}

/// A target is watched from its first heartbeat on, so a failure right after it
/// must be detected.
#[test]
fn a_target_that_fails_after_its_first_heartbeat_goes_down() {
    let mut net = region(3, 4, 3);
    net.add_agent(5, 1, 1);
    net.run(Duration::from_millis(4));
    net.frozen.insert(agent(5));
    net.run_until(CONVERGENCE_TIME, |net| net.all_see(Health::Down, 1));
}

/// A restarted entry has no statements about the target; if it did not learn
/// them from its peers, the failed target would be up again.
#[test]
fn a_failed_target_stays_down_when_every_entry_restarts_in_turn() {
    let mut net = region(4, 5, 4);
    net.frozen.insert(agent(2));
    net.run_until(CONVERGENCE_TIME, |net| net.all_see(Health::Down, 1));
    for number in 1..=4 {
        net.entries.remove(&entry(number));
        net.run(CONVERGENCE_TIME);
        net.add_entry(number, (number % 4).into(), 2);
        net.run(CONVERGENCE_TIME);
    }
    net.run(CONVERGENCE_TIME);
    assert!(net.all_see(Health::Down, 1));
}

/// An entry that was frozen missed heartbeats, and must not consider their
/// senders silent when it resumes.
fn frozen_entries_take_no_target_down(frozen: &[u8]) {
    let mut net = region(7, 5, 4);
    let frozen: Vec<SocketAddr> = frozen.iter().map(|number| entry(*number)).collect();
    net.frozen.extend(&frozen);
    net.run_checked(MINUTE, assert_no_target_is_silent);
    net.frozen.clear();
    net.run_checked(MINUTE, assert_no_target_is_silent);
}

cases::cases! { frozen_entries_take_no_target_down;
    one_frozen_entry_takes_no_target_down: &[3],
    two_frozen_entries_take_no_target_down: &[1, 4],
    three_of_seven_frozen_entries_take_no_target_down: &[1, 2, 3],
}

/// Frozen watchers do not answer. The agent must find others, and the former
/// watchers must not suspect its target when they resume.
#[test]
fn a_target_whose_watchers_all_freeze_stays_up() {
    let mut net = region(7, 5, 4);
    let watchers = net.agents[&agent(1)].watchers();
    assert_eq!(watchers.len(), 3);
    net.frozen.extend(&watchers);
    net.run_checked(MINUTE, assert_no_target_is_silent);
    let moved = net.agents[&agent(1)].watchers();
    assert!(moved.iter().all(|watcher| !watchers.contains(watcher)));
    net.frozen.clear();
    net.run_checked(MINUTE, assert_no_target_is_silent);
}

/// Watchers that resume discard the silences that they measured, but must still
/// detect a failure from before.
#[test]
fn a_target_that_fails_while_its_watchers_are_frozen_goes_down_after_they_thaw() {
    let mut net = region(7, 5, 4);
    let watchers = net.agents[&agent(1)].watchers();
    net.frozen.extend(&watchers);
    net.frozen.insert(agent(1));
    net.run(CONVERGENCE_TIME);
    for watcher in &watchers {
        net.frozen.remove(watcher);
    }
    net.run_until(CONVERGENCE_TIME, |net| net.all_see(Health::Down, 1));
}

/// An entry that cannot receive sees the same as if everything that it watches
/// had failed.
#[test]
fn an_entry_that_receives_nothing_doubts_itself_and_states_no_suspicion() {
    let mut net = region(5, 6, 4);
    net.cut = Some(Box::new(|_, to| to == entry(2)));
    net.run_checked(MINUTE, assert_no_target_is_silent);
    let status = net.entries[&entry(2)].status();
    assert_eq!(status.suspicions, 0);
    assert!(status.self_doubts > 0);
}

#[test]
fn a_target_that_one_watcher_does_not_hear_stays_up() {
    let mut net = region(5, 5, 4);
    assert!(net.agents[&agent(1)].watchers().len() == 3);
    let watcher = net.agents[&agent(1)].watchers()[0];
    net.cut = Some(Box::new(move |from, to| from == agent(1) && to == watcher));
    net.run_checked(MINUTE, assert_no_target_is_silent);
}

/// If most targets of a service are silent, the observers are more likely at
/// fault, and callers must still find targets.
#[test]
fn never_more_than_half_of_a_service_is_down() {
    let mut net = region(4, 5, 5);
    for number in 1..=3 {
        net.frozen.insert(agent(number));
    }
    net.run_checked(MINUTE, |net| {
        assert!(net.count(Health::Down).iter().all(|down| *down <= 2));
    });
    assert!(net.all_see(Health::Doubted, 3));
    net.frozen.remove(&agent(1));
    net.run_until(CONVERGENCE_TIME, |net| net.all_see(Health::Down, 2));
}

#[test]
fn a_newer_incarnation_ends_the_suspicion_of_the_older_one() {
    let mut net = region(4, 5, 4);
    net.frozen.insert(agent(1));
    net.run_until(CONVERGENCE_TIME, |net| net.all_see(Health::Down, 1));
    net.frozen.remove(&agent(1));
    net.add_agent(1, 1, 2);
    net.run_until(CONVERGENCE_TIME, |net| net.all_see(Health::Up, 5));
    net.run_checked(MINUTE, assert_no_target_is_silent);
}

/// Heartbeats from an address must not count for the target that used the
/// address before.
#[test]
fn another_target_at_the_same_address_leaves_the_old_one_down() {
    let mut net = region(4, 5, 4);
    let old = net.agents[&agent(1)].target().id;
    net.agents.remove(&agent(1));
    net.add_agent_at(agent(1), &target(9, 1, 2));
    let new = net.agents[&agent(1)].target().id;
    let health = |net: &Net, id| {
        let entries = net.entries.values();
        let views = entries.map(|registry| registry.view(&shared_service()).unwrap());
        let seen: Vec<Health> = views.map(|view| view.targets[&id].health).collect();
        seen
    };
    net.run(MINUTE);
    assert_eq!(health(&net, old), [Health::Down; 4]);
    assert_eq!(health(&net, new), [Health::Up; 4]);
}

#[test]
fn replays_and_old_incarnations_are_refused() {
    let mut net = Net::default();
    net.add_entry(1, 1, 1);
    let registry = net.entries.get_mut(&entry(1)).unwrap();
    let mut actions = Vec::new();
    let mut refused = |incarnation, sequence, reason| {
        let message = heartbeat(incarnation, sequence);
        actions.clear();
        registry.handle(Duration::ZERO, agent(1), message, &mut actions);
        let count = registry.status().refusals.get(&reason).copied();
        (actions.is_empty(), count.unwrap_or(0))
    };
    assert_eq!(refused(5, 3, Refusal::Replay), (false, 0));
    assert_eq!(refused(5, 3, Refusal::Replay), (true, 1));
    assert_eq!(refused(5, 2, Refusal::Replay), (true, 2));
    // The older process is notified of the newer one.
    assert_eq!(refused(4, 9, Refusal::OldIncarnation), (false, 1));
    assert_eq!(refused(6, 1, Refusal::Replay), (false, 2));
}

#[test]
fn a_failed_entry_is_no_longer_chosen_as_watcher() {
    let mut net = region(5, 5, 4);
    net.frozen.insert(entry(2));
    net.run_until(CONVERGENCE_TIME, |net| {
        let running = net
            .entries
            .iter()
            .filter(|(address, _)| **address != entry(2));
        let mut live = running.flat_map(|(_, registry)| registry.live_entries());
        let mut watchers = net.agents.values().flat_map(member::Announcer::watchers);
        !live.any(|one| one == entry(2)) && !watchers.any(|one| one == entry(2))
    });
    net.frozen.clear();
    net.run_until(CONVERGENCE_TIME, |net| {
        let mut entries = net.entries.values();
        entries.all(|registry| registry.live_entries().count() == 5)
    });
}

/// Without removal, targets that never return would stay in every directory.
#[test]
fn a_target_silent_for_the_retention_time_is_removed_everywhere() {
    let mut net = Net::default();
    net.settings.retention = Duration::from_mins(5);
    net.populate(3, 3, 3);
    net.frozen.insert(agent(1));
    net.run_until(CONVERGENCE_TIME, |net| net.all_see(Health::Down, 1));
    net.run(net.settings.retention + MINUTE);
    assert!(net.all_see(Health::Down, 0) && net.all_see(Health::Up, 2));
    // A peer that missed the removal does not bring the target back.
    let record = Record::Target(target(1, 1, 1));
    let push = Message::Push(Push {
        is_rumor: true,
        records: vec![record],
    });
    let now = net.now;
    let registry = net.entries.get_mut(&entry(1)).unwrap();
    registry.handle(now, entry(2), push, &mut Vec::new());
    assert_eq!(registry.status().refusals[&Refusal::Departed], 1);
    assert!(net.all_see(Health::Up, 2));
    let agents = net
        .agents
        .iter()
        .filter(|(address, _)| **address != agent(1));
    assert!(
        agents
            .map(|(_, announcer)| announcer.view())
            .all(|view| view.targets.len() == 2)
    );
}

/// No watcher is left to suspect the target, so the audit of another entry must
/// find it.
#[test]
fn a_target_that_fails_with_all_its_watchers_goes_down() {
    let mut net = region(7, 5, 4);
    let watchers = net.agents[&agent(1)].watchers();
    net.frozen.extend(&watchers);
    net.frozen.insert(agent(1));
    net.run_until(MINUTE, |net| net.all_see(Health::Down, 1));
    let expected = 7 - watchers.len();
    let live = |net: &Net| -> Vec<usize> {
        let running = net.entries.iter();
        let running = running.filter(|(address, _)| !net.frozen.contains(*address));
        running
            .map(|(_, registry)| registry.live_entries().count())
            .collect()
    };
    net.run_until(MINUTE, |net| {
        live(net).iter().all(|count| *count == expected)
    });
    net.run_checked(MINUTE, |net| assert!(net.all_see(Health::Down, 1)));
}

/// The watchers of an entry may fail together with it, which leaves no majority
/// of its watchers to suspect it.
#[test]
fn the_failure_of_most_entries_is_detected_by_the_others() {
    let mut net = region(5, 5, 4);
    net.frozen.extend([1, 2, 3].map(entry));
    net.run_until(MINUTE, |net| {
        let running = [4, 5].map(|number| &net.entries[&entry(number)]);
        running
            .iter()
            .all(|registry| registry.live_entries().count() == 2)
    });
    net.run_checked(MINUTE, assert_no_target_is_silent);
}

/// Partitioned watchers hear nothing from the target, while the other entries
/// still do.
#[test]
fn temporarily_partitioned_watchers_take_no_target_down() {
    let mut net = region(7, 5, 4);
    let watchers = net.agents[&agent(1)].watchers();
    let cut_off = watchers.clone();
    net.cut = Some(Box::new(move |from, to| {
        cut_off.contains(&from) || cut_off.contains(&to)
    }));
    net.run_checked(MINUTE, assert_no_target_is_silent);
    let moved = net.agents[&agent(1)].watchers();
    assert!(moved.iter().all(|watcher| !watchers.contains(watcher)));
    net.cut = None;
    net.run_checked(MINUTE, assert_no_target_is_silent);
    let mut entries = net.entries.values();
    assert!(entries.all(|registry| !registry.status().is_doubtful));
}

#[test]
fn a_replaced_agent_that_resumes_learns_of_its_successor() {
    let mut net = region(4, 4, 4);
    let old = net.agents.remove(&agent(1)).unwrap();
    net.add_agent(1, 1, 2);
    net.run(CONVERGENCE_TIME);
    net.agents.insert(agent(21), old);
    net.run(CONVERGENCE_TIME);
    assert_eq!(net.agents[&agent(21)].successor(), Some(2));
    assert_eq!(net.agents[&agent(1)].successor(), None);
    assert_no_target_is_silent(&net);
}

#[test]
fn a_replaced_entry_that_resumes_learns_of_its_successor() {
    let mut net = region(4, 4, 4);
    let old = net.entries.remove(&entry(1)).unwrap();
    net.add_entry(1, 1, 2);
    net.run(CONVERGENCE_TIME);
    let new = net.entries.insert(entry(1), old);
    assert_eq!(new.map(|new| new.successor()), Some(None));
    net.run(CONVERGENCE_TIME);
    assert_eq!(net.entries[&entry(1)].successor(), Some(2));
}

#[test]
fn no_target_goes_down_while_a_third_of_all_messages_is_lost() {
    let mut net = region(5, 5, 4);
    let rng = RefCell::new(fastrand::Rng::with_seed(5));
    net.cut = Some(Box::new(move |_, _| rng.borrow_mut().u8(..3) == 0));
    net.run_checked(MINUTE * 3, assert_no_target_is_silent);
}

#[test]
fn a_removed_target_stays_removed_although_entries_restart_at_different_times() {
    let mut net = Net::default();
    net.settings.retention = Duration::from_mins(5);
    net.populate(4, 3, 3);
    net.frozen.insert(agent(1));
    // Entries restart one after the other, and each measures the silence from
    // its restart.
    for number in [2, 3, 4] {
        net.run(Duration::from_mins(2));
        net.add_entry(number, ZoneId::from(number % 3), 2);
    }
    net.run_until(Duration::from_mins(7), |net| {
        net.all_see(Health::Down, 0) && net.all_see(Health::Up, 2)
    });
    net.run_checked(Duration::from_mins(6), |net| {
        assert!(net.all_see(Health::Down, 0));
    });
}

fn a_removed_target_returns(incarnation: Option<u64>) {
    let mut net = Net::default();
    net.settings.retention = Duration::from_mins(5);
    net.populate(3, 3, 3);
    net.frozen.insert(agent(1));
    net.run(Duration::from_mins(6));
    assert!(net.all_see(Health::Up, 2) && net.all_see(Health::Down, 0));
    net.frozen.clear();
    if let Some(incarnation) = incarnation {
        net.add_agent(1, 1, incarnation);
    }
    net.run_until(CONVERGENCE_TIME, |net| net.all_see(Health::Up, 3));
}

cases::cases! { a_removed_target_returns;
    a_removed_target_returns_after_a_restart: Some(2),
    a_removed_target_returns_after_a_long_freeze: None,
}

/// A process that restarts after the clock of its host went back has a smaller
/// incarnation than before, which the other processes ignore.
#[test]
fn a_process_whose_clock_went_back_outranks_its_earlier_incarnation() {
    let mut net = region(4, 4, 4);
    net.agents.remove(&agent(1));
    net.entries.remove(&entry(1));
    net.add_agent(1, 1, 0);
    net.add_entry(1, 1, 0);
    net.run(CONVERGENCE_TIME);
    let now = net.now;
    assert_eq!(net.agents[&agent(1)].successor(), Some(1));
    net.agents
        .get_mut(&agent(1))
        .unwrap()
        .raise_incarnation(now);
    net.entries.get_mut(&entry(1)).unwrap().raise_incarnation();
    net.run(CONVERGENCE_TIME);
    assert_eq!(net.agents[&agent(1)].successor(), None);
    assert_eq!(net.entries[&entry(1)].successor(), None);
    assert_no_target_is_silent(&net);
}
