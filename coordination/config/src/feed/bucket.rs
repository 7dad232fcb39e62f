//! Tracks the buckets that have changed since they were listed.
use wire::Revision;

use crate::Listing;
use crate::key;
use crate::key::BUCKETS;
use crate::key::Bucket;

/// Newest revision of each bucket, by its change marker and by its listed
/// services.
#[derive(Clone, Debug)]
pub(super) struct Buckets {
    marked: [Revision; BUCKETS as usize],
    listed: [Revision; BUCKETS as usize],
}

impl Buckets {
    /// Creates buckets without known revisions.
    pub(super) const fn new() -> Self {
        Self {
            marked: [0; BUCKETS as usize],
            listed: [0; BUCKETS as usize],
        }
    }

    /// Records the revisions of change markers; returns `true` if one is newer
    /// than before.
    pub(super) fn record_markers(&mut self, listing: &Listing) -> bool {
        let mut changed = false;
        for item in &listing.items {
            if let Some(bucket) = key::marker_bucket(&item.key) {
                changed |= raise(&mut self.marked[usize::from(bucket)], item.revision);
            }
        }
        changed
    }

    /// Records the revision of a service listed in the bucket; returns `true` if
    /// it is newer than all listed before.
    pub(super) fn record_listed(&mut self, bucket: Bucket, revision: Revision) -> bool {
        raise(&mut self.listed[usize::from(bucket)], revision)
    }

    /// Returns the next bucket after `last`, in circular order, whose change
    /// marker is newer than its listed services.
    pub(super) fn next_outdated(&self, last: Bucket) -> Option<Bucket> {
        let mut next = (last + 1..BUCKETS).chain(0..=last);
        next.find(|bucket| {
            let bucket = usize::from(*bucket);
            self.listed[bucket] < self.marked[bucket]
        })
    }
}

/// Raises `known` to `revision` and returns `true` if `revision` is newer.
fn raise(known: &mut Revision, revision: Revision) -> bool {
    let newer = revision > *known;
    *known = revision.max(*known);
    newer
}
