//! Availability zones that operators have evacuated.
//!
//! The store holds one key for each evacuated zone. The list of the keys at one revision
//! is the whole state, and the list of a later revision replaces it. The key of a zone
//! that is restored is deleted by operators who write to the store themselves, and has
//! the value of a [`Request`] where they send requests to an entry.
//!
//! * [`Evacuations`] is such a list.
//! * [`Evacuations::supersedes`] decides which lists are gossiped.
//! * [`Tracker`] determines the zones that are in force in one process.
use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use wire::Revision;
use wire::ZoneId;
use wire::revision;

use crate::Listing;
use crate::era;
use crate::key;

/// Time for which a zone stays evacuated that a restored store no longer lists.
/// The copy may be older than the evacuation, and operators write their keys again
/// within about a second.
pub const RESTORE_DELAY: Duration = Duration::from_secs(3);

/// The evacuated zones, as the store listed them.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Revision at which each zone was evacuated.
    #[serde_as(as = "BTreeMap<_, revision::Compact>")]
    pub zones: BTreeMap<ZoneId, Revision>,
}

/// Value of the key of a zone in the product's own protocol. A key stays when its
/// zone is restored, because the store has no conditional deletion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Whether the zone is evacuated.
    pub is_evacuated: bool,
}

/// Determines the evacuated zones that are in force in one process, from the lists
/// that reach it in any order.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// Newest list and its revision; `None` before the first.
    newest: Option<(Revision, Evacuations)>,
    /// Zones that a restored store no longer lists.
    retained: BTreeMap<ZoneId, Retained>,
    /// Zones that were in force at the last call of [`Tracker::advance`].
    current: Evacuations,
}

/// Zone that a restored store no longer lists.
#[derive(Clone, Copy, Debug)]
struct Retained {
    /// Revision at which it was evacuated.
    revision: Revision,
    /// Time from which it counts as restored.
    until: Duration,
}

impl Evacuations {
    /// Decodes a list of the keys under [`key::EVACUATION_PREFIX`]. Keys and values
    /// that cannot be decoded are left out.
    #[must_use]
    pub fn from_listing(listing: &Listing) -> Self {
        let items = listing.items.iter();
        let zones = items.filter_map(|item| {
            let request: Request = serde_json::from_slice(&item.value).ok()?;
            let zone = key::evacuated_zone(&item.key)?;
            request.is_evacuated.then_some((zone, item.revision))
        });
        Self {
            zones: zones.collect(),
        }
    }

    /// Encodes the zones as the body of a gossiped record.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes the body of a gossiped record.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the body is malformed.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Returns true if a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: ZoneId) -> bool {
        self.zones.contains_key(&zone)
    }

    /// Returns true if this list, read at `index` of the store, must be gossiped in
    /// place of the `known` one: it is newer, and its content differs. The index
    /// rises with every write to the store, so a list without a change would cause
    /// gossip all the time.
    #[must_use]
    pub fn supersedes(&self, index: Revision, known: Option<(Revision, &Self)>) -> bool {
        known.is_none_or(|(revision, known)| index > revision && known != self)
    }
}

impl Tracker {
    /// Records a list, unless a newer one is known.
    pub fn observe(&mut self, now: Duration, revision: Revision, listed: Evacuations) {
        match &self.newest {
            Some((known, _)) if revision <= *known => return,
            Some((known, previous)) if era::of(revision) > era::of(*known) => {
                for (zone, revision) in &previous.zones {
                    self.retained.entry(*zone).or_insert(Retained {
                        revision: *revision,
                        until: now + RESTORE_DELAY,
                    });
                }
            }
            _ => {}
        }
        self.retained.retain(|zone, _| !listed.contains(*zone));
        self.newest = Some((revision, listed));
    }

    /// Returns true once a list is known.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.newest.is_some()
    }

    /// Returns the evacuated zones as of the last call of [`Self::advance`].
    #[must_use]
    pub const fn current(&self) -> &Evacuations {
        &self.current
    }

    /// Determines the evacuated zones. Returns those of before if they have changed.
    pub fn advance(&mut self, now: Duration) -> Option<Evacuations> {
        let current = self.in_force(now);
        let has_changed = current != self.current;
        has_changed.then(|| std::mem::replace(&mut self.current, current))
    }

    fn in_force(&self, now: Duration) -> Evacuations {
        let retained = self.retained.iter().filter(|(_, kept)| now < kept.until);
        let retained = retained.map(|(zone, kept)| (*zone, kept.revision));
        let listed = self.newest.iter().flat_map(|(_, listed)| &listed.zones);
        let listed = listed.map(|(zone, revision)| (*zone, *revision));
        Evacuations {
            zones: retained.chain(listed).collect(),
        }
    }
}
