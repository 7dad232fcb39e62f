//! The record of evacuated zones that entries gossip and send to agents.
use std::time::Duration;

use config::Evacuations;
pub use config::evacuation::Tracker;
use member::BROADCAST_ADDRESS;
use member::Registry;
use wire::Revision;

/// Gossips the evacuated zones that the store listed at an index, unless the record
/// has the same content or is newer.
pub fn put(registry: &mut Registry, now: Duration, listed: &Evacuations, index: Revision) {
    let known = record(registry).and_then(decode);
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

/// Returns the record that this process knows.
#[must_use]
pub fn record(registry: &Registry) -> Option<&member::Service> {
    registry.view(&BROADCAST_ADDRESS)?.config.as_ref()
}

/// Records the list in a record that was gossiped or sent by an entry.
pub fn observe(tracker: &mut Tracker, now: Duration, record: Option<&member::Service>) {
    if let Some((revision, listed)) = record.and_then(decode) {
        tracker.observe(now, revision, listed);
    }
}

/// Decodes the revision and the content of the record.
fn decode(record: &member::Service) -> Option<(Revision, Evacuations)> {
    match Evacuations::from_bytes(&record.body) {
        Ok(evacuations) => Some((record.revision, evacuations)),
        Err(error) => {
            log::error!("cannot decode the evacuated zones: {error}");
            None
        }
    }
}
