//! The control thread of an agent: announces the backend server to entries and
//! passes changes of its service to the core.
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
use crate::evacuation;
use crate::event;

/// Longest sleep when no deadline is pending.
const IDLE: Duration = Duration::from_millis(250);

/// Longest wait after the start for the first complete view of the service's
/// other agents.
const FIRST_VIEW_TIMEOUT: Duration = Duration::from_secs(1);

/// An input to the control thread.
pub enum Input {
    /// A message of the membership protocol.
    Message {
        /// UDP address of the sender.
        from: SocketAddr,
        /// The encoded message.
        payload: Bytes,
    },
    /// A change of the announcement.
    Announce {
        /// State of the backend server, which decides whether it gets new flows.
        state: State,
        /// Learned capacity, as in [`wire::Target::weight`].
        weight: u32,
    },
    /// The agent is done and exits without an announcement; the backend server
    /// stays.
    Exit,
    /// The agent is done and the backend server leaves for good. Its departure is
    /// announced before the process exits.
    Leave,
}

/// State of the control thread.
pub struct Control {
    /// The membership protocol.
    pub announcer: Announcer,
    /// Origin of the monotonic time of the membership protocol.
    pub origin: Instant,
    /// The port for frames, shared with the traffic thread.
    pub port: Port,
    /// The backend server that this agent announces.
    pub target: TargetId,
    /// Inputs from the traffic thread.
    pub inputs: Receiver<Input>,
    /// Queue of inputs to the traffic thread.
    pub worker: Sender<agent::Input>,
    /// Whether operators drain the target, as last reported to the core.
    pub drained: bool,
    /// Whether the view has changed since it was last sent to the core.
    pub changed: bool,
    /// Whether a newer agent of the same backend server is known.
    pub superseded: bool,
    /// Determines the evacuated zones.
    pub evacuation: evacuation::Tracker,
}

impl Control {
    /// Runs until the process must end.
    pub async fn run(mut self) {
        let mut actions = Vec::new();
        loop {
            let now = self.origin.elapsed();
            match self.next_input(now).await {
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
            self.changed |= self.announcer.take_changed();
            self.update_evacuation();
            if self.changed && self.can_publish() {
                self.changed = false;
                self.publish().await;
            }
            if self.announcer.is_finished() {
                return;
            }
            self.stop_if_superseded().await;
        }
    }

    /// Stops the core, which finishes its work, once a newer agent of the same
    /// backend server is known. This happens after a long freeze of this process.
    async fn stop_if_superseded(&mut self) {
        let Some(incarnation) = self.announcer.successor().filter(|_| !self.superseded) else {
            return;
        };
        self.superseded = true;
        event::Event::Superseded { incarnation }.log();
        let _ = self.worker.send(::agent::Event::Stop.into()).await;
    }

    /// Returns true if the view of the other agents is complete or
    /// [`FIRST_VIEW_TIMEOUT`] has passed. The core asks the peers of its first view
    /// for the flows of its predecessor, so that view must be complete.
    fn can_publish(&self) -> bool {
        self.announcer.is_current() || self.origin.elapsed() >= FIRST_VIEW_TIMEOUT
    }

    /// Waits for an input. Returns `None` once a deadline is due instead.
    async fn next_input(&self, now: Duration) -> Option<Input> {
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

    /// Applies the evacuated zones that entries sent.
    fn update_evacuation(&mut self) {
        let now = self.origin.elapsed();
        let record = self.announcer.take_broadcast();
        evacuation::observe(&mut self.evacuation, now, record.as_ref());
        self.changed |= self.evacuation.advance(now).is_some();
    }

    /// Sends the core the current view of its service.
    async fn publish(&mut self) {
        let view = self.announcer.view();
        let Some(service) = directory::service(view) else {
            return;
        };
        let service = directory::evacuate(service, self.evacuation.current());
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
                idle_timeout: service.idle_timeout,
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
