//! The traffic thread of an agent, which passes frames and inputs to the core.
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
use crate::agent::driver::Driver;

/// Maximum number of frames read from the port before other inputs are checked.
const BATCH: usize = 64;

/// Longest sleep when the core has no deadline.
const IDLE: Duration = Duration::from_secs(1);

/// State of the traffic thread.
pub struct Worker {
    /// The core, which decides and does no I/O.
    pub core: Agent,
    /// Origin of the core's time.
    pub origin: Instant,
    /// The port for frames.
    pub port: Port,
    /// Inputs from other threads and from finished tasks.
    pub inputs: Receiver<Input>,
    /// Queue of inputs to the control thread.
    pub control: Sender<control::Input>,
    /// Executes the core's actions.
    pub driver: Driver,
}

/// Reason why the loop woke up.
enum Wake {
    Frame(Received),
    Input(Input),
    Deadline,
}

/// Runs the agent's core until it asks to exit.
///
/// # Errors
///
/// Returns the operating system's error if the port fails.
pub async fn run(mut worker: Worker) -> io::Result<()> {
    let executor = Rc::clone(&worker.driver.executor);
    let mut receiver = worker.port.receiver();
    let processing = async {
        while worker.process_next(&mut receiver).await? {
            // Lets the tasks of the backend server's connections run.
            smol::future::yield_now().await;
        }
        Ok(())
    };
    executor.run(processing).await
}

impl Worker {
    /// Waits for and processes one wake-up and a batch of frames, and executes the
    /// resulting actions. Returns false if the process must end.
    async fn process_next(&mut self, receiver: &mut net::port::Receiver) -> io::Result<bool> {
        let mut actions = Vec::new();
        match self.wake(receiver).await? {
            Wake::Deadline => self.handle(Event::Tick, &mut actions),
            Wake::Input(Input::Status(reply)) => {
                let _ = reply.try_send(self.core.status());
            }
            Wake::Input(input) => {
                let event = self.driver.event_from(input);
                self.handle(event, &mut actions);
            }
            Wake::Frame(frame) => self.dispatch(frame, &mut actions),
        }
        for _ in 0..BATCH {
            match receiver.try_receive() {
                Ok(Some(frame)) => self.dispatch(frame, &mut actions),
                Ok(None) => {}
                Err(_) => break,
            }
        }
        let keeps_running = actions
            .into_iter()
            .all(|action| self.driver.perform(action));
        Ok(keeps_running)
    }

    /// Waits for the first of an input, a frame and the core's deadline. The core
    /// handles expired deadlines before any event, so that a continuous stream of
    /// events does not delay them.
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

    /// Passes messages of the membership protocol to the control thread, and all
    /// other frames to the core.
    fn dispatch(&mut self, received: Received, actions: &mut Vec<Action>) {
        let from = received.from;
        match received.frame {
            Frame::Control(payload) => {
                let message = control::Input::Message { from, payload };
                // Messages are dropped while the control thread's queue is full;
                // the protocol tolerates loss.
                let _ = self.control.try_send(message);
            }
            frame => self.handle(Event::Frame { from, frame }, actions),
        }
    }
}
