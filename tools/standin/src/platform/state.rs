//! Keys with their revisions, and what waits for them.
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::time::Duration;

use smol::channel::Receiver;
use smol::channel::Sender;

use super::call::Calls;
use super::fault::Faults;
use super::fault::consume;
use super::session::Sessions;

/// Index of a prefix under which nothing was ever written.
const EMPTY_INDEX: u64 = 1;

/// One key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pair {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the write that created the key.
    pub created: u64,
    /// Revision of the latest write.
    pub modified: u64,
    /// The session that holds the key.
    pub session: Option<String>,
}

/// The operations of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Writes a key on condition of its revision; 0 where it must not exist.
    Cas {
        /// The key.
        key: String,
        /// The new value.
        value: Vec<u8>,
        /// Revision that it must have.
        index: u64,
    },
    /// Writes a key.
    Set {
        /// The key.
        key: String,
        /// The new value.
        value: Vec<u8>,
    },
    /// Fails where the session does not hold the key.
    CheckSession {
        /// The key.
        key: String,
        /// The session.
        session: String,
    },
}

/// Everything that the stand-in keeps.
#[derive(Debug, Default)]
pub struct State {
    /// Keys in order.
    pub pairs: BTreeMap<String, Pair>,
    /// What the latest write replaced, for stale reads.
    pub replaced: BTreeMap<String, Option<Pair>>,
    /// Sessions.
    pub sessions: Sessions,
    /// Faults in force.
    pub faults: Faults,
    /// Calls received.
    pub calls: Calls,
    removed: BTreeMap<String, u64>,
    index: u64,
    waiters: Vec<Sender<()>>,
}

impl State {
    /// Ends the sessions whose time is over.
    pub fn expire(&mut self, now: Duration) {
        for id in self.sessions.expired(now) {
            self.end_session(&id);
        }
    }

    /// Ends a session and deletes the keys that it holds; false where there
    /// was none.
    pub fn end_session(&mut self, id: &str) -> bool {
        let held: Vec<String> = self
            .pairs
            .iter()
            .filter(|(_, cell)| cell.session.as_deref() == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in held {
            self.begin_write();
            let cell = self.pairs.remove(&key);
            self.replaced.insert(key.clone(), cell);
            self.removed.insert(key, self.index);
            self.notify_watches();
        }
        self.sessions.destroy(id)
    }

    /// Takes a key for a session; `None` where there is no such session.
    pub fn acquire(&mut self, key: &str, session: &str, value: Vec<u8>) -> Option<bool> {
        if !self.sessions.contains(session) {
            return None;
        }
        let holder = self.pairs.get(key).and_then(|cell| cell.session.clone());
        if holder.is_some_and(|holder| holder != session) {
            return Some(false);
        }
        self.begin_write();
        self.write(key, value);
        if let Some(cell) = self.pairs.get_mut(key) {
            cell.session = Some(session.to_owned());
        }
        self.notify_watches();
        Some(true)
    }

    /// Applies all operations or none.
    ///
    /// # Errors
    ///
    /// Position of the first operation that does not hold.
    pub fn transact(&mut self, operations: &[Operation]) -> Result<Vec<String>, usize> {
        if let Some(refused) = operations
            .iter()
            .position(|operation| !self.is_satisfied(operation))
        {
            return Err(refused);
        }
        self.begin_write();
        let mut keys = Vec::new();
        for operation in operations {
            match operation {
                Operation::CheckSession { key, .. } => keys.push(key.clone()),
                Operation::Cas { key, value, .. } | Operation::Set { key, value } => {
                    self.write(key, value.clone());
                    keys.push(key.clone());
                }
            }
        }
        self.notify_watches();
        Ok(keys)
    }

    /// Revision of the latest change under a prefix; at least 1.
    #[must_use]
    pub fn prefix_index(&self, prefix: &str) -> u64 {
        let written = with_prefix(&self.pairs, prefix).map(|(_, cell)| cell.modified);
        let removed = with_prefix(&self.removed, prefix).map(|(_, index)| *index);
        written.chain(removed).max().unwrap_or(EMPTY_INDEX)
    }

    /// Resolves, by being closed, at the next write that wakes watches.
    pub fn next_write(&mut self) -> Receiver<()> {
        let (sender, receiver) = smol::channel::bounded(1);
        self.waiters.push(sender);
        receiver
    }

    /// The keys to read from: stale ones where a fault asks for it.
    pub fn readable_pairs(&mut self) -> Cow<'_, BTreeMap<String, Pair>> {
        if !consume(&mut self.faults.stale_reads) {
            return Cow::Borrowed(&self.pairs);
        }
        let mut cells = self.pairs.clone();
        for (key, cell) in &self.replaced {
            match cell {
                Some(cell) => cells.insert(key.clone(), cell.clone()),
                None => cells.remove(key),
            };
        }
        Cow::Owned(cells)
    }

    fn is_satisfied(&self, operation: &Operation) -> bool {
        match operation {
            Operation::Set { .. } => true,
            Operation::Cas { key, index, .. } => {
                self.pairs.get(key).map_or(0, |cell| cell.modified) == *index
            }
            Operation::CheckSession { key, session } => {
                self.pairs.get(key).and_then(|cell| cell.session.as_ref()) == Some(session)
            }
        }
    }

    fn begin_write(&mut self) {
        self.replaced.clear();
        // The first write must be newer than an empty prefix.
        self.index = self.index.max(EMPTY_INDEX) + 1;
    }

    fn write(&mut self, key: &str, value: Vec<u8>) {
        let index = self.index;
        self.replaced
            .entry(key.to_owned())
            .or_insert_with(|| self.pairs.get(key).cloned());
        let cell = self.pairs.entry(key.to_owned()).or_insert(Pair {
            value: Vec::new(),
            created: index,
            modified: index,
            session: None,
        });
        cell.value = value;
        cell.modified = index;
        self.removed.remove(key);
    }

    fn notify_watches(&mut self) {
        if !consume(&mut self.faults.drop_events) {
            self.waiters.clear();
        }
    }
}

/// The entries of `map` whose key begins with `prefix`.
pub fn with_prefix<'a, T>(
    map: &'a BTreeMap<String, T>,
    prefix: &'a str,
) -> impl Iterator<Item = (&'a String, &'a T)> {
    map.range(prefix.to_owned()..)
        .take_while(move |(key, _)| key.starts_with(prefix))
}
