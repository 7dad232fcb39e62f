//! An agent under test, and what it does with packets.
#![allow(dead_code)]
use std::net::SocketAddr;
use std::time::Duration;

use forward::Agent;
use forward::agent::Action;
use forward::agent::Event;
use forward::agent::Settings;
use forward::agent::State;
use wire::TargetId;
use wire::Transit;
use wire::segment::Kind;
use wire::transit::Open;
use wire::transit::Seek;
use wire::transit::Terms;

use super::*;

pub const OWN: TargetId = 1;

/// An agent whose backend server is ready.
pub fn ready(has_past: bool) -> Agent {
    let mut agent = Agent::new(Settings::default(), hop(OWN), has_past, ms(0));
    handle(
        &mut agent,
        ms(0),
        Event::Backend(backend(OWN, 1, 5, State::Ready)),
    );
    agent
}

pub fn handle(agent: &mut Agent, now: Duration, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    agent.handle(now, event, &mut actions);
    actions
}

pub fn open_at(agent: &mut Agent, now: Duration, port: u16, open: Open) -> Vec<Action> {
    let segment = from_caller(port, Kind::Open, 0);
    handle(agent, now, Event::Open { open, segment })
}

/// The backend server accepts a flow.
pub fn accept(agent: &mut Agent, now: Duration, port: u16) {
    let event = Event::Server {
        segment: from_server(port, Kind::Accept, 0),
        packet: packet(),
    };
    handle(agent, now, event);
}

pub fn delivers(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Deliver(_)))
}

pub fn passed(actions: &[Action]) -> Option<&Open> {
    actions.iter().find_map(|action| match action {
        Action::Send {
            transit: Transit::Open(open),
            ..
        } => Some(open),
        _ => None,
    })
}

/// Fills both slots.
pub fn fill(agent: &mut Agent, now: Duration) {
    for port in [1, 2] {
        assert!(delivers(&open_at(agent, now, port, open(&[OWN]))));
    }
}

/// Address of the agent that searches.
pub fn asker() -> SocketAddr {
    hop(7).address
}

pub fn seek_on(agent: &mut Agent, now: Duration, port: u16, terms: Terms) -> Vec<Action> {
    let seek = Seek {
        target: OWN,
        entry: entry(),
        asker: asker(),
        terms,
        packet: packet(),
    };
    let segment = from_caller(port, Kind::Data, 100);
    handle(agent, now, Event::Seek { seek, segment })
}

pub fn seek(agent: &mut Agent, now: Duration, port: u16) -> Vec<Action> {
    let terms = Terms {
        may_try: true,
        max_age_ms: 0,
    };
    seek_on(agent, now, port, terms)
}
