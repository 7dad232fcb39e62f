//! Finds entries to announce to.
use std::collections::BTreeSet;
use std::net::SocketAddr;

use platform::name;
use store::Store;

/// The entries that the settings name, and those that the store lists.
pub async fn gather(store: &impl Store, host: &platform::Settings) -> Vec<SocketAddr> {
    let mut seeds: BTreeSet<SocketAddr> = host.seed_frames().into_iter().collect();
    match store.list_stale(name::ENTRIES).await {
        Ok(listing) => {
            let keys = listing.items.iter();
            seeds.extend(keys.filter_map(|item| name::entry(&item.key)));
        }
        Err(fault) => log::warn!("the store lists no entries: {fault}"),
    }
    seeds.into_iter().collect()
}
