//! Tests what an agent learns from the packets that its backend server returns or
//! resets.
mod fixtures;

use fixtures::agent::*;
use fixtures::*;
use forward::Agent;
use forward::agent::Action;
use forward::agent::Closed;
use forward::agent::Event;
use forward::agent::Settings;
use forward::agent::State;
use wire::segment::Kind;

/// The server accepted the first copy and has no room for the second one.
#[test]
fn flow_stays_known_if_a_copy_of_its_opening_packet_is_returned() {
    let mut agent = ready_agent(true);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN, 2]));
    accept_flow(&mut agent, ms(2), 9);
    let copy = Event::ServerPacket {
        segment: returned_segment(9, Kind::Open),
        packet: packet(),
    };
    let actions = handle(&mut agent, ms(601), copy);
    assert!(passed_on(&actions).is_none(), "{actions:?}");
    assert_eq!(agent.len(), 1);
}

/// Returns the reaction to a reset that the server sends.
fn server_resets(agent: &mut Agent) -> Vec<Action> {
    let event = Event::ServerPacket {
        segment: server_segment(9, Kind::Reset, 0),
        packet: packet(),
    };
    handle(agent, ms(20), event)
}

fn reaches_caller(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::ToCaller { .. }))
}

/// The server accepted a copy of the opening packet that the caller did not
/// confirm, and this process was restarted since.
#[test]
fn reset_in_reaction_to_a_probe_is_a_denial() {
    let mut agent = ready_agent(true);
    assert!(delivers(&look_up(&mut agent, ms(10), 9)));
    let actions = server_resets(&mut agent);
    assert!(!reaches_caller(&actions), "{actions:?}");
    assert!(reports_not_held(&actions), "{actions:?}");
}

/// The server gives up a flow that the caller opened at another server.
#[test]
fn reset_of_an_unconfirmed_flow_does_not_reach_the_caller() {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(2), 9);
    let actions = server_resets(&mut agent);
    assert!(!reaches_caller(&actions), "{actions:?}");
}

#[test]
fn reset_of_a_confirmed_flow_reaches_the_caller() {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(2), 9);
    let event = Event::Forward {
        forward: forward_frame(OWN),
        segment: caller_segment(9, Kind::Data, 100),
    };
    assert!(delivers(&handle(&mut agent, ms(10), event)));
    assert!(reaches_caller(&server_resets(&mut agent)));
}

/// Returns an agent that was restarted beside a server, after the server returned
/// this many opening packets.
fn restarted_agent(returned: u16) -> Agent {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    for port in 100..100 + returned {
        send_open(&mut agent, ms(3), port, open_frame(&[OWN, 2]));
        let event = Event::ServerPacket {
            segment: returned_segment(port, Kind::Open),
            packet: packet(),
        };
        handle(&mut agent, ms(4), event);
    }
    agent
}

/// The sidecars of servers that have just been placed, or that left before a loss
/// of power, attracted the opening packets of all entries until their servers'
/// first announcement, or until the hosts were gone.
#[test]
fn server_that_only_returns_opening_packets_is_not_assumed_ready() {
    let agent = restarted_agent(3);
    assert_eq!(agent.closed_reason(ms(5)), Some(Closed::Unknown));
    assert!(!agent.is_open(ms(5)));
}

#[test]
fn announcement_opens_an_agent_whose_server_returned_opening_packets() {
    let mut agent = restarted_agent(3);
    let event = Event::Announcement(announcement(OWN, 1, 1, State::Ready));
    handle(&mut agent, ms(900), event);
    assert_eq!(agent.closed_reason(ms(901)), None);
}

/// A server that is busy when its agent restarts returns some opening packets.
#[test]
fn restarted_agent_of_a_busy_server_stays_open() {
    assert_eq!(restarted_agent(2).closed_reason(ms(5)), None);
    let mut agent = restarted_agent(2);
    send_open(&mut agent, ms(5), 200, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(6), 200);
    assert_eq!(agent.closed_reason(ms(7)), None);
    assert!(agent.is_open(ms(7)));
}

/// Searches for the holders of flows waited for hosts that had come back from a
/// loss of power without their servers.
#[test]
fn server_that_returns_everything_is_missing() {
    let mut agent = restarted_agent(8);
    assert!(!agent.lacks_server(ms(200)));
    assert!(agent.lacks_server(ms(400)));
    let event = Event::Announcement(announcement(OWN, 1, 1, State::Ready));
    handle(&mut agent, ms(900), event);
    assert!(!agent.lacks_server(ms(901)));
}

/// A host came back from a loss of power without its server. Entries stop sending
/// it opening packets after the first three, so that it never gets many.
#[test]
fn server_that_returns_three_opening_packets_and_is_silent_is_missing() {
    let agent = restarted_agent(3);
    assert!(!agent.lacks_server(ms(200)));
    assert!(agent.lacks_server(ms(400)));
}

/// Only probes reached the host.
#[test]
fn server_that_returns_a_probe_and_never_announces_itself_is_missing() {
    let mut agent = restarted_agent(0);
    look_up(&mut agent, ms(1), 9);
    let event = Event::ServerPacket {
        segment: returned_segment(9, Kind::Data),
        packet: packet(),
    };
    handle(&mut agent, ms(2), event);
    let interval = Settings::default().max_announcement_interval;
    assert!(!agent.lacks_server(interval));
    assert!(agent.lacks_server(interval.mul_f64(1.5)));
}

/// Nothing shows whether a server that reacts to nothing still holds flows.
#[test]
fn silent_server_is_not_missing() {
    let mut agent = restarted_agent(0);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN, 2]));
    assert!(!agent.lacks_server(ms(10_000)));
}

/// A busy server returns opening packets, and answers the requests that it runs.
#[test]
fn server_that_sends_packets_is_not_missing() {
    let mut agent = restarted_agent(8);
    let event = Event::ServerPacket {
        segment: server_segment(50, Kind::Data, 100),
        packet: packet(),
    };
    handle(&mut agent, ms(200), event);
    assert!(!agent.lacks_server(ms(400)));
}

/// An idle server returns the probes for flows of other servers.
#[test]
fn server_that_returns_only_probes_is_not_missing() {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    for port in 0..20 {
        look_up(&mut agent, ms(1), port);
        let event = Event::ServerPacket {
            segment: returned_segment(port, Kind::Data),
            packet: packet(),
        };
        handle(&mut agent, ms(2), event);
    }
    assert!(!agent.lacks_server(ms(1_000)));
}

/// Guards against flows that are kept open for a host that came back from a loss of
/// power without its server and gets no packets, as in an evacuated zone.
#[test]
fn server_at_whose_address_nothing_listens_is_missing() {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    handle(&mut agent, ms(250), Event::ServerAbsent);
    assert!(!agent.lacks_server(ms(700)));
    assert!(agent.lacks_server(ms(750)));
}

/// Guards against a server that is announced as gone although it holds flows.
#[test]
fn server_that_accepts_flows_is_not_missing_where_no_connection_is_made() {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    handle(&mut agent, ms(250), Event::ServerAbsent);
    accept_flow(&mut agent, ms(300), 9);
    assert!(!agent.lacks_server(ms(800)));
}
