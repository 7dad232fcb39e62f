//! Sessions: leases by another name.
use std::collections::BTreeMap;
use std::time::Duration;

/// Sessions by id. Times count from an arbitrary origin.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    ends: BTreeMap<String, Session>,
    created: u64,
}

#[derive(Clone, Copy, Debug)]
struct Session {
    ttl: Duration,
    end: Duration,
}

impl Sessions {
    /// Starts a session and returns its id.
    pub fn create(&mut self, ttl: Duration, now: Duration) -> String {
        self.created += 1;
        let id = format!(
            "{:08x}-0000-4000-8000-{:012x}",
            fastrand::u32(..),
            self.created
        );
        let end = now + ttl;
        self.ends.insert(id.clone(), Session { ttl, end });
        id
    }

    /// Renews a session; false where it has ended.
    pub fn renew(&mut self, id: &str, now: Duration) -> bool {
        match self.ends.get_mut(id) {
            Some(session) => {
                session.end = now + session.ttl;
                true
            }
            None => false,
        }
    }

    /// Whether the session is there.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.ends.contains_key(id)
    }

    /// Ends a session; false where it had ended.
    pub fn destroy(&mut self, id: &str) -> bool {
        self.ends.remove(id).is_some()
    }

    /// Sessions whose time is over.
    #[must_use]
    pub fn due(&self, now: Duration) -> Vec<String> {
        let due = self.ends.iter().filter(|(_, session)| session.end <= now);
        due.map(|(id, _)| id.clone()).collect()
    }

    /// All sessions.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        self.ends.keys().cloned().collect()
    }
}
