//! Records that gossip is still spreading (hot rumors).
use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::Record;
use crate::record::Key;

/// Number of records above which each new one is sent fewer times; anti-entropy
/// then delivers it to the remaining entries.
const BACKLOG_RECORDS: usize = 256;

/// Number of times that a record is sent if there is a backlog.
const BACKLOG_SENDS: u32 = 3;

/// Number of times that a record is sent beyond the logarithm of the number of
/// entries.
const EXTRA_SENDS: u32 = 5;

/// Priority of a record; the first variant is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    Service,
    Report,
    Entry,
    Statement,
    Target,
    Removal,
}

/// Keys of records, and how often each is still to be sent.
#[derive(Debug, Default)]
pub struct Rumors {
    rumors: BTreeMap<Key, Rumor>,
}

#[derive(Debug)]
struct Rumor {
    urgency: Urgency,
    remaining_sends: u32,
}

impl Rumors {
    /// Adds a record to spread among `entries` entries.
    pub fn insert(&mut self, record: &Record, entries: usize) {
        let urgency = match record {
            Record::Service(_) => Urgency::Service,
            Record::Report(_) => Urgency::Report,
            Record::Entry(_) => Urgency::Entry,
            Record::Statement(_) => Urgency::Statement,
            Record::Target(_) => Urgency::Target,
            Record::Removal(_) => Urgency::Removal,
        };
        let remaining_sends = match self.rumors.len() {
            0..BACKLOG_RECORDS => sends_per_record(entries),
            _ => sends_per_record(entries).min(BACKLOG_SENDS),
        };
        self.rumors.insert(
            record.key(),
            Rumor {
                urgency,
                remaining_sends,
            },
        );
    }

    /// Returns the keys in the order in which they are to be sent.
    #[must_use]
    pub fn keys_by_urgency(&self) -> Vec<Key> {
        let mut keys: Vec<Key> = self.rumors.keys().copied().collect();
        keys.sort_by_key(|key| {
            let rumor = &self.rumors[key];
            (rumor.urgency, Reverse(rumor.remaining_sends))
        });
        keys
    }

    /// Counts `times` sends of a record, and removes it after the last one.
    pub fn count_sends(&mut self, key: Key, times: usize) {
        let times = u32::try_from(times).unwrap_or(u32::MAX);
        let Some(rumor) = self.rumors.get_mut(&key) else {
            return;
        };
        rumor.remaining_sends = rumor.remaining_sends.saturating_sub(times);
        if rumor.remaining_sends == 0 {
            self.rumors.remove(&key);
        }
    }

    /// Removes a record.
    pub fn remove(&mut self, key: Key) {
        self.rumors.remove(&key);
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rumors.len()
    }
}

/// Returns how often each entry sends a record for it to reach all but a few;
/// see Demers and others, "Epidemic algorithms for replicated database
/// maintenance", 1987.
fn sends_per_record(entries: usize) -> u32 {
    // The binary logarithm is 1.44 times the natural one.
    let log = entries.max(1).ilog2() * 7 / 10;
    log + EXTRA_SENDS
}
