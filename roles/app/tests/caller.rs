//! The state machine of a caller.
use std::collections::HashMap;
use std::time::Duration;

use app::call::Action;
use app::call::Caller;
use app::call::Ending;
use app::call::Report;
use app::call::Settings;
use bytes::Bytes;
use proptest::prelude::*;
use wire::FlowKey;
use wire::caller::Chunk;
use wire::caller::Closed;
use wire::caller::Opened;
use wire::caller::Outcome;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::caller::Request;
use wire::caller::packet::Body;

const SERVICE: &str = "roster";
const TOKEN: &[u8] = b"0123456789abcdef";

/// Caller with a simulated clock and the packets and events that it produced.
struct Harness {
    caller: Caller,
    now: Duration,
    sent: Vec<Packet>,
    events: Vec<Action>,
}

impl Harness {
    fn new(seed: u64) -> Self {
        let caller = Caller::new(Settings {
            service: SERVICE.into(),
            seed,
            ..Settings::default()
        });
        Self {
            caller,
            now: Duration::ZERO,
            sent: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Creates a caller with one open flow.
    fn open() -> Self {
        let mut harness = Self::new(0);
        harness.caller.open(harness.now);
        harness.drain();
        harness.reply(Body::Opened(opened()));
        harness
    }

    fn drain(&mut self) {
        while let Some(action) = self.caller.next_action() {
            match action {
                Action::Send(bytes) => {
                    self.sent
                        .push(Packet::from_bytes(bytes).expect("sends valid packets"));
                }
                event => self.events.push(event),
            }
        }
    }

    fn receive(&mut self, flow: FlowKey, body: Body) {
        let datagram = Packet::new(flow, body).to_bytes();
        self.caller.receive(self.now, datagram);
        self.drain();
    }

    /// Delivers a reply on the flow of the last packet sent.
    fn reply(&mut self, body: Body) {
        self.receive(self.last_flow(), body);
    }

    fn refuse(&mut self, request: u64, reason: Reason, outcome: Outcome, retry_after_ms: u32) {
        let refusal = Packet::refuse(self.last_flow(), request, reason, outcome, retry_after_ms);
        self.caller.receive(self.now, refusal.to_bytes());
        self.drain();
    }

    /// Advances the clock to the next timer.
    fn advance(&mut self) {
        self.now = self.caller.next_deadline().expect("a timer is set");
        self.caller.tick(self.now);
        self.drain();
    }

    /// Advances the clock until a packet is sent.
    fn advance_until_sent(&mut self) {
        let before = self.sent.len();
        while self.sent.len() == before {
            self.advance();
        }
    }

    fn start(&mut self, idempotent: bool) {
        self.caller.start(self.now, 0, idempotent);
        self.drain();
    }

    fn last_flow(&self) -> FlowKey {
        self.sent.last().expect("a packet was sent").flow
    }

    fn last_request(&self) -> Request {
        match self.sent.last().and_then(|packet| packet.body.clone()) {
            Some(Body::Request(request)) => request,
            other => panic!("the last packet is not a request: {other:?}"),
        }
    }

    fn endings(&self) -> Vec<&Ending> {
        self.events.iter().filter_map(ending).collect()
    }
}

const fn ending(event: &Action) -> Option<&Ending> {
    match event {
        Action::Ended(_, ending) => Some(ending),
        _ => None,
    }
}

fn opened() -> Opened {
    Opened {
        holder: Bytes::from_static(TOKEN),
        idle_ms: 60_000,
    }
}

/// Returns the correct answer, split into `count` chunks.
fn chunks(request: &Request, count: u32) -> Vec<Chunk> {
    let mut answer = format!("{SERVICE}\n").into_bytes();
    answer.extend_from_slice(&request.payload);
    let size = answer.len().div_ceil(count as usize);
    let parts = (0..count).zip(answer.chunks(size));
    parts
        .map(|(index, part)| Chunk {
            request: request.request,
            index,
            count,
            payload: Bytes::copy_from_slice(part),
        })
        .collect()
}

#[test]
fn retransmits_an_open_without_reply() {
    let mut harness = Harness::new(0);
    harness.caller.open(harness.now);
    harness.advance();
    harness.advance();
    let attempts: Vec<u32> = harness.sent.iter().map(attempt).collect();
    assert_eq!(attempts, [0, 1, 2]);
    harness.reply(Body::Opened(opened()));
    assert_eq!(harness.caller.open_flows(), 1);
}

fn attempt(packet: &Packet) -> u32 {
    match &packet.body {
        Some(Body::Open(open)) => open.attempt,
        Some(Body::Request(request)) => request.attempt,
        other => panic!("neither open nor request: {other:?}"),
    }
}

#[test]
fn a_second_opened_reply_does_not_change_the_holder() {
    let mut harness = Harness::open();
    harness.reply(Body::Opened(Opened {
        holder: Bytes::from_static(b"another holder!!"),
        idle_ms: 1,
    }));
    harness.start(true);
    assert_eq!(harness.last_request().holder, TOKEN);
}

#[test]
fn retries_a_refused_open_after_the_stated_delay() {
    let mut harness = Harness::new(0);
    harness.caller.open(harness.now);
    harness.drain();
    harness.refuse(0, Reason::Overloaded, Outcome::NotRun, 3000);
    harness.advance_until_sent();
    assert!(harness.now >= Duration::from_secs(3), "{:?}", harness.now);
}

#[test]
fn retransmits_a_request_under_the_same_id() {
    let mut harness = Harness::open();
    harness.start(false);
    let first = harness.last_request();
    harness.advance_until_sent();
    let second = harness.last_request();
    assert_eq!(second.request, first.request);
    assert_eq!(second.payload, first.payload);
    assert_eq!(second.attempt, first.attempt + 1);
    assert!(second.deadline_ms < first.deadline_ms);
}

#[test]
fn accepts_chunks_in_any_order_and_ignores_duplicates() {
    let mut harness = Harness::open();
    harness.start(false);
    let request = harness.last_request();
    let chunks = chunks(&request, 3);
    for index in [2, 0, 0, 2, 1, 1] {
        harness.reply(Body::Chunk(chunks[index].clone()));
    }
    assert!(matches!(harness.endings()[..], [Ending::Answered { .. }]));
}

#[test]
fn fetches_only_missing_chunks() {
    let mut harness = Harness::open();
    harness.start(false);
    let request = harness.last_request();
    let chunks = chunks(&request, 4);
    harness.reply(Body::Chunk(chunks[1].clone()));
    harness.reply(Body::Chunk(chunks[3].clone()));
    harness.advance_until_sent();
    match harness.sent.last().and_then(|packet| packet.body.clone()) {
        Some(Body::Fetch(fetch)) => {
            assert_eq!(fetch.request, request.request);
            assert_eq!(fetch.chunks, [0, 2]);
            assert_eq!(fetch.holder, TOKEN);
        }
        other => panic!("not a fetch: {other:?}"),
    }
}

#[test]
fn answers_in_reverse_order_match_their_requests() {
    let mut harness = Harness::open();
    harness.start(false);
    let first = harness.last_request();
    harness.start(false);
    let second = harness.last_request();
    harness.reply(Body::Chunk(chunks(&second, 1)[0].clone()));
    harness.reply(Body::Chunk(chunks(&first, 1)[0].clone()));
    let answered = |ending: &&Ending| matches!(ending, Ending::Answered { .. });
    assert_eq!(harness.endings().into_iter().filter(answered).count(), 2);
}

/// Wrong answer and the ending that it has to cause.
struct Forged {
    change: fn(&mut Chunk),
    ending: Ending,
}

fn is_detected(forged: &Forged) {
    let mut harness = Harness::open();
    harness.start(false);
    let mut chunk = chunks(&harness.last_request(), 1).remove(0);
    (forged.change)(&mut chunk);
    harness.reply(Body::Chunk(chunk));
    assert_eq!(harness.endings(), [&forged.ending]);
}

cases::cases! { is_detected;
    answer_from_another_service: &Forged {
        change: |chunk| chunk.payload = Bytes::from_static(b"rota\nx"),
        ending: Ending::WrongService,
    },
    answer_to_another_request: &Forged {
        change: |chunk| chunk.payload = Bytes::from_static(b"roster\nother"),
        ending: Ending::Mismatch,
    },
    truncated_answer: &Forged {
        change: |chunk| chunk.payload.truncate(chunk.payload.len() - 1),
        ending: Ending::Mismatch,
    },
    answer_without_chunks: &Forged {
        change: |chunk| chunk.count = 0,
        ending: Ending::Mismatch,
    },
    answer_with_too_many_chunks: &Forged {
        change: |chunk| chunk.count = u32::MAX,
        ending: Ending::Mismatch,
    },
}

#[test]
fn retries_a_refused_request_under_a_new_id_after_the_stated_delay() {
    let mut harness = Harness::open();
    harness.start(false);
    let first = harness.last_request();
    harness.refuse(first.request, Reason::Overloaded, Outcome::NotRun, 1500);
    assert!(harness.endings().is_empty());
    while harness.last_request().request == first.request {
        harness.advance();
    }
    assert!(
        harness.now >= Duration::from_millis(1500),
        "{:?}",
        harness.now
    );
    assert_ne!(harness.last_request().payload, first.payload);
}

#[test]
fn does_not_retry_if_the_delay_exceeds_the_deadline() {
    let mut harness = Harness::open();
    harness.start(false);
    let request = harness.last_request().request;
    harness.refuse(request, Reason::Overloaded, Outcome::NotRun, 60_000);
    assert_eq!(harness.endings(), [&Ending::Refused(Reason::Overloaded)]);
}

#[test]
fn does_not_retry_a_request_that_may_have_run() {
    let mut harness = Harness::open();
    harness.start(false);
    let request = harness.last_request().request;
    harness.refuse(request, Reason::BackendFailed, Outcome::Unknown, 1);
    assert_eq!(harness.endings(), [&Ending::Unknown(Reason::BackendFailed)]);
    assert_eq!(harness.caller.pending(), 0);
}

#[test]
fn retries_an_idempotent_request_that_may_have_run() {
    let mut harness = Harness::open();
    harness.start(true);
    let request = harness.last_request().request;
    harness.refuse(request, Reason::BackendFailed, Outcome::Unknown, 1);
    assert!(harness.endings().is_empty());
    while harness.last_request().request == request {
        harness.advance();
    }
}

#[test]
fn cancels_a_request_at_its_deadline() {
    let mut harness = Harness::open();
    harness.start(false);
    let deadline = harness.now + Settings::default().deadline;
    while harness.endings().is_empty() {
        harness.advance();
        assert!(harness.now <= deadline);
    }
    assert_eq!(harness.now, deadline);
    assert_eq!(harness.endings(), [&Ending::Lost]);
    let last = harness.sent.last().and_then(|packet| packet.body.clone());
    assert!(matches!(last, Some(Body::Cancel(_))), "{last:?}");
}

#[test]
fn replaces_a_broken_flow_under_a_new_key() {
    let mut harness = Harness::open();
    harness.start(false);
    let request = harness.last_request().request;
    let old = harness.last_flow();
    harness.refuse(request, Reason::FlowUnknown, Outcome::NotRun, 10);
    assert!(
        harness
            .events
            .contains(&Action::Broken(Reason::FlowUnknown))
    );
    assert_ne!(harness.last_flow(), old);
    harness.reply(Body::Opened(opened()));
    while harness.caller.pending() > 0 && harness.last_request_id() == Some(request) {
        harness.advance();
    }
    let fresh = harness.last_request();
    assert_ne!(fresh.request, request);
    harness.reply(Body::Chunk(chunks(&fresh, 1)[0].clone()));
    assert!(matches!(harness.endings()[..], [Ending::Answered { .. }]));
}

impl Harness {
    fn last_request_id(&self) -> Option<u64> {
        let id = |packet: &Packet| match &packet.body {
            Some(Body::Request(request)) => Some(request.request),
            _ => None,
        };
        self.sent.iter().rev().find_map(id)
    }
}

#[test]
fn a_flow_is_closed_once_confirmed() {
    let mut harness = Harness::open();
    harness.caller.close(harness.now);
    harness.drain();
    assert_eq!(harness.caller.closing(), 1);
    harness.reply(Body::Closed(Closed {}));
    assert_eq!(harness.caller.closing(), 0);
    assert!(harness.events.contains(&Action::Closed));
}

#[test]
fn malformed_and_unexpected_packets_are_ignored() {
    let mut harness = Harness::open();
    harness
        .caller
        .receive(harness.now, Bytes::from_static(&[0xff; 9]));
    harness.drain();
    harness.receive(1, Body::Opened(opened()));
    harness.reply(Body::Chunk(Chunk {
        request: 77,
        index: 0,
        count: 1,
        payload: Bytes::new(),
    }));
    let ignored = harness
        .events
        .iter()
        .filter(|event| **event == Action::Ignored);
    assert_eq!(ignored.count(), 3);
}

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
