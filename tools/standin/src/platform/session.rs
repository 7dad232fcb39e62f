//! Sessions, Consul's term for leases: each ends unless it is renewed in time.
use std::collections::BTreeMap;
use std::time::Duration;

/// Sessions by id. Times are relative to an arbitrary origin.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    by_id: BTreeMap<String, Session>,
    /// Number of sessions created so far.
    created: u64,
}

/// Time to live of a session, and when it expires unless renewed.
#[derive(Clone, Copy, Debug)]
struct Session {
    ttl: Duration,
    expires_at: Duration,
}

impl Sessions {
    /// Creates a session and returns its id.
    pub fn create(&mut self, ttl: Duration, now: Duration) -> String {
        self.created += 1;
        let id = format!(
            "{:08x}-0000-4000-8000-{:012x}",
            fastrand::u32(..),
            self.created
        );
        let expires_at = now + ttl;
        self.by_id.insert(id.clone(), Session { ttl, expires_at });
        id
    }

    /// Renews a session; returns false if it has ended.
    pub fn renew(&mut self, id: &str, now: Duration) -> bool {
        match self.by_id.get_mut(id) {
            Some(session) => {
                session.expires_at = now + session.ttl;
                true
            }
            None => false,
        }
    }

    /// Returns true if the session exists.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    /// Ends a session; returns false if it had ended before.
    pub fn destroy(&mut self, id: &str) -> bool {
        self.by_id.remove(id).is_some()
    }

    /// Returns the ids of the sessions that have expired.
    #[must_use]
    pub fn expired(&self, now: Duration) -> Vec<String> {
        let expired = self
            .by_id
            .iter()
            .filter(|(_, session)| session.expires_at <= now);
        expired.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the ids of all sessions.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        self.by_id.keys().cloned().collect()
    }
}
