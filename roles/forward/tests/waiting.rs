//! Tests the flows that an agent holds back until its backend server has room.
mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::agent::*;
use fixtures::load::Scenario;
use fixtures::load::Simulation;
use fixtures::*;
use forward::Agent;
use forward::agent::Action;
use forward::agent::Event;
use forward::agent::Peers;
use forward::agent::Settings;
use forward::agent::State;
use wire::TargetId;
use wire::Transit;
use wire::segment::Kind;
use wire::transit::Open;

/// First port of the flows that fill the backend server.
const FIRST_PORT: u16 = 1_000;

/// Returns an agent whose backend server has no room for another request, and the
/// number of flows that fill it.
fn full_agent() -> (Agent, u16) {
    let mut agent = ready_agent(false);
    let count = 2 + Settings::default().max_queued;
    for port in FIRST_PORT..FIRST_PORT + count {
        assert!(delivers(&send_open(
            &mut agent,
            ms(1),
            port,
            open_frame(&[OWN])
        )));
        accept_flow(&mut agent, ms(1), port);
    }
    (agent, count)
}

/// The backend server answers the request of a flow.
fn answer(agent: &mut Agent, now: Duration, port: u16) -> Vec<Action> {
    let forward = forward_frame(OWN);
    let segment = caller_segment(port, Kind::Data, 100);
    handle(agent, now, Event::Forward { forward, segment });
    let event = Event::ServerPacket {
        segment: server_segment(port, Kind::Data, 500),
        packet: packet(),
    };
    handle(agent, now, event)
}

/// The backend server answers all but two of the requests that fill it; returns the
/// ports of the flows that are admitted meanwhile.
fn answer_until_spare(agent: &mut Agent, now: Duration) -> Vec<u16> {
    let mut admitted = Vec::new();
    for port in FIRST_PORT..FIRST_PORT + Settings::default().max_queued {
        let actions = answer(agent, now, port);
        admitted.extend(actions.iter().filter_map(|action| match action {
            Action::Admitted { flow, .. } => Some(flow.caller.port()),
            _ => None,
        }));
    }
    admitted
}

/// Callers that return together after a failure had used up their attempts within
/// milliseconds, though the servers could have served all of them in time.
#[test]
fn callers_that_arrive_together_are_served() {
    let scenario = Scenario {
        failure: None,
        failing_from: Duration::ZERO,
        burst: 150,
        attempts: 3,
        caller_timeout: Duration::from_secs(4),
    };
    let outcome = Simulation::new(scenario, &Settings::default()).run();
    println!("{outcome:?}");
    assert!(outcome.answered > 0.999, "{outcome:?}");
    assert!(outcome.prompt > 0.9, "{outcome:?}");
}

#[test]
fn flow_waits_for_a_slot_and_its_entry_is_notified() {
    let (mut agent, _) = full_agent();
    let actions = send_open(&mut agent, ms(2), 9, open_frame(&[OWN]));
    assert!(!delivers(&actions), "{actions:?}");
    let is_notified = actions.iter().any(|action| {
        matches!(action, Action::Send { to, transit: Transit::Held(_) } if *to == entry_address())
    });
    assert!(is_notified, "{actions:?}");
    assert!(!answer_until_spare(&mut agent, ms(30)).is_empty());
}

/// Flows that have waited would fill the queue of the backend server for as
/// long as there are any, and delay the flows that arrive after them.
#[test]
fn flow_that_waited_takes_no_place_in_the_queue() {
    let (mut agent, _) = full_agent();
    send_open(&mut agent, ms(2), 8, open_frame(&[OWN]));
    let answered = answer(&mut agent, ms(400), FIRST_PORT);
    assert!(!delivers(&answered), "{answered:?}");
    let arrived = send_open(&mut agent, ms(401), 9, open_frame(&[OWN]));
    assert!(delivers(&arrived), "{arrived:?}");
}

/// The newest caller still can be answered promptly.
#[test]
fn newest_flow_is_admitted_first() {
    let (mut agent, _) = full_agent();
    send_open(&mut agent, ms(2), 8, open_frame(&[OWN]));
    send_open(&mut agent, ms(3), 9, open_frame(&[OWN]));
    assert_eq!(answer_until_spare(&mut agent, ms(30)).first(), Some(&9));
}

#[test]
fn copy_of_a_waiting_flow_does_not_wait_twice() {
    let (mut agent, count) = full_agent();
    send_open(&mut agent, ms(2), 9, open_frame(&[OWN]));
    send_open(&mut agent, ms(202), 9, open_frame(&[OWN]));
    let admitted: usize = (FIRST_PORT..FIRST_PORT + count)
        .map(|port| answer(&mut agent, ms(300), port))
        .map(|actions| usize::from(delivers(&actions)))
        .sum();
    assert_eq!(admitted, 1);
}

/// A flow whose caller has given up would occupy a slot for nothing.
#[test]
fn flow_is_not_admitted_after_its_caller_has_given_up() {
    let (mut agent, _) = full_agent();
    send_open(&mut agent, ms(2), 9, open_frame(&[OWN]));
    let actions = answer(&mut agent, ms(1_400), FIRST_PORT);
    assert!(!delivers(&actions), "{actions:?}");
}

#[test]
fn waiting_flow_is_passed_on_when_the_server_leaves() {
    let (mut agent, _) = full_agent();
    send_open(&mut agent, ms(2), 9, open_frame(&[OWN]));
    let draining = announcement(OWN, 1, 6, State::Draining);
    let actions = handle(&mut agent, ms(20), Event::Announcement(draining));
    assert!(!delivers(&actions), "{actions:?}");
    let is_reset = actions
        .iter()
        .any(|action| matches!(action, Action::Reset { .. }));
    assert!(is_reset, "no other agent is on its path: {actions:?}");
}

/// What cannot be served in time is refused at once.
#[test]
fn flow_is_refused_if_no_slot_is_expected_in_time() {
    let (mut agent, _) = full_agent();
    let refused = (2_000..4_000).find(|port| {
        let open = Open {
            max_wait_ms: 5_000,
            ..open_frame(&[OWN])
        };
        let actions = send_open(&mut agent, ms(2), *port, open);
        actions
            .iter()
            .any(|action| matches!(action, Action::Reset { .. }))
    });
    // In 1.3 s, two slots serve 130 requests of 20 ms, and one begins at the end.
    assert_eq!(refused, Some(2_000 + 130 + 2 - 8));
}

/// Returns an agent that knows the agent of backend server 5 as a peer.
fn agent_with_peer() -> Agent {
    let mut agent = ready_agent(false);
    let peers = Peers {
        hops: Arc::new(vec![hop(5)]),
        has_down_agent: false,
    };
    handle(&mut agent, ms(0), Event::Peers(peers));
    agent
}

/// An entry still addresses the backend server that used this address before, for
/// another service. The agents that this one knows serve the present service.
#[test]
fn flow_of_an_earlier_server_is_not_sent_to_the_peers_of_the_present_one() {
    let mut agent = agent_with_peer();
    let actions = send_open(&mut agent, ms(2), 9, open_frame(&[7]));
    assert!(passed_on(&actions).is_none(), "{actions:?}");
}

/// The address of a backend server is used again by a server of another service,
/// whose agents are not known yet.
#[test]
fn flow_of_a_new_service_is_not_sent_to_the_peers_of_the_one_before() {
    let mut agent = agent_with_peer();
    announce(&mut agent, 7, State::Draining);
    let actions = send_open(&mut agent, ms(2), 9, open_frame(&[7]));
    assert!(passed_on(&actions).is_none(), "{actions:?}");
}

fn announce(agent: &mut Agent, target: TargetId, state: State) {
    let event = Event::Announcement(announcement(target, 2, 1, state));
    handle(agent, ms(1), event);
}

/// The address is used again by a server of another service while a flow waits.
#[test]
fn waiting_flow_is_not_admitted_by_a_server_of_another_service() {
    let (mut agent, _) = full_agent();
    send_open(&mut agent, ms(2), 9, open_frame(&[OWN]));
    let event = Event::Announcement(announcement(7, 2, 1, State::Ready));
    let mut actions = handle(&mut agent, ms(30), event);
    actions.extend(handle(&mut agent, ms(31), Event::Tick));
    assert!(!delivers(&actions), "{actions:?}");
}

/// Agents that had passed a flow to each other forwarded each later packet for seconds.
#[test]
fn copies_of_an_opening_packet_do_not_circulate() {
    let mut agent = ready_agent(false);
    fill_slots(&mut agent, ms(1));
    let open = open_frame(&[OWN, 5]);
    assert!(passed_on(&send_open(&mut agent, ms(2), 9, open.clone())).is_some());
    let copies = (0..1_000).filter(|_| {
        let actions = send_open(&mut agent, ms(3), 9, open.clone());
        passed_on(&actions).is_some()
    });
    assert!(copies.count() < 100);
}
