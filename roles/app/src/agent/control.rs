//! The control thread of an agent: announces the backend server and follows
//! its service.
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use ::agent::Event;
use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use config::Binding;
use futures_lite::FutureExt;
use member::Action;
use member::Announcer;
use member::Message;
use member::announcer::Change;
use net::Port;
use wire::Frame;
use wire::TargetId;
use wire::target::State;

use crate::agent;
use crate::directory;
use crate::event;

/// Longest sleep while nothing is due.
const IDLE: Duration = Duration::from_millis(250);

/// Longest wait for the other agents of the service after the start.
const FIRST_VIEW_TIMEOUT: Duration = Duration::from_secs(1);

/// What the control thread is told.
pub enum Input {
    /// A message of the membership protocol arrived.
    Message {
        /// UDP address of the sender.
        from: SocketAddr,
        /// The encoded message.
        payload: Bytes,
    },
    /// The announcement changes.
    Announce {
        /// Whether the backend server takes new flows.
        state: State,
        /// Learned capacity, as in [`wire::Target::weight`].
        weight: u32,
    },
    /// The agent has nothing left to do; the backend server stays.
    Exit,
    /// The agent has nothing left to do; the backend server leaves for good.
    Leave,
}

/// What the control thread works with.
pub struct Control {
    /// The membership protocol.
    pub announcer: Announcer,
    /// Origin of the time.
    pub origin: Instant,
    /// The port for frames, shared with the traffic thread.
    pub port: Port,
    /// The backend server that this agent announces.
    pub target: TargetId,
    /// What arrives from the traffic thread.
    pub inputs: Receiver<Input>,
    /// The traffic thread.
    pub worker: Sender<agent::Input>,
    /// Whether the operators drain the target, as last told to the core.
    pub drained: bool,
    /// Whether the core has not been told of the last change.
    pub changed: bool,
    /// Whether a newer agent stands beside the backend server.
    pub superseded: bool,
}

impl Control {
    /// Runs until the process is to end.
    pub async fn run(mut self) {
        let mut actions = Vec::new();
        loop {
            let now = self.origin.elapsed();
            match self.next(now).await {
                Some(Input::Message { from, payload }) => {
                    if let Ok(message) = Message::decode(&payload) {
                        let now = self.origin.elapsed();
                        self.announcer.handle(now, from, message, &mut actions);
                    }
                }
                Some(Input::Announce { state, weight }) => {
                    self.announcer.announce(now, Change { weight, state });
                }
                Some(Input::Leave) => self.announcer.leave(now),
                Some(Input::Exit) => return,
                None => {}
            }
            self.announcer.tick(self.origin.elapsed(), &mut actions);
            self.send(&mut actions);
            self.changed |= self.announcer.changed();
            if self.changed && self.knows_peers() {
                self.changed = false;
                self.publish().await;
            }
            if self.announcer.finished() {
                return;
            }
            self.stop_if_superseded().await;
        }
    }

    /// Lets the core finish what it has once a newer agent stands beside the
    /// backend server, as after a long freeze of this one.
    async fn stop_if_superseded(&mut self) {
        let Some(incarnation) = self.announcer.successor().filter(|_| !self.superseded) else {
            return;
        };
        self.superseded = true;
        event::Event::Superseded { incarnation }.log();
        let _ = self.worker.send(::agent::Event::Stop.into()).await;
    }

    /// Whether an entry has told of all other agents, or had the time to. The
    /// core asks the peers of its first view for the flows of its predecessor,
    /// so that view must be whole.
    fn knows_peers(&self) -> bool {
        self.announcer.is_current() || self.origin.elapsed() >= FIRST_VIEW_TIMEOUT
    }

    async fn next(&self, now: Duration) -> Option<Input> {
        let due = self.announcer.next_deadline().min(now + IDLE);
        let tick = async {
            Timer::at(self.origin + due).await;
            None
        };
        let input = async { self.inputs.recv().await.ok() };
        input.or(tick).await
    }

    fn send(&self, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            let Action::Send { to, message } = action;
            if let Ok(payload) = message.encode() {
                self.port.send(to, &Frame::Control(payload));
            }
        }
    }

    /// Tells the core what has changed of its service.
    async fn publish(&mut self) {
        let view = self.announcer.view();
        let Some(service) = directory::service(view) else {
            return;
        };
        let targets = directory::targets(view, &service);
        let drained = targets
            .iter()
            .any(|target| target.id == self.target && service.is_drained(target.id, target.zone));
        let view = ::agent::View {
            targets,
            service: ::agent::view::Service {
                binding: match service.binding {
                    Binding::Bound => ::agent::view::Binding::Bound,
                    Binding::Independent => ::agent::view::Binding::Independent,
                },
                queue_limit: service.queue_limit,
                idle: service.idle_timeout,
                default_deadline: service.default_deadline,
                max_deadline: service.largest_deadline,
                max_answer_bytes: usize::try_from(service.largest_answer_bytes)
                    .unwrap_or(usize::MAX),
            },
        };
        let _ = self.worker.send(Event::View(view).into()).await;
        if drained != self.drained {
            let change = if drained { Event::Drain } else { Event::Resume };
            let _ = self.worker.send(change.into()).await;
        }
        self.drained = drained;
    }
}
