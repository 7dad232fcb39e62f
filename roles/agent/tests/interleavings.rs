//! Over arbitrary interleavings, repeats, losses, delays, restarts and
//! replacements: a non-idempotent request runs at most once, nothing runs of
//! which "not run" was said, and a caller gets the whole answer to its own
//! request.
mod steps;
mod world;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use agent::Completion;
use agent::Event;
use agent::Outcome;
use agent::park::Grant;
use agent::view::Service;
use bytes::Bytes;
use proptest::prelude::*;
use steps::AGENTS;
use steps::Ending;
use steps::FIRST_IDEMPOTENT;
use steps::Step;
use steps::step;
use wire::Token;
use wire::caller;
use wire::caller::Packet;
use wire::caller::packet::Body;
use world::Message;
use world::World;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Name {
    flow: u64,
    request: u64,
}

struct Trial {
    world: World,
    tokens: BTreeMap<u64, Vec<Token>>,
    /// The token of a request's first transmission, which repeats carry too.
    named: BTreeMap<Name, Token>,
    /// Runs that are known not to have happened.
    undone: BTreeMap<Name, usize>,
    answers: BTreeMap<Name, BTreeSet<Vec<u8>>>,
    replies: Vec<Packet>,
}

impl Trial {
    fn new(service: Service, max_bytes: usize) -> Self {
        let mut settings = world::settings();
        settings.gate.slots = 1;
        settings.ledger.max_bytes = max_bytes;
        settings.leave.grace = Duration::from_secs(1);
        Self {
            world: World::new(AGENTS, settings, service),
            tokens: BTreeMap::new(),
            named: BTreeMap::new(),
            undone: BTreeMap::new(),
            answers: BTreeMap::new(),
            replies: Vec::new(),
        }
    }

    fn take(&mut self, step: Step) {
        let world = &mut self.world;
        match step {
            Step::Open { flow, agent } => self.send(&world::open(flow), agent),
            Step::Request {
                flow,
                request,
                token,
                agent,
                deadline_ms,
            } => {
                let tokens = self.tokens.entry(flow).or_default();
                let Some(&token) = tokens.get(token % tokens.len().max(1)) else {
                    return;
                };
                let name = Name { flow, request };
                let token = *self.named.entry(name).or_insert(token);
                let mut packet = world::with_deadline(flow, request, token, deadline_ms);
                if let Some(Body::Request(body)) = &mut packet.body {
                    body.idempotent = request >= FIRST_IDEMPOTENT;
                }
                self.send(&packet, agent);
            }
            Step::Cancel {
                flow,
                request,
                agent,
            } => {
                let last = self.tokens.get(&flow).and_then(|it| it.last().copied());
                if let Some(last) = last {
                    let token = *self.named.entry(Name { flow, request }).or_insert(last);
                    self.send(&world::cancel(flow, request, token), agent);
                }
            }
            Step::Close { flow, agent } => {
                if let Some(&token) = self.tokens.get(&flow).and_then(|it| it.last()) {
                    self.send(&world::close(flow, token), agent);
                }
            }
            Step::Deliver(index) => {
                if let Some(message) = take_at(&mut world.messages, index) {
                    world.deliver(message);
                }
            }
            Step::DeliverAll => world.settle(),
            Step::Duplicate(index) => {
                let index = index % world.messages.len().max(1);
                if let Some(message) = world.messages.get(index).cloned()
                    && !matches!(message, Message::Outcome { .. })
                {
                    world.deliver(message);
                }
            }
            Step::Lose(index) => {
                if let Some(message) = take_at(&mut world.messages, index) {
                    lose(world, message);
                }
            }
            Step::Finish { job, result } => self.finish(job, result),
            Step::Wait { millis } => self.wait(Duration::from_millis(millis)),
            Step::Restart(agent) => {
                let exited = world.agents.iter().position(Option::is_none);
                let agent = exited.unwrap_or(agent);
                break_connections(world, agent);
                world.restart(agent);
                world.tell_view(agent);
            }
            Step::Replace(agent) => world.event(agent, Event::Replace),
            Step::Succeed { agent, lost } => self.succeed(agent, lost),
            Step::Stop(agent) => world.event(agent, Event::Stop),
            Step::Drain(agent) => world.event(agent, Event::Drain),
            Step::Resume(agent) => world.event(agent, Event::Resume),
            Step::View { agent, without } => {
                let mut targets = world.targets.clone();
                targets.remove(without);
                world.tell_view_of(agent, targets);
            }
        }
        self.note_replies();
    }

    /// Sends a packet to an agent without delivering what follows.
    fn send(&mut self, packet: &Packet, agent: usize) {
        let path: Vec<usize> = (0..AGENTS).map(|it| (agent + it) % AGENTS).collect();
        let relay = self.world.relay_along(packet, &path);
        let frame = wire::Frame::Relay(relay);
        let from = world::entry();
        self.world.event(agent, Event::Frame { from, frame });
    }

    fn succeed(&mut self, agent: usize, lost: usize) {
        self.world.event(agent, Event::Replace);
        self.deliver_but(lost);
        self.wait(Duration::from_secs(6));
        self.deliver_but(usize::MAX);
        if self.world.agents[agent].is_none() {
            self.world.restart(agent);
            self.world.tell_view(agent);
            self.deliver_but(lost);
        }
    }

    /// Delivers all messages but one.
    fn deliver_but(&mut self, lost: usize) {
        let mut number = 0;
        while let Some(message) = self.world.take_message() {
            if number == lost {
                lose(&mut self.world, message);
            } else {
                self.world.deliver(message);
            }
            number += 1;
        }
    }

    fn finish(&mut self, job: usize, result: Ending) {
        let Some(running) = take_at(&mut self.world.running, job) else {
            return;
        };
        let name = Name {
            flow: running.job.flow,
            request: running.job.request,
        };
        let result = match result {
            Ending::Completed => {
                let number = self.answers.values().map(BTreeSet::len).sum::<usize>();
                let text = format!("{name:?} {number} ").repeat(100).into_bytes();
                self.answers.entry(name).or_default().insert(text.clone());
                Completion::Completed(Bytes::from(text))
            }
            Ending::Shed => {
                *self.undone.entry(name).or_default() += 1;
                Completion::Shed {
                    retry_after: Duration::from_millis(100),
                }
            }
            Ending::NotRun => {
                *self.undone.entry(name).or_default() += 1;
                Completion::Failed { ran: false }
            }
            Ending::Failed => Completion::Failed { ran: true },
        };
        let job = running.job.id;
        let agent = running.agent;
        self.world.event(agent, Event::Finished { job, result });
    }

    /// Lets time pass without delivering anything.
    fn wait(&mut self, time: Duration) {
        let end = self.world.now + time;
        while let Some(at) = self.world.next_deadline().filter(|&at| at <= end) {
            self.world.now = self.world.now.max(at);
            self.world.tick();
        }
        self.world.now = end;
    }

    fn note_replies(&mut self) {
        for packet in std::mem::take(&mut self.world.replies) {
            if let Some(Body::Opened(opened)) = &packet.body {
                let token = Token::from_bytes(&opened.holder).unwrap();
                let tokens = self.tokens.entry(packet.flow).or_default();
                if !tokens.contains(&token) {
                    tokens.push(token);
                }
            }
            self.replies.push(packet);
        }
    }

    fn check(&self) {
        let mut runs: BTreeMap<Name, usize> = BTreeMap::new();
        for run in &self.world.runs {
            let name = Name {
                flow: run.job.flow,
                request: run.job.request,
            };
            *runs.entry(name).or_default() += 1;
        }
        let ran = |name: &Name| {
            let undone = self.undone.get(name).copied().unwrap_or(0);
            runs.get(name).copied().unwrap_or(0) - undone
        };
        for name in runs.keys().filter(|it| it.request < FIRST_IDEMPOTENT) {
            assert!(ran(name) <= 1, "{name:?} ran {} times", ran(name));
        }
        for packet in &self.replies {
            self.check_reply(packet, &ran);
        }
    }

    fn check_reply(&self, packet: &Packet, ran: &impl Fn(&Name) -> usize) {
        match &packet.body {
            Some(Body::Refusal(refusal)) if refusal.outcome() == caller::Outcome::NotRun => {
                let name = Name {
                    flow: packet.flow,
                    request: refusal.request,
                };
                assert_eq!(ran(&name), 0, "{name:?} ran, and {refusal:?} was said");
            }
            Some(Body::Chunk(chunk)) => {
                let name = Name {
                    flow: packet.flow,
                    request: chunk.request,
                };
                let is_own = self
                    .answers
                    .get(&name)
                    .is_some_and(|answers| answers.iter().any(|answer| is_chunk_of(chunk, answer)));
                assert!(is_own, "{name:?} got a chunk that is not of its answer");
            }
            _ => {}
        }
    }
}

fn is_chunk_of(chunk: &caller::Chunk, answer: &[u8]) -> bool {
    let chunks: Vec<&[u8]> = answer.chunks(flow::answer::CHUNK_BYTES).collect();
    let index = usize::try_from(chunk.index).unwrap();
    chunks.len() == chunk.count as usize && chunks.get(index) == Some(&&chunk.payload[..])
}

/// Calls to an agent do not outlive it.
fn break_connections(world: &mut World, agent: usize) {
    let address = world.targets[agent].control;
    let messages = std::mem::take(&mut world.messages);
    let (calls, others) = messages.into_iter().partition(|message| match message {
        Message::Offer { to, .. } | Message::Park { to, .. } | Message::Claim { to, .. } => {
            *to == address
        }
        _ => false,
    });
    world.messages = others;
    for message in calls {
        lose(world, message);
    }
}

/// A lost frame vanishes; the sender of a lost call learns so.
fn lose(world: &mut World, message: Message) {
    match message {
        Message::Offer { from, offer, .. } => world.event(
            from,
            Event::Passed {
                offer: offer.id,
                outcome: Outcome::Unknown,
            },
        ),
        Message::Outcome { to, offer, .. } => world.event(
            to,
            Event::Passed {
                offer,
                outcome: Outcome::Unknown,
            },
        ),
        Message::Park { from, part, .. } => world.event(
            from,
            Event::Parked {
                index: part.index,
                accepted: false,
            },
        ),
        Message::Parked { to, index, .. } => world.event(
            to,
            Event::Parked {
                index,
                accepted: false,
            },
        ),
        Message::Claim { from, to, .. } => world.event(
            from,
            Event::Claimed {
                peer: to,
                grant: Grant::Unreachable,
            },
        ),
        Message::Claimed { to, peer, .. } => world.event(
            to,
            Event::Claimed {
                peer,
                grant: Grant::Unreachable,
            },
        ),
        Message::Frame { .. } | Message::Withdraw { .. } => {}
    }
}

fn take_at<T>(items: &mut Vec<T>, index: usize) -> Option<T> {
    (!items.is_empty()).then(|| items.remove(index % items.len()))
}

fn services() -> impl Strategy<Value = Service> {
    prop_oneof![Just(Service::default()), Just(world::independent())]
}

/// Room for a few records, or for all.
fn limits() -> impl Strategy<Value = usize> {
    prop_oneof![
        Just(3 * flow::ledger::RECORD_BYTES),
        Just(8 * flow::ledger::RECORD_BYTES),
        Just(1 << 20)
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn requests_run_at_most_once(
        service in services(),
        max_bytes in limits(),
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut trial = Trial::new(service, max_bytes);
        for step in steps {
            trial.take(step);
        }
        trial.world.settle();
        trial.note_replies();
        trial.check();
    }
}
