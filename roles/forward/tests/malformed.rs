//! Guards against a process that ends, or a thread that stops reading, because of one
//! frame whose fields contradict each other, as a faulty or newer process may send.
mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::agent::OWN;
use fixtures::agent::ready_agent;
use fixtures::*;
use forward::Entry;
use forward::Route;
use forward::Routes;
use forward::agent;
use forward::entry;
use forward::routes::Share;
use forward::routes::WarmUp;
use proptest::collection::vec;
use proptest::prelude::*;
use wire::Hop;
use wire::Segment;
use wire::TargetId;
use wire::segment::Kind;
use wire::transit::Busy;
use wire::transit::Demand;
use wire::transit::Held;
use wire::transit::HolderAbsent;
use wire::transit::Load;
use wire::transit::Lookup;
use wire::transit::NotHeld;
use wire::transit::Open;
use wire::transit::Search;
use wire::transit::Terms;

/// Longest time that the reader of the platform's numbers accepts: ten years.
const LONGEST: Duration = Duration::from_hours(24 * 365 * 10);

/// Longest path and list of bids of a generated frame; more than an index of eight
/// bits can name.
const MAX_LENGTH: usize = 300;

fn target_id() -> impl Strategy<Value = TargetId> {
    prop_oneof![Just(OWN), 2..5_u64]
}

fn millis() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(u32::MAX), Just(1 << 24), any::<u32>()]
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        Just(Kind::Open),
        Just(Kind::Accept),
        Just(Kind::Data),
        Just(Kind::Close),
        Just(Kind::Reset),
    ]
}

prop_compose! {
    fn segment()(
        port in 1..4_u16,
        kind in kind(),
        is_returned in any::<bool>(),
        is_from_server in any::<bool>(),
        sequence in millis(),
        acknowledged in millis(),
        length in prop_oneof![Just(0), Just(1_200), any::<u16>()],
    ) -> Segment {
        let segment = if is_from_server {
            server_segment(port, kind, length)
        } else {
            caller_segment(port, kind, length)
        };
        Segment { is_returned, sequence, acknowledged, ..segment }
    }
}

prop_compose! {
    fn open()(
        path in prop_oneof![vec(target_id(), 0..5), vec(target_id(), 0..MAX_LENGTH)],
        position in prop_oneof![0..5_u8, any::<u8>()],
        bids in prop_oneof![vec(millis(), 0..5), vec(millis(), 0..MAX_LENGTH)],
        is_settled in any::<bool>(),
        max_wait_ms in millis(),
        demand in proptest::option::of((any::<u64>(), millis(), any::<bool>(), millis())),
    ) -> Open {
        Open {
            path: path.into_iter().map(hop).collect(),
            position,
            bids,
            is_settled,
            max_wait_ms,
            demand: demand.map(|(priority, latency_target_ms, is_idempotent, cold_rate)| Demand {
                priority,
                latency_target_ms,
                is_idempotent,
                cold_rate,
            }),
            ..open_frame(&[OWN])
        }
    }
}

prop_compose! {
    fn load()(running in any::<u16>(), slots in any::<u16>(), micros in [millis(), millis(), millis()])
        -> Load {
        let [service_us, held_us, risk_us] = micros;
        Load { running, slots, service_us, held_us, risk_us, used_permille: None }
    }
}

prop_compose! {
    fn denial()(
        port in 1..4_u16,
        target in target_id(),
        acknowledged in millis(),
        age_ms in proptest::option::of(millis()),
        start in proptest::option::of(any::<u64>()),
        is_empty in any::<bool>(),
    ) -> NotHeld {
        let packet = if is_empty { bytes::Bytes::new() } else { packet() };
        let flow = caller_segment(port, Kind::Data, 0).flow_from_caller();
        NotHeld { flow, target, acknowledged, age_ms, start, packet }
    }
}

prop_compose! {
    fn terms()(may_probe in any::<bool>(), max_age_ms in millis()) -> Terms {
        Terms { may_probe, max_age_ms }
    }
}

/// Times that a configuration or an announcement may state.
fn stated_time() -> impl Strategy<Value = Duration> {
    prop_oneof![
        Just(Duration::ZERO),
        Just(LONGEST),
        (0..10_000_u64).prop_map(ms),
        (0..LONGEST.as_secs()).prop_map(Duration::from_secs),
    ]
}

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(u64::MAX), 0..100_u64, any::<u64>()]
}

prop_compose! {
    fn odd_announcement()(
        start in number(),
        sequence in number(),
        target in target_id(),
        slots in prop_oneof![Just(0), Just(u16::MAX), any::<u16>()],
        is_draining in any::<bool>(),
        age in proptest::option::of(number().prop_map(Duration::from_millis)),
        warm_up in stated_time(),
    ) -> agent::Announcement {
        let state = if is_draining { agent::State::Draining } else { agent::State::Ready };
        agent::Announcement { slots, age, warm_up, ..announcement(target, start, sequence, state) }
    }
}

prop_compose! {
    fn odd_routes()(
        version in number(),
        times in [stated_time(), stated_time(), stated_time(), stated_time()],
        priority in any::<u64>(),
        weight in any::<u32>(),
        rate in any::<u32>(),
    ) -> Routes {
        let known = (1..4).map(|id| target(id, 1, wire::target::State::Ready)).collect();
        let mut routes = Arc::unwrap_or_clone(routes(known));
        let mut table = Arc::unwrap_or_clone(routes.table);
        let [timeout, target_latency, idle_timeout, time] = times;
        for route in table.routes.values_mut() {
            let shares = vec![Share { service: service_address(), weight }];
            *route = Route { shares, timeout, target_latency, priority, is_idempotent: true };
        }
        table.warm_ups.insert(service_address(), WarmUp { time, rate });
        (table.version, table.idle_timeout) = (version, idle_timeout);
        routes.table = Arc::new(table);
        routes
    }
}

fn agent_event() -> impl Strategy<Value = agent::Event> {
    prop_oneof![
        (open(), segment()).prop_map(|(open, segment)| agent::Event::Open { open, segment }),
        (target_id(), segment()).prop_map(|(target, segment)| agent::Event::Forward {
            forward: forward_frame(target),
            segment,
        }),
        (target_id(), terms(), any::<u16>(), segment()).prop_map(
            |(target, terms, known_agents, segment)| agent::Event::Search {
                search: Search {
                    target,
                    entry: entry_address(),
                    terms,
                    known_agents,
                    packet: packet(),
                },
                segment,
            }
        ),
        (target_id(), terms(), segment()).prop_map(|(target, terms, segment)| {
            agent::Event::Lookup {
                lookup: Lookup {
                    target,
                    entry: entry_address(),
                    searcher: hop(7).address,
                    terms,
                    packet: packet(),
                },
                segment,
            }
        }),
        denial().prop_map(agent::Event::PeerDenied),
        segment().prop_map(|segment| agent::Event::ServerPacket {
            segment,
            packet: packet(),
        }),
        odd_announcement().prop_map(agent::Event::Announcement),
        Just(agent::Event::ServerEnded),
        Just(agent::Event::Tick),
    ]
}

fn entry_event() -> impl Strategy<Value = entry::Event> {
    let hop = target_id().prop_map(hop);
    let flow = (1..4_u16).prop_map(|port| caller_segment(port, Kind::Data, 0).flow_from_caller());
    prop_oneof![
        segment().prop_map(|segment| entry::Event::Packet {
            segment,
            packet: packet(),
        }),
        (
            flow.clone(),
            hop,
            proptest::option::of(any::<u64>()),
            proptest::option::of(load())
        )
            .prop_map(|(flow, holder, start, load): (_, Hop, _, _)| {
                entry::Event::Held(Held {
                    flow,
                    holder,
                    start,
                    load,
                })
            }),
        denial().prop_map(entry::Event::NotHeld),
        (flow, target_id(), millis()).prop_map(|(flow, target, acknowledged)| {
            entry::Event::HolderAbsent(HolderAbsent {
                flow,
                target,
                acknowledged,
            })
        }),
        (target_id(), load(), proptest::option::of(any::<u64>())).prop_map(
            |(target, load, refused_from)| entry::Event::Busy(Busy {
                target,
                load,
                refused_from
            })
        ),
        odd_routes().prop_map(|routes| entry::Event::Routes(Arc::new(routes))),
        Just(entry::Event::Tick),
    ]
}

/// Times between two events; the longest exceeds all timeouts of the cores.
fn pause() -> impl Strategy<Value = Duration> {
    prop_oneof![Just(0), 0..300_u64, Just(100_000)].prop_map(ms)
}

proptest! {
    #[test]
    fn no_frame_stops_an_agent(events in vec((agent_event(), pause()), 1..40)) {
        let mut agent = ready_agent(true);
        let mut now = ms(1);
        for (event, pause) in events {
            agent.handle(now, event, &mut Vec::new());
            now += pause;
        }
    }

    #[test]
    fn no_frame_stops_an_entry(events in vec((entry_event(), pause()), 1..40)) {
        let mut entry = Entry::new(entry::Settings::default(), entry_address(), 1, 1, ms(0));
        let known = (1..4).map(|id| target(id, 1, wire::target::State::Ready)).collect();
        entry.handle(ms(0), entry::Event::Routes(routes(known)), &mut Vec::new());
        let mut now = ms(1);
        for (event, pause) in events {
            entry.handle(now, event, &mut Vec::new());
            now += pause;
        }
    }
}

/// Forwards an opening frame by a path that does not hold the next position.
#[test]
fn opening_frame_with_more_bids_than_hops_is_dropped() {
    let mut agent = ready_agent(true);
    let open = Open {
        bids: vec![9, 9, 9, 0, 5],
        max_wait_ms: u32::MAX,
        ..open_frame(&[2, OWN])
    };
    let segment = caller_segment(1, Kind::Open, 0);
    let actions = fixtures::agent::handle(&mut agent, ms(1), agent::Event::Open { open, segment });
    assert_eq!(
        actions,
        [agent::Action::Dropped(agent::DropReason::Malformed)]
    );
}
