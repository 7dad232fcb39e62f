//! Discovers entries to announce to, in addition to the seeds in the settings.
use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use platform::name;
use store::Store;

use crate::sidecar::control::Input;

/// Initial backoff between two store calls, before jitter; doubles up to
/// [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Longest backoff between two store calls, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Sends the entries that the store lists to the control thread, and ends once
/// the store lists one that is not a seed. Further entries are learned through the
/// membership protocol.
pub async fn discover(store: impl Store, host: platform::Settings, control: Sender<Input>) {
    let mut backoff = MIN_BACKOFF;
    loop {
        match store.list_stale(name::ENTRIES).await {
            Ok(listing) => {
                let keys = listing.items.iter();
                let entries: Vec<SocketAddr> = keys
                    .filter_map(|item| name::parse_entry_key(&item.key))
                    .collect();
                let has_new = entries
                    .iter()
                    .any(|one| !host.seed_frame_addresses().contains(one));
                let is_closed = control.send(Input::Entries(entries)).await.is_err();
                if has_new || is_closed {
                    return;
                }
            }
            Err(fault) => log::warn!("cannot list the entries in the store: {fault}"),
        }
        Timer::after(backoff.mul_f64(0.5 + fastrand::f64())).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
