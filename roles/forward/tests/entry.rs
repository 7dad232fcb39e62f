//! Tests which agent an entry sends each packet to.
mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::entry::*;
use fixtures::*;
use forward::Entry;
use forward::Routes;
use forward::entry::Action;
use forward::entry::DropReason;
use forward::entry::Event;
use forward::entry::Refusal;
use forward::entry::Settings;
use wire::segment::Kind;
use wire::target::State;
use wire::transit;

#[test]
fn flow_is_opened_in_the_local_zone_and_stays_with_its_holder() {
    let mut entry = entry_with(two_zones());
    let first = opened(&send(&mut entry, ms(1), Kind::Open));
    assert!(first == [1] || first == [2], "{first:?}");
    report_holder(&mut entry, ms(2), 3);
    assert_eq!(forwarded(&send(&mut entry, ms(3), Kind::Data)), [3]);
}

#[test]
fn packet_before_the_answer_follows_the_opening_packet() {
    let mut entry = entry_with(two_zones());
    let first = opened(&send(&mut entry, ms(1), Kind::Open));
    assert_eq!(forwarded(&send(&mut entry, ms(2), Kind::Data)), first);
}

#[test]
fn retransmitted_opening_packet_goes_to_the_holder() {
    let mut entry = entry_with(two_zones());
    send(&mut entry, ms(1), Kind::Open);
    report_holder(&mut entry, ms(2), 3);
    assert_eq!(forwarded(&retransmit_open(&mut entry, ms(200))), [3]);
}

#[test]
fn retransmitted_opening_packet_avoids_an_unresponsive_agent() {
    let mut entry = entry_with(two_zones());
    let first = opened(&send(&mut entry, ms(1), Kind::Open));
    let second = opened(&retransmit_open(&mut entry, ms(201)));
    assert_ne!(first, second);
}

#[test]
fn draining_servers_get_no_new_flows() {
    let targets = vec![
        target(1, LOCAL_ZONE, State::Draining),
        target(2, REMOTE_ZONE, State::Ready),
    ];
    let mut entry = entry_with(targets);
    assert_eq!(opened(&send(&mut entry, ms(1), Kind::Open)), [2]);
}

#[test]
fn flow_without_a_ready_server_is_reset_at_once() {
    let mut entry = entry_with(vec![target(1, LOCAL_ZONE, State::Draining)]);
    let actions = send(&mut entry, ms(1), Kind::Open);
    let refused = matches!(
        actions[..],
        [Action::Reset {
            reason: Refusal::NoServer,
            ..
        }]
    );
    assert!(refused, "{actions:?}");
}

/// An entry that has just started may not know the servers yet: it drops the
/// packet, so that the caller retransmits.
#[test]
fn starting_entry_without_servers_drops_opening_packets() {
    let mut entry = entry_with(Vec::new());
    let actions = send(&mut entry, ms(1), Kind::Open);
    assert_eq!(actions, [Action::Dropped(DropReason::ServersUnknown)]);
}

#[test]
fn address_without_a_route_is_reset_only_if_the_configuration_is_confirmed() {
    let mut entry = Entry::new(Settings::default(), entry_address(), LOCAL_ZONE, 1, ms(0));
    let actions = send(&mut entry, ms(1), Kind::Open);
    assert_eq!(actions, [Action::Dropped(DropReason::Unconfirmed)]);
    let empty = Routes {
        is_confirmed: true,
        ..Routes::default()
    };
    handle(&mut entry, ms(2), Event::Routes(Arc::new(empty)));
    let actions = send(&mut entry, ms(3), Kind::Open);
    assert!(matches!(actions[..], [Action::Reset { .. }]), "{actions:?}");
}

/// A search costs the entry one frame at a time, each to another agent.
#[test]
fn search_asks_one_agent_after_the_other() {
    let mut entry = entry_with(two_zones());
    let mut asked = asked_to_search(&send(&mut entry, discovery_time(), Kind::Data));
    assert_eq!(asked.len(), 1);
    for round in 1..=2 {
        let next = discovery_time() + Settings::default().agent_timeout * round;
        let more = asked_to_search(&handle(&mut entry, next, Event::Tick));
        assert_eq!(more.len(), 1, "agents asked in round {round}");
        asked.extend(more);
    }
    assert_eq!(
        asked[2], 3,
        "agents of the local zone should be asked first"
    );
    asked.sort_unstable();
    assert_eq!(asked, [1, 2, 3]);
}

#[test]
fn packets_are_queued_during_a_search() {
    let mut entry = entry_with(two_zones());
    send(&mut entry, discovery_time(), Kind::Data);
    assert_eq!(send(&mut entry, discovery_time(), Kind::Data), []);
    assert_eq!(
        forwarded(&report_holder(&mut entry, discovery_time() + ms(5), 2)),
        [2]
    );
    assert_eq!(
        forwarded(&send(&mut entry, discovery_time() + ms(6), Kind::Data)),
        [2]
    );
}

#[test]
fn search_without_a_holder_drops_packets_without_a_reset() {
    let mut entry = entry_with(two_zones());
    send(&mut entry, discovery_time(), Kind::Data);
    let mut actions = Vec::new();
    for step in 1..10 {
        actions.extend(handle(
            &mut entry,
            discovery_time() + ms(50 * step),
            Event::Tick,
        ));
    }
    let reset = actions
        .iter()
        .any(|action| matches!(action, Action::Reset { .. }));
    assert!(!reset, "{actions:?}");
    let lost = discovery_time() + ms(500);
    assert_eq!(
        send(&mut entry, lost, Kind::Data),
        [Action::Dropped(DropReason::HolderNotFound)]
    );
}

/// A probe must also reach the holder, which may not be known yet. Otherwise
/// only servers that do not hold the flow receive its packets, which breaks it.
#[test]
fn probes_are_not_allowed_until_all_agents_are_known() {
    let mut entry = entry_with(two_zones());
    let first = search_terms(&send(&mut entry, ms(100), Kind::Data)).unwrap();
    assert!(!first.may_probe);
    let mut may_probe = false;
    for time in (100..1_500).step_by(50) {
        let asked = search_terms(&handle(&mut entry, ms(time), Event::Tick));
        assert!(asked.is_none_or(|terms| terms.may_probe == (ms(time) >= discovery_time())));
        may_probe |= asked.is_some_and(|terms| terms.may_probe);
    }
    // The entry searches again without waiting for another packet of the caller.
    assert!(may_probe);
}

#[test]
fn new_agent_delays_probes() {
    let mut entry = entry_with(two_zones());
    let mut more = two_zones();
    more.push(target(4, LOCAL_ZONE, State::Draining));
    handle(&mut entry, discovery_time(), Event::Routes(routes(more)));
    let asked = search_terms(&send(&mut entry, discovery_time() + ms(1), Kind::Data)).unwrap();
    assert!(!asked.may_probe);
    assert_eq!(asked.max_age_ms, 0);
}

#[test]
fn holder_that_denies_a_flow_is_left_out_of_its_search() {
    let mut entry = entry_with(two_zones());
    send(&mut entry, ms(1), Kind::Open);
    report_holder(&mut entry, ms(2), 1);
    let denial = transit::NotHeld {
        flow: flow(),
        target: 1,
        acknowledged: 0,
        age_ms: None,
        start: None,
        packet: packet(),
    };
    assert_eq!(
        asked_to_search(&handle(
            &mut entry,
            discovery_time(),
            Event::NotHeld(denial)
        )),
        [2]
    );
}

/// Retransmissions of the caller must not postpone the next search.
#[test]
fn lost_flow_is_searched_for_again_while_its_caller_retransmits() {
    let mut entry = entry_with(two_zones());
    let settings = Settings::default();
    let mut now = discovery_time();
    send(&mut entry, now, Kind::Data);
    for _ in 0..3 {
        now += settings.agent_timeout;
        handle(&mut entry, now, Event::Tick);
    }
    let step = settings.lost_retry_interval / 2;
    assert_eq!(
        asked_to_search(&send(&mut entry, now + step, Kind::Data)),
        []
    );
    assert_eq!(
        asked_to_search(&send(&mut entry, now + 2 * step, Kind::Data)).len(),
        1
    );
}

#[test]
fn idle_flows_are_removed() {
    let mut entry = entry_with(two_zones());
    send(&mut entry, ms(1), Kind::Open);
    report_holder(&mut entry, ms(2), 1);
    assert_eq!(entry.len(), 1);
    handle(&mut entry, Duration::from_mins(1), Event::Tick);
    assert!(entry.is_empty());
}

/// The flow may be open under a configuration that this entry has not received
/// yet.
#[test]
fn only_the_first_opening_packet_without_a_route_is_reset() {
    let mut entry = Entry::new(Settings::default(), entry_address(), LOCAL_ZONE, 1, ms(0));
    let empty = Routes {
        is_confirmed: true,
        ..Routes::default()
    };
    handle(&mut entry, ms(2), Event::Routes(Arc::new(empty)));
    for actions in [
        send(&mut entry, ms(3), Kind::Data),
        retransmit_open(&mut entry, ms(4)),
    ] {
        assert!(
            !matches!(actions[..], [Action::Reset { .. }]),
            "{actions:?}"
        );
    }
}

#[test]
fn retransmitted_opening_packet_that_no_server_admits_is_not_reset() {
    let mut entry = entry_with(vec![target(1, LOCAL_ZONE, State::Draining)]);
    let actions = retransmit_open(&mut entry, ms(201));
    assert!(
        !matches!(actions[..], [Action::Reset { .. }]),
        "{actions:?}"
    );
}

/// A busy caller uses a port again while the entry still has the flow that it had
/// from there; the holder may be leaving by now.
#[test]
fn flow_from_a_reused_port_is_placed_anew() {
    for closes in [true, false] {
        let mut entry = entry_with(two_zones());
        send(&mut entry, ms(1), Kind::Open);
        report_holder(&mut entry, ms(2), 1);
        if closes {
            send(&mut entry, ms(100), Kind::Close);
        }
        let at = if closes { ms(200) } else { ms(3_600) };
        let actions = send(&mut entry, at, Kind::Open);
        assert_eq!(opened(&actions).len(), 1, "{actions:?}");
        assert!(forwarded(&actions).is_empty(), "{actions:?}");
    }
}

/// The caller's first copies crossed the notification of the holder.
#[test]
fn copy_of_an_opening_packet_follows_the_holder() {
    let mut entry = entry_with(two_zones());
    send(&mut entry, ms(1), Kind::Open);
    report_holder(&mut entry, ms(2), 1);
    assert_eq!(forwarded(&retransmit_open(&mut entry, ms(201))), [1]);
}
