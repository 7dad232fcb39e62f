//! Follows the configuration key in the platform's store, and the operators'
//! requests to evacuate availability zones where the settings allow them.
use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use platform::evacuation;
use store::Store;

use crate::event::Event as LogEvent;
use crate::gateway::control::Input;

/// Sends each new configuration to the control thread until that has ended, and
/// each list of evacuated zones if `zones` names the region of each zone. Sets
/// `is_confirmed` to whether the store confirmed the configuration recently. Sends
/// to `restored` after each restore of the store from an older copy.
pub async fn run(
    store: impl Store,
    control: Sender<Input>,
    is_confirmed: Arc<AtomicBool>,
    restored: Sender<Era>,
    zones: Option<BTreeMap<String, String>>,
) {
    let origin = Instant::now();
    let mut follower = Follower::new(Settings::default(), document::KEY, fastrand::u64(..));
    if zones.is_some() {
        follower = follower.with_prefix(evacuation::PREFIX);
    }
    let mut reported = BTreeSet::new();
    loop {
        let event = match follower.next() {
            Action::Read => Event::Read(store.get(follower.path()).await),
            Action::List => Event::Listed(store.list(follower.path()).await),
            Action::Watch { since, wait } => {
                Event::Watched(store.watch(follower.path(), since, wait).await)
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
        if let (Some(listing), Some(zones)) = (&outcome.listing, &zones) {
            let requests = evacuation::decode(listing, zones);
            report_unknown(requests.unknown, &mut reported);
            let (evacuations, index) = (requests.evacuations, listing.index);
            let input = Input::Evacuations { evacuations, index };
            if control.send(input).await.is_err() {
                return;
            }
        }
        Timer::after(outcome.pause).await;
    }
}

/// Logs each name that is no zone of the settings once for as long as it is listed.
fn report_unknown(unknown: Vec<String>, reported: &mut BTreeSet<String>) {
    reported.retain(|zone| unknown.contains(zone));
    for zone in unknown {
        if reported.insert(zone.clone()) {
            LogEvent::ZoneUnknown { zone }.log();
        }
    }
}
