//! The entry's side: which agent gets which packet.
mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::*;
use forward::Entry;
use forward::Routes;
use forward::entry::Action;
use forward::entry::Drop;
use forward::entry::Event;
use forward::entry::Refusal;
use forward::entry::Settings;
use forward::routes::Share;
use forward::routes::Table;
use wire::FlowId;
use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;
use wire::Transit;
use wire::ZoneId;
use wire::segment::Kind;
use wire::target::State;
use wire::transit;
use wire::transit::Load;
use wire::transit::Terms;

const HERE: ZoneId = 1;
const THERE: ZoneId = 2;

/// The start of the backend servers that hold flows.
const STARTED: u64 = 7;

/// Time by which the agents are taken to be known.
fn later() -> Duration {
    let settings = Settings::default();
    settings.min_discovery.max(settings.discovery_quiet)
}

fn entry_with(targets: Vec<Target>) -> Entry {
    let mut core = Entry::new(Settings::default(), entry_address(), HERE, 1, ms(0));
    handle(&mut core, ms(0), Event::Routes(routes(targets)));
    core
}

fn two_zones() -> Vec<Target> {
    vec![
        target(1, HERE, State::Ready),
        target(2, HERE, State::Ready),
        target(3, THERE, State::Ready),
    ]
}

fn handle(core: &mut Entry, now: Duration, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    core.handle(now, event, &mut actions);
    actions
}

fn send(core: &mut Entry, now: Duration, kind: Kind) -> Vec<Action> {
    let segment = caller_segment(9, kind, 0);
    let packet = packet();
    handle(core, now, Event::Packet { segment, packet })
}

fn copy(core: &mut Entry, now: Duration) -> Vec<Action> {
    let segment = wire::Segment {
        acknowledged: 1,
        ..caller_segment(9, Kind::Open, 0)
    };
    let packet = packet();
    handle(core, now, Event::Packet { segment, packet })
}

fn flow() -> FlowId {
    caller_segment(9, Kind::Data, 0).from_caller()
}

fn held(core: &mut Entry, now: Duration, target: TargetId) -> Vec<Action> {
    let held = transit::Held {
        flow: flow(),
        holder: hop(target),
        start: Some(STARTED),
        load: Some(Load::default()),
    };
    handle(core, now, Event::Held(held))
}

/// The backend servers whose agents get a frame, by its kind.
fn sent(actions: &[Action], is_kind: impl Fn(&Transit) -> bool) -> Vec<TargetId> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { to, transit } if is_kind(transit) => Some(*to),
        _ => None,
    });
    let mut targets: Vec<TargetId> = sent
        .filter_map(|to| (1..=9).find(|id| hop(*id).address == to))
        .collect();
    targets.sort_unstable();
    targets
}

fn opened(actions: &[Action]) -> Vec<TargetId> {
    sent(actions, |transit| matches!(transit, Transit::Open(_)))
}

fn carried(actions: &[Action]) -> Vec<TargetId> {
    sent(actions, |transit| matches!(transit, Transit::Carry(_)))
}

/// The agents that are asked to search.
fn sought(actions: &[Action]) -> Vec<TargetId> {
    sent(actions, |transit| matches!(transit, Transit::Search(_)))
}

/// The terms of a search.
fn terms(actions: &[Action]) -> Option<Terms> {
    actions.iter().find_map(|action| match action {
        Action::Send {
            transit: Transit::Search(search),
            ..
        } => Some(search.terms),
        _ => None,
    })
}

#[test]
fn flow_is_opened_in_the_local_zone_and_stays_with_its_holder() {
    let mut core = entry_with(two_zones());
    let first = opened(&send(&mut core, ms(1), Kind::Open));
    assert!(first == [1] || first == [2], "{first:?}");
    held(&mut core, ms(2), 3);
    assert_eq!(carried(&send(&mut core, ms(3), Kind::Data)), [3]);
}

#[test]
fn packet_before_the_answer_follows_the_opening_packet() {
    let mut core = entry_with(two_zones());
    let first = opened(&send(&mut core, ms(1), Kind::Open));
    assert_eq!(carried(&send(&mut core, ms(2), Kind::Data)), first);
}

#[test]
fn retransmitted_opening_packet_goes_to_the_holder() {
    let mut core = entry_with(two_zones());
    send(&mut core, ms(1), Kind::Open);
    held(&mut core, ms(2), 3);
    assert_eq!(carried(&copy(&mut core, ms(200))), [3]);
}

#[test]
fn retransmitted_opening_packet_avoids_an_unresponsive_agent() {
    let mut core = entry_with(two_zones());
    let first = opened(&send(&mut core, ms(1), Kind::Open));
    let second = opened(&copy(&mut core, ms(201)));
    assert_ne!(first, second);
}

#[test]
fn draining_servers_get_no_new_flows() {
    let targets = vec![
        target(1, HERE, State::Draining),
        target(2, THERE, State::Ready),
    ];
    let mut core = entry_with(targets);
    assert_eq!(opened(&send(&mut core, ms(1), Kind::Open)), [2]);
}

#[test]
fn flow_without_a_ready_server_is_reset_at_once() {
    let mut core = entry_with(vec![target(1, HERE, State::Draining)]);
    let actions = send(&mut core, ms(1), Kind::Open);
    let refused = matches!(
        actions[..],
        [Action::Reset {
            reason: Refusal::NoServer,
            ..
        }]
    );
    assert!(refused, "{actions:?}");
}

/// A young entry that knows no server yet leaves the caller to repeat.
#[test]
fn starting_entry_without_servers_drops_opening_packets() {
    let mut core = entry_with(Vec::new());
    let actions = send(&mut core, ms(1), Kind::Open);
    assert_eq!(actions, [Action::Dropped(Drop::Young)]);
}

#[test]
fn address_without_a_route_is_reset_only_if_the_configuration_is_confirmed() {
    let mut core = Entry::new(Settings::default(), entry_address(), HERE, 1, ms(0));
    let actions = send(&mut core, ms(1), Kind::Open);
    assert_eq!(actions, [Action::Dropped(Drop::Unconfirmed)]);
    let empty = Routes {
        is_confirmed: true,
        ..Routes::default()
    };
    handle(&mut core, ms(2), Event::Routes(Arc::new(empty)));
    let actions = send(&mut core, ms(3), Kind::Open);
    assert!(matches!(actions[..], [Action::Reset { .. }]), "{actions:?}");
}

/// A weak entry sends one frame for a search, and each time to another agent.
#[test]
fn search_asks_one_agent_after_the_other() {
    let mut core = entry_with(two_zones());
    let mut asked = sought(&send(&mut core, later(), Kind::Data));
    assert_eq!(asked.len(), 1);
    for round in 1..=2 {
        let next = later() + Settings::default().agent_timeout * round;
        let more = sought(&handle(&mut core, next, Event::Tick));
        assert_eq!(more.len(), 1, "round {round}");
        asked.extend(more);
    }
    assert_eq!(asked[2], 3, "the own zone comes first");
    asked.sort_unstable();
    assert_eq!(asked, [1, 2, 3]);
}

#[test]
fn packets_are_queued_during_a_search() {
    let mut core = entry_with(two_zones());
    send(&mut core, later(), Kind::Data);
    assert_eq!(send(&mut core, later(), Kind::Data), []);
    assert_eq!(carried(&held(&mut core, later() + ms(5), 2)), [2]);
    assert_eq!(carried(&send(&mut core, later() + ms(6), Kind::Data)), [2]);
}

#[test]
fn search_without_a_holder_drops_packets_without_a_reset() {
    let mut core = entry_with(two_zones());
    send(&mut core, later(), Kind::Data);
    let mut actions = Vec::new();
    for step in 1..10 {
        actions.extend(handle(&mut core, later() + ms(50 * step), Event::Tick));
    }
    let reset = actions
        .iter()
        .any(|action| matches!(action, Action::Reset { .. }));
    assert!(!reset, "{actions:?}");
    let lost = later() + ms(500);
    assert_eq!(
        send(&mut core, lost, Kind::Data),
        [Action::Dropped(Drop::Lost)]
    );
}

/// Tries must reach the holder too, which may not be known yet.
#[test]
fn probes_are_not_allowed_until_all_agents_are_known() {
    let mut core = entry_with(two_zones());
    let first = terms(&send(&mut core, ms(100), Kind::Data)).unwrap();
    assert!(!first.may_try);
    for time in (100..1_500).step_by(50) {
        let asked = terms(&handle(&mut core, ms(time), Event::Tick));
        assert!(asked.is_none_or(|terms| terms.may_try == (ms(time) >= later())));
    }
    let asked = terms(&send(&mut core, ms(1_500), Kind::Data)).unwrap();
    assert!(asked.may_try);
}

#[test]
fn new_agent_delays_probes() {
    let mut core = entry_with(two_zones());
    let mut more = two_zones();
    more.push(target(4, HERE, State::Draining));
    handle(&mut core, later(), Event::Routes(routes(more)));
    let asked = terms(&send(&mut core, later() + ms(1), Kind::Data)).unwrap();
    assert!(!asked.may_try);
    assert_eq!(asked.max_age_ms, 0);
}

#[test]
fn holder_that_denies_a_flow_is_left_out_of_its_search() {
    let mut core = entry_with(two_zones());
    send(&mut core, ms(1), Kind::Open);
    held(&mut core, ms(2), 1);
    let absent = transit::Absent {
        flow: flow(),
        target: 1,
        acknowledged: 0,
        age_ms: None,
        start: None,
        packet: packet(),
    };
    assert_eq!(
        sought(&handle(&mut core, later(), Event::Absent(absent))),
        [2]
    );
}

/// Callers repeat their packets; each repeat must not put the next search off.
#[test]
fn lost_flow_is_searched_for_again_while_its_caller_retransmits() {
    let mut core = entry_with(two_zones());
    let settings = Settings::default();
    let mut now = later();
    send(&mut core, now, Kind::Data);
    for _ in 0..3 {
        now += settings.agent_timeout;
        handle(&mut core, now, Event::Tick);
    }
    let step = settings.lost_retry_interval / 2;
    assert_eq!(sought(&send(&mut core, now + step, Kind::Data)), []);
    assert_eq!(
        sought(&send(&mut core, now + 2 * step, Kind::Data)).len(),
        1
    );
}

/// Says that the start of a backend server surely does not hold the flow.
fn deny(core: &mut Entry, now: Duration, target: TargetId, start: u64) -> Vec<Action> {
    let absent = transit::Absent {
        flow: flow(),
        target,
        acknowledged: 77,
        age_ms: Some(500),
        start: Some(start),
        packet: packet(),
    };
    handle(core, now, Event::Absent(absent))
}

fn resets(actions: &[Action]) -> bool {
    actions.iter().any(|action| {
        matches!(action, Action::Reset { reason, sequence: 77 | 1, .. }
            if *reason == Refusal::ServerEnded)
    })
}

/// An agent says that nobody of its service holds the flow.
fn nobody(core: &mut Entry, now: Duration, target: TargetId) -> Vec<Action> {
    let nobody = transit::Unheld {
        flow: flow(),
        target,
        acknowledged: 1,
    };
    handle(core, now, Event::Unheld(nobody))
}

#[test]
fn flow_denied_by_all_agents_is_reset() {
    let mut core = entry_with(two_zones());
    let asked = send(&mut core, ms(1_000), Kind::Data);
    let settings = Settings::default();
    let below = terms(&asked).unwrap().max_age_ms;
    assert_eq!(ms(below.into()), ms(1_000) + settings.start_skew);
    assert!(resets(&nobody(&mut core, ms(1_005), sought(&asked)[0])));
}

/// Flows of two services may come to one address.
#[test]
fn flow_is_not_reset_until_all_services_of_its_route_deny_it() {
    let mut both = Arc::unwrap_or_clone(routes(two_zones()));
    let other: ServiceAddress = "[fd00::2]:1".parse().unwrap();
    let mut table = Table::clone(&both.table);
    for route in table.routes.values_mut() {
        let share = Share {
            service: other,
            weight: 1,
        };
        route.shares.push(share);
    }
    both.table = Arc::new(table);
    let third = Target {
        service: other,
        ..target(5, HERE, State::Ready)
    };
    both.targets.insert(other, Arc::new(vec![third]));
    let mut core = Entry::new(Settings::default(), entry_address(), HERE, 1, ms(0));
    handle(&mut core, ms(0), Event::Routes(Arc::new(both)));
    let asked = sought(&send(&mut core, ms(1_000), Kind::Data));
    assert_eq!(asked.len(), 2, "one agent of each");
    assert!(!resets(&nobody(&mut core, ms(1_005), asked[0])));
    assert!(resets(&nobody(&mut core, ms(1_006), 5)));
}

#[test]
fn flow_is_not_reset_while_a_server_may_be_unreachable() {
    let known = Arc::unwrap_or_clone(routes(two_zones()));
    let routes = Routes {
        silent: [service_address()].into(),
        ..known
    };
    let mut core = Entry::new(Settings::default(), entry_address(), HERE, 1, ms(0));
    handle(&mut core, ms(0), Event::Routes(Arc::new(routes)));
    let asked = send(&mut core, ms(1_000), Kind::Data);
    assert_eq!(terms(&asked).unwrap().max_age_ms, 0);
    assert!(!resets(&nobody(&mut core, ms(1_005), sought(&asked)[0])));
}

#[test]
fn flow_is_not_reset_while_agents_are_being_discovered() {
    let mut core = entry_with(two_zones());
    let asked = sought(&send(&mut core, ms(1_000), Kind::Data));
    let mut more = two_zones();
    more.push(target(4, HERE, State::Ready));
    handle(&mut core, ms(1_001), Event::Routes(routes(more)));
    assert!(!resets(&nobody(&mut core, ms(1_005), asked[0])));
}

#[test]
fn entry_older_than_stale_flows_asks_for_no_denials() {
    let mut core = entry_with(two_zones());
    let now = Settings::default().stale_flow_window + ms(1);
    let asked = terms(&send(&mut core, now, Kind::Data)).unwrap();
    assert_eq!(asked.max_age_ms, 0);
}

#[test]
fn flow_is_reset_after_a_restart_of_its_holder() {
    let mut core = entry_with(two_zones());
    send(&mut core, ms(1), Kind::Open);
    held(&mut core, ms(2), 1);
    let anew = STARTED + 1;
    assert!(
        !resets(&deny(&mut core, ms(5_000), 2, anew)),
        "not its holder"
    );
    assert!(resets(&deny(&mut core, ms(5_000), 1, anew)));
}

/// An agent may take a flow, find that its backend server does not accept it, and
/// pass it on: what it said first is no evidence that it ever held the flow.
#[test]
fn flow_denied_by_its_holder_is_searched_for_if_the_holder_has_not_restarted() {
    let mut core = entry_with(two_zones());
    send(&mut core, ms(1), Kind::Open);
    held(&mut core, ms(2), 1);
    let actions = deny(&mut core, ms(5_000), 1, STARTED);
    assert!(!resets(&actions));
    assert_eq!(sought(&actions), [2], "the other one here");
}

#[test]
fn idle_flows_are_removed() {
    let mut core = entry_with(two_zones());
    send(&mut core, ms(1), Kind::Open);
    held(&mut core, ms(2), 1);
    assert_eq!(core.len(), 1);
    handle(&mut core, Duration::from_mins(1), Event::Tick);
    assert!(core.is_empty());
}

/// The flow may be open by a configuration that this entry does not have yet.
#[test]
fn only_the_first_opening_packet_without_a_route_is_reset() {
    let mut core = Entry::new(Settings::default(), entry_address(), HERE, 1, ms(0));
    let empty = Routes {
        is_confirmed: true,
        ..Routes::default()
    };
    handle(&mut core, ms(2), Event::Routes(Arc::new(empty)));
    for actions in [send(&mut core, ms(3), Kind::Data), copy(&mut core, ms(4))] {
        assert!(
            !matches!(actions[..], [Action::Reset { .. }]),
            "{actions:?}"
        );
    }
}

#[test]
fn retransmitted_opening_packet_that_no_server_admits_is_not_reset() {
    let mut core = entry_with(vec![target(1, HERE, State::Draining)]);
    let actions = copy(&mut core, ms(201));
    assert!(
        !matches!(actions[..], [Action::Reset { .. }]),
        "{actions:?}"
    );
}
