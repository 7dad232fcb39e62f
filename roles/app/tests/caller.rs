//! The caller's state machine.
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

/// A caller, the time, and what it sent and reported.
struct Bench {
    caller: Caller,
    now: Duration,
    sent: Vec<Packet>,
    notes: Vec<Action>,
}

impl Bench {
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
            notes: Vec::new(),
        }
    }

    /// A caller with one open flow.
    fn open() -> Self {
        let mut bench = Self::new(0);
        bench.caller.open(bench.now);
        bench.drain();
        bench.reply(Body::Opened(opened()));
        bench
    }

    fn drain(&mut self) {
        while let Some(action) = self.caller.next_action() {
            match action {
                Action::Send(bytes) => {
                    self.sent
                        .push(Packet::from_bytes(bytes).expect("sends valid packets"));
                }
                note => self.notes.push(note),
            }
        }
    }

    fn receive(&mut self, flow: FlowKey, body: Body) {
        let datagram = Packet::new(flow, body).to_bytes();
        self.caller.receive(self.now, datagram);
        self.drain();
    }

    /// Replies on the flow of the last packet.
    fn reply(&mut self, body: Body) {
        self.receive(self.last_flow(), body);
    }

    fn refuse(&mut self, request: u64, reason: Reason, outcome: Outcome, retry_after_ms: u32) {
        let refusal = Packet::refuse(self.last_flow(), request, reason, outcome, retry_after_ms);
        self.caller.receive(self.now, refusal.to_bytes());
        self.drain();
    }

    /// Moves the time to the next timer.
    fn wake(&mut self) {
        self.now = self.caller.next_deadline().expect("something is due");
        self.caller.tick(self.now);
        self.drain();
    }

    /// Moves the time on until a packet is sent.
    fn wake_until_sent(&mut self) {
        let before = self.sent.len();
        while self.sent.len() == before {
            self.wake();
        }
    }

    fn start(&mut self, idempotent: bool) {
        self.caller.start(self.now, 0, idempotent);
        self.drain();
    }

    fn last_flow(&self) -> FlowKey {
        self.sent.last().expect("something was sent").flow
    }

    fn last_request(&self) -> Request {
        match self.sent.last().and_then(|packet| packet.body.clone()) {
            Some(Body::Request(request)) => request,
            other => panic!("the last packet is no request: {other:?}"),
        }
    }

    fn endings(&self) -> Vec<&Ending> {
        self.notes.iter().filter_map(ending).collect()
    }
}

const fn ending(note: &Action) -> Option<&Ending> {
    match note {
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

/// The right answer, cut into `count` chunks.
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
fn repeats_a_lost_open() {
    let mut bench = Bench::new(0);
    bench.caller.open(bench.now);
    bench.wake();
    bench.wake();
    let attempts: Vec<u32> = bench.sent.iter().map(attempt).collect();
    assert_eq!(attempts, [0, 1, 2]);
    bench.reply(Body::Opened(opened()));
    assert_eq!(bench.caller.open_flows(), 1);
}

fn attempt(packet: &Packet) -> u32 {
    match &packet.body {
        Some(Body::Open(open)) => open.attempt,
        Some(Body::Request(request)) => request.attempt,
        other => panic!("neither open nor request: {other:?}"),
    }
}

#[test]
fn keeps_the_first_holder() {
    let mut bench = Bench::open();
    bench.reply(Body::Opened(Opened {
        holder: Bytes::from_static(b"another holder!!"),
        idle_ms: 1,
    }));
    bench.start(true);
    assert_eq!(bench.last_request().holder, TOKEN);
}

#[test]
fn waits_as_long_as_a_refused_open_says() {
    let mut bench = Bench::new(0);
    bench.caller.open(bench.now);
    bench.drain();
    bench.refuse(0, Reason::Overloaded, Outcome::NotRun, 3000);
    bench.wake_until_sent();
    assert!(bench.now >= Duration::from_secs(3), "{:?}", bench.now);
}

#[test]
fn repeats_a_lost_request_under_its_id() {
    let mut bench = Bench::open();
    bench.start(false);
    let first = bench.last_request();
    bench.wake_until_sent();
    let second = bench.last_request();
    assert_eq!(second.request, first.request);
    assert_eq!(second.payload, first.payload);
    assert_eq!(second.attempt, first.attempt + 1);
    assert!(second.deadline_ms < first.deadline_ms);
}

#[test]
fn takes_chunks_in_any_order_once() {
    let mut bench = Bench::open();
    bench.start(false);
    let request = bench.last_request();
    let chunks = chunks(&request, 3);
    for index in [2, 0, 0, 2, 1, 1] {
        bench.reply(Body::Chunk(chunks[index].clone()));
    }
    assert!(matches!(bench.endings()[..], [Ending::Answered { .. }]));
}

#[test]
fn fetches_only_missing_chunks() {
    let mut bench = Bench::open();
    bench.start(false);
    let request = bench.last_request();
    let chunks = chunks(&request, 4);
    bench.reply(Body::Chunk(chunks[1].clone()));
    bench.reply(Body::Chunk(chunks[3].clone()));
    bench.wake_until_sent();
    match bench.sent.last().and_then(|packet| packet.body.clone()) {
        Some(Body::Fetch(fetch)) => {
            assert_eq!(fetch.request, request.request);
            assert_eq!(fetch.chunks, [0, 2]);
            assert_eq!(fetch.holder, TOKEN);
        }
        other => panic!("not a fetch: {other:?}"),
    }
}

#[test]
fn answers_do_not_cross() {
    let mut bench = Bench::open();
    bench.start(false);
    let first = bench.last_request();
    bench.start(false);
    let second = bench.last_request();
    bench.reply(Body::Chunk(chunks(&second, 1)[0].clone()));
    bench.reply(Body::Chunk(chunks(&first, 1)[0].clone()));
    let answered = |ending: &&Ending| matches!(ending, Ending::Answered { .. });
    assert_eq!(bench.endings().into_iter().filter(answered).count(), 2);
}

/// An answer that is not the right one, and what becomes of it.
struct Forged {
    change: fn(&mut Chunk),
    ending: Ending,
}

fn is_noticed(forged: &Forged) {
    let mut bench = Bench::open();
    bench.start(false);
    let mut chunk = chunks(&bench.last_request(), 1).remove(0);
    (forged.change)(&mut chunk);
    bench.reply(Body::Chunk(chunk));
    assert_eq!(bench.endings(), [&forged.ending]);
}

cases::cases! { is_noticed;
    answer_of_another_service: &Forged {
        change: |chunk| chunk.payload = Bytes::from_static(b"rota\nx"),
        ending: Ending::WrongService,
    },
    answer_to_another_request: &Forged {
        change: |chunk| chunk.payload = Bytes::from_static(b"roster\nother"),
        ending: Ending::Mismatch,
    },
    answer_cut_short: &Forged {
        change: |chunk| chunk.payload.truncate(chunk.payload.len() - 1),
        ending: Ending::Mismatch,
    },
    answer_without_chunks: &Forged {
        change: |chunk| chunk.count = 0,
        ending: Ending::Mismatch,
    },
    answer_of_too_many_chunks: &Forged {
        change: |chunk| chunk.count = u32::MAX,
        ending: Ending::Mismatch,
    },
}

#[test]
fn comes_back_under_a_new_id_when_told() {
    let mut bench = Bench::open();
    bench.start(false);
    let first = bench.last_request();
    bench.refuse(first.request, Reason::Overloaded, Outcome::NotRun, 1500);
    assert!(bench.endings().is_empty());
    while bench.last_request().request == first.request {
        bench.wake();
    }
    assert!(bench.now >= Duration::from_millis(1500), "{:?}", bench.now);
    assert_ne!(bench.last_request().payload, first.payload);
}

#[test]
fn does_not_come_back_after_its_deadline() {
    let mut bench = Bench::open();
    bench.start(false);
    let request = bench.last_request().request;
    bench.refuse(request, Reason::Overloaded, Outcome::NotRun, 60_000);
    assert_eq!(bench.endings(), [&Ending::Refused(Reason::Overloaded)]);
}

#[test]
fn never_repeats_what_may_have_run() {
    let mut bench = Bench::open();
    bench.start(false);
    let request = bench.last_request().request;
    bench.refuse(request, Reason::BackendFailed, Outcome::Unknown, 1);
    assert_eq!(bench.endings(), [&Ending::Unknown(Reason::BackendFailed)]);
    assert_eq!(bench.caller.pending(), 0);
}

#[test]
fn repeats_what_may_have_run_where_idempotent() {
    let mut bench = Bench::open();
    bench.start(true);
    let request = bench.last_request().request;
    bench.refuse(request, Reason::BackendFailed, Outcome::Unknown, 1);
    assert!(bench.endings().is_empty());
    while bench.last_request().request == request {
        bench.wake();
    }
}

#[test]
fn gives_up_at_its_deadline_and_cancels() {
    let mut bench = Bench::open();
    bench.start(false);
    let deadline = bench.now + Settings::default().deadline;
    while bench.endings().is_empty() {
        bench.wake();
        assert!(bench.now <= deadline);
    }
    assert_eq!(bench.now, deadline);
    assert_eq!(bench.endings(), [&Ending::Lost]);
    let last = bench.sent.last().and_then(|packet| packet.body.clone());
    assert!(matches!(last, Some(Body::Cancel(_))), "{last:?}");
}

#[test]
fn opens_a_broken_flow_again_under_a_new_key() {
    let mut bench = Bench::open();
    bench.start(false);
    let request = bench.last_request().request;
    let old = bench.last_flow();
    bench.refuse(request, Reason::FlowUnknown, Outcome::NotRun, 10);
    assert!(bench.notes.contains(&Action::Broken(Reason::FlowUnknown)));
    assert_ne!(bench.last_flow(), old);
    bench.reply(Body::Opened(opened()));
    while bench.caller.pending() > 0 && bench.last_request_id() == Some(request) {
        bench.wake();
    }
    let fresh = bench.last_request();
    assert_ne!(fresh.request, request);
    bench.reply(Body::Chunk(chunks(&fresh, 1)[0].clone()));
    assert!(matches!(bench.endings()[..], [Ending::Answered { .. }]));
}

impl Bench {
    fn last_request_id(&self) -> Option<u64> {
        let id = |packet: &Packet| match &packet.body {
            Some(Body::Request(request)) => Some(request.request),
            _ => None,
        };
        self.sent.iter().rev().find_map(id)
    }
}

#[test]
fn closes_and_confirms() {
    let mut bench = Bench::open();
    bench.caller.close(bench.now);
    bench.drain();
    assert_eq!(bench.caller.closing(), 1);
    bench.reply(Body::Closed(Closed {}));
    assert_eq!(bench.caller.closing(), 0);
    assert!(bench.notes.contains(&Action::Closed));
}

#[test]
fn unreadable_and_strange_packets_are_ignored() {
    let mut bench = Bench::open();
    bench
        .caller
        .receive(bench.now, Bytes::from_static(&[0xff; 9]));
    bench.drain();
    bench.receive(1, Body::Opened(opened()));
    bench.reply(Body::Chunk(Chunk {
        request: 77,
        index: 0,
        count: 1,
        payload: Bytes::new(),
    }));
    let ignored = bench.notes.iter().filter(|note| **note == Action::Ignored);
    assert_eq!(ignored.count(), 3);
}

/// What the network and the service do with a packet of the caller.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Lost,
    Answered,
    Twice,
    Refused(bool),
    Unknown,
    Partial(usize),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        Just(Fate::Lost),
        Just(Fate::Answered),
        Just(Fate::Twice),
        any::<bool>().prop_map(Fate::Refused),
        Just(Fate::Unknown),
        (0..4_usize).prop_map(Fate::Partial),
    ]
}

fn respond(bench: &mut Bench, packet: &Packet, fate: Fate) {
    let flow = packet.flow;
    let refuse = |request, reason, outcome| {
        let refusal = Packet::refuse(flow, request, reason, outcome, 20);
        refusal.body.expect("a refusal has a body")
    };
    let request = match &packet.body {
        Some(Body::Request(request)) => request.clone(),
        Some(Body::Open(_)) if !matches!(fate, Fate::Lost) => {
            return bench.receive(flow, Body::Opened(opened()));
        }
        _ => return,
    };
    let id = request.request;
    let replies = match fate {
        Fate::Lost => Vec::new(),
        Fate::Answered => chunks(&request, 4).into_iter().map(Body::Chunk).collect(),
        Fate::Twice => {
            let chunks = chunks(&request, 4);
            let twice = chunks.iter().rev().chain(&chunks);
            twice.cloned().map(Body::Chunk).collect()
        }
        Fate::Refused(true) => vec![refuse(id, Reason::FlowUnknown, Outcome::NotRun)],
        Fate::Refused(false) => vec![refuse(id, Reason::Overloaded, Outcome::NotRun)],
        Fate::Unknown => vec![refuse(id, Reason::BackendFailed, Outcome::Unknown)],
        Fate::Partial(index) => vec![Body::Chunk(chunks(&request, 4).remove(index))],
    };
    for reply in replies {
        bench.receive(flow, reply);
    }
}

proptest! {
    /// Whatever happens to its packets, every operation ends once, and no
    /// request id is sent with two payloads.
    #[test]
    fn every_operation_ends_once(
        fates in prop::collection::vec(fate(), 1..200),
        operations in 1..20_u64,
        seed in any::<u64>(),
    ) {
        let mut bench = Bench::new(seed);
        bench.caller.open(bench.now);
        bench.caller.open(bench.now);
        for number in 0..operations {
            let flow = usize::from(number % 2 == 1);
            bench.caller.start(bench.now, flow, number % 3 == 0);
        }
        bench.drain();
        let mut fates = fates.into_iter().cycle();
        let mut next = 0;
        while bench.caller.pending() > 0 {
            while next < bench.sent.len() {
                let packet = bench.sent[next].clone();
                next += 1;
                respond(&mut bench, &packet, fates.next().expect("cycles"));
            }
            if bench.caller.pending() > 0 && next == bench.sent.len() {
                bench.wake();
            }
        }
        prop_assert!(bench.now <= Settings::default().deadline);
        let mut ended = HashMap::new();
        let mut report = Report::new(SERVICE.into(), seed);
        for note in &bench.notes {
            report.add(Duration::ZERO, note);
            if let Action::Ended(operation, _) = note {
                *ended.entry(*operation).or_insert(0) += 1;
            }
        }
        prop_assert_eq!(ended.len() as u64, operations);
        prop_assert!(ended.values().all(|count| *count == 1));
        prop_assert_eq!(report.mismatched + report.wrong_service, 0);
        let mut payloads = HashMap::new();
        for packet in &bench.sent {
            if let Some(Body::Request(request)) = &packet.body {
                let first = payloads.entry(request.request).or_insert(&request.payload);
                prop_assert_eq!(*first, &request.payload);
            }
        }
    }
}
