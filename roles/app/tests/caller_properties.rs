//! Properties of a caller that hold for any reactions of the network and the service.
mod fixtures;

use std::collections::HashMap;
use std::time::Duration;

use app::call::Action;
use app::call::Report;
use app::call::Settings;
use fixtures::*;
use proptest::prelude::*;
use wire::caller::Outcome;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::caller::packet::Body;

/// Reaction of the network and the service to a packet of the caller.
#[derive(Clone, Copy, Debug)]
enum Reaction {
    /// No reply.
    Lost,
    /// All chunks of the answer.
    Answered,
    /// All chunks of the answer, each twice.
    Twice,
    /// A refusal as not run, which also breaks the flow if the flag is set.
    Refused(bool),
    /// A refusal of a request that may have run.
    Unknown,
    /// Only the chunk of the answer with this index.
    Partial(usize),
}

fn reaction() -> impl Strategy<Value = Reaction> {
    prop_oneof![
        Just(Reaction::Lost),
        Just(Reaction::Answered),
        Just(Reaction::Twice),
        any::<bool>().prop_map(Reaction::Refused),
        Just(Reaction::Unknown),
        (0..4_usize).prop_map(Reaction::Partial),
    ]
}

fn respond(harness: &mut Harness, packet: &Packet, reaction: Reaction) {
    let flow = packet.flow;
    let refuse = |request, reason, outcome| {
        let refusal = Packet::refuse(flow, request, reason, outcome, 20);
        refusal.body.expect("a refusal has a body")
    };
    let request = match &packet.body {
        Some(Body::Request(request)) => request.clone(),
        Some(Body::Open(_)) if !matches!(reaction, Reaction::Lost) => {
            return harness.receive(flow, Body::Opened(opened()));
        }
        _ => return,
    };
    let id = request.request;
    let replies = match reaction {
        Reaction::Lost => Vec::new(),
        Reaction::Answered => chunks(&request, 4).into_iter().map(Body::Chunk).collect(),
        Reaction::Twice => {
            let chunks = chunks(&request, 4);
            let twice = chunks.iter().rev().chain(&chunks);
            twice.cloned().map(Body::Chunk).collect()
        }
        Reaction::Refused(true) => vec![refuse(id, Reason::FlowUnknown, Outcome::NotRun)],
        Reaction::Refused(false) => vec![refuse(id, Reason::Overloaded, Outcome::NotRun)],
        Reaction::Unknown => vec![refuse(id, Reason::BackendFailed, Outcome::Unknown)],
        Reaction::Partial(index) => vec![Body::Chunk(chunks(&request, 4).remove(index))],
    };
    for reply in replies {
        harness.receive(flow, reply);
    }
}

proptest! {
    /// With any losses, duplicates and refusals, every operation ends exactly
    /// once, and no request id is sent with two different payloads.
    #[test]
    fn every_operation_ends_once(
        reactions in prop::collection::vec(reaction(), 1..200),
        operations in 1..20_u64,
        seed in any::<u64>(),
    ) {
        let mut harness = Harness::new(seed);
        harness.caller.open(harness.now);
        harness.caller.open(harness.now);
        for number in 0..operations {
            let flow = usize::from(number % 2 == 1);
            harness.caller.start(harness.now, flow, number % 3 == 0);
        }
        harness.drain();
        let mut reactions = reactions.into_iter().cycle();
        let mut next = 0;
        while harness.caller.pending() > 0 {
            while next < harness.sent.len() {
                let packet = harness.sent[next].clone();
                next += 1;
                respond(&mut harness, &packet, reactions.next().expect("cycles"));
            }
            if harness.caller.pending() > 0 && next == harness.sent.len() {
                harness.advance();
            }
        }
        prop_assert!(harness.now <= Settings::default().deadline);
        let mut ended = HashMap::new();
        let mut report = Report::new(SERVICE.into(), seed);
        for event in &harness.events {
            report.add(Duration::ZERO, event);
            if let Action::Ended(operation, _) = event {
                *ended.entry(*operation).or_insert(0) += 1;
            }
        }
        prop_assert_eq!(ended.len() as u64, operations);
        prop_assert!(ended.values().all(|count| *count == 1));
        prop_assert_eq!(report.mismatched + report.wrong_service, 0);
        let mut payloads = HashMap::new();
        for packet in &harness.sent {
            if let Some(Body::Request(request)) = &packet.body {
                let first = payloads.entry(request.request).or_insert(&request.payload);
                prop_assert_eq!(*first, &request.payload);
            }
        }
    }
}
