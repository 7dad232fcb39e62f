//! Carries out the actions of a [`Reader`].
use std::future::Future;
use std::pin::Pin;
use std::task::Poll;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use config::Reader;
use config::Update;
use config::feed;
use config::lease;
use config::lease::Answer;
use config::lease::Call;
use config::reader::Action;
use config::reader::Event;
use futures_lite::FutureExt;
use futures_lite::future;

use crate::Store;

/// Calls in flight.
#[derive(Default)]
struct PendingCalls(Vec<Pin<Box<dyn Future<Output = Event> + Send>>>);

/// Runs a reader until it receives [`Event::Stop`] or the receiver of `updates`
/// is dropped. `inputs` delivers [`Event::Rank`] and [`Event::Stop`].
pub async fn run(
    store: impl Store,
    mut reader: Reader,
    inputs: Receiver<Event>,
    updates: Sender<Update>,
) {
    let origin = Instant::now();
    let mut calls = PendingCalls::default();
    let mut event = Event::Tick;
    loop {
        let stopping = event == Event::Stop;
        let actions = reader.on_event(origin.elapsed(), event);
        if stopping {
            return release_lock(&store, actions).await;
        }
        for action in actions {
            match action {
                Action::Feed(feed::Action::Publish(update)) => {
                    if updates.send(update).await.is_err() {
                        return;
                    }
                }
                action => calls.push(run_call(store.clone(), action)),
            }
        }
        let deadline = reader.next_deadline();
        let expire = async {
            match deadline {
                Some(deadline) => drop(Timer::at(origin + deadline).await),
                None => future::pending().await,
            }
            Event::Tick
        };
        let input = async {
            match inputs.recv().await {
                Ok(event) => event,
                Err(_) => future::pending().await,
            }
        };
        event = calls.next().or(input).or(expire).await;
    }
}

impl PendingCalls {
    fn push(&mut self, call: impl Future<Output = Event> + Send + 'static) {
        self.0.push(Box::pin(call));
    }

    /// Waits for the next call to end and returns its event.
    fn next(&mut self) -> impl Future<Output = Event> + '_ {
        future::poll_fn(|context| {
            let ended = self.0.iter_mut().enumerate().find_map(|(position, call)| {
                match call.as_mut().poll(context) {
                    Poll::Ready(event) => Some((position, event)),
                    Poll::Pending => None,
                }
            });
            match ended {
                Some((position, event)) => {
                    drop(self.0.swap_remove(position));
                    Poll::Ready(event)
                }
                None => Poll::Pending,
            }
        })
    }
}

/// Releases the reader lock.
async fn release_lock(store: &impl Store, actions: Vec<Action>) {
    for action in actions {
        if let Action::Lease(action) = action {
            run_lease_call(store, action).await;
        }
    }
}

/// Makes the call of an action and returns its answer as an event.
async fn run_call(store: impl Store, action: Action) -> Event {
    match action {
        Action::Lease(action) => run_lease_call(&store, action).await,
        Action::Feed(feed::Action::Publish(_)) => Event::Tick,
        Action::Feed(feed::Action::List { id, prefix }) => {
            Event::Feed(id, store.list(&prefix).await)
        }
        Action::Feed(feed::Action::Watch {
            id,
            prefix,
            since,
            wait,
        }) => Event::Feed(id, store.watch(&prefix, since, wait).await),
    }
}

/// Makes a call for the lease and returns its answer as an event.
async fn run_lease_call(store: &impl Store, action: lease::Action) -> Event {
    let answer = match action.call {
        Call::List { prefix } => Answer::Listed(store.list(&prefix).await),
        Call::Grant { ttl } => Answer::Granted(store.grant(ttl).await),
        Call::Acquire { key, lease } => Answer::Acquired(store.acquire(&key, &lease).await),
        Call::Renew { lease } => Answer::Renewed(store.renew(&lease).await),
        Call::Revoke { lease } => {
            // If this call fails, the lease expires by itself.
            let _ = store.revoke(&lease).await;
            return Event::Tick;
        }
    };
    Event::Lease(action.id, answer)
}
