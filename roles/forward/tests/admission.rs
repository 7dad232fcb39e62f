//! Tests which class of flows an agent admits, holds back and refuses.
mod fixtures;

use std::time::Duration;

use fixtures::agent::*;
use fixtures::*;
use forward::Agent;
use forward::agent::Action;
use forward::agent::Event;
use forward::agent::Refusal;
use forward::agent::Settings;
use wire::Transit;
use wire::segment::Kind;
use wire::transit::Demand;
use wire::transit::Open;

const URGENT: u64 = 1;
const OTHER: u64 = 2;

/// First port of the flows that fill the backend server.
const FIRST_PORT: u16 = 1_000;

fn frame(priority: u64) -> Open {
    Open {
        max_wait_ms: 5_000,
        demand: Some(Demand {
            priority,
            latency_target_ms: 100,
            is_idempotent: true,
            cold_rate: 0,
        }),
        ..open_frame(&[OWN])
    }
}

fn open(agent: &mut Agent, now: Duration, port: u16, priority: u64) -> Vec<Action> {
    send_open(agent, now, port, frame(priority))
}

/// Returns an agent that has seen both classes and whose backend server is full of less
/// urgent requests.
fn full_agent() -> Agent {
    agent_full_of(OTHER, URGENT)
}

/// Returns an agent whose backend server is full of requests of a priority, but for
/// one of another.
fn agent_full_of(priority: u64, first: u64) -> Agent {
    let mut agent = ready_agent(false);
    for port in FIRST_PORT..FIRST_PORT + 2 + Settings::default().max_queued {
        let priority = if port == FIRST_PORT { first } else { priority };
        assert!(delivers(&open(&mut agent, ms(1), port, priority)));
        accept_flow(&mut agent, ms(1), port);
    }
    agent
}

/// The backend server answers the requests of the flows that fill it, one by one;
/// returns the ports of the flows that are admitted meanwhile.
fn answer_all(agent: &mut Agent, now: Duration) -> Vec<u16> {
    let mut admitted = Vec::new();
    for port in FIRST_PORT..FIRST_PORT + 2 + Settings::default().max_queued {
        let forward = forward_frame(OWN);
        let segment = caller_segment(port, Kind::Data, 100);
        handle(agent, now, Event::Forward { forward, segment });
        let segment = server_segment(port, Kind::Data, 500);
        let packet = packet();
        let actions = handle(agent, now, Event::ServerPacket { segment, packet });
        admitted.extend(actions.iter().filter_map(|action| match action {
            Action::Admitted { flow, .. } => Some(flow.caller.port()),
            _ => None,
        }));
    }
    admitted
}

fn refusal(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Reset { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Waiting flows were served newest first, whatever they carried.
#[test]
fn urgent_flow_is_admitted_before_newer_ones() {
    let mut agent = full_agent();
    open(&mut agent, ms(2), 8, URGENT);
    open(&mut agent, ms(3), 9, OTHER);
    assert_eq!(answer_all(&mut agent, ms(30)), [8, 9]);
}

/// An urgent flow that can only be answered late would delay one that can be answered
/// within its target latency.
#[test]
fn late_flow_is_admitted_after_a_prompt_one_of_its_class() {
    let mut agent = full_agent();
    open(&mut agent, ms(2), 8, URGENT);
    // The copy says that its caller has waited for 200 ms.
    let copy = wire::Segment {
        acknowledged: 1,
        ..caller_segment(9, Kind::Open, 0)
    };
    let event = Event::Open {
        open: frame(URGENT),
        segment: copy,
    };
    handle(&mut agent, ms(3), event);
    assert_eq!(answer_all(&mut agent, ms(30)), [8, 9]);
}

/// Less urgent flows that arrive would take each place before an urgent one comes.
#[test]
fn last_places_are_kept_for_a_second_after_an_urgent_flow_waited() {
    let mut agent = full_agent();
    open(&mut agent, ms(2), 8, URGENT);
    answer_all(&mut agent, ms(30));
    // One flow runs; with two slots and six places, half of them are kept.
    let admitted = (100..120).filter(|port| delivers(&open(&mut agent, ms(40), *port, OTHER)));
    assert_eq!(admitted.count(), 2 + 3 - 1);
    assert!(delivers(&open(&mut agent, ms(41), 200, URGENT)));
}

#[test]
fn places_are_released_after_the_overload() {
    let mut agent = full_agent();
    open(&mut agent, ms(2), 8, URGENT);
    answer_all(&mut agent, ms(30));
    let ended = handle(&mut agent, ms(1_100), Event::Tick);
    let has_ended = ended
        .iter()
        .any(|action| matches!(action, Action::OverloadEnded { .. }));
    assert!(has_ended, "{ended:?}");
    let admitted = (100..120).filter(|port| delivers(&open(&mut agent, ms(1_101), *port, OTHER)));
    assert_eq!(admitted.count(), 2 + 6);
}

/// Returns what the agent learns from the bid of another agent for a flow.
fn show_bid(agent: &mut Agent, now: Duration, bid_ms: u32) {
    let open = Open {
        path: vec![hop(5), hop(OWN), hop(6)],
        position: 1,
        bids: vec![bid_ms],
        ..frame(OTHER)
    };
    send_open(agent, now, 300, open);
}

/// A caller that is refused has one attempt less, which is of use only where another
/// server can take the flow sooner.
#[test]
fn flow_that_would_be_late_is_refused_only_if_another_server_has_room() {
    let mut agent = full_agent();
    for port in 10..30 {
        let waits = open(&mut agent, ms(2), port, OTHER);
        assert_eq!(refusal(&waits), None, "{waits:?}");
    }
    show_bid(&mut agent, ms(3), 20);
    let refused = open(&mut agent, ms(4), 40, OTHER);
    assert_eq!(refusal(&refused), Some(Refusal::SoonerElsewhere));
    // What the other server reported is out of date.
    assert_eq!(refusal(&open(&mut agent, ms(104), 41, OTHER)), None);
}

/// The first copy may have been opened at another server.
#[test]
fn retransmitted_opening_packet_is_not_reset() {
    let mut agent = full_agent();
    for port in 10..30 {
        open(&mut agent, ms(2), port, OTHER);
    }
    show_bid(&mut agent, ms(3), 20);
    let segment = wire::Segment {
        acknowledged: 1,
        ..caller_segment(40, Kind::Open, 0)
    };
    let open = frame(OTHER);
    let actions = handle(&mut agent, ms(4), Event::Open { open, segment });
    assert_eq!(refusal(&actions), None, "{actions:?}");
}

/// A flow that cannot be answered before its timeout would only occupy a slot.
#[test]
fn flow_that_cannot_be_answered_in_time_is_refused_at_once() {
    let mut agent = full_agent();
    let hopeless = Open {
        max_wait_ms: 30,
        ..frame(OTHER)
    };
    let actions = send_open(&mut agent, ms(2), 8, hopeless);
    assert_eq!(refusal(&actions), Some(Refusal::NoSlot));
    let is_reported = actions.iter().any(|action| {
        matches!(
            action,
            Action::Send {
                transit: Transit::Busy(_),
                ..
            }
        )
    });
    assert!(is_reported, "{actions:?}");
}

/// Less urgent flows would get nothing while urgent ones keep coming.
#[test]
fn class_that_is_passed_over_keeps_one_slot_in_eight() {
    let mut agent = agent_full_of(URGENT, OTHER);
    open(&mut agent, ms(2), 8, OTHER);
    for port in 10..30 {
        open(&mut agent, ms(3), port, URGENT);
    }
    let mut admitted = answer_all(&mut agent, ms(30));
    for port in admitted.clone() {
        accept_flow(&mut agent, ms(31), port);
    }
    for (turn, now) in (40..).step_by(10).enumerate().take(20) {
        let Some(port) = admitted.get(turn).copied() else {
            break;
        };
        let forward = forward_frame(OWN);
        let segment = caller_segment(port, Kind::Data, 100);
        handle(&mut agent, ms(now), Event::Forward { forward, segment });
        let segment = server_segment(port, Kind::Data, 500);
        let packet = packet();
        let actions = handle(&mut agent, ms(now), Event::ServerPacket { segment, packet });
        for action in actions {
            if let Action::Admitted { flow, .. } = action {
                let port = flow.caller.port();
                admitted.push(port);
                accept_flow(&mut agent, ms(now), port);
            }
        }
    }
    // The slot that its class had makes up for the first seven.
    assert_eq!(admitted.iter().position(|port| *port == 8), Some(14));
}

/// Where all demands have the same priority, the newest flow is served first, as
/// without demands.
#[test]
fn flows_of_one_class_are_admitted_newest_first() {
    let mut agent = ready_agent(false);
    for port in FIRST_PORT..FIRST_PORT + 2 + Settings::default().max_queued {
        open(&mut agent, ms(1), port, OTHER);
        accept_flow(&mut agent, ms(1), port);
    }
    open(&mut agent, ms(2), 8, OTHER);
    open(&mut agent, ms(3), 9, OTHER);
    assert_eq!(answer_all(&mut agent, ms(300)), [9, 8]);
}
