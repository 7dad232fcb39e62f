//! Tests that no flow is reset, denied or sent elsewhere because of what an agent says
//! about an earlier time: a copy of the opening packet that it handled late, or an earlier
//! flow from the same port.
mod fixtures;

use std::time::Duration;

use fixtures::agent::*;
use fixtures::entry::entry_with;
use fixtures::entry::flow;
use fixtures::entry::forwarded;
use fixtures::entry::report_holder_absent;
use fixtures::entry::two_zones;
use fixtures::*;
use forward::Agent;
use forward::Entry;
use forward::agent::Action;
use forward::agent::Event;
use forward::agent::State;
use forward::entry;
use wire::Segment;
use wire::TargetId;
use wire::Transit;
use wire::segment::Kind;
use wire::transit::Held;
use wire::transit::NotHeld;

/// Port of the caller.
const PORT: u16 = 9;

/// Start times of a backend server before and after its restart.
const START: u64 = 7;
const RESTART: u64 = 8;

/// Sequence number of another backend server, which the caller acknowledges.
const ELSEWHERE: u32 = 900_000_000;

/// Returns an entry that has sent the opening packet of the flow.
fn entry_with_opening() -> Entry {
    let mut entry = entry_with(two_zones());
    fixtures::entry::send(&mut entry, ms(1), Kind::Open);
    entry
}

fn handle_at(entry: &mut Entry, now: Duration, event: entry::Event) -> Vec<entry::Action> {
    let mut actions = Vec::new();
    entry.handle(now, event, &mut actions);
    actions
}

/// An agent reports that its server, started at `start`, holds the flow.
fn claim(entry: &mut Entry, now: Duration, target: TargetId, start: u64) {
    let held = Held {
        flow: flow(),
        holder: hop(target),
        start: Some(start),
        load: None,
    };
    handle_at(entry, now, entry::Event::Held(held));
}

/// The caller sends a packet with content; returns the agents that it is sent to.
fn use_flow(entry: &mut Entry, now: Duration) -> Vec<TargetId> {
    let segment = caller_segment(PORT, Kind::Data, 100);
    let packet = packet();
    forwarded(&handle_at(
        entry,
        now,
        entry::Event::Packet { segment, packet },
    ))
}

/// An agent returns a packet with content, with the start of its server if that is
/// evidence.
fn deny(
    entry: &mut Entry,
    now: Duration,
    target: TargetId,
    start: Option<u64>,
) -> Vec<entry::Action> {
    let denial = NotHeld {
        flow: flow(),
        target,
        acknowledged: 1,
        age_ms: start.map(|_| 500),
        start,
        packet: packet(),
    };
    handle_at(entry, now, entry::Event::NotHeld(denial))
}

fn is_reset(actions: &[entry::Action]) -> bool {
    let mut actions = actions.iter();
    actions.any(|action| matches!(action, entry::Action::Reset { .. }))
}

/// Guards against resets of an open flow after a late copy of its opening packet reached
/// another agent, whose server has restarted since.
fn restart_of_another_claimant_resets_nothing((holder, other): (TargetId, TargetId)) {
    let mut entry = entry_with_opening();
    claim(&mut entry, ms(150), holder, START);
    use_flow(&mut entry, ms(200));
    claim(&mut entry, ms(800), other, START);
    use_flow(&mut entry, ms(4_000));
    let actions = deny(&mut entry, ms(4_001), other, Some(RESTART));
    assert!(!is_reset(&actions), "{actions:?}");
    assert_eq!(forwarded(&actions), [holder], "the packet should reach it");
    assert_eq!(use_flow(&mut entry, ms(4_100)), [holder]);
}

cases::cases! { restart_of_another_claimant_resets_nothing;
    late_claim_of_a_server_that_restarts: (1, 2),
    late_claim_of_a_server_in_another_zone: (2, 3),
}

/// Guards against flows that nobody resets: each server that may hold the flow has denied
/// it, and one of them has restarted.
#[test]
fn flow_that_all_claimants_deny_is_reset_once_one_has_restarted() {
    let mut entry = entry_with_opening();
    claim(&mut entry, ms(150), 1, START);
    claim(&mut entry, ms(800), 2, START);
    use_flow(&mut entry, ms(4_000));
    assert!(!is_reset(&deny(&mut entry, ms(4_001), 2, Some(RESTART))));
    assert!(is_reset(&deny(&mut entry, ms(4_002), 1, Some(START))));
}

/// Guards against resets when nobody has restarted: a claimant that is not known may hold
/// the flow.
#[test]
fn flow_that_all_claimants_deny_is_searched_for_if_none_has_restarted() {
    let mut entry = entry_with_opening();
    claim(&mut entry, ms(150), 1, START);
    claim(&mut entry, ms(800), 2, START);
    use_flow(&mut entry, ms(4_000));
    deny(&mut entry, ms(4_001), 2, None);
    let actions = deny(&mut entry, ms(4_002), 1, None);
    assert!(!is_reset(&actions));
    assert!(!fixtures::entry::asked_to_search(&actions).is_empty());
}

/// Guards against two agents that are sent the packets of a flow by turns.
#[test]
fn claimant_that_has_denied_a_flow_is_not_asked_again() {
    let mut entry = entry_with_opening();
    claim(&mut entry, ms(150), 1, START);
    claim(&mut entry, ms(800), 2, START);
    deny(&mut entry, ms(900), 1, None);
    let actions = deny(&mut entry, ms(4_001), 2, None);
    assert_eq!(forwarded(&actions), [] as [TargetId; 0]);
}

/// Guards against a record that an agent's late word about its opening packet removes.
#[test]
fn denied_opening_packet_leaves_the_flow_at_the_other_claimant() {
    let mut entry = entry_with_opening();
    claim(&mut entry, ms(150), 1, START);
    claim(&mut entry, ms(800), 2, START);
    let denial = NotHeld {
        flow: flow(),
        target: 2,
        acknowledged: 1,
        age_ms: None,
        start: None,
        packet: bytes::Bytes::new(),
    };
    handle_at(&mut entry, ms(900), entry::Event::NotHeld(denial));
    assert_eq!(use_flow(&mut entry, ms(1_000)), [1]);
}

/// Guards against resets by a claim that was made before a restart and arrives after one
/// that was made later: the start recorded is then that of an earlier server.
#[test]
fn claim_of_an_earlier_server_at_the_same_host_is_no_evidence_of_a_restart() {
    let mut entry = entry_with_opening();
    claim(&mut entry, ms(150), 1, RESTART);
    claim(&mut entry, ms(800), 1, START);
    use_flow(&mut entry, ms(4_000));
    assert!(!is_reset(&deny(&mut entry, ms(4_001), 1, Some(RESTART))));
}

/// Guards against resets of a flow because nobody holds an earlier one from its port.
#[test]
fn absence_of_an_earlier_flow_from_the_same_port_resets_nothing() {
    let mut entry = entry_with(two_zones());
    let segment = Segment {
        acknowledged: ELSEWHERE,
        ..caller_segment(PORT, Kind::Data, 100)
    };
    let packet = packet();
    let event = entry::Event::Packet { segment, packet };
    let asked = fixtures::entry::asked_to_search(&handle_at(&mut entry, ms(1_000), event));
    let actions = report_holder_absent(&mut entry, ms(1_005), asked[0]);
    assert!(!is_reset(&actions), "{actions:?}");
}

/// Returns the header of a caller's packet that acknowledges a server.
fn content(acknowledged: u32) -> Segment {
    Segment {
        acknowledged,
        ..caller_segment(PORT, Kind::Data, 100)
    }
}

fn forward_content(agent: &mut Agent, now: Duration, acknowledged: u32) -> Vec<Action> {
    let event = Event::Forward {
        forward: forward_frame(OWN),
        segment: content(acknowledged),
    };
    handle(agent, now, event)
}

fn restart_server(agent: &mut Agent, now: Duration) {
    let restarted = announcement(OWN, 2, 1, State::Ready);
    handle(agent, now, Event::Announcement(restarted));
}

fn denial(actions: &[Action]) -> Option<&NotHeld> {
    actions.iter().find_map(|action| match action {
        Action::Send {
            transit: Transit::NotHeld(denial),
            ..
        } => Some(denial),
        _ => None,
    })
}

fn claims(actions: &[Action]) -> bool {
    let mut actions = actions.iter();
    actions.any(|action| {
        matches!(
            action,
            Action::Send {
                transit: Transit::Held(_),
                ..
            }
        )
    })
}

/// Guards against denials that let an entry reset a flow which another server holds: this
/// one restarted, but had never been the caller's choice.
fn denial_by_a_server_that_was_not_chosen_is_no_evidence(has_accepted: bool) {
    let mut agent = ready_agent(false);
    send_open(&mut agent, ms(1), PORT, open_frame(&[OWN]));
    if has_accepted {
        accept_flow(&mut agent, ms(2), PORT);
    }
    restart_server(&mut agent, ms(5_000));
    let actions = forward_content(&mut agent, ms(6_000), ELSEWHERE);
    let denial = denial(&actions).expect("a denial");
    assert_eq!((denial.start, denial.age_ms), (None, None));
}

cases::cases! { denial_by_a_server_that_was_not_chosen_is_no_evidence;
    server_that_accepted_a_copy: true,
    server_that_had_not_answered_the_copy: false,
}

/// Returns an agent that has just started beside a server, and has probed it.
fn probing_agent() -> Agent {
    let mut agent = ready_agent(true);
    let actions = forward_content(&mut agent, ms(1_000), ELSEWHERE);
    assert!(delivers(&actions), "{actions:?}");
    agent
}

fn server_sends(agent: &mut Agent, now: Duration, sequence: u32) -> Vec<Action> {
    let segment = Segment {
        sequence,
        ..server_segment(PORT, Kind::Data, 0)
    };
    let packet = packet();
    handle(agent, now, Event::ServerPacket { segment, packet })
}

/// Guards against claims of a flow by an agent whose server holds an earlier one from the
/// same port: packets of the flow then reach that server only.
#[test]
fn answer_on_an_earlier_flow_from_the_same_port_is_no_claim() {
    let mut agent = probing_agent();
    let actions = server_sends(&mut agent, ms(1_001), 5_000);
    assert!(!claims(&actions), "{actions:?}");
    assert!(denial(&actions).is_some(), "{actions:?}");
    let actions = forward_content(&mut agent, ms(1_100), ELSEWHERE);
    assert!(!delivers(&actions), "{actions:?}");
}

/// Guards against flows that an agent does not claim although its server holds them.
#[test]
fn answer_on_the_flow_that_was_probed_is_a_claim() {
    let mut agent = probing_agent();
    let actions = server_sends(&mut agent, ms(1_001), ELSEWHERE.wrapping_add(2_400));
    assert!(claims(&actions), "{actions:?}");
    assert!(delivers(&forward_content(&mut agent, ms(1_100), ELSEWHERE)));
}

/// Guards against packets at a server that has shown only an earlier flow from their port.
#[test]
fn flow_that_a_server_has_shown_is_told_from_a_later_one() {
    let mut agent = ready_agent(true);
    server_sends(&mut agent, ms(900), 5_000);
    let actions = forward_content(&mut agent, ms(1_000), ELSEWHERE);
    assert!(!delivers(&actions), "{actions:?}");
    server_sends(&mut agent, ms(1_100), 5_000);
    assert!(delivers(&forward_content(&mut agent, ms(1_200), 5_000)));
}

/// Guards against denials of an open flow by an agent that was handed an old copy of its
/// opening packet after a restart: the server answers it on the flow that it holds.
#[test]
fn old_copy_of_an_opening_packet_does_not_hide_the_flow() {
    let mut agent = ready_agent(true);
    send_open(&mut agent, ms(1_000), PORT, open_frame(&[OWN]));
    server_sends(&mut agent, ms(1_001), 5_000);
    let actions = forward_content(&mut agent, ms(6_000), 5_000);
    assert!(delivers(&actions), "{actions:?}");
}
