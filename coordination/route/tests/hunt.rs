//! Relaying of opens: every open ends after a bounded number of hops, even for
//! invalid frames.
use std::net::SocketAddr;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use route::hunt;
use route::hunt::Bid;
use route::hunt::Step;
use wire::Hop;
use wire::Relay;
use wire::frame::MAX_HOPS;

fn hop(target: u64) -> Hop {
    Hop {
        target,
        address: SocketAddr::from(([198, 51, 100, 1], 7000)),
    }
}

fn relay(path: usize) -> Relay {
    Relay {
        caller: SocketAddr::from(([203, 0, 113, 1], 4000)),
        service: SocketAddr::from(([192, 0, 2, 1], 53)),
        entry: SocketAddr::from(([198, 51, 100, 2], 7000)),
        revision: 1,
        home: hop(0),
        path: (0..).map(hop).take(path).collect(),
        position: 0,
        bids: Vec::new(),
        is_settled: false,
        packet: vec![1, 2, 3].into(),
    }
}

/// The position at which an open ends, and the number of hops before that.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Taken { position: u8, hops: usize },
    Refused { hops: usize },
}

fn walk(mut relay: Relay, bids: &[Bid]) -> End {
    for hops in 0.. {
        let position = relay.position;
        let full = Bid {
            free: false,
            wait: Duration::MAX,
            load: Duration::ZERO,
        };
        let bid = bids.get(usize::from(position)).copied().unwrap_or(full);
        relay = match hunt::step(relay, bid) {
            Step::Accept => return End::Taken { position, hops },
            Step::Refuse => return End::Refused { hops },
            Step::Forward(relay) => relay,
        };
        assert!(
            hops <= MAX_HOPS + 1,
            "the open was still forwarded after {hops} hops"
        );
    }
    unreachable!("the loop ends with an assertion or a return")
}

const FREE: Bid = Bid {
    free: true,
    wait: Duration::ZERO,
    load: Duration::ZERO,
};

const fn busy(millis: u64) -> Bid {
    Bid {
        free: false,
        wait: Duration::from_millis(millis),
        load: Duration::ZERO,
    }
}

/// The bid of an agent with a free slot for a bound flow.
const fn loaded(millis: u64) -> Bid {
    Bid {
        free: true,
        wait: Duration::ZERO,
        load: Duration::from_millis(millis),
    }
}

/// The bid of an agent without a free slot for a bound flow.
const fn queued(wait: u64, load: u64) -> Bid {
    Bid {
        free: false,
        wait: Duration::from_millis(wait),
        load: Duration::from_millis(load),
    }
}

/// The bid of an agent that accepts no flows.
const CLOSED: Bid = Bid {
    free: false,
    wait: Duration::MAX,
    load: Duration::MAX,
};

struct Hunt {
    bids: [Bid; 3],
    end: End,
}

fn an_open_ends_at(hunt: &Hunt) {
    assert_eq!(walk(relay(hunt.bids.len()), &hunt.bids), hunt.end);
}

cases::cases! { an_open_ends_at;
    an_open_ends_at_the_first_free_agent: &Hunt { bids: [FREE, FREE, FREE], end: End::Taken { position: 0, hops: 0 } },
    an_open_ends_at_the_last_agent_if_only_it_is_free: &Hunt { bids: [busy(1), busy(1), FREE], end: End::Taken { position: 2, hops: 2 } },
    an_open_ends_at_the_shortest_wait: &Hunt { bids: [busy(30), busy(10), busy(20)], end: End::Taken { position: 1, hops: 3 } },
    an_open_ends_at_the_last_agent_if_it_has_the_shortest_wait: &Hunt { bids: [busy(30), busy(20), busy(10)], end: End::Taken { position: 2, hops: 2 } },
    an_open_ends_at_the_lowest_load_although_the_first_agent_has_a_free_slot: &Hunt { bids: [loaded(90), loaded(80), loaded(10)], end: End::Taken { position: 2, hops: 2 } },
    an_open_ends_at_the_first_free_agent_without_load: &Hunt { bids: [loaded(90), loaded(0), loaded(0)], end: End::Taken { position: 1, hops: 1 } },
    an_open_ends_at_the_first_agent_of_equal_loads: &Hunt { bids: [loaded(5), loaded(5), loaded(5)], end: End::Taken { position: 0, hops: 3 } },
    an_open_ends_at_the_lowest_sum_of_wait_and_load: &Hunt { bids: [queued(30, 10), queued(5, 20), loaded(60)], end: End::Taken { position: 1, hops: 3 } },
    an_open_ends_at_the_only_agent_that_accepts_flows: &Hunt { bids: [CLOSED, loaded(4_000_000), CLOSED], end: End::Taken { position: 1, hops: 3 } },
    an_open_ends_at_the_first_agent_of_equal_waits: &Hunt { bids: [busy(10), busy(10), busy(10)], end: End::Taken { position: 0, hops: 3 } },
}

struct InvalidFrame {
    path: usize,
    position: u8,
    waits: usize,
    settle: bool,
}

fn an_invalid_frame_is_refused(invalid: &InvalidFrame) {
    let relay = Relay {
        position: invalid.position,
        bids: vec![1; invalid.waits],
        is_settled: invalid.settle,
        ..relay(invalid.path)
    };
    assert_eq!(hunt::step(relay, FREE), Step::Refuse);
}

cases::cases! { an_invalid_frame_is_refused;
    an_empty_path_is_refused: &InvalidFrame { path: 0, position: 0, waits: 0, settle: false },
    an_empty_path_of_a_settled_open_is_refused: &InvalidFrame { path: 0, position: 0, waits: 0, settle: true },
    a_position_past_the_path_is_refused: &InvalidFrame { path: 3, position: 3, waits: 3, settle: false },
    the_largest_position_is_refused: &InvalidFrame { path: 3, position: u8::MAX, waits: 3, settle: true },
    too_many_waits_are_refused: &InvalidFrame { path: 3, position: 1, waits: 200, settle: false },
    too_few_waits_are_refused: &InvalidFrame { path: 3, position: 2, waits: 1, settle: false },
    too_many_waits_of_a_settled_open_are_refused: &InvalidFrame { path: 3, position: 1, waits: 200, settle: true },
    a_path_that_is_too_long_is_refused: &InvalidFrame { path: MAX_HOPS + 1, position: 0, waits: 0, settle: false },
}

fn bid() -> impl Strategy<Value = Bid> {
    (any::<bool>(), 0_u64..10_000).prop_map(|(free, wait)| Bid {
        free,
        wait: Duration::from_millis(wait),
        load: Duration::ZERO,
    })
}

fn loaded_bid() -> impl Strategy<Value = Bid> {
    (bid(), 1_u64..10_000).prop_map(|(bid, load)| Bid {
        load: Duration::from_millis(load),
        ..bid
    })
}

fn any_bid() -> impl Strategy<Value = Bid> {
    prop_oneof![bid(), loaded_bid(), Just(CLOSED)]
}

proptest! {
    /// Among agents without load, an open ends at the first one with a free
    /// slot, or if there is none, at the one with the shortest wait.
    #[test]
    fn an_open_ends_at_the_first_free_agent_or_the_shortest_wait(bids in vec(bid(), 1..=MAX_HOPS)) {
        let first_free = bids.iter().position(|bid| bid.free);
        let least = bids.iter().enumerate().min_by_key(|(_, bid)| bid.wait).map(|(index, _)| index);
        let expected = first_free.or(least).map(|index| u8::try_from(index).unwrap());
        match walk(relay(bids.len()), &bids) {
            End::Taken { position, hops } => {
                prop_assert_eq!(Some(position), expected);
                prop_assert!(hops <= bids.len());
            }
            End::Refused { .. } => prop_assert!(false, "a valid frame is accepted"),
        }
    }

    /// An open along loaded agents visits its whole path and ends at the agent
    /// with the lowest bid.
    #[test]
    fn an_open_along_loaded_agents_ends_at_the_lowest_bid(bids in vec(loaded_bid(), 1..=MAX_HOPS)) {
        let total = |bid: &Bid| bid.wait + bid.load;
        let least = bids.iter().enumerate().min_by_key(|(_, bid)| total(bid)).map(|(index, _)| index);
        let least = u8::try_from(least.unwrap()).unwrap();
        match walk(relay(bids.len()), &bids) {
            End::Taken { position, hops } => {
                prop_assert_eq!(position, least);
                prop_assert!((bids.len() - 1..=bids.len()).contains(&hops));
            }
            End::Refused { .. } => prop_assert!(false, "a valid frame is accepted"),
        }
    }

    /// A settled open is accepted or refused, never forwarded, for any bid.
    #[test]
    fn a_settled_open_is_not_forwarded(
        path in 0_usize..20,
        position in any::<u8>(),
        waits in vec(any::<u32>(), 0..20),
        bid in any_bid(),
    ) {
        let relay = Relay { position, bids: waits, is_settled: true, ..relay(path) };
        let step = hunt::step(relay, bid);
        prop_assert!(matches!(step, Step::Accept | Step::Refuse), "{:?}", step);
    }

    /// Even an invalid frame is forwarded a bounded number of times, and its
    /// list of waits does not become longer than its path.
    #[test]
    fn every_frame_is_forwarded_a_bounded_number_of_times(
        path in 0_usize..20,
        position in any::<u8>(),
        waits in vec(any::<u32>(), 0..20),
        settle in any::<bool>(),
        bids in vec(any_bid(), 0..20),
        first in any_bid(),
    ) {
        let relay = Relay { position, bids: waits, is_settled: settle, ..relay(path) };
        if let Step::Forward(next) = hunt::step(relay.clone(), first) {
            prop_assert!(next.bids.len() <= next.path.len());
            prop_assert!(usize::from(next.position) < next.path.len());
        }
        walk(relay, &bids);
    }
}
