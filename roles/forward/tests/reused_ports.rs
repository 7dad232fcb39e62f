//! Tests that what is known of a flow does not break a later one that the caller opens
//! from the same port at another backend server.
mod fixtures;

use std::time::Duration;

use fixtures::agent::*;
use fixtures::*;
use forward::Agent;
use forward::agent::Action;
use forward::agent::Event;
use forward::agent::State;
use wire::Segment;
use wire::Transit;
use wire::segment::Kind;
use wire::transit::Lookup;
use wire::transit::Terms;

/// Port of the caller.
const PORT: u16 = 9;

/// Sequence number of the other backend server, which the later flow acknowledges.
const ELSEWHERE: u32 = 900_000_000;

/// Returns the header of a packet with content that acknowledges a server.
fn content(acknowledged: u32) -> Segment {
    Segment {
        acknowledged,
        ..caller_segment(PORT, Kind::Data, 100)
    }
}

fn forward(agent: &mut Agent, now: Duration, acknowledged: u32) -> Vec<Action> {
    let event = Event::Forward {
        forward: forward_frame(OWN),
        segment: content(acknowledged),
    };
    handle(agent, now, event)
}

fn look_up(agent: &mut Agent, now: Duration, acknowledged: u32) -> Vec<Action> {
    let lookup = Lookup {
        target: OWN,
        entry: entry_address(),
        searcher: searcher_address(),
        terms: Terms {
            may_probe: true,
            max_age_ms: 60_000,
        },
        packet: packet(),
    };
    let segment = content(acknowledged);
    handle(agent, now, Event::Lookup { lookup, segment })
}

/// Returns an agent whose server held a flow from the port, which carried a request.
fn agent_with_flow() -> Agent {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), PORT, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(2), PORT);
    assert!(delivers(&forward(&mut agent, ms(3), 1)));
    agent
}

/// Returns an agent whose server has restarted since it held a flow from the port.
fn agent_with_ended_flow() -> Agent {
    let mut agent = agent_with_flow();
    let restarted = announcement(OWN, 2, 1, State::Ready);
    handle(&mut agent, ms(5_000), Event::Announcement(restarted));
    agent
}

fn is_reset(actions: &[Action]) -> bool {
    let mut actions = actions.iter();
    actions.any(|action| matches!(action, Action::Reset { .. }))
}

fn is_denied(actions: &[Action]) -> bool {
    let mut actions = actions.iter();
    actions.any(|action| {
        matches!(
            action,
            Action::Send {
                transit: Transit::NotHeld(_),
                ..
            }
        )
    })
}

type Ask = fn(&mut Agent, Duration, u32) -> Vec<Action>;

/// Guards against resets of a later flow by the agent of a server that has restarted.
fn later_flow_is_denied_after_a_restart(ask: Ask) {
    let mut agent = agent_with_ended_flow();
    let actions = ask(&mut agent, ms(5_100), ELSEWHERE);
    assert!(!is_reset(&actions) && is_denied(&actions), "{actions:?}");
}

/// Guards against flows of a restarted server that nobody resets.
fn ended_flow_is_reset_after_a_restart(ask: Ask) {
    let mut agent = agent_with_ended_flow();
    let actions = ask(&mut agent, ms(5_100), 1 + 20_000);
    assert!(is_reset(&actions), "{actions:?}");
}

/// Guards against packets of a later flow at the server of the earlier one, which answers
/// with a reset of its own.
fn later_flow_is_not_delivered_to_the_former_server(ask: Ask) {
    let mut agent = agent_with_flow();
    let actions = ask(&mut agent, ms(100), ELSEWHERE);
    assert!(!delivers(&actions) && is_denied(&actions), "{actions:?}");
}

cases::cases! { later_flow_is_denied_after_a_restart;
    forwarded_packet_of_a_later_flow: forward,
    lookup_of_a_later_flow: look_up,
}

cases::cases! { ended_flow_is_reset_after_a_restart;
    forwarded_packet_of_the_ended_flow: forward,
    lookup_of_the_ended_flow: look_up,
}

cases::cases! { later_flow_is_not_delivered_to_the_former_server;
    forwarded_packet_while_the_former_server_runs: forward,
    lookup_while_the_former_server_runs: look_up,
}

/// Guards against resets of a flow that the server had not accepted when it ended: the
/// caller has opened it at another one.
#[test]
fn flow_that_an_ended_server_had_not_accepted_is_denied() {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), PORT, open_frame(&[OWN]));
    let restarted = announcement(OWN, 2, 1, State::Ready);
    handle(&mut agent, ms(5_000), Event::Announcement(restarted));
    let actions = forward(&mut agent, ms(5_100), ELSEWHERE);
    assert!(!is_reset(&actions) && is_denied(&actions), "{actions:?}");
}
