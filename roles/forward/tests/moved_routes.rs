//! Tests that flows opened before a configuration named another service for their address
//! are found at the backend servers of the former one.
mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::batches::*;
use fixtures::*;
use forward::Entry;
use forward::History;
use forward::Routes;
use forward::entry::Action;
use forward::entry::Event;
use forward::entry::Settings;
use forward::routes::Table;
use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;
use wire::Transit;
use wire::batch::Bitmap;
use wire::batch::Findings;
use wire::segment::Kind;
use wire::target::State;
use wire::transit::HolderAbsent;

/// Backend servers of the service that the route names, and of the one that it named
/// before.
const CURRENT: [TargetId; 2] = [1, 2];
const FORMER: [TargetId; 2] = [3, 4];

/// Number of flows; some are searched for one by one, and the others in batches.
const FLOWS: u16 = 20;

/// Largest age of a flow.
const MAX_FLOW_AGE: Duration = Duration::from_mins(1);

/// Time at which the route is changed, while the first entry knows all configurations.
const CHANGE: Duration = Duration::from_mins(2);

/// Time at which the entry gets the flows' packets.
const ARRIVAL: Duration = Duration::from_secs(125);

fn former_service() -> ServiceAddress {
    "10.9.0.7:443".parse().unwrap()
}

fn targets(ids: [TargetId; 2], service: ServiceAddress) -> Arc<Vec<Target>> {
    let target = |id| Target {
        service,
        ..target(id, 1, State::Ready)
    };
    Arc::new(ids.map(target).to_vec())
}

/// Returns the routes after the change, as an entry knows them that started at
/// `started_at`.
fn moved_routes(started_at: Duration) -> Arc<Routes> {
    let mut routes = Arc::unwrap_or_clone(routes(Vec::new()));
    routes.targets = [
        (service_address(), targets(CURRENT, service_address())),
        (former_service(), targets(FORMER, former_service())),
    ]
    .into();
    let mut former = Table::clone(&routes.table);
    for route in former.routes.values_mut() {
        route.shares[0].service = former_service();
    }
    let mut history = History::new(MAX_FLOW_AGE);
    if started_at < CHANGE {
        history.record(started_at, &Table::default(), &former);
        history.record(CHANGE, &former, &routes.table);
    } else {
        history.record(started_at, &Table::default(), &routes.table);
    }
    routes.history = history;
    Arc::new(routes)
}

/// What became of the flows.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    /// Whether the first batch, and any, asked the servers of the former service.
    is_former_asked_first: bool,
    is_former_asked: bool,
    resets: usize,
    /// Flows whose packets were sent to their holder.
    forwarded: usize,
}

/// Sends packets of unknown flows to an entry that started at `started_at`, and answers
/// its searches for a second: all servers deny the flows but `holder`.
fn search(started_at: Duration, arrival: Duration, holder: Option<TargetId>) -> Outcome {
    search_with(started_at, arrival, holder, |_| ())
}

/// Does so with changed answers of the former service.
fn search_with(
    started_at: Duration,
    arrival: Duration,
    holder: Option<TargetId>,
    change: impl Fn(&mut Findings),
) -> Outcome {
    let mut entry = Entry::new(Settings::default(), entry_address(), 1, 1, started_at);
    handle(
        &mut entry,
        started_at,
        Event::Routes(moved_routes(started_at)),
    );
    let mut outcome = Outcome::default();
    let mut now = arrival;
    let mut actions: Vec<Action> = (1..=FLOWS)
        .flat_map(|port| send(&mut entry, arrival, port, Kind::Data))
        .collect();
    let mut is_first = true;
    while now < arrival + Duration::from_secs(1) {
        outcome.resets += resets(&actions).len();
        let sent = std::mem::take(&mut actions);
        for action in sent {
            let Action::Send { transit, .. } = action else {
                continue;
            };
            match transit {
                Transit::SearchBatch(asked) => {
                    let is_former = FORMER.contains(&asked.target);
                    outcome.is_former_asked |= is_former;
                    outcome.is_former_asked_first |= is_former && is_first;
                    let servers = if is_former { FORMER } else { CURRENT };
                    let findings = servers.map(|id| {
                        let mut findings = denial(&asked, id);
                        findings.known_agents = 2;
                        if is_former {
                            change(&mut findings);
                        }
                        if holder == Some(id) {
                            std::mem::swap(&mut findings.held, &mut findings.complete);
                        }
                        findings
                    });
                    actions.extend(report(&mut entry, now, &asked, findings.into()));
                }
                Transit::Search(asked)
                    if holder.is_none_or(|id| {
                        CURRENT.contains(&id) != CURRENT.contains(&asked.target)
                    }) =>
                {
                    let flow = decode(&asked.packet).flow_from_caller();
                    let absent = HolderAbsent {
                        flow,
                        target: asked.target,
                        acknowledged: 1,
                    };
                    actions.extend(handle(&mut entry, now, Event::HolderAbsent(absent)));
                }
                Transit::Forward(forward) if Some(forward.target) == holder => {
                    outcome.forwarded += 1;
                }
                _ => {}
            }
        }
        is_first &= now < arrival + ms(20);
        now += ms(10);
        actions.extend(handle(&mut entry, now, Event::Tick));
    }
    outcome
}

const STARTED_BEFORE: Duration = Duration::ZERO;
const STARTED_AFTER: Duration = Duration::from_secs(123);

/// Guards against resets of flows whose route names another service by now, at an entry
/// that followed the change.
#[test]
fn flow_of_a_moved_route_is_found_at_the_former_service() {
    let outcome = search(STARTED_BEFORE, ARRIVAL, Some(FORMER[1]));
    assert_eq!((outcome.resets, outcome.forwarded), (0, FLOWS.into()));
    assert!(outcome.is_former_asked_first, "{outcome:?}");
}

/// Guards against resets of such flows at an entry that started after the change.
#[test]
fn entry_that_started_after_the_change_finds_the_flow_too() {
    let outcome = search(STARTED_AFTER, ARRIVAL, Some(FORMER[0]));
    assert_eq!((outcome.resets, outcome.forwarded), (0, FLOWS.into()));
}

/// Guards against a search of all services for flows that the route's own one holds.
#[test]
fn flow_of_the_current_service_is_searched_for_there_only() {
    let outcome = search(STARTED_AFTER, ARRIVAL, Some(CURRENT[0]));
    assert_eq!((outcome.resets, outcome.forwarded), (0, FLOWS.into()));
    assert!(!outcome.is_former_asked, "{outcome:?}");
}

/// Guards against flows that nobody resets although no server holds them.
#[test]
fn flow_that_the_servers_of_both_services_deny_is_reset() {
    for started_at in [STARTED_BEFORE, STARTED_AFTER] {
        let outcome = search(started_at, ARRIVAL, None);
        assert_eq!(outcome.resets, usize::from(FLOWS), "{started_at:?}");
        assert!(outcome.is_former_asked);
    }
}

/// Guards against searches at former services for ever.
#[test]
fn former_service_is_asked_for_as_long_as_its_flows_may_be_open() {
    let late = CHANGE + 2 * MAX_FLOW_AGE;
    for started_at in [STARTED_BEFORE, STARTED_AFTER] {
        let outcome = search(started_at, late, None);
        assert!(!outcome.is_former_asked, "{started_at:?}");
        assert_eq!(outcome.resets, usize::from(FLOWS));
    }
}

/// Guards against resets of flows by an entry that has followed a second change, which
/// took the route back.
#[test]
fn services_of_all_earlier_configurations_are_candidates() {
    let routes = moved_routes(STARTED_BEFORE);
    let address = CALLED_ADDRESS.parse().unwrap();
    let mut history = routes.history.clone();
    let mut back = Table::clone(&routes.table);
    back.routes.clear();
    history.record(CHANGE + ms(500), &routes.table, &back);
    let all: Vec<ServiceAddress> = history.services(CHANGE + ms(600), address).collect();
    assert_eq!(all.len(), 2, "{all:?}");
}

/// Guards against flows that stay silent after a failure of everything because agents of a
/// service that the route may have named before cannot tell: no probe may go there. A
/// service with an older server may hold them.
#[test]
fn flow_that_young_servers_of_another_service_do_not_hold_is_reset() {
    for (age_ms, resets) in [(500, usize::from(FLOWS)), (u32::MAX, 0)] {
        let outcome = search_with(STARTED_AFTER, ARRIVAL, None, |findings| {
            findings.complete = Bitmap::default();
            findings.age_ms = Some(age_ms);
        });
        assert_eq!(outcome.resets, resets, "{age_ms}");
        assert!(outcome.is_former_asked);
    }
}
