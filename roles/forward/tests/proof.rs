//! Tests the decision whether a flow has ended. Each case that stays open guards against
//! a reset that breaks a flow which is alive.
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

/// Decides a flow with three possible holders.
fn decide_with(denied: &[usize], young: &[usize], change: impl Fn(&mut View<'_>)) -> Verdict {
    let (holders, young) = (set(&[0, 1, 70]), set(young));
    let mut view = View {
        knows_all_agents: true,
        has_doubtful_agent: false,
        holders: &holders,
        young: &young,
        is_recent: true,
    };
    change(&mut view);
    decide(&view, &set(denied))
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
        young: &none,
        is_recent: false,
    };
    let verdict = decide(&view, &none);
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
