//! Tests the decision whether a flow has ended. Each case that stays open guards against
//! a reset that breaks a flow which is alive.
use forward::entry::proof::Answers;
use forward::entry::proof::Doubt;
use forward::entry::proof::TargetSet;
use forward::entry::proof::Verdict;
use forward::entry::proof::View;
use forward::entry::proof::decide;

fn set(indices: &[usize]) -> TargetSet {
    let mut targets = TargetSet::default();
    for index in indices {
        targets.insert(*index);
    }
    targets
}

fn answers(denied: &[usize], not_held: &[usize]) -> Answers {
    Answers {
        denied: set(denied),
        not_held: set(not_held),
    }
}

/// Decides a flow with three possible holders, all of the service that the route names.
fn decide_with(denied: &[usize], young: &[usize], change: impl Fn(&mut View<'_>)) -> Verdict {
    let (holders, young) = (set(&[0, 1, 70]), set(young));
    let mut view = View {
        knows_all_agents: true,
        has_doubtful_agent: false,
        holders: &holders,
        named: &holders,
        young: &young,
        is_recent: true,
    };
    change(&mut view);
    decide(&view, &answers(denied, &ALL))
}

const ALL: [usize; 3] = [0, 1, 70];

#[test]
fn flow_that_all_young_servers_deny_has_ended() {
    assert_eq!(decide_with(&ALL, &ALL, |_| {}), Verdict::Ended);
}

#[test]
fn flow_that_another_server_denies_too_has_ended() {
    assert_eq!(decide_with(&[0, 1, 5, 70], &ALL, |_| {}), Verdict::Ended);
}

/// A holder that is silent keeps the flow open.
#[test]
fn flow_is_open_while_one_holder_has_not_denied_it() {
    for denied in [&[0, 1][..], &[0, 70], &[1, 70], &[]] {
        let verdict = decide_with(denied, &ALL, |_| {});
        assert_eq!(verdict, Verdict::Open(Doubt::NotDenied), "{denied:?}");
    }
}

#[test]
fn flow_is_open_while_agents_may_be_unknown() {
    let verdict = decide_with(&ALL, &ALL, |view| view.knows_all_agents = false);
    assert_eq!(verdict, Verdict::Open(Doubt::AgentsUnknown));
}

/// An entry that knows no agent at all has heard of nothing yet.
#[test]
fn flow_is_open_without_any_known_holder() {
    let none = set(&[]);
    let view = View {
        knows_all_agents: true,
        has_doubtful_agent: false,
        holders: &none,
        named: &none,
        young: &none,
        is_recent: false,
    };
    let verdict = decide(&view, &Answers::default());
    assert_eq!(verdict, Verdict::Open(Doubt::AgentsUnknown));
}

#[test]
fn flow_is_open_while_an_agent_is_marked_down() {
    let verdict = decide_with(&ALL, &ALL, |view| view.has_doubtful_agent = true);
    assert_eq!(verdict, Verdict::Open(Doubt::AgentDoubtful));
}

/// All processes were killed beside servers that run on. An agent that starts slowly
/// is not known yet, and holds flows.
#[test]
fn flow_is_open_at_a_recent_entry_while_a_server_is_older() {
    let verdict = decide_with(&ALL, &[0, 1], |_| {});
    assert_eq!(verdict, Verdict::Open(Doubt::ServersOlder));
}

#[test]
fn flow_that_older_servers_deny_has_ended_at_an_entry_that_runs_for_long() {
    let verdict = decide_with(&ALL, &[], |view| view.is_recent = false);
    assert_eq!(verdict, Verdict::Ended);
}

#[test]
fn a_set_contains_what_was_inserted_and_not_removed() {
    let mut targets = set(&[0, 63, 64, 200]);
    targets.remove(64);
    targets.remove(999);
    let contained: Vec<usize> = (0..300).filter(|index| targets.contains(*index)).collect();
    assert_eq!(contained, [0, 63, 200]);
    assert!(targets.contains_all(&set(&[63])));
    assert!(!targets.contains_all(&set(&[64])));
    assert!(!targets.contains_all(&set(&[201])));
    assert!(!targets.is_empty());
    assert!(set(&[]).is_empty());
}

/// Decides a flow whose route is known to have named the service of servers 0 and 1 only,
/// and may have named that of server 70 before the entry started.
fn decide_unnamed(denied: &[usize], not_held: &[usize], change: impl Fn(&mut View<'_>)) -> Verdict {
    let (holders, named, young) = (set(&ALL), set(&[0, 1]), set(&ALL));
    let mut view = View {
        knows_all_agents: true,
        has_doubtful_agent: false,
        holders: &holders,
        named: &named,
        young: &young,
        is_recent: true,
    };
    change(&mut view);
    decide(&view, &answers(denied, not_held))
}

/// Guards against flows that stay silent because no probe may go to another service.
#[test]
fn flow_that_a_young_server_of_an_unnamed_service_does_not_hold_has_ended() {
    assert_eq!(decide_unnamed(&[0, 1], &ALL, |_| {}), Verdict::Ended);
}

#[test]
fn flow_is_open_while_a_server_of_an_unnamed_service_has_not_answered() {
    let verdict = decide_unnamed(&[0, 1], &[0, 1], |_| {});
    assert_eq!(verdict, Verdict::Open(Doubt::NotDenied));
}

/// An uncertain answer of a named service leads to a probe.
#[test]
fn flow_is_open_while_a_server_of_a_named_service_is_uncertain() {
    let verdict = decide_unnamed(&[0, 70], &ALL, |_| {});
    assert_eq!(verdict, Verdict::Open(Doubt::NotDenied));
}

#[test]
fn flow_is_open_while_an_older_server_of_an_unnamed_service_is_uncertain() {
    let verdict = decide_unnamed(&[0, 1], &ALL, |view| view.young = view.named);
    assert_eq!(verdict, Verdict::Open(Doubt::NotDenied));
}

/// Only the failure in which the entry started explains that all servers are young.
#[test]
fn flow_is_open_at_an_entry_that_runs_for_long_while_a_server_is_uncertain() {
    let verdict = decide_unnamed(&[0, 1], &ALL, |view| view.is_recent = false);
    assert_eq!(verdict, Verdict::Open(Doubt::NotDenied));
}
