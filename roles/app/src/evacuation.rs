//! The record of evacuated zones that entries gossip and send to agents.
use std::time::Duration;

use config::Evacuations;
pub use config::evacuation::Tracker;
use member::BROADCAST_ADDRESS;
use member::Registry;
use member::View;
use wire::Revision;

/// Gossips the evacuated zones that the store listed at an index, unless the record
/// has the same content or is newer.
pub fn put(registry: &mut Registry, now: Duration, listed: &Evacuations, index: Revision) {
    let known = registry.view(&BROADCAST_ADDRESS).and_then(decode);
    let known = known.as_ref().map(|(revision, known)| (*revision, known));
    if !listed.supersedes(index, known) {
        return;
    }
    match listed.to_bytes() {
        Ok(body) => {
            let service = member::Service {
                address: BROADCAST_ADDRESS,
                revision: index,
                body: body.into(),
            };
            registry.put_service(now, service);
        }
        Err(error) => log::error!("cannot encode the evacuated zones: {error}"),
    }
}

/// Decodes the revision and the content of the record.
#[must_use]
pub fn decode(view: &View) -> Option<(Revision, Evacuations)> {
    decode_record(view.config.as_ref()?)
}

/// Decodes the revision and the content of the record.
#[must_use]
pub fn decode_record(record: &member::Service) -> Option<(Revision, Evacuations)> {
    match Evacuations::from_bytes(&record.body) {
        Ok(evacuations) => Some((record.revision, evacuations)),
        Err(error) => {
            log::error!("cannot decode the evacuated zones: {error}");
            None
        }
    }
}
