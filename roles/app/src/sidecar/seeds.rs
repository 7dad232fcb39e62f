//! Finds entries to announce to, beside those that the settings name.
use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use platform::name;
use store::Store;

use crate::sidecar::control::Input;

/// Pause before the store is asked again. Doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest such pause.
const LAST_PAUSE: Duration = Duration::from_secs(8);

/// Tells the control thread of the entries that the store lists, once it lists
/// any. The announcements tell of all others.
pub async fn find(store: impl Store, host: platform::Settings, control: Sender<Input>) {
    let mut pause = FIRST_PAUSE;
    loop {
        match store.list_stale(name::ENTRIES).await {
            Ok(listing) => {
                let keys = listing.items.iter();
                let entries: Vec<SocketAddr> =
                    keys.filter_map(|item| name::entry(&item.key)).collect();
                let is_found = entries.iter().any(|one| !host.seed_frames().contains(one));
                let is_closed = control.send(Input::Entries(entries)).await.is_err();
                if is_found || is_closed {
                    return;
                }
            }
            Err(fault) => log::warn!("the store lists no entries: {fault}"),
        }
        Timer::after(pause.mul_f64(0.5 + fastrand::f64())).await;
        pause = (pause * 2).min(LAST_PAUSE);
    }
}
