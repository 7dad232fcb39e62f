//! Tests which flows an agent admits and where it sends packets.
mod fixtures;

use fixtures::agent::*;
use fixtures::*;
use forward::Agent;
use forward::agent::Action;
use forward::agent::Closed;
use forward::agent::Event;
use forward::agent::Settings;
use forward::agent::State;
use wire::Transit;
use wire::segment::Kind;
use wire::transit::Open;
use wire::transit::Terms;

#[test]
fn flow_is_admitted_while_a_slot_is_free_and_the_entry_is_notified() {
    let mut agent = ready_agent(false);
    let actions = send_open(&mut agent, ms(1), 9, open_frame(&[OWN, 2]));
    assert!(delivers(&actions));
    let is_notified = actions.iter().any(|action| {
        matches!(action, Action::Send { to, transit: Transit::Held(held) }
            if *to == entry_address() && held.holder == hop(OWN))
    });
    assert!(is_notified, "{actions:?}");
}

#[test]
fn busy_agent_passes_a_flow_on_with_its_bid() {
    let mut agent = ready_agent(false);
    fill_slots(&mut agent, ms(1));
    let actions = send_open(&mut agent, ms(1), 9, open_frame(&[OWN, 2]));
    let open = passed_on(&actions).unwrap();
    assert_eq!((open.position, open.bids.len()), (1, 1));
}

/// The agent forwarded the open, which comes back because no other agent bid
/// less.
#[test]
fn settled_flow_is_admitted_by_an_agent_that_passed_it_on_before() {
    let mut agent = ready_agent(false);
    fill_slots(&mut agent, ms(1));
    let first = send_open(&mut agent, ms(1), 9, open_frame(&[OWN, 2]));
    let settled = Open {
        position: 0,
        bids: vec![20, 40],
        is_settled: true,
        ..passed_on(&first).unwrap().clone()
    };
    let actions = send_open(&mut agent, ms(3), 9, settled);
    assert!(delivers(&actions), "{actions:?}");
}

/// An entry may still address the backend server that used this address before.
#[test]
fn opening_packet_for_another_server_is_not_delivered() {
    let mut agent = ready_agent(false);
    let actions = send_open(&mut agent, ms(1), 9, open_frame(&[5, 2]));
    assert!(!delivers(&actions), "{actions:?}");
    assert_eq!(passed_on(&actions).unwrap().path[1], hop(2));
    let alone = send_open(&mut agent, ms(2), 10, open_frame(&[5]));
    assert!(!delivers(&alone), "{alone:?}");
}

#[test]
fn retransmitted_opening_packet_follows_the_flow_that_was_passed_on() {
    let mut agent = ready_agent(false);
    fill_slots(&mut agent, ms(1));
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN, 2]));
    let actions = send_open(&mut agent, ms(200), 9, open_frame(&[OWN]));
    assert_eq!(passed_on(&actions).unwrap().path[1], hop(2));
}

/// The notification from the agent that admitted the flow may have been lost.
#[test]
fn packet_of_a_passed_on_flow_is_forwarded_and_the_entry_is_notified() {
    let mut agent = ready_agent(false);
    fill_slots(&mut agent, ms(1));
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN, 2]));
    let event = Event::Forward {
        forward: forward_frame(OWN),
        segment: caller_segment(9, Kind::Data, 100),
    };
    let actions = handle(&mut agent, ms(20), event);
    let followed = actions.iter().any(|action| {
        matches!(action, Action::Send { to, transit: Transit::Forward(forward) }
            if *to == hop(2).address && forward.target == 2)
    });
    let is_notified = actions.iter().any(|action| {
        matches!(action, Action::Send { to, transit: Transit::Held(held) }
            if *to == entry_address() && held.holder == hop(2))
    });
    assert!(followed && is_notified, "{actions:?}");
}

#[test]
fn flow_is_reset_at_once_if_no_agent_has_a_slot_in_time() {
    let mut agent = ready_agent(false);
    fill_slots(&mut agent, ms(1));
    let impatient = Open {
        max_wait_ms: 1,
        ..open_frame(&[OWN])
    };
    let actions = send_open(&mut agent, ms(1), 9, impatient);
    assert!(matches!(actions[..], [Action::Reset { .. }]), "{actions:?}");
}

#[test]
fn flow_that_the_server_does_not_accept_is_passed_on() {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN, 2]));
    let event = Event::ServerPacket {
        segment: returned_segment(9, Kind::Open),
        packet: packet(),
    };
    let actions = handle(&mut agent, ms(2), event);
    assert_eq!(passed_on(&actions).unwrap().position, 1);
}

#[test]
fn draining_server_gets_no_new_flows_and_keeps_existing_ones() {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN, 2]));
    accept_flow(&mut agent, ms(1), 9);
    let draining = announcement(OWN, 1, 6, State::Draining);
    handle(&mut agent, ms(2), Event::Announcement(draining));
    let opened = send_open(&mut agent, ms(3), 10, open_frame(&[OWN, 2]));
    assert!(passed_on(&opened).is_some());
    let event = Event::Forward {
        forward: forward_frame(OWN),
        segment: caller_segment(9, Kind::Data, 100),
    };
    assert!(delivers(&handle(&mut agent, ms(3), event)));
}

#[test]
fn server_without_recent_announcement_gets_no_new_flows() {
    let mut agent = ready_agent(false);
    let late = Settings::default().announcement_timeout + ms(1);
    let actions = send_open(&mut agent, late, 9, open_frame(&[OWN, 2]));
    assert!(passed_on(&actions).is_some());
}

#[test]
fn older_announcement_is_ignored() {
    let mut agent = ready_agent(false);
    handle(
        &mut agent,
        ms(1),
        Event::Announcement(announcement(OWN, 2, 1, State::Ready)),
    );
    handle(
        &mut agent,
        ms(2),
        Event::Announcement(announcement(OWN, 1, 9, State::Draining)),
    );
    assert_eq!(agent.closed_reason(ms(3)), None);
}

#[test]
fn flows_of_a_terminated_server_are_reset() {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(1), 9);
    handle(
        &mut agent,
        ms(5_000),
        Event::Announcement(announcement(OWN, 2, 1, State::Ready)),
    );
    let event = Event::Forward {
        forward: forward_frame(OWN),
        segment: caller_segment(9, Kind::Data, 100),
    };
    let actions = handle(&mut agent, ms(5_001), event);
    assert!(matches!(actions[..], [Action::Reset { .. }]), "{actions:?}");
}

#[test]
fn restarted_agent_does_not_probe_a_flow_again_that_was_returned() {
    let mut agent = ready_agent(true);
    assert!(delivers(&look_up(&mut agent, ms(1), 9)));
    let event = Event::ServerPacket {
        segment: returned_segment(9, Kind::Data),
        packet: packet(),
    };
    handle(&mut agent, ms(2), event);
    let again = look_up(&mut agent, ms(300), 9);
    assert_eq!(again, []);
}

#[test]
fn agent_without_prior_flows_does_not_probe() {
    let mut agent = ready_agent(false);
    assert_eq!(look_up(&mut agent, ms(1), 9), []);
}

#[test]
fn flow_is_held_if_the_server_answers_a_probe() {
    let mut agent = ready_agent(true);
    look_up(&mut agent, ms(1), 9);
    let event = Event::ServerPacket {
        segment: server_segment(9, Kind::Data, 50),
        packet: packet(),
    };
    let actions = handle(&mut agent, ms(2), event);
    let is_notified = |action: &Action| {
        matches!(
            action,
            Action::Send {
                transit: Transit::Held(_),
                ..
            }
        )
    };
    assert!(actions.iter().any(is_notified), "{actions:?}");
}

/// The frame is for another backend server that used this address before.
#[test]
fn packet_for_another_server_is_reported_not_held() {
    let mut agent = ready_agent(true);
    let event = Event::Forward {
        forward: forward_frame(7),
        segment: caller_segment(9, Kind::Data, 100),
    };
    let actions = handle(&mut agent, ms(1), event);
    assert!(
        reports_not_held(&actions) && !delivers(&actions),
        "{actions:?}"
    );
}

/// A caller may give up without closing the flow. Without the timeout its
/// request would occupy the slot forever.
#[test]
fn unanswered_request_frees_its_slot_after_the_timeout() {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(1), 9);
    let event = Event::Forward {
        forward: forward_frame(OWN),
        segment: caller_segment(9, Kind::Data, 100),
    };
    handle(&mut agent, ms(5), event);
    handle(&mut agent, ms(900), Event::Tick);
    assert!(agent.is_busy());
    handle(&mut agent, ms(1_200), Event::Tick);
    assert!(!agent.is_busy());
}

/// The backend server may not have started yet, so the absence of a reaction
/// does not show that it holds the flow.
#[test]
fn probe_without_reaction_does_not_create_a_flow() {
    let mut agent = ready_agent(true);
    look_up(&mut agent, ms(1), 9);
    let mut actions = Vec::new();
    for time in (100..3_000).step_by(100) {
        actions.extend(handle(&mut agent, ms(time), Event::Tick));
    }
    assert_eq!(actions, []);
    assert!(agent.is_empty());
}

/// The flow was opened elsewhere. A backend server that saw the opening packet
/// may answer a later packet with a reset, which would break the flow.
#[test]
fn passed_on_flow_is_not_probed() {
    let mut agent = ready_agent(true);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN, 2]));
    let event = Event::ServerPacket {
        segment: returned_segment(9, Kind::Open),
        packet: packet(),
    };
    assert!(passed_on(&handle(&mut agent, ms(2), event)).is_some());
    assert!(!delivers(&look_up(&mut agent, ms(20), 9)));
}

/// Three packets at a server that does not hold the flow would break it.
#[test]
fn unknown_flow_is_probed_at_most_twice() {
    let mut agent = ready_agent(true);
    let probes = (0..50).filter(|number| delivers(&look_up(&mut agent, ms(1 + 500 * number), 9)));
    assert_eq!(probes.count(), 2);
}

/// If the entry does not know all agents, several new servers could each
/// receive a probe while the holder receives nothing.
#[test]
fn lookup_that_does_not_allow_probes_causes_none() {
    let mut agent = ready_agent(true);
    assert_eq!(
        look_up_with_terms(&mut agent, ms(1), 9, Terms::default()),
        []
    );
}

#[test]
fn agent_that_started_before_its_server_does_not_probe() {
    let mut agent = agent_since_server_start(ms(1), announcement(OWN, 1, 1, State::Ready));
    assert_eq!(look_up(&mut agent, ms(2), 9), []);
}

/// Guards against denials for flows of an earlier process: servers may number their
/// announcements from any number.
#[test]
fn number_of_the_first_announcement_received_does_not_replace_a_probe() {
    for number in [0, 1, 2, 4_000_000] {
        let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
        let first = announcement(OWN, 1, number, State::Ready);
        handle(&mut agent, ms(0), Event::Announcement(first));
        assert!(delivers(&look_up(&mut agent, ms(1), 9)), "{number}");
    }
}

/// The caller may retransmit a request that its server answered before this
/// process started. The reservation must not last as long as a request.
#[test]
fn first_request_of_a_prior_flow_frees_its_slot_after_the_reservation() {
    let mut agent = ready_agent(true);
    let sent = Event::ServerPacket {
        segment: server_segment(9, Kind::Data, 0),
        packet: packet(),
    };
    handle(&mut agent, ms(1), sent);
    let event = Event::Forward {
        forward: forward_frame(OWN),
        segment: caller_segment(9, Kind::Data, 100),
    };
    handle(&mut agent, ms(2), event);
    handle(&mut agent, ms(700), Event::Tick);
    assert!(!agent.is_busy());
}

#[test]
fn retransmitted_request_does_not_occupy_a_slot() {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(1), 9);
    let request = || Event::Forward {
        forward: forward_frame(OWN),
        segment: caller_segment(9, Kind::Data, 100),
    };
    handle(&mut agent, ms(2), request());
    let answer = Event::ServerPacket {
        segment: server_segment(9, Kind::Data, 50),
        packet: packet(),
    };
    handle(&mut agent, ms(20), answer);
    assert!(!agent.is_busy());
    handle(&mut agent, ms(200), request());
    assert!(!agent.is_busy());
}

/// A backend server keeps serving after a crash of its agent, so the restarted
/// agent admits flows at once.
#[test]
fn server_with_possible_prior_flows_is_assumed_ready_for_a_limited_time() {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    assert!(delivers(&send_open(
        &mut agent,
        ms(1),
        9,
        open_frame(&[OWN])
    )));
    let late = Settings::default().assumed_ready_time;
    assert_eq!(agent.closed_reason(late), Some(Closed::Unknown));
}

#[test]
fn server_that_does_not_react_to_an_opening_packet_is_mute() {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    let reaction_deadline = ms(1) + Settings::default().reaction_timeout;
    assert_eq!(agent.closed_reason(reaction_deadline), Some(Closed::Mute));
}

#[test]
fn server_without_prior_flows_is_unknown_until_announced() {
    let agent = Agent::new(Settings::default(), hop(OWN), false, ms(0));
    assert_eq!(agent.closed_reason(ms(1)), Some(Closed::Unknown));
}

/// Returns the reaction to a caller's packet with the given acknowledgement,
/// after the server accepted the flow at sequence number 5,000.
fn packet_after_accept(acknowledged: u32) -> Vec<Action> {
    let mut agent = ready_agent(true);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    let accept = Event::ServerPacket {
        segment: wire::Segment {
            sequence: 5_000,
            ..server_segment(9, Kind::Accept, 0)
        },
        packet: packet(),
    };
    handle(&mut agent, ms(2), accept);
    let event = Event::Forward {
        forward: forward_frame(OWN),
        segment: wire::Segment {
            acknowledged,
            ..caller_segment(9, Kind::Data, 0)
        },
    };
    let mut actions = handle(&mut agent, ms(10), event);
    actions.extend(look_up(&mut agent, ms(11), 9));
    actions
}

#[test]
fn packet_that_acknowledges_this_server_is_delivered() {
    assert!(delivers(&packet_after_accept(5_001)));
}

/// A copy of the opening packet arrived here after another server had accepted
/// the flow.
#[test]
fn packet_that_acknowledges_another_server_is_reported_not_held() {
    let actions = packet_after_accept(900_000_000);
    assert!(
        reports_not_held(&actions) && !delivers(&actions),
        "{actions:?}"
    );
}

/// The flow may have been opened at another server through an earlier copy.
#[test]
fn retransmitted_opening_packet_that_no_server_admits_is_not_reset() {
    let mut agent = ready_agent(false);
    fill_slots(&mut agent, ms(1));
    let segment = wire::Segment {
        acknowledged: 1,
        ..caller_segment(9, Kind::Open, 0)
    };
    let open = Open {
        max_wait_ms: 1,
        ..open_frame(&[OWN])
    };
    let actions = handle(&mut agent, ms(1), Event::Open { open, segment });
    assert!(!resets(&actions), "{actions:?}");
}

#[test]
fn opening_packet_returned_late_is_not_reset() {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    let event = Event::ServerPacket {
        segment: returned_segment(9, Kind::Open),
        packet: packet(),
    };
    let actions = handle(&mut agent, ms(300), event);
    assert!(!resets(&actions), "{actions:?}");
}

#[test]
fn opening_packet_returned_at_once_is_reset() {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    let event = Event::ServerPacket {
        segment: returned_segment(9, Kind::Open),
        packet: packet(),
    };
    assert!(resets(&handle(&mut agent, ms(3), event)));
}

/// Loss on the way shows only in what the caller sends again.
#[test]
fn packet_with_content_seen_before_is_counted() {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(2), 9);
    let request = Event::Forward {
        forward: forward_frame(OWN),
        segment: caller_segment(9, Kind::Data, 100),
    };
    handle(&mut agent, ms(10), request.clone());
    assert_eq!(agent.repeated_packets(), 0);
    handle(&mut agent, ms(210), request);
    assert_eq!(agent.repeated_packets(), 1);
}

fn resets(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reset { .. }))
}
