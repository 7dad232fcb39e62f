//! Tests for which requests an agent counts as running at its backend server.
mod fixtures;

use fixtures::agent::*;
use fixtures::*;
use forward::Agent;
use forward::agent::Action;
use forward::agent::Event;
use wire::Segment;
use wire::segment::Kind;

/// Returns an agent whose backend server has accepted the flow from port 9 and
/// answered its first request.
fn agent_with_answered_flow() -> Agent {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(1), 9);
    forward_content(&mut agent, 10, Kind::Data, 1);
    send_from_server(&mut agent, 30, Kind::Data, 500);
    assert_eq!(agent.running(), 0);
    agent
}

/// The caller sends 100 bytes that begin at a sequence number.
fn forward_content(agent: &mut Agent, at: u64, kind: Kind, sequence: u32) -> Vec<Action> {
    let segment = Segment {
        sequence,
        ..caller_segment(9, kind, 100)
    };
    let forward = forward_frame(OWN);
    handle(agent, ms(at), Event::Forward { forward, segment })
}

fn send_from_server(agent: &mut Agent, at: u64, kind: Kind, length: u16) -> Vec<Action> {
    let event = Event::ServerPacket {
        segment: server_segment(9, kind, length),
        packet: packet(),
    };
    handle(agent, ms(at), event)
}

/// Returns true if a request was counted as failed.
fn has_failure(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Failed { .. }))
}

/// While the entries are down, a caller's request and its retransmissions are
/// lost. The caller gives up and closes the flow; its closing packet carries the
/// lost request once more. The server closes the flow without an answer.
#[test]
fn request_in_a_closing_packet_ends_when_the_server_closes_too() {
    let mut agent = agent_with_answered_flow();
    forward_content(&mut agent, 5_000, Kind::Close, 101);
    let actions = send_from_server(&mut agent, 5_001, Kind::Close, 0);
    assert_eq!(agent.running(), 0);
    assert!(!has_failure(&actions), "{actions:?}");
}

/// A caller may send its last request and close its direction of the flow.
#[test]
fn request_in_a_closing_packet_runs_until_its_answer() {
    let mut agent = agent_with_answered_flow();
    forward_content(&mut agent, 5_000, Kind::Close, 101);
    assert_eq!(agent.running(), 1);
    let actions = send_from_server(&mut agent, 5_050, Kind::Data, 500);
    assert_eq!(agent.running(), 0);
    let is_answered = actions
        .iter()
        .any(|action| matches!(action, Action::Answered { .. }));
    assert!(is_answered, "{actions:?}");
}

/// A backend server that closes a flow in place of an answer has failed the
/// request.
#[test]
fn request_that_the_server_closes_without_an_answer_has_failed() {
    let mut agent = agent_with_answered_flow();
    forward_content(&mut agent, 5_000, Kind::Data, 101);
    let actions = send_from_server(&mut agent, 5_001, Kind::Close, 0);
    assert_eq!(agent.running(), 0);
    assert!(has_failure(&actions), "{actions:?}");
}

/// The packet that closes the flow may overtake the answer.
#[test]
fn close_that_overtakes_the_answer_is_no_failure() {
    let mut agent = agent_with_answered_flow();
    forward_content(&mut agent, 5_000, Kind::Data, 101);
    let segment = Segment {
        sequence: 500,
        ..server_segment(9, Kind::Close, 0)
    };
    let event = Event::ServerPacket {
        segment,
        packet: packet(),
    };
    let actions = handle(&mut agent, ms(5_050), event);
    assert_eq!(agent.running(), 0);
    assert!(!has_failure(&actions), "{actions:?}");
}

/// The server closed the flow as idle before the request reached it.
#[test]
fn request_after_the_server_has_closed_occupies_no_slot() {
    let mut agent = agent_with_answered_flow();
    send_from_server(&mut agent, 4_999, Kind::Close, 0);
    forward_content(&mut agent, 5_000, Kind::Data, 101);
    assert_eq!(agent.running(), 0);
}
