//! The agent's side: searches for the holder of a flow.
mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::agent::*;
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
use wire::transit::Absent;
use wire::transit::Search;
use wire::transit::Terms;

/// An agent asks for a flow, for an entry that started together with the
/// backend servers.
fn ask(agent: &mut Agent, now: Duration, below: Duration) -> Vec<Action> {
    let terms = Terms {
        may_try: false,
        max_age_ms: u32::try_from(below.as_millis()).unwrap(),
    };
    look_up_with_terms(agent, now, 9, terms)
}

fn denies(actions: &[Action]) -> bool {
    actions.iter().any(|action| {
        matches!(action, Action::Send { to, transit: Transit::Absent(absent) }
            if absent.age_ms.is_some() && absent.packet.is_empty() && *to == searcher_address())
    })
}

/// An agent beside a backend server that told its first announcement.
fn anew() -> Agent {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    let first = announcement(OWN, 1, 1, State::Ready);
    handle(&mut agent, ms(0), Event::Backend(first));
    agent
}

#[test]
fn server_that_started_with_the_entry_denies_an_unknown_flow() {
    let mut agent = anew();
    assert!(denies(&ask(&mut agent, ms(1_000), ms(4_000))));
}

#[test]
fn server_older_than_the_entry_sends_no_denial() {
    let mut agent = anew();
    assert_eq!(ask(&mut agent, ms(9_000), ms(4_000)), []);
}

#[test]
fn server_that_may_hold_a_flow_sends_no_denial() {
    let mut agent = ready_agent(true);
    assert_eq!(ask(&mut agent, ms(1), ms(60_000)), []);
}

/// A process that lived through the start of its backend server knows all of
/// its flows.
#[test]
fn restarted_server_denies_the_flows_of_its_predecessor() {
    let mut agent = ready_agent(true);
    let next = announcement(OWN, 2, 1, State::Ready);
    handle(&mut agent, ms(5_000), Event::Backend(next));
    assert!(denies(&ask(&mut agent, ms(5_100), ms(4_000))));
}

#[test]
fn lookup_of_a_flow_of_a_terminated_server_resets_it() {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(2), 9);
    handle(&mut agent, ms(3), Event::Gone);
    let actions = ask(&mut agent, ms(4), ms(0));
    assert!(matches!(actions[..], [Action::Reset { .. }]), "{actions:?}");
}

/// An entry asks this agent to search among `known` agents.
fn search(agent: &mut Agent, now: Duration, known: u16, below: Duration) -> Vec<Action> {
    let search = Search {
        target: OWN,
        entry: entry_address(),
        terms: Terms {
            may_try: true,
            max_age_ms: u32::try_from(below.as_millis()).unwrap(),
        },
        known,
        packet: packet(),
    };
    let segment = caller_segment(9, Kind::Data, 100);
    handle(agent, now, Event::Search { search, segment })
}

fn introduce(agent: &mut Agent, others: &[TargetId], has_silent: bool) {
    let hops = others.iter().copied().map(hop).collect();
    let others = Peers {
        hops: Arc::new(hops),
        has_silent,
    };
    handle(agent, ms(0), Event::Peers(others));
}

/// Another agent says that it does not hold the flow.
fn denied_by(agent: &mut Agent, now: Duration, target: TargetId, age_ms: u32) -> Vec<Action> {
    let absent = Absent {
        flow: caller_segment(9, Kind::Data, 0).from_caller(),
        target,
        acknowledged: 1,
        age_ms: Some(age_ms),
        start: Some(1),
        packet: bytes::Bytes::new(),
    };
    handle(agent, now, Event::Denied(absent))
}

/// The agents that are asked, and whether they may try.
fn asked(actions: &[Action]) -> Vec<(TargetId, bool)> {
    let asked = actions.iter().filter_map(|action| match action {
        Action::Send {
            transit: Transit::Seek(seek),
            ..
        } => Some((seek.target, seek.terms.may_try)),
        _ => None,
    });
    asked.collect()
}

fn says_nobody(actions: &[Action]) -> bool {
    actions.iter().any(|action| {
        matches!(action, Action::Send { to, transit: Transit::Unheld(_) } if *to == entry_address())
    })
}

const YOUNG: Duration = Duration::from_secs(4);

#[test]
fn search_asks_all_others_and_reports_once_all_deny() {
    let mut agent = anew();
    introduce(&mut agent, &[2, 3], false);
    let actions = search(&mut agent, ms(100), 3, YOUNG);
    assert_eq!(asked(&actions), [(2, true), (3, true)]);
    assert!(!says_nobody(&denied_by(&mut agent, ms(101), 2, 500)));
    assert!(says_nobody(&denied_by(&mut agent, ms(102), 3, 500)));
}

#[test]
fn search_reports_nothing_while_an_agent_may_be_unreachable() {
    let mut agent = anew();
    introduce(&mut agent, &[2], true);
    search(&mut agent, ms(100), 2, YOUNG);
    assert!(!says_nobody(&denied_by(&mut agent, ms(101), 2, 500)));
}

#[test]
fn search_reports_nothing_if_a_server_is_older_than_the_entry() {
    let mut agent = anew();
    introduce(&mut agent, &[2], false);
    search(&mut agent, ms(100), 2, YOUNG);
    assert!(!says_nobody(&denied_by(&mut agent, ms(101), 2, 60_000)));
}

/// The one that is not known here may hold the flow.
#[test]
fn search_among_fewer_agents_than_the_entry_knows_allows_no_probes_and_reports_nothing() {
    let mut agent = anew();
    introduce(&mut agent, &[2], false);
    let actions = search(&mut agent, ms(100), 3, YOUNG);
    assert_eq!(asked(&actions), [(2, false)]);
    assert!(!says_nobody(&denied_by(&mut agent, ms(101), 2, 500)));
}

/// Its own backend server must say so too, which is tried here.
#[test]
fn search_waits_for_a_probe_of_its_own_server() {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    let second = announcement(OWN, 1, 2, State::Ready);
    handle(&mut agent, ms(0), Event::Backend(second));
    introduce(&mut agent, &[2], false);
    assert!(delivers(&search(&mut agent, ms(100), 2, YOUNG)));
    assert!(!says_nobody(&denied_by(&mut agent, ms(101), 2, 500)));
    let event = Event::Server {
        segment: returned_segment(9, Kind::Data),
        packet: packet(),
    };
    assert!(says_nobody(&handle(&mut agent, ms(102), event)));
}

#[test]
fn searching_agent_that_holds_the_flow_delivers_it() {
    let mut agent = ready_agent(false);
    introduce(&mut agent, &[2], false);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(2), 9);
    let actions = search(&mut agent, ms(100), 2, YOUNG);
    assert!(delivers(&actions));
    assert_eq!(asked(&actions), []);
}
