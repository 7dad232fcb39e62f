//! Tests what an entry does with many flows whose holder it does not know.
mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::batches::*;
use fixtures::*;
use forward::Entry;
use forward::Route;
use forward::Routes;
use forward::entry::Action;
use forward::entry::Event;
use forward::entry::Settings;
use forward::routes::Table;
use wire::Target;
use wire::TargetId;
use wire::Transit;
use wire::batch;
use wire::batch::Bitmap;
use wire::batch::Findings;
use wire::batch::Search;
use wire::segment::Kind;
use wire::target::State;

/// Number of flows, more than are searched for one by one.
const FLOWS: u16 = 50;

const SERVERS: [TargetId; 3] = [1, 2, 3];

/// Time at which all agents are assumed to be known.
const KNOWN: Duration = Duration::from_secs(1);

fn targets() -> Vec<Target> {
    SERVERS.map(|id| target(id, 1, State::Ready)).to_vec()
}

fn entry_with(routes: Arc<Routes>) -> Entry {
    let mut entry = Entry::new(Settings::default(), entry_address(), 1, 1, ms(0));
    handle(&mut entry, ms(0), Event::Routes(routes));
    entry
}

/// Sends packets of flows that the entry does not know.
fn send_all(entry: &mut Entry, now: Duration) -> Vec<Action> {
    (1..=FLOWS)
        .flat_map(|port| send(entry, now, port, Kind::Data))
        .collect()
}

fn denials(search: &Search) -> Vec<Findings> {
    SERVERS.map(|id| denial(search, id)).to_vec()
}

/// Returns an entry with undecided flows, and the batch about the last of them.
fn with_undecided_flows(routes: Arc<Routes>, at: Duration) -> (Entry, Search) {
    let mut entry = entry_with(routes);
    let mut actions = send_all(&mut entry, at);
    actions.extend(handle(&mut entry, at + ms(10), Event::Tick));
    let search = batch_about(&actions, FLOWS);
    (entry, search)
}

/// Reports findings about undecided flows, and returns how many are reset within 200 ms.
fn reset_count(routes: Arc<Routes>, at: Duration, change: impl Fn(&mut Vec<Findings>)) -> usize {
    let (mut entry, search) = with_undecided_flows(routes, at);
    let mut findings = denials(&search);
    change(&mut findings);
    let mut actions = report(&mut entry, at + ms(20), &search, findings);
    actions.extend(tick(&mut entry, at + ms(40), at + ms(220)));
    resets(&actions).len()
}

/// Ten thousand flows took a search of several frames at each agent.
#[test]
fn many_flows_share_a_frame() {
    let mut entry = entry_with(routes(targets()));
    let mut actions = Vec::new();
    for port in 1..=10_000 {
        actions.extend(send(&mut entry, KNOWN, port, Kind::Data));
    }
    actions.extend(handle(&mut entry, KNOWN + ms(10), Event::Tick));
    let frames = actions
        .iter()
        .filter(|action| matches!(action, Action::Send { .. }));
    let sought: usize = batches(&actions)
        .iter()
        .map(|search| search.flows.len())
        .sum();
    assert!(sought >= 9_900, "{sought}");
    assert!(frames.count() <= 30);
}

/// The caller's next packet may come only 1.6 s later.
#[test]
fn flows_are_reset_as_soon_as_the_last_proof_arrives() {
    let (mut entry, search) = with_undecided_flows(routes(targets()), KNOWN);
    let first = report(
        &mut entry,
        KNOWN + ms(20),
        &search,
        denials(&search)[..2].to_vec(),
    );
    assert_eq!(resets(&first), []);
    let last = denials(&search)[2..].to_vec();
    let mut actions = report(&mut entry, KNOWN + ms(60), &search, last);
    assert!(!resets(&actions).is_empty());
    actions.extend(tick(&mut entry, KNOWN + ms(80), KNOWN + ms(240)));
    assert_eq!(resets(&actions).len(), search.flows.len());
}

#[test]
fn resets_at_once_are_spread() {
    let (mut entry, search) = with_undecided_flows(routes(targets()), KNOWN);
    let actions = report(&mut entry, KNOWN + ms(20), &search, denials(&search));
    assert!(resets(&actions).len() <= 5);
}

#[test]
fn flow_is_not_reset_while_an_agent_is_silent() {
    let count = reset_count(routes(targets()), KNOWN, |findings| {
        findings.pop();
    });
    assert_eq!(count, 0);
}

#[test]
fn flow_is_not_reset_while_another_agent_knows_one_marked_down() {
    let count = reset_count(routes(targets()), KNOWN, |findings| {
        findings[1].has_down_agent = true;
    });
    assert_eq!(count, 0);
}

#[test]
fn flow_is_not_reset_while_another_agent_knows_more_agents() {
    let count = reset_count(routes(targets()), KNOWN, |findings| {
        findings[1].known_agents = 4;
    });
    assert_eq!(count, 0);
}

#[test]
fn flow_is_not_reset_while_an_agent_is_marked_down() {
    let known = Routes {
        services_with_down_targets: [service_address()].into(),
        ..Arc::unwrap_or_clone(routes(targets()))
    };
    assert_eq!(reset_count(Arc::new(known), KNOWN, |_| {}), 0);
}

#[test]
fn flow_is_not_reset_while_agents_may_be_unknown() {
    assert_eq!(reset_count(routes(targets()), ms(100), |_| {}), 0);
}

/// All processes were killed while the servers run on. One that is not known yet may
/// hold the flow.
#[test]
fn flow_is_not_reset_at_a_recent_entry_while_a_server_is_older() {
    let age = |age_ms| {
        reset_count(routes(targets()), KNOWN, |findings| {
            findings[2].age_ms = age_ms;
        })
    };
    assert_eq!(age(Some(60_000)), 0);
    assert_eq!(age(None), 0, "an unannounced server may be older");
    assert!(age(Some(3_000)) > 0);
}

/// A server that was older when the entry started has restarted since. That says
/// nothing about the servers that the entry does not know.
#[test]
fn restart_of_an_older_server_proves_no_common_failure() {
    let (mut entry, search) = with_undecided_flows(routes(targets()), KNOWN);
    let mut old = denials(&search)[..1].to_vec();
    old[0].age_ms = Some(60_000);
    report(&mut entry, KNOWN + ms(20), &search, old);
    let mut actions = report(&mut entry, KNOWN + ms(30), &search, denials(&search));
    actions.extend(tick(&mut entry, KNOWN + ms(40), KNOWN + ms(240)));
    assert_eq!(resets(&actions), []);
}

/// Callers of flows that ended while the entry was running waited for their deadlines.
#[test]
fn flow_without_a_holder_is_reset_at_an_entry_that_runs_for_long() {
    let later = Settings::default().stale_flow_window + ms(1_000);
    let count = reset_count(routes(targets()), later, |findings| {
        findings[2].age_ms = Some(60_000);
    });
    assert!(count > 0);
}

#[test]
fn holder_gets_the_packets_that_were_kept() {
    let (mut entry, search) = with_undecided_flows(routes(targets()), KNOWN);
    let mut findings = denials(&search);
    findings[1].complete = Bitmap::default();
    findings[1].held = all_flows(&search);
    let actions = report(&mut entry, KNOWN + ms(20), &search, findings);
    let forwarded = actions.iter().filter(|action| {
        matches!(action, Action::Send { to, transit: Transit::Forward(_) } if *to == hop(2).address)
    });
    assert_eq!(forwarded.count(), search.flows.len());
    let later = tick(&mut entry, KNOWN + ms(40), KNOWN + ms(400));
    assert_eq!(resets(&[actions, later].concat()), []);
}

/// The flow from the same port is another one, which the report does not speak of.
#[test]
fn report_about_an_earlier_flow_from_the_same_port_is_ignored() {
    let (mut entry, search) = with_undecided_flows(routes(targets()), KNOWN);
    send(&mut entry, KNOWN + ms(12), FLOWS, Kind::Open);
    let denied = wire::transit::NotHeld {
        flow: caller_segment(FLOWS, Kind::Data, 0).flow_from_caller(),
        target: 1,
        acknowledged: 1,
        age_ms: None,
        start: None,
        packet: packet(),
    };
    for id in SERVERS {
        let held = wire::transit::Held {
            flow: denied.flow,
            holder: hop(id),
            start: None,
            load: None,
        };
        handle(&mut entry, KNOWN + ms(13), Event::Held(held));
    }
    let last = wire::transit::NotHeld {
        target: 3,
        ..denied
    };
    handle(&mut entry, KNOWN + ms(14), Event::NotHeld(last.clone()));
    let mut actions = report(&mut entry, KNOWN + ms(20), &search, denials(&search));
    actions.extend(tick(&mut entry, KNOWN + ms(40), KNOWN + ms(240)));
    let reset = resets(&actions);
    assert!(!reset.is_empty() && !reset.contains(&last.flow));
}

/// The sender of a reset expects no answer.
#[test]
fn flow_that_its_caller_has_reset_gets_none() {
    let (mut entry, search) = with_undecided_flows(routes(targets()), KNOWN);
    send(&mut entry, KNOWN + ms(12), FLOWS, Kind::Reset);
    let mut actions = report(&mut entry, KNOWN + ms(20), &search, denials(&search));
    actions.extend(tick(&mut entry, KNOWN + ms(40), KNOWN + ms(240)));
    assert_eq!(resets(&actions).len(), search.flows.len() - 1);
}

/// The agent that was asked has failed.
#[test]
fn unanswered_batch_is_sent_to_another_agent() {
    let (mut entry, search) = with_undecided_flows(routes(targets()), KNOWN);
    let actions = tick(&mut entry, KNOWN + ms(20), KNOWN + ms(300));
    let next = batch_about(&actions, FLOWS);
    assert_ne!(next.target, search.target);
}

/// Agents of an earlier version drop batches.
#[test]
fn flows_of_an_unanswered_batch_are_searched_for_one_by_one() {
    let (mut entry, search) = with_undecided_flows(routes(targets()), KNOWN);
    let actions = tick(&mut entry, KNOWN + ms(20), KNOWN + ms(300));
    let searches = actions.iter().filter(|action| {
        matches!(
            action,
            Action::Send {
                transit: Transit::Search(_),
                ..
            }
        )
    });
    assert!(searches.count() >= search.flows.len());
}

/// A frame with answers was lost.
#[test]
fn entry_asks_again_about_flows_that_are_still_undecided() {
    let (mut entry, search) = with_undecided_flows(routes(targets()), KNOWN);
    report(
        &mut entry,
        KNOWN + ms(20),
        &search,
        denials(&search)[..1].to_vec(),
    );
    let actions = tick(&mut entry, KNOWN + ms(40), KNOWN + ms(600));
    let next = batch_about(&actions, FLOWS);
    let mut late = report(
        &mut entry,
        KNOWN + ms(620),
        &next,
        denials(&next)[1..].to_vec(),
    );
    late.extend(tick(&mut entry, KNOWN + ms(640), KNOWN + ms(840)));
    assert!(!resets(&late).is_empty(), "earlier denials should count");
}

/// An unknown agent may hold the flow, and a probe that does not reach the holder
/// breaks it.
#[test]
fn uncertain_flows_are_probed_only_once_all_agents_have_answered() {
    let probes = |count: usize| {
        let (mut entry, search) = with_undecided_flows(routes(targets()), KNOWN);
        let mut findings = denials(&search);
        findings[0].complete = Bitmap::default();
        findings.truncate(count);
        let actions = report(&mut entry, KNOWN + ms(20), &search, findings);
        let searches = actions.iter().filter(|action| {
            matches!(
                action,
                Action::Send {
                    transit: Transit::Search(_),
                    ..
                }
            )
        });
        searches.count()
    };
    assert_eq!(probes(2), 0);
    assert!(probes(3) > 0);
}

/// Under overload, the flows of the most urgent route are served first.
#[test]
fn most_urgent_flows_are_reset_first() {
    let mut known = Arc::unwrap_or_clone(routes(targets()));
    let mut table = Table::clone(&known.table);
    let urgent = "198.18.0.2:443".parse().unwrap();
    let route: Route = table.routes[&CALLED_ADDRESS.parse().unwrap()].clone();
    let first = Route {
        priority: 0,
        ..route
    };
    table.routes.insert(urgent, first);
    known.table = Arc::new(table);
    let mut entry = entry_with(Arc::new(known));
    let mut actions = send_all(&mut entry, KNOWN);
    for port in 1..=FLOWS {
        let mut segment = caller_segment(port, Kind::Data, 100);
        segment.destination = urgent;
        let packet = encode(&segment);
        let event = Event::Packet { segment, packet };
        actions.extend(handle(&mut entry, KNOWN + ms(1), event));
    }
    actions.extend(handle(&mut entry, KNOWN + ms(10), Event::Tick));
    let mut reset = Vec::new();
    for search in batches(&actions) {
        reset.extend(report(
            &mut entry,
            KNOWN + ms(20),
            &search,
            denials(&search),
        ));
    }
    reset.extend(tick(&mut entry, KNOWN + ms(40), KNOWN + ms(300)));
    let order: Vec<bool> = resets(&reset)
        .iter()
        .map(|flow| flow.service == urgent)
        .collect();
    let others_before = order.iter().take_while(|is_urgent| !**is_urgent).count();
    assert!(others_before <= 2, "{others_before} before the urgent ones");
    let last_urgent = order.iter().rposition(|is_urgent| *is_urgent).unwrap();
    assert!(last_urgent < usize::from(FLOWS) + 2, "{last_urgent}");
}

#[test]
fn flow_is_dropped_once_its_caller_has_given_up() {
    let (mut entry, _) = with_undecided_flows(routes(targets()), KNOWN);
    assert!(entry.undecided() > 0);
    let actions = tick(&mut entry, KNOWN + ms(20), KNOWN + ms(6_000));
    assert_eq!(entry.undecided(), 0);
    assert!(entry.is_empty());
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::UndecidedDropped { .. }))
    );
}

/// A flood of packets of unknown flows would use up the memory.
#[test]
fn flow_whose_caller_gives_up_first_is_dropped_first() {
    let mut entry = entry_with(routes(targets()));
    let mut dropped = 0;
    for number in 0..17_000_u16 {
        let at = KNOWN + Duration::from_micros(u64::from(number) * 100);
        let actions = send(&mut entry, at, number, Kind::Data);
        let drops = actions
            .iter()
            .filter(|action| matches!(action, Action::UndecidedDropped { .. }));
        dropped += drops.count();
    }
    assert!(dropped > 0);
    assert!(entry.undecided() <= 16_384);
    let actions = tick(&mut entry, KNOWN + ms(1_720), KNOWN + ms(1_740));
    let asked: Vec<batch::Sought> = batches(&actions)
        .iter()
        .flat_map(|search| search.flows.clone())
        .collect();
    let first = caller_address(100);
    assert!(asked.iter().all(|sought| sought.caller != first));
}

/// Returns the backend servers that are probed for many flows, and the number of flows.
fn probed(actions: &[Action]) -> Vec<(TargetId, usize)> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send {
            transit: Transit::Probes(probes),
            ..
        } => Some((probes.target, probes.packets.len())),
        _ => None,
    });
    sent.collect()
}

/// A search of each flow at all agents takes several frames at each of them, and at 800 a
/// second callers wait for seconds.
#[test]
fn many_uncertain_flows_are_probed_for_at_the_uncertain_agent_only() {
    let mut entry = entry_with(routes(targets()));
    let mut actions = Vec::new();
    for port in 1..=200 {
        actions.extend(send(&mut entry, KNOWN, port, Kind::Data));
    }
    actions.extend(handle(&mut entry, KNOWN + ms(10), Event::Tick));
    let search = batch_about(&actions, 200);
    let mut findings = denials(&search);
    findings[2].complete = Bitmap::default();
    let mut actions = report(&mut entry, KNOWN + ms(20), &search, findings);
    actions.extend(tick(&mut entry, KNOWN + ms(40), KNOWN + ms(200)));
    let probed = probed(&actions);
    assert!(probed.iter().all(|(target, _)| *target == 3), "{probed:?}");
    let flows: usize = probed.iter().map(|(_, flows)| flows).sum();
    assert_eq!(flows, search.flows.len());
    assert!(probed.len() <= 3, "{probed:?}");
    assert_eq!(resets(&actions), []);
}

/// A probe that does not reach the holder breaks a flow: an agent that has not answered
/// may be the holder's.
#[test]
fn no_flow_is_probed_for_while_an_agent_has_not_answered() {
    let (mut entry, search) = with_undecided_flows(routes(targets()), KNOWN);
    let mut findings = denials(&search)[..2].to_vec();
    findings[1].complete = Bitmap::default();
    let mut actions = report(&mut entry, KNOWN + ms(20), &search, findings);
    actions.extend(tick(&mut entry, KNOWN + ms(40), KNOWN + ms(300)));
    assert_eq!(probed(&actions), []);
}

/// A probe that does not reach the holder breaks a flow: it may be at an agent that the
/// entry has heard of only after the flow was queued.
#[test]
fn queued_flows_are_not_probed_for_while_agents_may_be_unknown() {
    let mut entry = entry_with(routes(targets()));
    let mut actions = Vec::new();
    for port in 1..=800 {
        actions.extend(send(&mut entry, KNOWN, port, Kind::Data));
    }
    actions.extend(handle(&mut entry, KNOWN + ms(10), Event::Tick));
    let search = batch_about(&actions, 800);
    let mut findings = denials(&search);
    findings[2].complete = Bitmap::default();
    let first = report(&mut entry, KNOWN + ms(20), &search, findings);
    assert!(!probed(&first).is_empty());
    let mut more = targets();
    more.push(target(4, 1, State::Ready));
    let mut later = handle(&mut entry, KNOWN + ms(25), Event::Routes(routes(more)));
    later.extend(tick(&mut entry, KNOWN + ms(40), KNOWN + ms(200)));
    assert_eq!(probed(&later), []);
}
