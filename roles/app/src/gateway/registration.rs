//! Keeps the gateway registered in the platform's store, and discovers the other
//! entries there.
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use config::Registration;
use config::era::Era;
use config::registration::Action;
use config::registration::Event;
use config::registration::Settings;
use futures_lite::FutureExt;
use futures_lite::future::pending;
use platform::name;
use store::Store;

use crate::event::Event as LogEvent;
use crate::gateway::control::Input;

/// Keeps the gateway registered until the control thread has ended, and sends it
/// the entries that the store lists. Registers again after each restore of the
/// store.
pub async fn run(
    store: impl Store,
    own: SocketAddr,
    control: Sender<Input>,
    restored: Receiver<Era>,
) {
    let origin = Instant::now();
    let key = name::entry_key(own);
    let mut registration = Registration::new(
        Settings::default(),
        key,
        fastrand::u64(..),
        origin.elapsed(),
    );
    while !control.is_closed() {
        if restored.try_recv().is_ok() {
            registration.on_restored(origin.elapsed());
        }
        let event = match registration.next(origin.elapsed()) {
            Action::Sleep(pause) => {
                if sleep(pause, &restored).await == Wake::Restored {
                    registration.on_restored(origin.elapsed());
                }
                continue;
            }
            Action::List => Event::Listed(store.list_stale(name::ENTRIES).await),
            Action::Grant(ttl) => Event::Granted(store.grant(ttl).await),
            Action::Acquire(lease) => {
                Event::Acquired(store.acquire(registration.key(), &lease).await)
            }
            Action::Renew(lease) => Event::Renewed(store.renew(&lease).await),
        };
        if event == Event::Acquired(Ok(true)) {
            let key = registration.key().to_owned();
            LogEvent::Listed { key }.log();
        }
        let listed = registration.handle(origin.elapsed(), event);
        let peers: Vec<SocketAddr> = listed
            .iter()
            .filter_map(|key| name::parse_entry_key(key))
            .collect();
        if !peers.is_empty() {
            // If the queue is full, the next listing is sent.
            let _ = control.try_send(Input::Peers(peers));
        }
    }
}

/// Reason for the end of a sleep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wake {
    /// The time is over.
    Timer,
    /// The store was restored.
    Restored,
}

/// Sleeps for this time, or until the store is restored.
async fn sleep(pause: Duration, restored: &Receiver<Era>) -> Wake {
    let timer = async {
        Timer::after(pause).await;
        Wake::Timer
    };
    let restore = async {
        match restored.recv().await {
            Ok(_) => Wake::Restored,
            // The follower has ended with the control thread.
            Err(_) => pending().await,
        }
    };
    timer.or(restore).await
}
