//! The agent's side: which flows it takes, and where packets go.
mod common;

use common::agent::*;
use common::*;
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
fn a_free_slot_takes_a_flow_and_says_so() {
    let mut agent = ready(false);
    let actions = open_at(&mut agent, ms(1), 9, open(&[OWN, 2]));
    assert!(delivers(&actions));
    let told = actions.iter().any(|action| {
        matches!(action, Action::Send { to, transit: Transit::Held(held) }
            if *to == entry() && held.holder == hop(OWN))
    });
    assert!(told, "{actions:?}");
}

#[test]
fn a_busy_agent_passes_a_flow_on_with_its_bid() {
    let mut agent = ready(false);
    fill(&mut agent, ms(1));
    let actions = open_at(&mut agent, ms(1), 9, open(&[OWN, 2]));
    let open = passed(&actions).unwrap();
    assert_eq!((open.position, open.bids.len()), (1, 1));
}

/// The agent had passed the flow on; it comes back since no other bid less.
#[test]
fn a_settled_flow_is_taken_by_an_agent_that_passed_it_before() {
    let mut agent = ready(false);
    fill(&mut agent, ms(1));
    let first = open_at(&mut agent, ms(1), 9, open(&[OWN, 2]));
    let settled = Open {
        position: 0,
        bids: vec![20, 40],
        is_settled: true,
        ..passed(&first).unwrap().clone()
    };
    let actions = open_at(&mut agent, ms(3), 9, settled);
    assert!(delivers(&actions), "{actions:?}");
}

/// An entry may still know the backend server that was at the address before.
#[test]
fn an_opening_packet_for_another_server_is_not_delivered() {
    let mut agent = ready(false);
    let actions = open_at(&mut agent, ms(1), 9, open(&[5, 2]));
    assert!(!delivers(&actions), "{actions:?}");
    assert_eq!(passed(&actions).unwrap().path[1], hop(2));
    let alone = open_at(&mut agent, ms(2), 10, open(&[5]));
    assert!(!delivers(&alone), "{alone:?}");
}

#[test]
fn a_copy_follows_the_flow_that_was_passed_on() {
    let mut agent = ready(false);
    fill(&mut agent, ms(1));
    open_at(&mut agent, ms(1), 9, open(&[OWN, 2]));
    let actions = open_at(&mut agent, ms(200), 9, open(&[OWN]));
    assert_eq!(passed(&actions).unwrap().path[1], hop(2));
}

/// The word of the agent that took it may have been lost.
#[test]
fn an_entry_that_follows_a_flow_which_was_passed_on_learns_where_it_went() {
    let mut agent = ready(false);
    fill(&mut agent, ms(1));
    open_at(&mut agent, ms(1), 9, open(&[OWN, 2]));
    let event = Event::Carry {
        carry: carry(OWN),
        segment: from_caller(9, Kind::Data, 100),
    };
    let actions = handle(&mut agent, ms(20), event);
    let followed = actions.iter().any(|action| {
        matches!(action, Action::Send { to, transit: Transit::Carry(carry) }
            if *to == hop(2).address && carry.target == 2)
    });
    let told = actions.iter().any(|action| {
        matches!(action, Action::Send { to, transit: Transit::Held(held) }
            if *to == entry() && held.holder == hop(2))
    });
    assert!(followed && told, "{actions:?}");
}

#[test]
fn nobody_with_a_slot_in_time_refuses_at_once() {
    let mut agent = ready(false);
    fill(&mut agent, ms(1));
    let hasty = Open {
        patience_ms: 1,
        ..open(&[OWN])
    };
    let actions = open_at(&mut agent, ms(1), 9, hasty);
    assert!(matches!(actions[..], [Action::Reset { .. }]), "{actions:?}");
}

#[test]
fn a_flow_that_is_not_accepted_goes_to_the_next_agent() {
    let mut agent = ready(false);
    open_at(&mut agent, ms(1), 9, open(&[OWN, 2]));
    let event = Event::Server {
        segment: returned(9, Kind::Open),
        packet: packet(),
    };
    let actions = handle(&mut agent, ms(2), event);
    assert_eq!(passed(&actions).unwrap().position, 1);
}

#[test]
fn a_draining_server_gets_no_flows_and_keeps_those_it_has() {
    let mut agent = ready(false);
    open_at(&mut agent, ms(1), 9, open(&[OWN, 2]));
    accept(&mut agent, ms(1), 9);
    let draining = backend(OWN, 1, 6, State::Draining);
    handle(&mut agent, ms(2), Event::Backend(draining));
    let opened = open_at(&mut agent, ms(3), 10, open(&[OWN, 2]));
    assert!(passed(&opened).is_some());
    let event = Event::Carry {
        carry: carry(OWN),
        segment: from_caller(9, Kind::Data, 100),
    };
    assert!(delivers(&handle(&mut agent, ms(3), event)));
}

#[test]
fn a_silent_server_gets_no_flows() {
    let mut agent = ready(false);
    let late = Settings::default().silence + ms(1);
    let actions = open_at(&mut agent, late, 9, open(&[OWN, 2]));
    assert!(passed(&actions).is_some());
}

#[test]
fn an_older_announcement_changes_nothing() {
    let mut agent = ready(false);
    handle(
        &mut agent,
        ms(1),
        Event::Backend(backend(OWN, 2, 1, State::Ready)),
    );
    handle(
        &mut agent,
        ms(2),
        Event::Backend(backend(OWN, 1, 9, State::Draining)),
    );
    assert_eq!(agent.closed(ms(3)), None);
}

#[test]
fn flows_of_a_server_that_ended_are_reset() {
    let mut agent = ready(false);
    open_at(&mut agent, ms(1), 9, open(&[OWN]));
    handle(
        &mut agent,
        ms(2),
        Event::Backend(backend(OWN, 2, 1, State::Ready)),
    );
    let event = Event::Carry {
        carry: carry(OWN),
        segment: from_caller(9, Kind::Data, 100),
    };
    let actions = handle(&mut agent, ms(3), event);
    assert!(matches!(actions[..], [Action::Reset { .. }]), "{actions:?}");
}

fn is_absent(actions: &[Action]) -> bool {
    actions.iter().any(|action| {
        matches!(
            action,
            Action::Send {
                transit: Transit::Absent(_),
                ..
            }
        )
    })
}

#[test]
fn an_agent_with_a_past_tries_an_unknown_flow_once() {
    let mut agent = ready(true);
    assert!(delivers(&seek(&mut agent, ms(1), 9)));
    let event = Event::Server {
        segment: returned(9, Kind::Data),
        packet: packet(),
    };
    handle(&mut agent, ms(2), event);
    let again = seek(&mut agent, ms(300), 9);
    assert_eq!(again, []);
}

#[test]
fn an_agent_without_a_past_tries_none() {
    let mut agent = ready(false);
    assert_eq!(seek(&mut agent, ms(1), 9), []);
}

#[test]
fn an_unknown_flow_that_its_server_answers_is_held() {
    let mut agent = ready(true);
    seek(&mut agent, ms(1), 9);
    let event = Event::Server {
        segment: from_server(9, Kind::Data, 50),
        packet: packet(),
    };
    let actions = handle(&mut agent, ms(2), event);
    let told = |action: &Action| {
        matches!(
            action,
            Action::Send {
                transit: Transit::Held(_),
                ..
            }
        )
    };
    assert!(actions.iter().any(told), "{actions:?}");
}

/// A frame for another backend server at this address.
#[test]
fn a_packet_for_another_server_is_not_delivered() {
    let mut agent = ready(true);
    let event = Event::Carry {
        carry: carry(7),
        segment: from_caller(9, Kind::Data, 100),
    };
    let actions = handle(&mut agent, ms(1), event);
    assert!(is_absent(&actions) && !delivers(&actions), "{actions:?}");
}

/// A caller that has given up says nothing; its request counts no longer.
#[test]
fn a_request_without_an_answer_frees_its_slot_after_the_timeout() {
    let mut agent = ready(false);
    open_at(&mut agent, ms(1), 9, open(&[OWN]));
    accept(&mut agent, ms(1), 9);
    let event = Event::Carry {
        carry: carry(OWN),
        segment: from_caller(9, Kind::Data, 100),
    };
    handle(&mut agent, ms(5), event);
    handle(&mut agent, ms(900), Event::Tick);
    assert!(agent.is_busy());
    handle(&mut agent, ms(1_200), Event::Tick);
    assert!(!agent.is_busy());
}

/// Its backend server may not have started yet, so that silence means nothing.
#[test]
fn a_try_without_any_reaction_does_not_make_a_holder() {
    let mut agent = ready(true);
    seek(&mut agent, ms(1), 9);
    let mut actions = Vec::new();
    for time in (100..3_000).step_by(100) {
        actions.extend(handle(&mut agent, ms(time), Event::Tick));
    }
    assert_eq!(actions, []);
    assert!(agent.is_empty());
}

/// The flow opened elsewhere; a backend server that saw its opening packet may
/// answer a later one with a reset.
#[test]
fn a_flow_that_was_passed_on_is_not_tried_here() {
    let mut agent = ready(true);
    open_at(&mut agent, ms(1), 9, open(&[OWN, 2]));
    let event = Event::Server {
        segment: returned(9, Kind::Open),
        packet: packet(),
    };
    assert!(passed(&handle(&mut agent, ms(2), event)).is_some());
    assert!(!delivers(&seek(&mut agent, ms(20), 9)));
}

/// Three packets at a server that does not hold the flow would break it.
#[test]
fn an_unknown_flow_is_tried_twice_at_most() {
    let mut agent = ready(true);
    let tries = (0..50).filter(|number| delivers(&seek(&mut agent, ms(1 + 500 * number), 9)));
    assert_eq!(tries.count(), 2);
}

/// Several new servers would each get a packet while the holder gets none.
#[test]
fn an_entry_that_may_not_know_all_agents_causes_no_tries() {
    let mut agent = ready(true);
    assert_eq!(seek_on(&mut agent, ms(1), 9, Terms::default()), []);
}

#[test]
fn an_agent_that_hears_the_first_announcement_knows_all_flows() {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    handle(
        &mut agent,
        ms(0),
        Event::Backend(backend(OWN, 1, 1, State::Ready)),
    );
    assert_eq!(seek(&mut agent, ms(1), 9), []);
}

/// The caller repeats what its server has answered before this process started.
#[test]
fn a_request_of_an_unknown_past_frees_its_slot_soon() {
    let mut agent = ready(true);
    let sent = Event::Server {
        segment: from_server(9, Kind::Data, 0),
        packet: packet(),
    };
    handle(&mut agent, ms(1), sent);
    let event = Event::Carry {
        carry: carry(OWN),
        segment: from_caller(9, Kind::Data, 100),
    };
    handle(&mut agent, ms(2), event);
    handle(&mut agent, ms(700), Event::Tick);
    assert!(!agent.is_busy());
}

#[test]
fn a_repeated_packet_is_no_new_request() {
    let mut agent = ready(false);
    open_at(&mut agent, ms(1), 9, open(&[OWN]));
    accept(&mut agent, ms(1), 9);
    let request = || Event::Carry {
        carry: carry(OWN),
        segment: from_caller(9, Kind::Data, 100),
    };
    handle(&mut agent, ms(2), request());
    let answer = Event::Server {
        segment: from_server(9, Kind::Data, 50),
        packet: packet(),
    };
    handle(&mut agent, ms(20), answer);
    assert!(!agent.is_busy());
    handle(&mut agent, ms(200), request());
    assert!(!agent.is_busy());
}

/// A backend server that lives beside a killed process serves on at once.
#[test]
fn a_server_that_may_have_lived_before_is_taken_to_be_ready_for_a_while() {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    assert!(delivers(&open_at(&mut agent, ms(1), 9, open(&[OWN]))));
    let late = Settings::default().assumed;
    assert_eq!(agent.closed(late), Some(Closed::Unknown));
}

#[test]
fn a_server_that_does_not_react_is_not_taken_to_be_ready() {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    open_at(&mut agent, ms(1), 9, open(&[OWN]));
    let mute = ms(1) + Settings::default().reaction_timeout;
    assert_eq!(agent.closed(mute), Some(Closed::Mute));
}

#[test]
fn a_server_of_the_first_start_is_waited_for() {
    let agent = Agent::new(Settings::default(), hop(OWN), false, ms(0));
    assert_eq!(agent.closed(ms(1)), Some(Closed::Unknown));
}

/// The caller's packet with this acknowledgement, once the server has accepted
/// the flow at position 5,000.
fn first_packet(acknowledged: u32) -> Vec<Action> {
    let mut agent = ready(true);
    open_at(&mut agent, ms(1), 9, open(&[OWN]));
    let accept = Event::Server {
        segment: wire::Segment {
            sequence: 5_000,
            ..from_server(9, Kind::Accept, 0)
        },
        packet: packet(),
    };
    handle(&mut agent, ms(2), accept);
    let event = Event::Carry {
        carry: carry(OWN),
        segment: wire::Segment {
            acknowledged,
            ..from_caller(9, Kind::Data, 0)
        },
    };
    let mut actions = handle(&mut agent, ms(10), event);
    actions.extend(seek(&mut agent, ms(11), 9));
    actions
}

#[test]
fn a_packet_that_answers_this_server_opens_the_flow() {
    assert!(delivers(&first_packet(5_001)));
}

/// A copy of the opening packet came here after another server had taken it.
#[test]
fn a_packet_that_answers_another_server_is_not_delivered() {
    let actions = first_packet(900_000_000);
    assert!(is_absent(&actions) && !delivers(&actions), "{actions:?}");
}

/// Its flow may have opened at another server by an earlier copy.
#[test]
fn a_copy_that_no_server_can_take_is_not_reset() {
    let mut agent = ready(false);
    fill(&mut agent, ms(1));
    let segment = wire::Segment {
        acknowledged: 1,
        ..from_caller(9, Kind::Open, 0)
    };
    let open = Open {
        patience_ms: 1,
        ..open(&[OWN])
    };
    let actions = handle(&mut agent, ms(1), Event::Open { open, segment });
    assert!(!resets(&actions), "{actions:?}");
}

#[test]
fn a_flow_that_is_handed_back_late_is_not_reset() {
    let mut agent = ready(false);
    open_at(&mut agent, ms(1), 9, open(&[OWN]));
    let event = Event::Server {
        segment: returned(9, Kind::Open),
        packet: packet(),
    };
    let actions = handle(&mut agent, ms(300), event);
    assert!(!resets(&actions), "{actions:?}");
}

#[test]
fn a_flow_that_is_handed_back_at_once_is_reset() {
    let mut agent = ready(false);
    open_at(&mut agent, ms(1), 9, open(&[OWN]));
    let event = Event::Server {
        segment: returned(9, Kind::Open),
        packet: packet(),
    };
    assert!(resets(&handle(&mut agent, ms(3), event)));
}

fn resets(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reset { .. }))
}
