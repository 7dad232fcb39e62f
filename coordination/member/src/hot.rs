//! The records that gossip is still passing on.
use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::Record;
use crate::record::Key;

/// Backlog above which each record is sent fewer times; the comparison of
/// digests then carries the rest.
const BACKLOG: usize = 256;

/// Times that a record is sent within a backlog.
const BACKLOG_SENDS: u32 = 3;

/// Times that a record is sent beyond the logarithm of the number of entries.
const EXTRA_SENDS: u32 = 5;

/// Which records matter more; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    Service,
    Report,
    Entry,
    Suspicion,
    Target,
    Removal,
}

/// Keys of records and the times that each is still to be sent.
#[derive(Debug, Default)]
pub struct Hot {
    sends: BTreeMap<Key, Rumor>,
}

#[derive(Debug)]
struct Rumor {
    urgency: Urgency,
    left: u32,
}

impl Hot {
    /// Begins to pass a record on among `entries`.
    pub fn heat(&mut self, record: &Record, entries: usize) {
        let urgency = match record {
            Record::Service(_) => Urgency::Service,
            Record::Report(_) => Urgency::Report,
            Record::Entry(_) => Urgency::Entry,
            Record::Suspicion(_) => Urgency::Suspicion,
            Record::Target(_) => Urgency::Target,
            Record::Removal(_) => Urgency::Removal,
        };
        let left = match self.sends.len() {
            0..BACKLOG => sends(entries),
            _ => sends(entries).min(BACKLOG_SENDS),
        };
        self.sends.insert(record.key(), Rumor { urgency, left });
    }

    /// Keys in the order in which they are to be sent.
    #[must_use]
    pub fn order(&self) -> Vec<Key> {
        let mut keys: Vec<Key> = self.sends.keys().copied().collect();
        keys.sort_by_key(|key| {
            let rumor = &self.sends[key];
            (rumor.urgency, Reverse(rumor.left))
        });
        keys
    }

    /// Counts that a record was sent `times`, and ends where that was enough.
    pub fn count(&mut self, key: Key, times: usize) {
        let times = u32::try_from(times).unwrap_or(u32::MAX);
        let Some(rumor) = self.sends.get_mut(&key) else {
            return;
        };
        rumor.left = rumor.left.saturating_sub(times);
        if rumor.left == 0 {
            self.sends.remove(&key);
        }
    }

    /// Ends a record.
    pub fn remove(&mut self, key: Key) {
        self.sends.remove(&key);
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sends.len()
    }
}

/// Times that each entry sends a record for it to reach all but a few; see
/// Demers and others, "Epidemic algorithms for replicated database
/// maintenance", 1987.
fn sends(entries: usize) -> u32 {
    // The binary logarithm is 1.44 times the natural one.
    let log = entries.max(1).ilog2() * 7 / 10;
    log + EXTRA_SENDS
}
