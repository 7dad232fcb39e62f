//! The traffic thread of an agent: feeds its core with what arrives.
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use ::agent::Action;
use ::agent::Agent;
use ::agent::Event;
use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use net::Port;
use net::port::Received;
use wire::Frame;

use crate::agent::Input;
use crate::agent::control;
use crate::agent::shell::Shell;

/// Frames that are taken from the port before other inputs are looked at.
const BATCH: usize = 64;

/// Longest sleep while nothing is due.
const IDLE: Duration = Duration::from_secs(1);

/// What the traffic thread works with.
pub struct Worker {
    /// The decisions.
    pub core: Agent,
    /// Origin of the core's time.
    pub origin: Instant,
    /// The port for frames.
    pub port: Port,
    /// What arrives from other threads and from finished tasks.
    pub inputs: Receiver<Input>,
    /// The control thread.
    pub control: Sender<control::Input>,
    /// What carries out the decisions.
    pub shell: Shell,
}

/// What the loop was woken by.
enum Wake {
    Frame(Received),
    Input(Input),
    Deadline,
}

/// Runs the agent's core until it asks to exit.
///
/// # Errors
///
/// The operating system's error where the port fails.
pub async fn run(mut worker: Worker) -> io::Result<()> {
    let executor = Rc::clone(&worker.shell.executor);
    let mut receiver = worker.port.receiver();
    let turns = async {
        while worker.turn(&mut receiver).await? {
            // Lets the tasks of the backend server's connections run.
            smol::future::yield_now().await;
        }
        Ok(())
    };
    executor.run(turns).await
}

impl Worker {
    /// Takes what has arrived and carries out what follows; false where the
    /// process is to end.
    async fn turn(&mut self, receiver: &mut net::port::Receiver) -> io::Result<bool> {
        let mut actions = Vec::new();
        match self.wake(receiver).await? {
            Wake::Deadline => self.handle(Event::Tick, &mut actions),
            Wake::Input(Input::Status(reply)) => {
                let _ = reply.try_send(self.core.status());
            }
            Wake::Input(input) => {
                let event = self.shell.event(input);
                self.handle(event, &mut actions);
            }
            Wake::Frame(frame) => self.take(frame, &mut actions),
        }
        for _ in 0..BATCH {
            match receiver.try_receive() {
                Ok(Some(frame)) => self.take(frame, &mut actions),
                Ok(None) => {}
                Err(_) => break,
            }
        }
        let goes_on = actions.into_iter().all(|action| self.shell.perform(action));
        Ok(goes_on)
    }

    /// Waits for the first of an input, a frame and the core's deadline. The
    /// core acts on its deadlines before any event, so that a stream of events
    /// does not hold them up.
    async fn wake(&self, receiver: &mut net::port::Receiver) -> io::Result<Wake> {
        let frame = async { receiver.receive().await.map(Wake::Frame) };
        let input = async {
            match self.inputs.recv().await {
                Ok(input) => Ok(Wake::Input(input)),
                Err(_) => std::future::pending().await,
            }
        };
        let now = self.origin.elapsed();
        let due = self.core.next_deadline().unwrap_or(now + IDLE);
        let tick = async {
            Timer::at(self.origin + due).await;
            Ok(Wake::Deadline)
        };
        input.or(frame).or(tick).await
    }

    fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        self.core.handle(self.origin.elapsed(), event, actions);
    }

    /// Takes a frame: messages of the membership protocol go to the control
    /// thread, all others to the core.
    fn take(&mut self, received: Received, actions: &mut Vec<Action>) {
        let from = received.from;
        match received.frame {
            Frame::Control(payload) => {
                let message = control::Input::Message { from, payload };
                // A full control thread loses messages, as a network does.
                let _ = self.control.try_send(message);
            }
            frame => self.handle(Event::Frame { from, frame }, actions),
        }
    }
}
