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

/// State change of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No peer answered in time: the service is to be refused.
    Absent(ServiceAddress),
    /// The refusal has expired: the next packet starts a new query.
    Expired(ServiceAddress),
}

/// Pending queries and cached refusals of one entry.
#[derive(Debug, Default)]
pub struct Discovery {
    settings: Settings,
    searches: BTreeMap<ServiceAddress, Search>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Search {
    started: Duration,
    is_absent: bool,
}

impl Discovery {
    /// Starts without queries.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            searches: BTreeMap::new(),
        }
    }

    /// Starts a query. Returns false if the service has one already or the limit
    /// is reached.
    pub fn start(&mut self, now: Duration, service: ServiceAddress) -> bool {
        if self.searches.contains_key(&service) || self.searches.len() >= self.settings.max_services
        {
            return false;
        }
        let search = Search {
            started: now,
            is_absent: false,
        };
        self.searches.insert(service, search);
        true
    }

    /// Returns whether the time for peers to answer has passed.
    #[must_use]
    pub fn has_timed_out(&self, service: ServiceAddress) -> bool {
        self.searches
            .get(&service)
            .is_some_and(|search| search.is_absent)
    }

    /// Removes the query for a service that was found.
    pub fn finish(&mut self, service: ServiceAddress) {
        self.searches.remove(&service);
    }

    /// Returns the queries that timed out or expired since the last call.
    pub fn take_due(&mut self, now: Duration) -> Vec<Outcome> {
        let settings = self.settings;
        let mut outcomes = Vec::new();
        self.searches.retain(|service, search| {
            let age = now.saturating_sub(search.started);
            match search.is_absent {
                false if age >= settings.answer_timeout => {
                    search.is_absent = true;
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
