//! Tests what an agent answers about many flows at once.
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
use wire::batch::Answer;
use wire::batch::Findings;
use wire::batch::Lookup;
use wire::batch::Search;
use wire::batch::Sought;
use wire::segment::Kind;

const BATCH: u32 = 5;

/// Returns a batch of the flows from these ports.
fn search(ports: &[u16], age_ms: u32) -> Search {
    let sought = |port: &u16| Sought {
        caller: caller_address(*port),
        acknowledged: 1,
        age_ms,
    };
    Search {
        target: OWN,
        entry: entry_address(),
        batch: BATCH,
        service: CALLED_ADDRESS.parse().unwrap(),
        flows: ports.iter().map(sought).collect(),
    }
}

/// Asks an agent about flows, and returns its answer.
fn ask(agent: &mut Agent, now: Duration, search: Search) -> Findings {
    let lookup = Lookup {
        searcher: searcher_address(),
        search,
    };
    let actions = handle(agent, now, Event::LookupBatch(lookup));
    let mut answers = actions.iter().filter_map(|action| match action {
        Action::Send {
            to,
            transit: Transit::Answer(answer),
        } if *to == searcher_address() => Some(answer.findings.clone()),
        _ => None,
    });
    answers.next().expect("the agent should answer")
}

/// Returns what an agent reports to the entry.
fn reported(actions: &[Action]) -> Vec<Findings> {
    let reports = actions.iter().filter_map(|action| match action {
        Action::Send {
            to,
            transit: Transit::Report(report),
        } if *to == entry_address() && report.batch == BATCH => Some(report.findings.clone()),
        _ => None,
    });
    reports.flatten().collect()
}

/// Returns an agent that started beside a server which runs.
fn restarted_agent() -> Agent {
    Agent::new(Settings::default(), hop(OWN), true, ms(0))
}

/// Returns an agent that started before its server, and received its first announcement.
fn agent_since_start() -> Agent {
    agent_since_server_start(ms(0), announcement(OWN, 1, 1, State::Ready))
}

fn announce(agent: &mut Agent, now: Duration, age: Option<Duration>, sequence: u64) -> Vec<Action> {
    let event = Event::Announcement(Announcement {
        age,
        ..announcement(OWN, 1, sequence, State::Ready)
    });
    handle(agent, now, event)
}

fn return_packet(agent: &mut Agent, now: Duration, port: u16) -> Vec<Action> {
    let event = Event::ServerPacket {
        segment: returned_segment(port, Kind::Data),
        packet: packet(),
    };
    handle(agent, now, event)
}

#[test]
fn held_flow_is_reported_and_others_are_denied() {
    let mut agent = agent_since_start();
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(2), 9);
    let findings = ask(&mut agent, ms(10), search(&[8, 9], 0));
    assert!(findings.held.contains(1) && !findings.held.contains(0));
    assert!(findings.complete.contains(0) && !findings.denies(1));
}

/// An agent that started beside a running server does not know its flows.
#[test]
fn restarted_agent_denies_nothing_by_itself() {
    let mut agent = restarted_agent();
    assert!(!ask(&mut agent, ms(1), search(&[9], 0)).denies(0));
    announce(&mut agent, ms(5), Some(ms(60_000)), 60);
    let findings = ask(&mut agent, ms(10), search(&[9], 500));
    assert!(!findings.denies(0) && !findings.held.contains(0));
}

/// Guards against resets of flows that an earlier agent process admitted: an agent that
/// started after its server concluded from the server's age and announcement that there
/// was none, and denied them.
fn agent_that_started_after_its_server_denies_nothing((age, sequence): (u64, u64)) {
    let mut agent = restarted_agent();
    announce(&mut agent, ms(100), Some(ms(age)), sequence);
    let findings = ask(&mut agent, ms(101), search(&[9], 0));
    assert!(!findings.denies(0) && !findings.held.contains(0));
    let event = Event::Forward {
        forward: forward_frame(OWN),
        segment: caller_segment(9, Kind::Data, 100),
    };
    let probed = handle(&mut agent, ms(102), event);
    assert!(delivers(&probed), "the server should be asked: {probed:?}");
    return_packet(&mut agent, ms(103), 9);
    let findings = ask(&mut agent, ms(104), search(&[9], 0));
    assert!(findings.returned.contains(0));
}

cases::cases! { agent_that_started_after_its_server_denies_nothing;
    first_announcement_numbered_from_zero: (50, 0),
    first_announcement_numbered_from_one: (50, 1),
    second_announcement_numbered_from_zero: (760, 1),
    announcement_after_three_that_failed: (350, 4),
    announcement_numbered_from_millions: (50, 4_000_000),
    second_announcement_after_the_longest_interval: (1_100, 2),
    third_announcement: (2_050, 3),
    second_announcement_sooner_than_usual: (760, 2),
    second_announcement_after_half_of_the_interval: (400, 2),
}

/// Guards against resets of flows of a server that refused a connection although it ran:
/// it still answers on such a flow.
#[test]
fn packet_on_a_flow_from_before_withdraws_the_denials() {
    let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
    handle(&mut agent, ms(0), Event::ServerAbsent);
    handle(&mut agent, ms(0), Event::ServerListening);
    announce(&mut agent, ms(100), Some(ms(350)), 4);
    assert!(ask(&mut agent, ms(101), search(&[9], 0)).denies(0));
    let event = Event::ServerPacket {
        segment: server_segment(8, Kind::Data, 500),
        packet: packet(),
    };
    handle(&mut agent, ms(102), event);
    assert!(!ask(&mut agent, ms(103), search(&[9], 0)).denies(0));
}

/// A server that starts after its agent can have had no flows before, whatever it
/// numbers its announcements from and whatever its clock shows.
#[test]
fn agent_that_found_nobody_at_the_address_of_its_server_denies() {
    for (age, number) in [(Some(ms(50)), 0), (Some(ms(3_000)), 1), (None, 4_000_000)] {
        let mut agent = Agent::new(Settings::default(), hop(OWN), true, ms(0));
        handle(&mut agent, ms(0), Event::ServerAbsent);
        handle(&mut agent, ms(0), Event::ServerListening);
        announce(&mut agent, ms(100), age, number);
        let findings = ask(&mut agent, ms(101), search(&[9], 0));
        assert!(findings.complete.contains(0), "{number}");
        assert!(findings.age_ms <= Some(101), "{findings:?}");
    }
}

/// No earlier process ran beside the server, whenever its announcement arrives.
#[test]
fn agent_that_started_before_its_server_denies() {
    let mut agent = restarted_agent();
    announce(&mut agent, ms(5_000), Some(ms(950)), 2);
    assert!(
        ask(&mut agent, ms(5_001), search(&[9], 0))
            .complete
            .contains(0)
    );
}

/// The clock of the host was set back: the server cannot have repeated its call so
/// often within its age.
#[test]
fn implausibly_young_server_proves_nothing() {
    let mut agent = restarted_agent();
    announce(&mut agent, ms(100), Some(ms(350)), 30);
    assert!(!ask(&mut agent, ms(101), search(&[9], 1_000)).denies(0));
}

#[test]
fn returned_packet_is_a_denial_whatever_the_age_of_the_server() {
    let mut agent = restarted_agent();
    announce(&mut agent, ms(5), Some(ms(60_000)), 60);
    return_packet(&mut agent, ms(6), 9);
    let findings = ask(&mut agent, ms(10), search(&[8, 9], 0));
    assert!(findings.returned.contains(1) && !findings.denies(0));
}

/// The flow is as old as the first packet that the entry received of it.
#[test]
fn server_that_started_after_the_packet_denies_the_flow() {
    let mut agent = restarted_agent();
    announce(&mut agent, ms(1_000), Some(ms(1_900)), 2);
    let asked_at = ms(1_100);
    // The announcement may be the third.
    assert!(!ask(&mut agent, asked_at, search(&[9], 3_000)).denies(0));
    let findings = ask(&mut agent, asked_at, search(&[9], 3_200));
    assert!(findings.younger.contains(0));
}

/// A caller may be opening another flow from the same port.
#[test]
fn flow_that_the_server_has_not_accepted_is_neither_held_nor_denied() {
    let mut agent = restarted_agent();
    announce(&mut agent, ms(0), None, 1);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    let findings = ask(&mut agent, ms(2), search(&[9], 0));
    assert!(!findings.held.contains(0) && !findings.denies(0));
}

/// The caller's acknowledgement belongs to another server.
#[test]
fn flow_that_the_caller_opened_elsewhere_is_not_held() {
    let mut agent = restarted_agent();
    announce(&mut agent, ms(0), None, 1);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(2), 9);
    let mut asked = search(&[9], 0);
    asked.flows[0].acknowledged = 900_000_000;
    let findings = ask(&mut agent, ms(3), asked);
    assert!(!findings.held.contains(0) && !findings.denies(0));
}

/// The server was running well before this process, so the failure was not one of the
/// whole host.
#[test]
fn server_that_runs_longer_than_its_agent_counts_as_old() {
    let mut agent = restarted_agent();
    announce(&mut agent, ms(100), Some(ms(2_100)), 3);
    let findings = ask(&mut agent, ms(101), search(&[9], 0));
    assert_eq!(findings.age_ms, Some(u32::MAX));
    let mut agent = restarted_agent();
    announce(&mut agent, ms(100), Some(ms(500)), 2);
    assert_eq!(ask(&mut agent, ms(101), search(&[9], 0)).age_ms, Some(501));
}

/// After a loss of power, an agent with a small share of a core needs longer than its
/// server. As one that counts as old, it would keep all flows of the service open.
#[test]
fn agent_that_starts_slowly_after_its_server_counts_as_young() {
    let mut agent = restarted_agent();
    announce(&mut agent, ms(10), Some(ms(750)), 5);
    assert_eq!(ask(&mut agent, ms(20), search(&[9], 0)).age_ms, Some(760));
}

/// An entry would ask again only after 400 ms.
#[test]
fn agent_reports_by_itself_once_its_server_has_announced_itself() {
    let mut agent = restarted_agent();
    handle(&mut agent, ms(0), Event::ServerAbsent);
    handle(&mut agent, ms(0), Event::ServerListening);
    assert!(!ask(&mut agent, ms(10), search(&[8, 9], 0)).denies(0));
    let findings = reported(&announce(&mut agent, ms(300), Some(ms(100)), 1));
    assert_eq!(findings.len(), 1);
    assert!(findings[0].denies(0) && findings[0].denies(1));
    let again = reported(&handle(&mut agent, ms(500), Event::Tick));
    assert_eq!(again, [], "nothing new should be reported");
}

/// Hundreds of packets come back within milliseconds.
#[test]
fn returned_packets_are_reported_together() {
    let mut agent = restarted_agent();
    ask(&mut agent, ms(10), search(&[7, 8, 9], 0));
    for port in [7, 8, 9] {
        assert_eq!(reported(&return_packet(&mut agent, ms(20), port)), []);
    }
    let findings = reported(&handle(&mut agent, ms(100), Event::Tick));
    assert_eq!(findings.len(), 1);
    assert!((0..3).all(|index| findings[0].returned.contains(index)));
}

/// Returns an agent that knows others, after an entry asked it to search.
fn searching_agent(others: &[TargetId], has_down_agent: bool) -> (Agent, Vec<Action>) {
    let mut agent = agent_since_start();
    let hops = others.iter().map(|id| hop(*id)).collect();
    let peers = Peers {
        hops: Arc::new(hops),
        has_down_agent,
    };
    handle(&mut agent, ms(0), Event::Peers(peers));
    let actions = handle(&mut agent, ms(100), Event::SearchBatch(search(&[9], 0)));
    (agent, actions)
}

/// Answers a search as another agent that denies the flow.
fn answer(agent: &mut Agent, now: Duration, target: TargetId) -> Vec<Action> {
    let mut other = Agent::new(Settings::default(), hop(target), false, ms(0));
    let first = announcement(target, 1, 1, State::Ready);
    handle(&mut other, ms(0), Event::Announcement(first));
    let mut asked = search(&[9], 0);
    asked.target = target;
    let answer = Answer {
        entry: entry_address(),
        batch: BATCH,
        findings: ask(&mut other, now, asked),
    };
    handle(agent, now, Event::Answer(Box::new(answer)))
}

#[test]
fn searching_agent_asks_all_others_and_reports_all_answers_together() {
    let (mut agent, actions) = searching_agent(&[2, 3], false);
    let asked = actions.iter().filter(|action| {
        matches!(action, Action::Send { transit: Transit::LookupBatch(lookup), .. }
            if lookup.search.target != OWN)
    });
    assert_eq!(asked.count(), 2);
    assert_eq!(reported(&actions), []);
    assert_eq!(reported(&answer(&mut agent, ms(101), 2)), []);
    let findings = reported(&answer(&mut agent, ms(102), 3));
    let mut targets: Vec<TargetId> = findings.iter().map(|found| found.agent.target).collect();
    targets.sort_unstable();
    assert_eq!(targets, [1, 2, 3]);
    assert!(findings.iter().all(|found| found.denies(0)));
}

/// The answers of the others do not wait for an agent that is gone, and its own is
/// not made up.
#[test]
fn silent_agent_delays_the_report_briefly_and_is_not_in_it() {
    let (mut agent, _) = searching_agent(&[2, 3], false);
    answer(&mut agent, ms(101), 2);
    let findings = reported(&handle(&mut agent, ms(140), Event::Tick));
    let targets: Vec<TargetId> = findings.iter().map(|found| found.agent.target).collect();
    assert_eq!(targets, [1, 2]);
    let late = reported(&answer(&mut agent, ms(300), 3));
    assert_eq!(late.len(), 1, "a late answer should be reported too");
}

#[test]
fn answer_counts_the_known_agents_and_names_doubt() {
    let (mut agent, _) = searching_agent(&[2, 3], true);
    let findings = ask(&mut agent, ms(200), search(&[9], 0));
    assert_eq!((findings.known_agents, findings.has_down_agent), (3, true));
}

/// Flows that a restarted server accepted before its first announcement arrived were
/// ended by it, and reset while they were alive.
#[test]
fn late_announcement_keeps_the_flows_that_the_new_server_accepted() {
    let mut agent = ready_agent(false);
    let event = Event::Announcement(announcement(OWN, 1, 8, State::Ready));
    handle(&mut agent, ms(7_000), event);
    send_open(&mut agent, ms(7_900), 8, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(7_901), 8);
    let event = Event::Announcement(announcement(OWN, 1, 11, State::Ready));
    handle(&mut agent, ms(9_700), event);
    send_open(&mut agent, ms(9_800), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(9_801), 9);
    let event = Event::Announcement(Announcement {
        age: Some(ms(300)),
        ..announcement(OWN, 2, 1, State::Ready)
    });
    handle(&mut agent, ms(10_000), event);
    let findings = ask(&mut agent, ms(10_001), search(&[8, 9], 0));
    assert!(findings.denies(0) && !findings.held.contains(0));
    assert!(findings.held.contains(1));
}

/// Guards against a search of many frames for each flow after a failure of all hosts: the
/// server is asked with the packets of many flows at once, and what it returns is reported
/// in answer to their batch.
#[test]
fn probes_are_delivered_together_and_reported_in_answer_to_their_batch() {
    let mut agent = restarted_agent();
    announce(&mut agent, ms(5), Some(ms(60_000)), 60);
    ask(&mut agent, ms(10), search(&[7, 8, 9], 0));
    let packets = [7, 8, 9].map(|port| (caller_segment(port, Kind::Data, 100), packet()));
    let event = Event::Probes {
        target: OWN,
        entry: entry_address(),
        packets: packets.to_vec(),
    };
    let probed = handle(&mut agent, ms(20), event);
    let delivered = probed
        .iter()
        .filter(|action| matches!(action, Action::Deliver(_)));
    assert_eq!(delivered.count(), 3);
    for port in [7, 8] {
        let returned = return_packet(&mut agent, ms(21), port);
        let is_sent = |action: &Action| matches!(action, Action::Send { .. });
        assert!(!returned.iter().any(is_sent), "{returned:?}");
    }
    let findings = reported(&handle(&mut agent, ms(100), Event::Tick));
    assert_eq!(findings.len(), 1);
    assert!((0..2).all(|index| findings[0].returned.contains(index)));
    assert!(!findings[0].denies(2));
}

/// A probe for another server must not reach this one.
#[test]
fn probes_for_another_server_are_not_delivered() {
    let mut agent = restarted_agent();
    announce(&mut agent, ms(5), Some(ms(60_000)), 60);
    let event = Event::Probes {
        target: OWN + 1,
        entry: entry_address(),
        packets: vec![(caller_segment(9, Kind::Data, 100), packet())],
    };
    assert_eq!(handle(&mut agent, ms(20), event), []);
}

/// Guards against resets of open flows whose callers pause for longer than the agent keeps
/// idle flows, where the deployment allows that.
#[test]
fn flow_that_was_dropped_as_idle_is_probed_within_its_largest_age() {
    let settings = Settings {
        max_flow_age: Duration::from_mins(2),
        ..Settings::default()
    };
    let idle_timeout = settings.idle_timeout;
    let mut agent = Agent::new(settings, hop(OWN), false, ms(0));
    announce(&mut agent, ms(0), None, 1);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(2), 9);
    let idle = idle_timeout + ms(5_000);
    handle(&mut agent, idle, Event::Tick);
    assert!(agent.is_empty());
    let findings = ask(&mut agent, idle, search(&[8, 9], 0));
    assert!(findings.denies(0) && !findings.denies(1));
    assert!(delivers(&look_up(&mut agent, idle, 9)));
    assert_eq!(look_up(&mut agent, idle, 8), []);
    let late = Duration::from_mins(3);
    handle(&mut agent, late, Event::Tick);
    assert!(ask(&mut agent, late, search(&[9], 0)).denies(0));
}

/// Guards against denials beside a server at whose address nobody listens although it runs.
#[test]
fn agent_that_finds_nobody_after_the_announcement_either_denies_nothing() {
    let mut agent = restarted_agent();
    handle(&mut agent, ms(0), Event::ServerAbsent);
    announce(&mut agent, ms(100), Some(ms(50)), 0);
    assert!(!ask(&mut agent, ms(101), search(&[9], 0)).denies(0));
    // It had not been absent when this process first looked.
    let mut agent = restarted_agent();
    handle(&mut agent, ms(0), Event::ServerListening);
    announce(&mut agent, ms(100), Some(ms(50)), 0);
    assert!(!ask(&mut agent, ms(101), search(&[9], 0)).denies(0));
}

/// An entry would ask again only after 400 ms.
#[test]
fn agent_reports_by_itself_once_somebody_listens_where_nobody_did() {
    let mut agent = restarted_agent();
    handle(&mut agent, ms(0), Event::ServerAbsent);
    announce(&mut agent, ms(100), Some(ms(50)), 0);
    assert!(!ask(&mut agent, ms(101), search(&[9], 0)).denies(0));
    let findings = reported(&handle(&mut agent, ms(250), Event::ServerListening));
    assert!(findings[0].complete.contains(0));
}

/// Guards against resets of a flow that only one end has closed, and that was dropped as
/// idle.
#[test]
fn half_closed_flow_that_was_dropped_as_idle_is_probed_too() {
    let settings = Settings {
        max_flow_age: Duration::from_mins(2),
        ..Settings::default()
    };
    let idle = settings.idle_timeout + ms(5_000);
    let mut agent = Agent::new(settings, hop(OWN), false, ms(0));
    announce(&mut agent, ms(0), None, 1);
    send_open(&mut agent, ms(1), 9, open_frame(&[OWN]));
    accept_flow(&mut agent, ms(2), 9);
    let event = Event::Forward {
        forward: forward_frame(OWN),
        segment: caller_segment(9, Kind::Close, 100),
    };
    handle(&mut agent, ms(3), event);
    handle(&mut agent, idle, Event::Tick);
    assert!(agent.is_empty());
    assert!(!ask(&mut agent, idle, search(&[9], 0)).denies(0));
}

/// Guards against a host whose flows stay undecided although its server runs: once a
/// process listens, the server is not missing any more.
#[test]
fn server_that_has_appeared_is_not_missing() {
    let mut agent = restarted_agent();
    handle(&mut agent, ms(0), Event::ServerAbsent);
    handle(&mut agent, ms(500), Event::ServerListening);
    assert!(!agent.lacks_server(ms(900)));
}
