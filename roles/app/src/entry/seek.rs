//! Services that callers ask for and this entry does not know.
//!
//! An entry that has just started knows nothing. It asks its peers and stays
//! silent meanwhile, since a caller's repeat is better than a wrong refusal;
//! only what nobody knows is refused.
use std::collections::BTreeMap;
use std::time::Duration;

use wire::ServiceAddress;

/// Times of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time that peers have to answer.
    pub patience: Duration,
    /// Time after which a service that nobody knew is asked for again.
    pub retention: Duration,
    /// Services that are remembered at a time.
    pub max_services: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            patience: Duration::from_secs(1),
            retention: Duration::from_secs(30),
            max_services: 1_024,
        }
    }
}

/// What is to be done for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Refuse it: no peer knows it.
    Absent(ServiceAddress),
    /// Forget that; the next packet starts a new search.
    Forgotten(ServiceAddress),
}

/// The searches of one entry.
#[derive(Debug, Default)]
pub struct Seek {
    settings: Settings,
    since: BTreeMap<ServiceAddress, Search>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Search {
    begun: Duration,
    is_absent: bool,
}

impl Seek {
    /// Makes an empty set of searches.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            since: BTreeMap::new(),
        }
    }

    /// Starts a search; false where one is under way or too many are.
    pub fn start(&mut self, now: Duration, service: ServiceAddress) -> bool {
        if self.since.contains_key(&service) || self.since.len() >= self.settings.max_services {
            return false;
        }
        let search = Search {
            begun: now,
            is_absent: false,
        };
        self.since.insert(service, search);
        true
    }

    /// Whether peers have had their time to answer.
    #[must_use]
    pub fn is_over(&self, service: ServiceAddress) -> bool {
        self.since
            .get(&service)
            .is_some_and(|search| search.is_absent)
    }

    /// Ends the search for a service that was found.
    pub fn found(&mut self, service: ServiceAddress) {
        self.since.remove(&service);
    }

    /// Returns what is due.
    pub fn due(&mut self, now: Duration) -> Vec<Verdict> {
        let settings = self.settings;
        let mut verdicts = Vec::new();
        self.since.retain(|service, search| {
            let age = now.saturating_sub(search.begun);
            match search.is_absent {
                false if age >= settings.patience => {
                    search.is_absent = true;
                    verdicts.push(Verdict::Absent(*service));
                    true
                }
                true if age >= settings.retention => {
                    verdicts.push(Verdict::Forgotten(*service));
                    false
                }
                _ => true,
            }
        });
        verdicts
    }
}
