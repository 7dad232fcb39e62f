//! A simulated cluster: agents of one service, and the messages between them,
//! which a test can deliver, repeat, lose and delay.
#![allow(dead_code, missing_docs, unused_imports)]
mod message;
mod packet;
mod relay;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use agent::Action;
use agent::Agent;
use agent::Completion;
use agent::Event;
use agent::Job;
use agent::Offer;
use agent::Outcome;
use agent::Settings;
use agent::View;
use agent::offer;
use agent::view::Binding;
use agent::view::Service;
use bytes::Bytes;
use wire::Frame;
use wire::Target;
use wire::Token;
use wire::caller;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::target::State;

pub use message::Message;
pub use packet::cancel;
pub use packet::close;
pub use packet::fetch;
pub use packet::idempotent;
pub use packet::open;
pub use packet::request;
pub use packet::with_deadline;

pub const FLOW: u64 = 77;
pub const REQUEST: u64 = 5;

/// A call that waits for an agent's reply.
#[derive(Clone, Debug)]
enum Call {
    Offer { from: usize, offer: offer::Id },
    Park { from: usize, index: u32 },
    Claim { from: usize, peer: SocketAddr },
}

/// A job at a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    pub agent: usize,
    pub job: Job,
}

pub struct Cluster {
    pub now: Duration,
    pub agents: Vec<Option<Agent>>,
    pub targets: Vec<Target>,
    pub settings: Settings,
    pub service: Service,
    pub messages: Vec<Message>,
    /// Packets sent to the callers.
    pub replies: Vec<Packet>,
    /// Unfinished jobs at the backend servers.
    pub running: Vec<Run>,
    /// All jobs that have been started at a backend server.
    pub runs: Vec<Run>,
    pub aborted: Vec<u64>,
    pub announced: Vec<State>,
    pub exited: Vec<usize>,
    /// Pending events of frozen agents.
    frozen: BTreeMap<usize, Vec<Event>>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
}

pub fn service() -> SocketAddr {
    "192.0.2.1:53".parse().unwrap()
}

pub fn entry() -> SocketAddr {
    "198.51.100.1:7000".parse().unwrap()
}

pub fn caller() -> SocketAddr {
    "203.0.113.5:4000".parse().unwrap()
}

pub fn target(index: usize) -> Target {
    let host = u8::try_from(index).unwrap() + 1;
    Target {
        id: 1000 + index as u64,
        service: service(),
        address: SocketAddr::from(([10, 0, 0, host], 7100)),
        control: SocketAddr::from(([10, 0, 0, host], 7200)),
        zone: 1,
        incarnation: 1,
        version: 1,
        weight: 100,
        slots: 2,
        state: State::Ready,
    }
}

pub fn settings() -> Settings {
    let mut settings = Settings::default();
    settings.gate.slots = 2;
    settings
}

/// Returns the settings of a service whose requests may run at any agent.
pub fn independent() -> Service {
    Service {
        binding: Binding::Independent,
        ..Service::default()
    }
}

impl Cluster {
    /// Starts `count` agents that have each other in their views and no
    /// predecessor's state to claim.
    pub fn new(count: usize, settings: Settings, service: Service) -> Self {
        let targets: Vec<Target> = (0..count).map(target).collect();
        let now = Duration::from_secs(100);
        let agents = targets
            .iter()
            .map(|target| Some(Agent::new(settings.clone(), target.clone(), 7, now)))
            .collect();
        let mut cluster = Self {
            now,
            agents,
            targets,
            settings,
            service,
            messages: Vec::new(),
            replies: Vec::new(),
            running: Vec::new(),
            runs: Vec::new(),
            aborted: Vec::new(),
            announced: Vec::new(),
            exited: Vec::new(),
            frozen: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
        };
        for index in 0..count {
            cluster.update_view(index);
        }
        cluster.deliver_all();
        cluster
    }

    pub fn bound(count: usize) -> Self {
        Self::new(count, settings(), Service::default())
    }

    pub fn update_view(&mut self, index: usize) {
        let targets = self.present_targets();
        self.update_view_of(index, targets);
    }

    /// Returns the targets that have not left.
    pub fn present_targets(&self) -> Vec<Target> {
        let live = |target: &&Target| target.state != State::Left;
        self.targets.iter().filter(live).cloned().collect()
    }

    /// Sends an agent a view with the given targets.
    pub fn update_view_of(&mut self, index: usize, targets: Vec<Target>) {
        let service = self.service;
        self.event(index, Event::View(View { targets, service }));
    }

    /// Passes an event to an agent and carries out its actions.
    pub fn event(&mut self, index: usize, event: Event) {
        if let Some(events) = self.frozen.get_mut(&index) {
            events.push(event);
            return;
        }
        let Some(agent) = &mut self.agents[index] else {
            return;
        };
        let mut actions = Vec::new();
        agent.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(index, action);
        }
    }

    /// Freezes an agent; events for it are held back.
    pub fn freeze(&mut self, index: usize) {
        self.frozen.insert(index, Vec::new());
    }

    /// Resumes a frozen agent and passes it the events held back.
    pub fn thaw(&mut self, index: usize) {
        for event in self.frozen.remove(&index).unwrap_or_default() {
            self.event(index, event);
        }
        self.deliver_all();
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Send {
                frame: Frame::Reply(reply),
                to,
            } => {
                assert_eq!(to, entry());
                assert_eq!(reply.service, service());
                let packet = Packet::from_bytes(reply.packet).unwrap();
                self.replies.push(packet);
            }
            Action::Send { to, frame } => self.messages.push(Message::Frame {
                from: index,
                to,
                frame,
            }),
            Action::Run(job) => {
                let running = Run { agent: index, job };
                self.runs.push(running.clone());
                self.running.push(running);
            }
            Action::Abort { job } => {
                self.aborted.push(job);
                self.running
                    .retain(|it| it.agent != index || it.job.id != job);
            }
            Action::Pass { to, offer } => {
                let connected = self.live_index(to).map(|it| self.targets[it].incarnation);
                self.messages.push(Message::Offer {
                    from: index,
                    to,
                    connected,
                    offer,
                });
            }
            Action::Withdraw { to, offer } => self.messages.push(Message::Withdraw { to, offer }),
            Action::AnswerOffer { call, outcome } => {
                if let Some(Call::Offer { from, offer }) = self.calls.remove(&call) {
                    self.messages.push(Message::Outcome {
                        to: from,
                        offer,
                        outcome,
                    });
                }
            }
            Action::Announce { state, .. } => {
                self.targets[index].state = state;
                self.targets[index].version += 1;
                self.announced.push(state);
            }
            Action::Park { to, part } => self.messages.push(Message::Park {
                from: index,
                to,
                part,
            }),
            Action::AnswerPark { call, accepted } => {
                if let Some(Call::Park { from, index }) = self.calls.remove(&call) {
                    self.messages.push(Message::Parked {
                        to: from,
                        index,
                        accepted,
                    });
                }
            }
            Action::Claim { to, claim } => self.messages.push(Message::Claim {
                from: index,
                to,
                claim,
            }),
            Action::AnswerClaim { call, grant } => {
                if let Some(Call::Claim { from, peer }) = self.calls.remove(&call) {
                    self.messages.push(Message::Claimed {
                        to: from,
                        peer,
                        grant,
                    });
                }
            }
            Action::Exit => {
                self.exited.push(index);
                self.agents[index] = None;
                self.running.retain(|it| it.agent != index);
            }
        }
    }

    fn register_call(&mut self, call: Call) -> u64 {
        self.next_call += 1;
        self.calls.insert(self.next_call, call);
        self.next_call
    }

    fn live_index(&self, address: SocketAddr) -> Option<usize> {
        self.targets
            .iter()
            .position(|target| target.address == address || target.control == address)
            .filter(|&index| self.agents[index].is_some())
    }

    /// Delivers all messages in order, including those that result.
    pub fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            let message = self.messages.remove(0);
            self.deliver(message);
        }
    }

    /// Advances the time, with the ticks that are due, and delivers all
    /// messages.
    pub fn advance_time(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(next) = self.next_deadline().filter(|&at| at <= end) {
            self.now = self.now.max(next);
            self.tick();
            self.deliver_all();
        }
        self.now = end;
        self.tick();
        self.deliver_all();
    }

    pub fn next_deadline(&self) -> Option<Duration> {
        let agents = self.agents.iter().enumerate();
        let awake = agents.filter(|(index, _)| !self.frozen.contains_key(index));
        let awake = awake.filter_map(|(_, agent)| agent.as_ref());
        awake.filter_map(Agent::next_deadline).min()
    }

    pub fn tick(&mut self) {
        for index in 0..self.agents.len() {
            self.event(index, Event::Tick);
        }
    }

    /// Finishes the oldest unfinished job and delivers all messages.
    pub fn finish(&mut self, result: Completion) {
        assert!(!self.running.is_empty(), "a job should be running");
        let Run { agent, job } = self.running.remove(0);
        let job = job.id;
        self.event(agent, Event::Finished { job, result });
        self.deliver_all();
    }

    pub fn finish_with(&mut self, text: &str) {
        self.finish(Completion::Completed(Bytes::from(text.to_owned())));
    }

    /// Replaces an agent by a new incarnation without its state.
    pub fn restart(&mut self, index: usize) {
        self.running.retain(|it| it.agent != index);
        self.targets[index].incarnation += 1;
        self.targets[index].state = State::Ready;
        let target = self.targets[index].clone();
        let agent = Agent::new(self.settings.clone(), target, 9, self.now);
        self.agents[index] = Some(agent);
    }

    pub fn update_views(&mut self) {
        for index in 0..self.agents.len() {
            self.update_view(index);
        }
        self.deliver_all();
    }

    /// Removes a target from the views of all other agents.
    pub fn remove_from_views(&mut self, departed: usize) {
        let id = self.targets[departed].id;
        let targets: Vec<Target> = self
            .targets
            .iter()
            .filter(|target| target.id != id)
            .cloned()
            .collect();
        for index in (0..self.agents.len()).filter(|&index| index != departed) {
            self.update_view_of(index, targets.clone());
        }
        self.deliver_all();
    }

    /// Removes and returns the oldest message.
    pub fn take_message(&mut self) -> Option<Message> {
        (!self.messages.is_empty()).then(|| self.messages.remove(0))
    }

    pub fn status(&self, index: usize) -> agent::Status {
        let agent = self.agents[index]
            .as_ref()
            .expect("the agent should be running");
        agent.status()
    }
}

/// Returns the index of the agent that a token names.
pub fn holder(token: Token) -> usize {
    usize::try_from(token.target - 1000).unwrap()
}

/// Checks the reason and the outcome of the refusal that a caller received.
pub fn assert_refused(cluster: &mut Cluster, reason: Reason, outcome: caller::Outcome) {
    let refusal = cluster.take_refusal().expect("a refusal should be sent");
    assert_eq!(refusal.reason(), reason);
    assert_eq!(refusal.outcome(), outcome);
}

/// Returns a cluster of one agent with one slot, which request 1 of [`FLOW`]
/// occupies, and the token of the flow.
pub fn one_busy_agent() -> (Cluster, Token) {
    let mut settings = settings();
    settings.gate.slots = 1;
    let mut cluster = Cluster::new(1, settings, Service::default());
    let token = cluster.open(FLOW);
    cluster.send(&request(FLOW, 1, token));
    assert_eq!(cluster.runs.len(), 1);
    (cluster, token)
}
