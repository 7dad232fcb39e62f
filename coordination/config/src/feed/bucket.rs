//! Which buckets have changed since they were listed.
use wire::Revision;

use crate::Listing;
use crate::key;
use crate::key::BUCKETS;
use crate::key::Bucket;

/// The newest revision of each bucket, as marked and as listed.
#[derive(Clone, Debug)]
pub(super) struct Buckets {
    marked: [Revision; BUCKETS as usize],
    listed: [Revision; BUCKETS as usize],
}

impl Buckets {
    /// Buckets of which nothing is known.
    pub(super) const fn new() -> Self {
        Self {
            marked: [0; BUCKETS as usize],
            listed: [0; BUCKETS as usize],
        }
    }

    /// Takes over marks; true where one is newer.
    pub(super) fn mark(&mut self, listing: &Listing) -> bool {
        let mut changed = false;
        for item in &listing.items {
            if let Some(bucket) = key::parse_mark(&item.key) {
                changed |= rise(&mut self.marked[usize::from(bucket)], item.revision);
            }
        }
        changed
    }

    /// Notes that a service of the bucket was listed; true where it is newer.
    pub(super) fn list(&mut self, bucket: Bucket, revision: Revision) -> bool {
        rise(&mut self.listed[usize::from(bucket)], revision)
    }

    /// The next bucket after `last` whose mark is newer than what was listed.
    pub(super) fn behind(&self, last: Bucket) -> Option<Bucket> {
        let mut next = (last + 1..BUCKETS).chain(0..=last);
        next.find(|bucket| {
            let bucket = usize::from(*bucket);
            self.listed[bucket] < self.marked[bucket]
        })
    }
}

/// Takes over a newer revision; true where it is newer.
fn rise(known: &mut Revision, revision: Revision) -> bool {
    let newer = revision > *known;
    *known = revision.max(*known);
    newer
}
