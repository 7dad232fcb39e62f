//! Keeps the gateway registered in the platform's store, and discovers the other
//! entries there.
use std::net::SocketAddr;
use std::time::Instant;

use async_channel::Sender;
use async_io::Timer;
use config::Registration;
use config::registration::Action;
use config::registration::Event;
use config::registration::Settings;
use platform::name;
use store::Store;

use crate::event::Event as LogEvent;
use crate::gateway::control::Input;

/// Keeps the gateway registered until the control thread has ended, and sends it
/// the entries that the store lists.
pub async fn run(store: impl Store, own: SocketAddr, control: Sender<Input>) {
    let origin = Instant::now();
    let key = name::entry_key(own);
    let mut registration = Registration::new(
        Settings::default(),
        key,
        fastrand::u64(..),
        origin.elapsed(),
    );
    while !control.is_closed() {
        let event = match registration.next(origin.elapsed()) {
            Action::Sleep(pause) => {
                Timer::after(pause).await;
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
