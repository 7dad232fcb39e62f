//! Discovery of services that callers address and this entry does not know.
//!
//! An entry that has just started knows no services. It queries its peers and
//! does not answer the caller until they have had time to reply, because a
//! retransmission costs less than a wrong refusal. Only a service that no peer
//! knows is refused.
use std::collections::BTreeMap;
use std::time::Duration;

use wire::ServiceAddress;

/// Timeouts and bounds of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time that peers have to answer a query.
    pub answer_timeout: Duration,
    /// Time after the start of a query for which a service that no peer knew is
    /// refused without a new query.
    pub absence_ttl: Duration,
    /// Maximum number of services with a pending query or a cached refusal.
    pub max_services: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            answer_timeout: Duration::from_secs(1),
            absence_ttl: Duration::from_secs(30),
            max_services: 1_024,
        }
    }
}

/// Transition of a query that timed out or expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The time for peers to answer has passed: a service that is still unknown is
    /// to be refused.
    Absent(ServiceAddress),
    /// The refusal has expired: the next packet starts a new query.
    Expired(ServiceAddress),
}

/// Pending queries and cached refusals of one entry.
#[derive(Debug, Default)]
pub struct Discovery {
    settings: Settings,
    queries: BTreeMap<ServiceAddress, Query>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Query {
    started: Duration,
    is_absent: bool,
}

impl Discovery {
    /// Creates a discovery without queries.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            queries: BTreeMap::new(),
        }
    }

    /// Starts a query. Returns false if the service has one already or the limit
    /// is reached.
    pub fn start(&mut self, now: Duration, service: ServiceAddress) -> bool {
        if self.queries.contains_key(&service) || self.queries.len() >= self.settings.max_services {
            return false;
        }
        let query = Query {
            started: now,
            is_absent: false,
        };
        self.queries.insert(service, query);
        true
    }

    /// Returns true if a query for the service timed out and its refusal has not
    /// expired.
    #[must_use]
    pub fn has_timed_out(&self, service: ServiceAddress) -> bool {
        self.queries
            .get(&service)
            .is_some_and(|query| query.is_absent)
    }

    /// Removes the query for a service that was found.
    pub fn finish(&mut self, service: ServiceAddress) {
        self.queries.remove(&service);
    }

    /// Returns the queries that timed out or expired since the last call.
    pub fn take_due(&mut self, now: Duration) -> Vec<Outcome> {
        let settings = self.settings;
        let mut outcomes = Vec::new();
        self.queries.retain(|service, query| {
            let age = now.saturating_sub(query.started);
            match query.is_absent {
                false if age >= settings.answer_timeout => {
                    query.is_absent = true;
                    outcomes.push(Outcome::Absent(*service));
                    true
                }
                true if age >= settings.absence_ttl => {
                    outcomes.push(Outcome::Expired(*service));
                    false
                }
                _ => true,
            }
        });
        outcomes
    }
}
