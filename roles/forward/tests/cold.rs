//! Tests the limit of new flows at cold backend servers.
mod fixtures;

use std::time::Duration;

use fixtures::agent::*;
use fixtures::classes::Simulation;
use fixtures::scenario::*;
use fixtures::*;
use forward::Agent;
use forward::agent::Announcement;
use forward::agent::Event;
use forward::agent::Settings;
use forward::agent::State;
use limit::warm_up;
use wire::transit::Demand;
use wire::transit::Open;

/// New flows per 1,000 s that a cold server bears, and those that it may get in any one
/// second.
const COLD_RATE: u32 = 16_000;
const LIMIT: usize = 29;
const COLD: warm_up::Settings = warm_up::Settings {
    factor: 1.5,
    slack: 5.0,
};

fn cold_agent(may_hold_prior_flows: bool) -> Agent {
    let settings = Settings {
        warm_up: Some(COLD),
        max_queued: 1_000,
        ..Settings::default()
    };
    Agent::new(settings, hop(OWN), may_hold_prior_flows, ms(0))
}

fn announce(agent: &mut Agent, now: Duration, warm_up: Duration) {
    let announced = Announcement {
        warm_up,
        ..announcement(
            OWN,
            1,
            5 + u64::try_from(now.as_millis()).unwrap(),
            State::Ready,
        )
    };
    handle(agent, now, Event::Announcement(announced));
}

/// A flow arrives; returns whether its opening packet was delivered.
fn open(agent: &mut Agent, now: Duration, port: u16) -> bool {
    let open = Open {
        demand: Some(Demand {
            priority: 1,
            latency_target_ms: 200,
            is_idempotent: true,
            cold_rate: COLD_RATE,
        }),
        max_wait_ms: 5_000,
        ..open_frame(&[OWN])
    };
    let is_opened = delivers(&send_open(agent, now, port, open));
    if is_opened {
        accept_flow(agent, now, port);
    }
    is_opened
}

fn count_opened(agent: &mut Agent, now: Duration, ports: std::ops::Range<u16>) -> usize {
    ports.filter(|port| open(agent, now, *port)).count()
}

#[test]
fn cold_server_gets_no_more_flows_than_its_limit() {
    let mut agent = cold_agent(false);
    announce(&mut agent, ms(0), ms(5_000));
    assert_eq!(count_opened(&mut agent, ms(10), 1..20), 19);
    assert_eq!(count_opened(&mut agent, ms(900), 100..150), LIMIT - 19);
    assert_eq!(count_opened(&mut agent, ms(1_000), 200..210), 0);
}

/// An earlier process may have sent the server its flows just before it ended.
#[test]
fn process_that_starts_beside_a_cold_server_counts_the_second_before_as_used_up() {
    let mut agent = cold_agent(true);
    announce(&mut agent, ms(10), ms(5_000));
    assert_eq!(count_opened(&mut agent, ms(20), 1..3), 0);
    assert_eq!(count_opened(&mut agent, ms(990), 10..13), 0);
}

/// Whether the server is cold is not known before its first announcement.
#[test]
fn server_that_has_not_announced_itself_counts_as_cold() {
    let mut agent = cold_agent(true);
    assert_eq!(count_opened(&mut agent, ms(20), 1..3), 0);
    announce(&mut agent, ms(30), Duration::ZERO);
    assert_eq!(count_opened(&mut agent, ms(40), 10..13), 3);
}

#[test]
fn warm_server_is_not_limited() {
    let mut agent = cold_agent(false);
    announce(&mut agent, ms(0), ms(300));
    count_opened(&mut agent, ms(10), 1..40);
    assert_eq!(count_opened(&mut agent, ms(400), 200..240), 40);
}

/// Flows that have waited would reach the server all at once.
#[test]
fn flows_that_waited_are_limited_too() {
    let mut agent = cold_agent(false);
    announce(&mut agent, ms(0), ms(5_000));
    let mut opened = count_opened(&mut agent, ms(10), 1..60);
    for now in (20..1_010).step_by(10) {
        let actions = handle(&mut agent, ms(now), Event::Tick);
        opened += actions
            .iter()
            .filter(|action| matches!(action, forward::agent::Action::Deliver(_)))
            .count();
    }
    assert_eq!(opened, LIMIT);
    let actions = handle(&mut agent, ms(1_070), Event::Tick);
    assert!(delivers(&actions), "{actions:?}");
}

/// All servers start at once and are cold for longer than the test.
fn all_start(load: f64, cold: Option<warm_up::Settings>) -> Report {
    let report = Simulation::new(Scenario {
        duration: ms(4_000),
        counted_from: ms(1_000),
        warm_up: ms(20_000),
        cold_rate: COLD_RATE,
        cold,
        ..overload(load)
    })
    .run();
    println!("{report:?}");
    report
}

#[test]
fn servers_that_all_start_at_once_get_no_more_flows_than_their_limit() {
    let (with, without) = (all_start(0.9, Some(COLD)), all_start(0.9, None));
    assert!(with.most_opened <= LIMIT, "{with:?}");
    assert!(without.most_opened > LIMIT, "{without:?}");
}

/// A service whose servers are all cold serves the most urgent flows first.
#[test]
fn urgent_flows_get_the_budget_of_cold_servers_first() {
    let report = all_start(1.3, Some(COLD));
    let prompt = |work: usize| report.outcomes[work].prompt_share();
    assert!(prompt(URGENT) > prompt(0).max(prompt(2)), "{report:?}");
    assert!(
        report.outcomes[URGENT].answered_share() > 0.95,
        "{report:?}"
    );
}
