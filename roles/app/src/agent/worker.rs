//! The traffic thread of an agent: carries out what its core decides.
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use ::agent::Action;
use ::agent::Agent;
use ::agent::Completion;
use ::agent::Event;
use ::agent::Job;
use ::agent::Offer;
use ::agent::Outcome;
use ::agent::event::CallId;
use ::agent::event::JobId;
use ::agent::offer;
use ::agent::park;
use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use net::Port;
use net::backend;
use net::port::Received;
use smol::LocalExecutor;
use smol::Task;
use wire::Frame;

use crate::agent::Input;
use crate::agent::control;
use crate::agent::peer;
use crate::agent::peer::Answer;
use crate::agent::peer::Call;
use crate::agent::peer::Failure;

/// Frames that are taken from the port before other inputs are looked at.
const BATCH: usize = 64;

/// Longest wait for a peer that keeps, gives or withdraws something.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

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
    /// The backend server.
    pub backend: backend::Client,
    /// Connections to other agents.
    pub peers: peer::Pool,
    /// What arrives from other threads and from finished tasks.
    pub inputs: Receiver<Input>,
    /// The sending end of `inputs`.
    pub inputs_sender: Sender<Input>,
    /// The control thread.
    pub control: Sender<control::Input>,
}

/// What the loop was woken by.
enum Wake {
    Frame(Received),
    Input(Input),
    Deadline,
}

struct Shell {
    executor: Rc<LocalExecutor<'static>>,
    port: Port,
    origin: Instant,
    backend: Rc<backend::Client>,
    peers: Rc<peer::Pool>,
    inputs: Sender<Input>,
    control: Sender<control::Input>,
    jobs: HashMap<JobId, Task<()>>,
    calls: HashMap<CallId, Sender<Answer>>,
    next_call: CallId,
}

/// Runs the agent's core until it asks to exit.
///
/// # Errors
///
/// The operating system's error where the port fails.
pub async fn run(worker: Worker) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let Worker {
        mut core,
        origin,
        port,
        backend,
        peers,
        inputs,
        inputs_sender,
        control,
    } = worker;
    let mut shell = Shell {
        executor: Rc::clone(&executor),
        port: port.clone(),
        origin,
        backend: Rc::new(backend),
        peers: Rc::new(peers),
        inputs: inputs_sender,
        control,
        jobs: HashMap::new(),
        calls: HashMap::new(),
        next_call: 0,
    };
    let turns = async {
        let mut receiver = port.receiver();
        let mut actions = Vec::new();
        loop {
            match wake(&mut receiver, &inputs, core.next_deadline(), origin).await? {
                Wake::Deadline => core.handle(origin.elapsed(), Event::Tick, &mut actions),
                Wake::Input(Input::Status(reply)) => {
                    let _ = reply.try_send(core.status());
                }
                Wake::Input(input) => {
                    let event = shell.event(input);
                    core.handle(origin.elapsed(), event, &mut actions);
                }
                Wake::Frame(frame) => shell.take(&mut core, frame, &mut actions),
            }
            for _ in 0..BATCH {
                match receiver.try_receive() {
                    Ok(Some(frame)) => shell.take(&mut core, frame, &mut actions),
                    Ok(None) => {}
                    Err(_) => break,
                }
            }
            for action in actions.drain(..) {
                if !shell.perform(action) {
                    return Ok(());
                }
            }
            // Lets the tasks of the backend server's connections run.
            smol::future::yield_now().await;
        }
    };
    executor.run(turns).await
}

async fn wake(
    receiver: &mut net::port::Receiver,
    inputs: &Receiver<Input>,
    deadline: Option<Duration>,
    origin: Instant,
) -> io::Result<Wake> {
    let frame = async { receiver.receive().await.map(Wake::Frame) };
    let input = async {
        match inputs.recv().await {
            Ok(input) => Ok(Wake::Input(input)),
            Err(_) => std::future::pending().await,
        }
    };
    let due = deadline.unwrap_or(origin.elapsed() + IDLE);
    let tick = async {
        Timer::at(origin + due).await;
        Ok(Wake::Deadline)
    };
    input.or(frame).or(tick).await
}

impl Shell {
    fn take(&self, core: &mut Agent, received: Received, actions: &mut Vec<Action>) {
        match received.frame {
            Frame::Control(payload) => {
                let message = control::Input::Message {
                    from: received.from,
                    payload,
                };
                // A full control thread loses messages, as a network does.
                let _ = self.control.try_send(message);
            }
            frame => {
                let event = Event::Frame {
                    from: received.from,
                    frame,
                };
                core.handle(self.origin.elapsed(), event, actions);
            }
        }
    }

    /// Turns an input into an event; calls of peers wait for their answer.
    fn event(&mut self, input: Input) -> Event {
        match input {
            Input::Event(event) => {
                if let Event::Finished { job, .. } = &event {
                    self.jobs.remove(job);
                }
                event
            }
            Input::Call { call, reply } => {
                self.next_call += 1;
                let id = self.next_call;
                if let Call::Withdraw(offer) = call {
                    let _ = reply.try_send(Answer::Withdrawn);
                    return Event::Withdrawn { offer };
                }
                self.calls.insert(id, reply);
                match call {
                    Call::Offer(offer) => Event::Offered { call: id, offer },
                    Call::Park(part) => Event::Park { call: id, part },
                    Call::Claim(claim) => Event::Claim { call: id, claim },
                    Call::Withdraw(offer) => Event::Withdrawn { offer },
                }
            }
            Input::Status(_) => Event::Tick,
        }
    }

    /// Carries out an action; false where the process is to end.
    fn perform(&mut self, action: Action) -> bool {
        match action {
            Action::Send { to, frame } => self.port.send(to, &frame),
            Action::Run(job) => self.run(job),
            Action::Abort { job } => drop(self.jobs.remove(&job)),
            Action::Pass { to, offer } => self.pass(to, offer),
            Action::Withdraw { to, offer } => self.call(to, Call::Withdraw(offer), |_| None),
            Action::Resolve { call, outcome } => self.answer(call, Answer::Offer(outcome)),
            Action::Parked { call, accepted } => self.answer(call, Answer::Parked(accepted)),
            Action::Claimed { call, grant } => self.answer(call, Answer::Claimed(grant)),
            Action::Park { to, part } => self.park(to, part),
            Action::Claim { to, claim } => self.claim(to, claim),
            Action::Announce { state, weight } => {
                let change = control::Input::Announce { state, weight };
                let _ = self.control.try_send(change);
            }
            Action::Exit => return false,
        }
        true
    }

    fn run(&mut self, job: Job) {
        let backend = Rc::clone(&self.backend);
        let inputs = self.inputs.clone();
        let id = job.id;
        let run = backend::Run {
            request: job.request,
            idempotent: job.idempotent,
            timeout: job.deadline.saturating_sub(self.origin.elapsed()),
            payload: job.payload,
        };
        let task = self.executor.spawn(async move {
            let result = completion(backend.run(run).await);
            let event = Event::Finished { job: id, result };
            let _ = inputs.send(Input::Event(event)).await;
        });
        self.jobs.insert(id, task);
    }

    fn answer(&mut self, call: CallId, answer: Answer) {
        if let Some(reply) = self.calls.remove(&call) {
            let _ = reply.try_send(answer);
        }
    }

    fn pass(&self, to: SocketAddr, offer: Offer) {
        let id = offer.id;
        let timeout = offer.remaining;
        let call = Call::Offer(offer);
        self.call_within(to, call, timeout, move |result| {
            let outcome = match result {
                Ok(Answer::Offer(outcome)) => outcome,
                Err(Failure::Unsent) => Outcome::NotRun {
                    reason: offer::Refusal::Unreachable,
                    retry_after: CALL_TIMEOUT,
                },
                _ => Outcome::Unknown,
            };
            Some(Event::Passed { offer: id, outcome })
        });
    }

    fn park(&self, to: SocketAddr, part: park::Part) {
        let index = part.index;
        self.call(to, Call::Park(part), move |result| {
            let accepted = matches!(result, Ok(Answer::Parked(true)));
            Some(Event::Parked { index, accepted })
        });
    }

    fn claim(&self, to: SocketAddr, claim: park::Claim) {
        self.call(to, Call::Claim(claim), move |result| {
            let grant = match result {
                Ok(Answer::Claimed(grant)) => grant,
                _ => park::Grant::Unreachable,
            };
            Some(Event::Claimed { peer: to, grant })
        });
    }

    fn call(
        &self,
        to: SocketAddr,
        call: Call,
        done: impl FnOnce(Result<Answer, Failure>) -> Option<Event> + 'static,
    ) {
        self.call_within(to, call, CALL_TIMEOUT, done);
    }

    fn call_within(
        &self,
        to: SocketAddr,
        call: Call,
        timeout: Duration,
        done: impl FnOnce(Result<Answer, Failure>) -> Option<Event> + 'static,
    ) {
        let peers = Rc::clone(&self.peers);
        let inputs = self.inputs.clone();
        self.executor
            .spawn(async move {
                let result = peers.call(to, &call, timeout).await;
                if let Some(event) = done(result) {
                    let _ = inputs.send(Input::Event(event)).await;
                }
            })
            .detach();
    }
}

fn completion(result: Result<bytes::Bytes, backend::Error>) -> Completion {
    match result {
        Ok(answer) => Completion::Completed(answer),
        Err(backend::Error::Shed { retry_after }) => Completion::Shed { retry_after },
        Err(backend::Error::Unreachable | backend::Error::Expired) => {
            Completion::Failed { ran: false }
        }
        Err(backend::Error::TooLarge) => Completion::TooLarge,
        Err(backend::Error::Broken | backend::Error::Timeout | backend::Error::Status(_)) => {
            Completion::Failed { ran: true }
        }
    }
}
