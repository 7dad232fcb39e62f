//! Executes the actions that an agent's core returns.
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use ::agent::Action;
use ::agent::Completion;
use ::agent::Event;
use ::agent::Job;
use ::agent::Offer;
use ::agent::Outcome;
use ::agent::event::CallId;
use ::agent::event::JobId;
use ::agent::offer;
use ::agent::park;
use async_channel::Sender;
use net::Port;
use net::backend;
use smol::LocalExecutor;
use smol::Task;

use crate::agent::Input;
use crate::agent::control;
use crate::agent::peer;
use crate::agent::peer::Answer;
use crate::agent::peer::Call;
use crate::agent::peer::Failure;

/// Timeout of calls to a peer that park, claim or withdraw something.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Executes the core's actions: I/O, runs at the backend server and calls to
/// peers.
pub struct Driver {
    /// Executor of the tasks for the backend server's connections and for calls.
    pub(super) executor: Rc<LocalExecutor<'static>>,
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

impl Driver {
    /// Creates a driver without running tasks. The results of actions are sent to
    /// `inputs`; `origin` is the origin of the core's time.
    #[must_use]
    pub fn new(
        port: Port,
        origin: Instant,
        backend: backend::Client,
        peers: peer::Pool,
        inputs: Sender<Input>,
        control: Sender<control::Input>,
    ) -> Self {
        Self {
            executor: Rc::new(LocalExecutor::new()),
            port,
            origin,
            backend: Rc::new(backend),
            peers: Rc::new(peers),
            inputs,
            control,
            jobs: HashMap::new(),
            calls: HashMap::new(),
            next_call: 0,
        }
    }

    /// Converts an input into an event for the core. Keeps the reply channel of a
    /// peer's call until the core answers it.
    pub fn event_from(&mut self, input: Input) -> Event {
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

    /// Executes an action. Returns false if the process must end.
    pub fn perform(&mut self, action: Action) -> bool {
        match action {
            Action::Send { to, frame } => self.port.send(to, &frame),
            Action::Run(job) => self.run(job),
            Action::Abort { job } => drop(self.jobs.remove(&job)),
            Action::Pass { to, offer } => self.forward_offer(to, offer),
            Action::Withdraw { to, offer } => self.call(to, Call::Withdraw(offer), |_| None),
            Action::AnswerOffer { call, outcome } => self.answer(call, Answer::Offer(outcome)),
            Action::AnswerPark { call, accepted } => self.answer(call, Answer::Parked(accepted)),
            Action::AnswerClaim { call, grant } => self.answer(call, Answer::Claimed(grant)),
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

    fn forward_offer(&self, to: SocketAddr, offer: Offer) {
        let id = offer.id;
        let timeout = offer.remaining;
        let call = Call::Offer(offer);
        self.call_with_timeout(to, call, timeout, move |result| {
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
                Err(Failure::Lost) => park::Grant::Unanswered,
                _ => park::Grant::Unreachable,
            };
            Some(Event::Claimed { peer: to, grant })
        });
    }

    /// Calls a peer in the background with the default timeout, and sends the event
    /// that `to_event` makes of the result to the core.
    fn call(
        &self,
        to: SocketAddr,
        call: Call,
        to_event: impl FnOnce(Result<Answer, Failure>) -> Option<Event> + 'static,
    ) {
        self.call_with_timeout(to, call, CALL_TIMEOUT, to_event);
    }

    fn call_with_timeout(
        &self,
        to: SocketAddr,
        call: Call,
        timeout: Duration,
        to_event: impl FnOnce(Result<Answer, Failure>) -> Option<Event> + 'static,
    ) {
        let peers = Rc::clone(&self.peers);
        let inputs = self.inputs.clone();
        self.executor
            .spawn(async move {
                let result = peers.call(to, &call, timeout).await;
                if let Some(event) = to_event(result) {
                    let _ = inputs.send(Input::Event(event)).await;
                }
            })
            .detach();
    }
}

/// Converts the result of a run into a [`Completion`], which tells the core
/// whether the request may have been executed.
fn completion(result: Result<bytes::Bytes, backend::Error>) -> Completion {
    match result {
        Ok(answer) => Completion::Completed(answer),
        Err(backend::Error::Shed { retry_after }) => Completion::Shed { retry_after },
        Err(backend::Error::Unreachable | backend::Error::Expired) => Completion::Failed {
            may_have_run: false,
        },
        Err(backend::Error::TooLarge) => Completion::TooLarge,
        Err(backend::Error::Broken | backend::Error::Timeout | backend::Error::Status(_)) => {
            Completion::Failed { may_have_run: true }
        }
    }
}
