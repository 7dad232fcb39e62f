//! Follows the configuration key in the platform's store.
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use async_channel::Sender;
use async_io::Timer;
use config::Follower;
use config::era::Era;
use config::follower::Action;
use config::follower::Event;
use config::follower::Reachability;
use config::follower::Settings;
use platform::document;
use store::Store;

use crate::event::Event as LogEvent;
use crate::gateway::control::Input;

/// Sends each new configuration to the control thread until that has ended, and
/// sets `is_confirmed` to whether the store confirmed it recently. Sends to
/// `restored` after each restore of the store from an older copy.
pub async fn run(
    store: impl Store,
    control: Sender<Input>,
    is_confirmed: Arc<AtomicBool>,
    restored: Sender<Era>,
) {
    let origin = Instant::now();
    let mut follower = Follower::new(Settings::default(), document::KEY, fastrand::u64(..));
    loop {
        let event = match follower.next() {
            Action::Read => Event::Read(store.get(follower.key()).await),
            Action::Watch { since, wait } => {
                Event::Watched(store.watch(follower.key(), since, wait).await)
            }
        };
        let outcome = follower.handle(origin.elapsed(), event);
        is_confirmed.store(follower.is_confirmed(origin.elapsed()), Ordering::Relaxed);
        match outcome.reachability {
            Some(Reachability::Lost(fault)) => {
                let fault = fault.to_string();
                LogEvent::StoreLost { fault }.log();
            }
            Some(Reachability::Regained) => LogEvent::StoreRegained {}.log(),
            None => {}
        }
        if let Some(era) = outcome.restored {
            LogEvent::StoreRestored { era }.log();
            // A full queue means that an earlier restore is still to be handled.
            let _ = restored.try_send(era);
        }
        if let Some(item) = outcome.value
            && control.send(Input::Document(item.value)).await.is_err()
        {
            return;
        }
        Timer::after(outcome.pause).await;
    }
}
