//! Follows the configuration in the store and hands on what changed.
use std::collections::HashMap;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use config::Record;
use config::key::SERVICES;
use wire::Revision;
use wire::ServiceAddress;

use crate::Store;

pub use config::Update;

/// Follows the store until the receiver of `updates` is dropped.
pub async fn run(store: impl Store, updates: Sender<Update>) {
    let mut known: HashMap<ServiceAddress, Revision> = HashMap::new();
    let mut index = 0;
    while !updates.is_closed() {
        let Ok(listing) = store.watch(SERVICES, index, Duration::from_secs(10)).await else {
            Timer::after(Duration::from_millis(500)).await;
            continue;
        };
        index = listing.index;
        for item in listing.items {
            let Ok(record) = Record::from_item(&item) else {
                continue;
            };
            let revision = known.entry(record.service.address).or_default();
            if *revision >= item.revision {
                continue;
            }
            *revision = item.revision;
            let update = Update {
                service: record.service,
                revision: item.revision,
            };
            if updates.send(update).await.is_err() {
                return;
            }
        }
    }
}
