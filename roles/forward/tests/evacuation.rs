//! Tests that an agent whose zone is evacuated delivers no opening packet, by whichever
//! path it arrives, and passes on what other zones can serve.
mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fixtures::agent::*;
use fixtures::*;
use forward::Agent;
use forward::Entry;
use forward::Routes;
use forward::agent::Action;
use forward::agent::Closed;
use forward::agent::Event;
use forward::agent::Refusal;
use forward::agent::Settings;
use forward::agent::State;
use forward::entry;
use wire::Segment;
use wire::TargetId;
use wire::Transit;
use wire::ZoneId;
use wire::segment::Kind;
use wire::target;
use wire::transit::Open;

/// Port of the caller in tests of a single flow.
const PORT: u16 = 9;

/// Backend servers in the evacuated zone, beside [`OWN`], and in other zones.
const NEIGHBORS: [TargetId; 2] = [2, 3];
const OTHERS: [TargetId; 5] = [11, 12, 13, 14, 15];

fn evacuate(agent: &mut Agent, now: Duration, others: &[TargetId]) -> Vec<Action> {
    let others = others.iter().copied().map(hop).collect();
    handle(agent, now, Event::Evacuation(Some(Arc::new(others))))
}

/// Returns an opening packet of a flow that begins at a sequence number; `copy` counts
/// its earlier transmissions.
fn opening(port: u16, sequence: u32, copy: u32) -> Segment {
    Segment {
        sequence,
        acknowledged: copy,
        ..caller_segment(port, Kind::Open, 0)
    }
}

fn send_opening(
    agent: &mut Agent,
    now: Duration,
    segment: Segment,
    path: &[TargetId],
) -> Vec<Action> {
    let open = Open {
        packet: encode(&segment),
        ..open_frame(path)
    };
    handle(agent, now, Event::Open { open, segment })
}

fn forward_opening(agent: &mut Agent, now: Duration, segment: Segment) -> Vec<Action> {
    let mut forward = forward_frame(OWN);
    forward.packet = encode(&segment);
    handle(agent, now, Event::Forward { forward, segment })
}

/// Returns an agent that has held a flow since 1 ms, and whose zone is evacuated at
/// 10 ms.
fn evacuated_agent() -> Agent {
    let mut agent = ready_agent(false);
    assert!(delivers(&send_opening(
        &mut agent,
        ms(1),
        opening(PORT, 1, 0),
        &[OWN]
    )));
    accept_flow(&mut agent, ms(2), PORT);
    evacuate(&mut agent, ms(10), &OTHERS);
    agent
}

fn assert_passed_on(actions: &[Action]) -> Open {
    assert!(!delivers(actions), "{actions:?}");
    passed_on(actions).cloned().expect("the flow is passed on")
}

fn next_target(open: &Open) -> TargetId {
    open.path[usize::from(open.position)].target
}

/// An entry that does not know of the evacuation prefers its own zone, so that its
/// whole path may be evacuated.
#[test]
fn new_flow_is_passed_on_to_three_agents_of_other_zones() {
    let mut agent = evacuated_agent();
    assert_eq!(agent.closed_reason(ms(20)), Some(Closed::Evacuated));
    assert!(!agent.is_open(ms(20)));
    for path in [
        &[OWN][..],
        &[OWN, NEIGHBORS[0], NEIGHBORS[1]],
        &[OWN, NEIGHBORS[0], 14],
    ] {
        let port =
            100 + u16::try_from(path.len()).unwrap() + u16::try_from(path[path.len() - 1]).unwrap();
        let actions = send_opening(&mut agent, ms(20), opening(port, 1, 0), path);
        let open = assert_passed_on(&actions);
        let ahead: Vec<TargetId> = open.path[1..].iter().map(|hop| hop.target).collect();
        assert_eq!(ahead.len(), 3);
        assert!(
            ahead.iter().all(|target| OTHERS.contains(target)),
            "{ahead:?}"
        );
        assert_eq!(open.bids.len(), usize::from(open.position));
        // An agent that the entry chose there is asked first.
        assert!(!path.contains(&14) || next_target(&open) == 14);
    }
}

/// All flows of a zone that went to one other zone would overload it.
#[test]
fn passed_on_flows_are_spread_evenly() {
    let mut agent = evacuated_agent();
    let mut counts = [0; OTHERS.len()];
    for port in 1_000..2_000 {
        let actions = send_opening(&mut agent, ms(20), opening(port, 1, 0), &[OWN]);
        let next = next_target(&assert_passed_on(&actions));
        counts[OTHERS.iter().position(|other| *other == next).unwrap()] += 1;
    }
    assert!(
        counts.iter().all(|count| (150..250).contains(count)),
        "{counts:?}"
    );
}

/// This agent had the lowest bid, and its zone was evacuated meanwhile.
#[test]
fn settled_flow_is_passed_on_to_agents_that_have_not_bid() {
    let mut agent = evacuated_agent();
    let segment = opening(20, 1, 0);
    let open = Open {
        packet: encode(&segment),
        bids: vec![u32::MAX, 40, u32::MAX],
        position: 1,
        is_settled: true,
        ..open_frame(&[2, OWN, 11])
    };
    let actions = handle(&mut agent, ms(20), Event::Open { open, segment });
    let open = assert_passed_on(&actions);
    assert!(!open.is_settled);
    assert_eq!(open.bids, [u32::MAX; 3]);
    assert!(![2, OWN, 11].contains(&next_target(&open)), "{open:?}");
}

#[test]
fn waiting_flow_is_passed_on_when_its_zone_is_evacuated() {
    let mut agent = ready_agent(false);
    let mut port = 1;
    while delivers(&send_opening(
        &mut agent,
        ms(1),
        opening(port, 1, 0),
        &[OWN],
    )) {
        port += 1;
    }
    let open = assert_passed_on(&evacuate(&mut agent, ms(10), &OTHERS));
    assert_eq!(decode(&open.packet).source.port(), port);
    // Its copy follows it, also where the entry takes this agent for the holder.
    let copy = assert_passed_on(&forward_opening(&mut agent, ms(201), opening(port, 1, 1)));
    assert_eq!(next_target(&copy), next_target(&open));
    for now in (10..2_000).step_by(50) {
        assert!(!delivers(&handle(&mut agent, ms(now), Event::Tick)));
    }
}

/// The first copy may have been lost between the agent and the server.
#[test]
fn copy_of_a_flow_admitted_before_is_delivered_within_the_opening_timeout() {
    for forwarded in [false, true] {
        for (now, is_delivered) in [(201, true), (1_390, true), (1_410, false), (5_100, false)] {
            let mut agent = evacuated_agent();
            let copy = opening(PORT, 1, 1);
            let actions = if forwarded {
                forward_opening(&mut agent, ms(now), copy)
            } else {
                send_opening(&mut agent, ms(now), copy, &[OWN])
            };
            assert_eq!(delivers(&actions), is_delivered, "at {now} ms: {actions:?}");
        }
    }
}

/// A busy caller uses a port again while the flow that it had from there is open or
/// in the table.
#[test]
fn new_flow_from_a_reused_port_is_not_delivered() {
    let mut agent = evacuated_agent();
    let actions = forward_opening(&mut agent, ms(500), opening(PORT, 7_000, 0));
    assert!(
        !delivers(&actions) && reports_not_held(&actions),
        "{actions:?}"
    );
    let actions = send_opening(&mut agent, ms(510), opening(PORT, 7_000, 0), &[OWN]);
    assert_passed_on(&actions);
}

#[test]
fn opening_packet_in_a_search_or_a_lookup_is_not_delivered() {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    handle(
        &mut agent,
        ms(0),
        Event::Announcement(announcement(OWN, 1, 5, State::Ready)),
    );
    evacuate(&mut agent, ms(1), &OTHERS);
    for event in searches_with(opening(PORT, 1, 1)) {
        let actions = handle(&mut agent, ms(11), event);
        assert!(!delivers(&actions), "{actions:?}");
    }
}

/// The server had no room for a flow that was admitted before the evacuation.
#[test]
fn returned_opening_packet_is_passed_on_to_another_zone() {
    let mut agent = ready_agent(false);
    send_opening(&mut agent, ms(1), opening(PORT, 1, 0), &[OWN, NEIGHBORS[0]]);
    evacuate(&mut agent, ms(2), &OTHERS);
    let event = Event::ServerPacket {
        segment: returned_segment(PORT, Kind::Open),
        packet: encode(&opening(PORT, 1, 0)),
    };
    let open = assert_passed_on(&handle(&mut agent, ms(3), event));
    assert!(OTHERS.contains(&next_target(&open)));
}

#[test]
fn flow_is_refused_at_once_if_no_other_zone_has_an_agent() {
    let mut agent = evacuated_agent();
    evacuate(&mut agent, ms(11), &[]);
    let actions = send_opening(&mut agent, ms(20), opening(20, 1, 0), &[OWN]);
    let is_reset = |action: &Action| {
        matches!(
            action,
            Action::Reset {
                reason: Refusal::NoSlot,
                ..
            }
        )
    };
    assert!(
        actions.iter().any(is_reset) && !delivers(&actions),
        "{actions:?}"
    );
}

/// The address is used again by a server of another service; the agents of other zones
/// serve that of the one before.
#[test]
fn flow_of_another_service_is_not_sent_to_the_agents_of_this_one() {
    let mut agent = evacuated_agent();
    let actions = send_opening(&mut agent, ms(20), opening(20, 1, 0), &[7]);
    assert!(passed_on(&actions).is_none(), "{actions:?}");
    handle(
        &mut agent,
        ms(30),
        Event::Announcement(announcement(7, 2, 1, State::Ready)),
    );
    let actions = send_opening(&mut agent, ms(40), opening(21, 1, 0), &[7]);
    assert!(
        passed_on(&actions).is_none() && !delivers(&actions),
        "{actions:?}"
    );
}

#[test]
fn open_flow_stays_and_a_restored_zone_admits_new_ones() {
    let mut agent = evacuated_agent();
    let event = Event::Forward {
        forward: forward_frame(OWN),
        segment: caller_segment(PORT, Kind::Data, 100),
    };
    let actions = handle(&mut agent, ms(7_000), event);
    assert_eq!(actions, [Action::Deliver(Bytes::from_static(b"packet"))]);
    handle(
        &mut agent,
        ms(7_010),
        Event::Announcement(announcement(OWN, 1, 9, State::Ready)),
    );
    handle(&mut agent, ms(7_010), Event::Evacuation(None));
    let actions = send_opening(&mut agent, ms(7_020), opening(20, 1, 0), &[OWN]);
    assert!(delivers(&actions), "{actions:?}");
}

/// Returns what an entry that has run for a minute does with an opening packet, while
/// zones are evacuated; there is a backend server in each of the zones 1 to 3.
fn actions_of_entry(evacuated: &[ZoneId], copy: u32) -> Vec<entry::Action> {
    let mut entry = Entry::new(entry::Settings::default(), entry_address(), 1, 1, ms(0));
    let servers = [(1, 1), (2, 2), (3, 3)];
    let servers = servers.map(|(id, zone)| target(id, zone, target::State::Ready));
    let routes = Arc::new(Routes {
        evacuated_zones: evacuated.iter().copied().collect(),
        ..(*routes(servers.into())).clone()
    });
    entry.handle(ms(0), entry::Event::Routes(routes), &mut Vec::new());
    let (segment, mut actions) = (opening(PORT, 1, copy), Vec::new());
    let packet = encode(&segment);
    let event = entry::Event::Packet { segment, packet };
    entry.handle(ms(60_000), event, &mut actions);
    actions
}

#[test]
fn entry_sends_new_flows_to_zones_that_are_not_evacuated() {
    for (evacuated, expected) in [
        (&[][..], vec![1, 2, 3]),
        (&[1], vec![2, 3]),
        (&[1, 2], vec![3]),
    ] {
        let actions = actions_of_entry(evacuated, 0);
        let path = actions.iter().find_map(|action| match action {
            entry::Action::Send {
                transit: Transit::Open(open),
                ..
            } => Some(&open.path),
            _ => None,
        });
        let mut targets: Vec<TargetId> = path.unwrap().iter().map(|hop| hop.target).collect();
        targets.sort_unstable();
        assert_eq!(targets, expected);
    }
}

/// The caller must not wait for its timeout.
#[test]
fn entry_refuses_new_flows_at_once_if_all_zones_are_evacuated() {
    let actions = actions_of_entry(&[1, 2, 3], 0);
    let reason = entry::Refusal::NoServer;
    assert!(
        matches!(actions[..], [entry::Action::Reset { reason: given, .. }] if given == reason),
        "{actions:?}"
    );
    // The flow may be open through the first copy.
    let copy = actions_of_entry(&[1, 2, 3], 1);
    assert!(matches!(copy[..], [entry::Action::Dropped(_)]), "{copy:?}");
}
