//! Reads the evacuated zones from the platform's store.
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_io::Timer;
use config::Evacuations;
use config::Follower;
use config::follower::Action;
use config::follower::Event;
use config::follower::Settings;
use config::key;
use store::Store;

use crate::entry::control::Input;

/// Number of entries of a zone, by rank, that read; the others receive the zones by
/// gossip. So the number of calls does not grow with the number of entries. Without
/// a lock, a few more may read for as long as their ranks differ, which is harmless.
const READERS: usize = 2;

/// Time between two checks of the rank by an entry that does not read.
const RANK_INTERVAL: Duration = Duration::from_secs(1);

/// Sends each list of evacuated zones to the control thread until that has ended.
pub async fn run(store: impl Store, rank: Arc<AtomicUsize>, control: Sender<Input>) {
    let origin = Instant::now();
    let prefix = key::EVACUATION_PREFIX;
    let mut follower = Follower::of_prefix(Settings::default(), prefix, fastrand::u64(..));
    while !control.is_closed() {
        if rank.load(Ordering::Relaxed) >= READERS {
            Timer::after(RANK_INTERVAL).await;
            continue;
        }
        let event = match follower.next() {
            Action::Read | Action::List => Event::Listed(store.list(prefix).await),
            Action::Watch { since, wait } => Event::Watched(store.watch(prefix, since, wait).await),
        };
        let outcome = follower.handle(origin.elapsed(), event);
        if let Some(listing) = outcome.listing {
            let evacuations = Evacuations::from_listing(&listing);
            let index = listing.index;
            // The control thread has ended if it does not receive.
            let _ = control
                .send(Input::Evacuations { evacuations, index })
                .await;
        }
        Timer::after(outcome.pause).await;
    }
}
