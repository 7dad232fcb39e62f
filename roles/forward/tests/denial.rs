//! Tests when an entry resets a flow that agents deny to hold.
mod fixtures;

use std::sync::Arc;

use fixtures::entry::*;
use fixtures::*;
use forward::Entry;
use forward::Routes;
use forward::entry::Event;
use forward::entry::Settings;
use forward::routes::Share;
use forward::routes::Table;
use wire::Segment;
use wire::ServiceAddress;
use wire::Target;
use wire::segment::Kind;
use wire::target::State;

#[test]
fn flow_denied_by_all_agents_is_reset() {
    let mut entry = entry_with(two_zones());
    let asked = send(&mut entry, ms(1_000), Kind::Data);
    let settings = Settings::default();
    let max_age_ms = search_terms(&asked).unwrap().max_age_ms;
    assert_eq!(ms(max_age_ms.into()), ms(1_000) + settings.start_skew);
    assert!(resets(&report_holder_absent(
        &mut entry,
        ms(1_005),
        asked_to_search(&asked)[0]
    )));
}

/// One address may have routes to two services.
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
        ..target(5, LOCAL_ZONE, State::Ready)
    };
    both.targets.insert(other, Arc::new(vec![third]));
    let mut entry = Entry::new(Settings::default(), entry_address(), LOCAL_ZONE, 1, ms(0));
    handle(&mut entry, ms(0), Event::Routes(Arc::new(both)));
    let asked = asked_to_search(&send(&mut entry, ms(1_000), Kind::Data));
    assert_eq!(asked.len(), 2, "one agent of each service should be asked");
    assert!(!resets(&report_holder_absent(
        &mut entry,
        ms(1_005),
        asked[0]
    )));
    assert!(resets(&report_holder_absent(&mut entry, ms(1_006), 5)));
}

#[test]
fn flow_is_not_reset_while_a_server_may_be_unreachable() {
    let known = Arc::unwrap_or_clone(routes(two_zones()));
    let routes = Routes {
        services_with_down_targets: [service_address()].into(),
        ..known
    };
    let mut entry = Entry::new(Settings::default(), entry_address(), LOCAL_ZONE, 1, ms(0));
    handle(&mut entry, ms(0), Event::Routes(Arc::new(routes)));
    let asked = send(&mut entry, ms(1_000), Kind::Data);
    assert_eq!(search_terms(&asked).unwrap().max_age_ms, 0);
    assert!(!resets(&report_holder_absent(
        &mut entry,
        ms(1_005),
        asked_to_search(&asked)[0]
    )));
}

#[test]
fn flow_is_not_reset_while_agents_are_being_discovered() {
    let mut entry = entry_with(two_zones());
    let asked = asked_to_search(&send(&mut entry, ms(1_000), Kind::Data));
    let mut more = two_zones();
    more.push(target(4, LOCAL_ZONE, State::Ready));
    handle(&mut entry, ms(1_001), Event::Routes(routes(more)));
    assert!(!resets(&report_holder_absent(
        &mut entry,
        ms(1_005),
        asked[0]
    )));
}

#[test]
fn entry_older_than_stale_flows_asks_for_no_denials() {
    let mut entry = entry_with(two_zones());
    let now = Settings::default().stale_flow_window + ms(1);
    let asked = search_terms(&send(&mut entry, now, Kind::Data)).unwrap();
    assert_eq!(asked.max_age_ms, 0);
}

#[test]
fn flow_is_reset_after_a_restart_of_its_holder() {
    let mut entry = entry_with(two_zones());
    send(&mut entry, ms(1), Kind::Open);
    report_holder(&mut entry, ms(2), 1);
    let restarted = SERVER_START + 1;
    assert!(
        !resets(&report_not_held(&mut entry, ms(5_000), 2, restarted)),
        "a denial by another agent than the holder should not reset the flow"
    );
    assert!(resets(&report_not_held(
        &mut entry,
        ms(5_000),
        1,
        restarted
    )));
}

/// An agent may admit a flow, find that its backend server does not accept it,
/// and forward the open. Its first report is thus no evidence that its server
/// ever held the flow.
#[test]
fn flow_denied_by_its_holder_is_searched_for_if_the_holder_has_not_restarted() {
    let mut entry = entry_with(two_zones());
    send(&mut entry, ms(1), Kind::Open);
    report_holder(&mut entry, ms(2), 1);
    let actions = report_not_held(&mut entry, ms(5_000), 1, SERVER_START);
    assert!(!resets(&actions));
    assert_eq!(
        asked_to_search(&actions),
        [2],
        "the other agent of the local zone should be asked"
    );
}

/// Guards against resets of a flow from a port that an earlier flow used: the earlier
/// one's holder has restarted since and denies the later one, which another server holds.
#[test]
fn denial_of_a_later_flow_from_the_same_port_resets_nothing() {
    let mut entry = entry_with(two_zones());
    send(&mut entry, ms(1), Kind::Open);
    report_holder(&mut entry, ms(2), 1);
    let segment = Segment {
        acknowledged: 900_000_000,
        ..caller_segment(9, Kind::Data, 100)
    };
    let packet = packet();
    handle(&mut entry, ms(3), Event::Packet { segment, packet });
    let actions = report_not_held(&mut entry, ms(5_000), 1, SERVER_START + 1);
    assert!(!resets(&actions));
    assert!(!asked_to_search(&actions).is_empty(), "{actions:?}");
}
