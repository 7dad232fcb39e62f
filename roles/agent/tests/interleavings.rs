//! Random interleavings with duplicates, losses, delays, restarts and
//! replacements: a non-idempotent request runs at most once, no request runs
//! that was refused as not run, and a caller only gets chunks of an answer to
//! its own request.
mod cluster;
mod transitions;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use agent::Completion;
use agent::Event;
use agent::Outcome;
use agent::park::Grant;
use agent::view::Service;
use bytes::Bytes;
use cluster::Cluster;
use cluster::Message;
use proptest::prelude::*;
use transitions::AGENTS;
use transitions::FIRST_IDEMPOTENT;
use transitions::JobResult;
use transitions::Transition;
use transitions::transition;
use wire::Token;
use wire::caller;
use wire::caller::Packet;
use wire::caller::packet::Body;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    flow: u64,
    request: u64,
}

struct Trial {
    cluster: Cluster,
    tokens: BTreeMap<u64, Vec<Token>>,
    /// Tokens of the first transmissions of requests, which retransmissions
    /// carry too.
    first_tokens: BTreeMap<RequestKey, Token>,
    /// Jobs that reached a backend server and certainly did not run, by
    /// request.
    not_run: BTreeMap<RequestKey, usize>,
    answers: BTreeMap<RequestKey, BTreeSet<Vec<u8>>>,
    replies: Vec<Packet>,
}

impl Trial {
    fn new(service: Service, max_bytes: usize) -> Self {
        let mut settings = cluster::settings();
        settings.gate.slots = 1;
        settings.ledger.max_bytes = max_bytes;
        settings.leave.grace_period = Duration::from_secs(1);
        Self {
            cluster: Cluster::new(AGENTS, settings, service),
            tokens: BTreeMap::new(),
            first_tokens: BTreeMap::new(),
            not_run: BTreeMap::new(),
            answers: BTreeMap::new(),
            replies: Vec::new(),
        }
    }

    fn apply(&mut self, transition: Transition) {
        let cluster = &mut self.cluster;
        match transition {
            Transition::Open { flow, agent } => self.send(&cluster::open(flow), agent),
            Transition::Request {
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
                let key = RequestKey { flow, request };
                let token = *self.first_tokens.entry(key).or_insert(token);
                let mut packet = cluster::with_deadline(flow, request, token, deadline_ms);
                if let Some(Body::Request(body)) = &mut packet.body {
                    body.idempotent = request >= FIRST_IDEMPOTENT;
                }
                self.send(&packet, agent);
            }
            Transition::Cancel {
                flow,
                request,
                agent,
            } => {
                let last = self.tokens.get(&flow).and_then(|it| it.last().copied());
                if let Some(last) = last {
                    let token = *self
                        .first_tokens
                        .entry(RequestKey { flow, request })
                        .or_insert(last);
                    self.send(&cluster::cancel(flow, request, token), agent);
                }
            }
            Transition::Close { flow, agent } => {
                if let Some(&token) = self.tokens.get(&flow).and_then(|it| it.last()) {
                    self.send(&cluster::close(flow, token), agent);
                }
            }
            Transition::Deliver(index) => {
                if let Some(message) = remove_at(&mut cluster.messages, index) {
                    cluster.deliver(message);
                }
            }
            Transition::DeliverAll => cluster.deliver_all(),
            Transition::Duplicate(index) => {
                let index = index % cluster.messages.len().max(1);
                if let Some(message) = cluster.messages.get(index).cloned()
                    && !matches!(message, Message::Outcome { .. })
                {
                    cluster.deliver(message);
                }
            }
            Transition::Lose(index) => {
                if let Some(message) = remove_at(&mut cluster.messages, index) {
                    lose(cluster, message);
                }
            }
            Transition::Finish { job, result } => self.finish(job, result),
            Transition::Wait { millis } => self.wait(Duration::from_millis(millis)),
            Transition::Restart(agent) => {
                let exited = cluster.agents.iter().position(Option::is_none);
                let agent = exited.unwrap_or(agent);
                break_connections(cluster, agent);
                cluster.restart(agent);
                cluster.update_view(agent);
            }
            Transition::Replace(agent) => cluster.event(agent, Event::Replace),
            Transition::ReplaceAndRestart { agent, lost } => self.replace_and_restart(agent, lost),
            Transition::Stop(agent) => cluster.event(agent, Event::Stop),
            Transition::Drain(agent) => cluster.event(agent, Event::Drain),
            Transition::Resume(agent) => cluster.event(agent, Event::Resume),
            Transition::View { agent, without } => {
                let mut targets = cluster.targets.clone();
                targets.remove(without);
                cluster.update_view_of(agent, targets);
            }
        }
        self.record_replies();
    }

    /// Sends a packet to an agent without delivering the resulting messages.
    fn send(&mut self, packet: &Packet, agent: usize) {
        let path: Vec<usize> = (0..AGENTS).map(|it| (agent + it) % AGENTS).collect();
        let relay = self.cluster.relay_along(packet, &path);
        let frame = wire::Frame::Relay(relay);
        let from = cluster::entry();
        self.cluster.event(agent, Event::Frame { from, frame });
    }

    fn replace_and_restart(&mut self, agent: usize, lost: usize) {
        self.cluster.event(agent, Event::Replace);
        self.deliver_except(lost);
        self.wait(Duration::from_secs(6));
        self.deliver_except(usize::MAX);
        if self.cluster.agents[agent].is_none() {
            self.cluster.restart(agent);
            self.cluster.update_view(agent);
            self.deliver_except(lost);
        }
    }

    /// Delivers all messages except the one with index `lost`.
    fn deliver_except(&mut self, lost: usize) {
        let mut number = 0;
        while let Some(message) = self.cluster.take_message() {
            if number == lost {
                lose(&mut self.cluster, message);
            } else {
                self.cluster.deliver(message);
            }
            number += 1;
        }
    }

    fn finish(&mut self, job: usize, result: JobResult) {
        let Some(running) = remove_at(&mut self.cluster.running, job) else {
            return;
        };
        let key = RequestKey {
            flow: running.job.flow,
            request: running.job.request,
        };
        let result = match result {
            JobResult::Completed => {
                let number = self.answers.values().map(BTreeSet::len).sum::<usize>();
                let text = format!(
                    "answer to flow {}, request {}: {number} ",
                    key.flow, key.request
                )
                .repeat(100)
                .into_bytes();
                self.answers.entry(key).or_default().insert(text.clone());
                Completion::Completed(Bytes::from(text))
            }
            JobResult::Shed => {
                *self.not_run.entry(key).or_default() += 1;
                Completion::Shed {
                    retry_after: Duration::from_millis(100),
                }
            }
            JobResult::NotRun => {
                *self.not_run.entry(key).or_default() += 1;
                Completion::Failed {
                    may_have_run: false,
                }
            }
            JobResult::Failed => Completion::Failed { may_have_run: true },
        };
        let job = running.job.id;
        let agent = running.agent;
        self.cluster.event(agent, Event::Finished { job, result });
    }

    /// Advances the time, with the ticks that are due, without delivering
    /// messages.
    fn wait(&mut self, time: Duration) {
        let end = self.cluster.now + time;
        while let Some(at) = self.cluster.next_deadline().filter(|&at| at <= end) {
            self.cluster.now = self.cluster.now.max(at);
            self.cluster.tick();
        }
        self.cluster.now = end;
    }

    fn record_replies(&mut self) {
        for packet in std::mem::take(&mut self.cluster.replies) {
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
        let mut runs: BTreeMap<RequestKey, usize> = BTreeMap::new();
        for run in &self.cluster.runs {
            let key = RequestKey {
                flow: run.job.flow,
                request: run.job.request,
            };
            *runs.entry(key).or_default() += 1;
        }
        let ran = |key: &RequestKey| {
            let not_run = self.not_run.get(key).copied().unwrap_or(0);
            runs.get(key).copied().unwrap_or(0) - not_run
        };
        for key in runs.keys().filter(|it| it.request < FIRST_IDEMPOTENT) {
            assert!(ran(key) <= 1, "{key:?} ran {} times", ran(key));
        }
        for packet in &self.replies {
            self.check_reply(packet, &ran);
        }
    }

    fn check_reply(&self, packet: &Packet, ran: &impl Fn(&RequestKey) -> usize) {
        match &packet.body {
            Some(Body::Refusal(refusal)) if refusal.outcome() == caller::Outcome::NotRun => {
                let key = RequestKey {
                    flow: packet.flow,
                    request: refusal.request,
                };
                assert_eq!(ran(&key), 0, "{key:?} ran, but {refusal:?} was sent");
            }
            Some(Body::Chunk(chunk)) => {
                let key = RequestKey {
                    flow: packet.flow,
                    request: chunk.request,
                };
                let is_own = self
                    .answers
                    .get(&key)
                    .is_some_and(|answers| answers.iter().any(|answer| is_chunk_of(chunk, answer)));
                assert!(
                    is_own,
                    "{key:?} received a chunk that is not part of its answer"
                );
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

/// Breaks the connections to an agent that is restarted: pending calls to it
/// are lost.
fn break_connections(cluster: &mut Cluster, agent: usize) {
    let address = cluster.targets[agent].control;
    let messages = std::mem::take(&mut cluster.messages);
    let (calls, others) = messages.into_iter().partition(|message| match message {
        Message::Offer { to, .. } | Message::Park { to, .. } | Message::Claim { to, .. } => {
            *to == address
        }
        _ => false,
    });
    cluster.messages = others;
    for message in calls {
        lose(cluster, message);
    }
}

/// Loses a message: a lost frame has no effect, and the sender of a lost call
/// is notified.
fn lose(cluster: &mut Cluster, message: Message) {
    match message {
        Message::Offer { from, offer, .. } => cluster.event(
            from,
            Event::Passed {
                offer: offer.id,
                outcome: Outcome::Unknown,
            },
        ),
        Message::Outcome { to, offer, .. } => cluster.event(
            to,
            Event::Passed {
                offer,
                outcome: Outcome::Unknown,
            },
        ),
        Message::Park { from, part, .. } => cluster.event(
            from,
            Event::Parked {
                index: part.index,
                accepted: false,
            },
        ),
        Message::Parked { to, index, .. } => cluster.event(
            to,
            Event::Parked {
                index,
                accepted: false,
            },
        ),
        Message::Claim { from, to, .. } => cluster.event(
            from,
            Event::Claimed {
                peer: to,
                grant: Grant::Unreachable,
            },
        ),
        Message::Claimed { to, peer, .. } => cluster.event(
            to,
            Event::Claimed {
                peer,
                grant: Grant::Unreachable,
            },
        ),
        Message::Frame { .. } | Message::Withdraw { .. } => {}
    }
}

fn remove_at<T>(items: &mut Vec<T>, index: usize) -> Option<T> {
    (!items.is_empty()).then(|| items.remove(index % items.len()))
}

fn services() -> impl Strategy<Value = Service> {
    prop_oneof![Just(Service::default()), Just(cluster::independent())]
}

/// Memory limits of the ledger: for three records, eight records, or all.
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
        transitions in prop::collection::vec(transition(), 1..150),
    ) {
        let mut trial = Trial::new(service, max_bytes);
        for transition in transitions {
            trial.apply(transition);
        }
        trial.cluster.deliver_all();
        trial.record_replies();
        trial.check();
    }
}
