//! Sessions: leases by another name.
use std::collections::BTreeMap;
use std::time::Duration;

/// Sessions by id. Times count from an arbitrary origin.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    by_id: BTreeMap<String, Session>,
    created: u64,
}

#[derive(Clone, Copy, Debug)]
struct Session {
    ttl: Duration,
    expires_at: Duration,
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
        self.by_id.insert(
            id.clone(),
            Session {
                ttl,
                expires_at: end,
            },
        );
        id
    }

    /// Renews a session; false where it has ended.
    pub fn renew(&mut self, id: &str, now: Duration) -> bool {
        match self.by_id.get_mut(id) {
            Some(session) => {
                session.expires_at = now + session.ttl;
                true
            }
            None => false,
        }
    }

    /// Whether the session is there.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    /// Ends a session; false where it had ended.
    pub fn destroy(&mut self, id: &str) -> bool {
        self.by_id.remove(id).is_some()
    }

    /// Sessions whose time is over.
    #[must_use]
    pub fn expired(&self, now: Duration) -> Vec<String> {
        let due = self
            .by_id
            .iter()
            .filter(|(_, session)| session.expires_at <= now);
        due.map(|(id, _)| id.clone()).collect()
    }

    /// All sessions.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        self.by_id.keys().cloned().collect()
    }
}
