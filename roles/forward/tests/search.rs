//! Tests an agent's search for the holder of a flow.
mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::agent::*;
use fixtures::*;
use forward::Agent;
use forward::agent::Action;
use forward::agent::Announcement;
use forward::agent::Event;
use forward::agent::Peers;
use forward::agent::Settings;
use forward::agent::State;
use wire::TargetId;
use wire::Transit;
use wire::segment::Kind;
use wire::transit::NotHeld;
use wire::transit::Search;
use wire::transit::Terms;

/// Another agent looks up a flow for an entry that started together with the
/// backend servers.
fn look_up_with_max_age(agent: &mut Agent, now: Duration, max_age: Duration) -> Vec<Action> {
    let terms = Terms {
        may_probe: false,
        max_age_ms: u32::try_from(max_age.as_millis()).unwrap(),
    };
    look_up_with_terms(agent, now, 9, terms)
}

fn sends_denial(actions: &[Action]) -> bool {
    actions.iter().any(|action| {
        matches!(action, Action::Send { to, transit: Transit::NotHeld(denial) }
            if denial.age_ms.is_some() && denial.packet.is_empty() && *to == searcher_address())
    })
}

/// Returns an agent that started before its backend server.
fn agent_since_first_announcement() -> Agent {
    agent_since_server_start(ms(0), announcement(OWN, 1, 1, State::Ready))
}

#[test]
fn server_that_started_with_the_entry_denies_an_unknown_flow() {
    let mut agent = agent_since_first_announcement();
    assert!(sends_denial(&look_up_with_max_age(
        &mut agent,
        ms(1_000),
        ms(4_000)
    )));
}

#[test]
fn server_older_than_the_entry_sends_no_denial() {
    let mut agent = agent_since_first_announcement();
    assert_eq!(look_up_with_max_age(&mut agent, ms(9_000), ms(4_000)), []);
}

#[test]
fn server_that_may_hold_a_flow_sends_no_denial() {
    let mut agent = ready_agent(true);
    assert_eq!(look_up_with_max_age(&mut agent, ms(1), ms(60_000)), []);
}

/// An agent that saw the start of its backend server knows all flows of the
/// server.
#[test]
fn restarted_server_denies_the_flows_of_its_predecessor() {
    let mut agent = ready_agent(true);
    let next = announcement(OWN, 2, 1, State::Ready);
    handle(&mut agent, ms(5_000), Event::Announcement(next));
    assert!(sends_denial(&look_up_with_max_age(
        &mut agent,
        ms(5_100),
        ms(4_000)
    )));
}

#[test]
fn lookup_of_a_flow_of_a_terminated_server_resets_it() {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(2), 9);
    handle(&mut agent, ms(3), Event::ServerEnded);
    let actions = look_up_with_max_age(&mut agent, ms(4), ms(0));
    assert!(matches!(actions[..], [Action::Reset { .. }]), "{actions:?}");
}

/// An entry that knows `known` agents asks this agent to search.
fn send_search(agent: &mut Agent, now: Duration, known: u16, max_age: Duration) -> Vec<Action> {
    let search = Search {
        target: OWN,
        entry: entry_address(),
        terms: Terms {
            may_probe: true,
            max_age_ms: u32::try_from(max_age.as_millis()).unwrap(),
        },
        known_agents: known,
        packet: packet(),
    };
    let segment = caller_segment(9, Kind::Data, 100);
    handle(agent, now, Event::Search { search, segment })
}

fn set_peers(agent: &mut Agent, others: &[TargetId], has_down_agent: bool) {
    let hops = others.iter().copied().map(hop).collect();
    let others = Peers {
        hops: Arc::new(hops),
        has_down_agent,
    };
    handle(agent, ms(0), Event::Peers(others));
}

/// Another agent reports that it does not hold the flow.
fn receive_denial(agent: &mut Agent, now: Duration, target: TargetId, age_ms: u32) -> Vec<Action> {
    let denial = NotHeld {
        flow: caller_segment(9, Kind::Data, 0).flow_from_caller(),
        target,
        acknowledged: 1,
        age_ms: Some(age_ms),
        start: Some(1),
        packet: bytes::Bytes::new(),
    };
    handle(agent, now, Event::PeerDenied(denial))
}

/// Returns the agents that are asked, and whether they may probe.
fn asked_agents(actions: &[Action]) -> Vec<(TargetId, bool)> {
    let asked = actions.iter().filter_map(|action| match action {
        Action::Send {
            transit: Transit::Lookup(lookup),
            ..
        } => Some((lookup.target, lookup.terms.may_probe)),
        _ => None,
    });
    asked.collect()
}

fn reports_holder_absent(actions: &[Action]) -> bool {
    actions.iter().any(|action| {
        matches!(action, Action::Send { to, transit: Transit::HolderAbsent(_) } if *to == entry_address())
    })
}

const MAX_AGE: Duration = Duration::from_secs(4);

#[test]
fn search_asks_all_others_and_reports_once_all_deny() {
    let mut agent = agent_since_first_announcement();
    set_peers(&mut agent, &[2, 3], false);
    let actions = send_search(&mut agent, ms(100), 3, MAX_AGE);
    assert_eq!(asked_agents(&actions), [(2, true), (3, true)]);
    assert!(!reports_holder_absent(&receive_denial(
        &mut agent,
        ms(101),
        2,
        500
    )));
    assert!(reports_holder_absent(&receive_denial(
        &mut agent,
        ms(102),
        3,
        500
    )));
}

#[test]
fn search_reports_nothing_while_an_agent_may_be_unreachable() {
    let mut agent = agent_since_first_announcement();
    set_peers(&mut agent, &[2], true);
    send_search(&mut agent, ms(100), 2, MAX_AGE);
    assert!(!reports_holder_absent(&receive_denial(
        &mut agent,
        ms(101),
        2,
        500
    )));
}

#[test]
fn search_reports_nothing_if_a_server_is_older_than_the_entry() {
    let mut agent = agent_since_first_announcement();
    set_peers(&mut agent, &[2], false);
    send_search(&mut agent, ms(100), 2, MAX_AGE);
    assert!(!reports_holder_absent(&receive_denial(
        &mut agent,
        ms(101),
        2,
        60_000
    )));
}

/// The agent that is not known here may hold the flow.
#[test]
fn search_among_fewer_agents_than_the_entry_knows_allows_no_probes_and_reports_nothing() {
    let mut agent = agent_since_first_announcement();
    set_peers(&mut agent, &[2], false);
    let actions = send_search(&mut agent, ms(100), 3, MAX_AGE);
    assert_eq!(asked_agents(&actions), [(2, false)]);
    assert!(!reports_holder_absent(&receive_denial(
        &mut agent,
        ms(101),
        2,
        500
    )));
}

/// The agent's own backend server must deny the flow too, which only a probe
/// shows.
#[test]
fn search_waits_for_a_probe_of_its_own_server() {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    let second = Announcement {
        age: Some(ms(300)),
        ..announcement(OWN, 1, 2, State::Ready)
    };
    handle(&mut agent, ms(0), Event::Announcement(second));
    set_peers(&mut agent, &[2], false);
    assert!(delivers(&send_search(&mut agent, ms(100), 2, MAX_AGE)));
    assert!(!reports_holder_absent(&receive_denial(
        &mut agent,
        ms(101),
        2,
        500
    )));
    let event = Event::ServerPacket {
        segment: returned_segment(9, Kind::Data),
        packet: packet(),
    };
    assert!(reports_holder_absent(&handle(&mut agent, ms(102), event)));
}

#[test]
fn searching_agent_that_holds_the_flow_delivers_it() {
    let mut agent = ready_agent(false);
    set_peers(&mut agent, &[2], false);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(2), 9);
    let actions = send_search(&mut agent, ms(100), 2, MAX_AGE);
    assert!(delivers(&actions));
    assert_eq!(asked_agents(&actions), []);
}

/// The server has been running for up to a second longer than this agent, which was
/// therefore restarted by itself, and so may others be that the entry does not know.
#[test]
fn search_reports_nothing_if_its_own_server_ran_well_before_the_agent() {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    let second = announcement(OWN, 1, 2, State::Ready);
    handle(&mut agent, ms(0), Event::Announcement(second));
    set_peers(&mut agent, &[2], false);
    assert!(delivers(&send_search(&mut agent, ms(100), 2, MAX_AGE)));
    receive_denial(&mut agent, ms(101), 2, 500);
    let event = Event::ServerPacket {
        segment: returned_segment(9, Kind::Data),
        packet: packet(),
    };
    assert!(!reports_holder_absent(&handle(&mut agent, ms(102), event)));
}

/// A server whose first calls fail repeats them at once, so that it makes its third
/// announcement within a second of its start. Its denials did not count, and callers
/// of flows that had ended waited for their deadlines.
#[test]
fn denial_of_a_young_server_counts_whatever_its_announcement_number() {
    for (age, counts) in [
        (Some(ms(500)), true),
        (None, false),
        (Some(ms(60_000)), false),
    ] {
        let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
        let event = Event::Announcement(Announcement {
            age,
            ..announcement(OWN, 1, 4, State::Ready)
        });
        handle(&mut agent, ms(100), event);
        let terms = Terms {
            may_probe: true,
            max_age_ms: 1_500,
        };
        look_up_with_terms(&mut agent, ms(200), 9, terms);
        let event = Event::ServerPacket {
            segment: returned_segment(9, Kind::Data),
            packet: packet(),
        };
        let actions = handle(&mut agent, ms(201), event);
        let age_ms = actions.iter().find_map(|action| match action {
            Action::Send {
                transit: Transit::NotHeld(denial),
                ..
            } => denial.age_ms,
            _ => None,
        });
        let is_young = age_ms.is_some_and(|age| age <= terms.max_age_ms);
        assert_eq!(is_young, counts, "{age:?}: {age_ms:?}");
    }
}
