//! Keys with their revisions, and the watches that wait for changes.
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::time::Duration;

use smol::channel::Receiver;
use smol::channel::Sender;

use super::call::Calls;
use super::fault::Faults;
use super::fault::consume;
use super::session::Sessions;

/// Index of a prefix under which nothing has been written.
const EMPTY_INDEX: u64 = 1;

/// Value of a key, with its revisions and lock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pair {
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the write that created the key.
    pub created: u64,
    /// Revision of the latest write.
    pub modified: u64,
    /// Session that holds the lock of the key.
    pub session: Option<String>,
}

/// Operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Compare-and-set: writes a key if its revision is the expected one.
    Cas {
        /// Key.
        key: String,
        /// New value.
        value: Vec<u8>,
        /// Expected revision; 0 if the key must not exist.
        index: u64,
    },
    /// Writes a key unconditionally.
    Set {
        /// Key.
        key: String,
        /// New value.
        value: Vec<u8>,
    },
    /// Fails if the session does not hold the lock of the key.
    CheckSession {
        /// Key.
        key: String,
        /// Id of the session.
        session: String,
    },
}

/// State of the stand-in.
#[derive(Debug, Default)]
pub struct State {
    /// Values by key.
    pub pairs: BTreeMap<String, Pair>,
    /// Values before the latest write of the keys that it changed, for stale
    /// reads; `None` for a key that did not exist.
    pub replaced: BTreeMap<String, Option<Pair>>,
    /// Sessions.
    pub sessions: Sessions,
    /// Faults in force.
    pub faults: Faults,
    /// Numbers of calls received.
    pub calls: Calls,
    /// Revision of the deletion of each deleted key.
    removed: BTreeMap<String, u64>,
    /// Revision of the latest write.
    index: u64,
    /// Channels of the waiting watches; closing one notifies its watch.
    waiters: Vec<Sender<()>>,
}

impl State {
    /// Ends the sessions that have expired.
    pub fn expire(&mut self, now: Duration) {
        for id in self.sessions.expired(now) {
            self.end_session(&id);
        }
    }

    /// Ends a session and deletes the keys whose lock it holds; returns false if
    /// there is no such session.
    pub fn end_session(&mut self, id: &str) -> bool {
        let held: Vec<String> = self
            .pairs
            .iter()
            .filter(|(_, pair)| pair.session.as_deref() == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in held {
            self.begin_write();
            let pair = self.pairs.remove(&key);
            self.replaced.insert(key.clone(), pair);
            self.removed.insert(key, self.index);
            self.notify_watches();
        }
        self.sessions.destroy(id)
    }

    /// Writes a key and takes its lock for a session; returns false if another
    /// session holds the lock, and `None` if there is no such session.
    pub fn acquire(&mut self, key: &str, session: &str, value: Vec<u8>) -> Option<bool> {
        if !self.sessions.contains(session) {
            return None;
        }
        let holder = self.pairs.get(key).and_then(|pair| pair.session.clone());
        if holder.is_some_and(|holder| holder != session) {
            return Some(false);
        }
        self.begin_write();
        self.write(key, value);
        if let Some(pair) = self.pairs.get_mut(key) {
            pair.session = Some(session.to_owned());
        }
        self.notify_watches();
        Some(true)
    }

    /// Applies all operations or none, and returns their keys.
    ///
    /// # Errors
    ///
    /// Position of the first operation whose condition is not met.
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

    /// Returns the revision of the latest change under a prefix, at least 1.
    #[must_use]
    pub fn prefix_index(&self, prefix: &str) -> u64 {
        let written = with_prefix(&self.pairs, prefix).map(|(_, pair)| pair.modified);
        let removed = with_prefix(&self.removed, prefix).map(|(_, index)| *index);
        written.chain(removed).max().unwrap_or(EMPTY_INDEX)
    }

    /// Returns a channel that is closed by the next write that notifies watches.
    pub fn next_write(&mut self) -> Receiver<()> {
        let (sender, receiver) = smol::channel::bounded(1);
        self.waiters.push(sender);
        receiver
    }

    /// Returns the keys for a read: those before the latest write if a fault
    /// asks for it.
    pub fn readable_pairs(&mut self) -> Cow<'_, BTreeMap<String, Pair>> {
        if !consume(&mut self.faults.stale_reads) {
            return Cow::Borrowed(&self.pairs);
        }
        let mut pairs = self.pairs.clone();
        for (key, pair) in &self.replaced {
            match pair {
                Some(pair) => pairs.insert(key.clone(), pair.clone()),
                None => pairs.remove(key),
            };
        }
        Cow::Owned(pairs)
    }

    /// Returns true if the condition of an operation is met.
    fn is_satisfied(&self, operation: &Operation) -> bool {
        match operation {
            Operation::Set { .. } => true,
            Operation::Cas { key, index, .. } => {
                self.pairs.get(key).map_or(0, |pair| pair.modified) == *index
            }
            Operation::CheckSession { key, session } => {
                self.pairs.get(key).and_then(|pair| pair.session.as_ref()) == Some(session)
            }
        }
    }

    /// Starts a write: assigns the next revision, and discards the values that
    /// the previous write replaced.
    fn begin_write(&mut self) {
        self.replaced.clear();
        // The first write must have a larger revision than an empty prefix.
        self.index = self.index.max(EMPTY_INDEX) + 1;
    }

    /// Sets the value of a key at the current revision.
    fn write(&mut self, key: &str, value: Vec<u8>) {
        let index = self.index;
        self.replaced
            .entry(key.to_owned())
            .or_insert_with(|| self.pairs.get(key).cloned());
        let pair = self.pairs.entry(key.to_owned()).or_insert(Pair {
            value: Vec::new(),
            created: index,
            modified: index,
            session: None,
        });
        pair.value = value;
        pair.modified = index;
        self.removed.remove(key);
    }

    /// Notifies all waiting watches, unless a fault drops the event.
    fn notify_watches(&mut self) {
        if !consume(&mut self.faults.drop_events) {
            self.waiters.clear();
        }
    }
}

/// Returns the items of `map` whose key begins with `prefix`.
pub fn with_prefix<'a, T>(
    map: &'a BTreeMap<String, T>,
    prefix: &'a str,
) -> impl Iterator<Item = (&'a String, &'a T)> {
    map.range(prefix.to_owned()..)
        .take_while(move |(key, _)| key.starts_with(prefix))
}
