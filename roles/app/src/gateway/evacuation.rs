//! The evacuated availability zones, as a gateway applies and reports them.
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use config::Evacuations;
use config::era;
use forward::Routes;
use platform::name;
use wire::ServiceAddress;

use crate::clock;
use crate::evacuation;
use crate::evacuation::Tracker;
use crate::event::Event;
use crate::metric;
use crate::metric::Instruments;

/// Longest time after the start for which a gateway waits for the evacuated zones
/// before it is ready. Peers answer within a few round trips; if neither they nor
/// the store do, refusing callers helps nobody.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// Evacuated zones of a gateway.
pub struct Evacuation {
    tracker: Tracker,
    /// Services of which every backend server is in an evacuated zone.
    uncovered: BTreeSet<ServiceAddress>,
    report: Report,
    /// Region of each zone, to find the names of zones.
    zones: BTreeMap<String, String>,
    /// Time until which the gateway is not ready without a list; `None` where zones
    /// are never evacuated.
    wait_until: Option<Duration>,
}

/// What a gateway reports about evacuated zones.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// By the name of each zone that was ever evacuated: its revision, and the time at
    /// which this process learned of it in seconds since the Unix epoch; zeros once
    /// it was restored.
    zones: BTreeMap<String, (era::Number, u64)>,
    uncovered: usize,
}

impl Report {
    /// Copies the report to the instruments.
    ///
    /// # Errors
    ///
    /// Returns [`metric::Error::Unknown`] if a metric is not in the table.
    pub fn publish(&self, instruments: &mut Instruments) -> Result<(), metric::Error> {
        for (zone, (revision, since)) in &self.zones {
            instruments.set("carried.evacuation.revision", zone, *revision)?;
            instruments.set("carried.evacuation.since", zone, *since)?;
        }
        instruments.set_size("carried.evacuation.uncovered", self.uncovered)
    }
}

impl Evacuation {
    /// Creates the state of a gateway that starts.
    #[must_use]
    pub fn new(host: &platform::Settings, now: Duration) -> Self {
        Self {
            tracker: Tracker::default(),
            uncovered: BTreeSet::new(),
            report: Report::default(),
            zones: host.zones.clone(),
            wait_until: host.evacuation_ms.map(|_| now + MAX_WAIT),
        }
    }

    /// Records the list in a gossiped record.
    pub fn observe(&mut self, now: Duration, record: Option<&member::Service>) {
        evacuation::observe(&mut self.tracker, now, record);
    }

    /// Returns the evacuated zones if they have changed since the last call, and logs
    /// the changes.
    pub fn take_change(&mut self, now: Duration) -> Option<&Evacuations> {
        let previous = self.tracker.advance(now)?;
        let current = self.tracker.current();
        for (id, revision) in &current.zones {
            if !previous.contains(*id) {
                let zone = name::zone_name(*id, &self.zones);
                let revision = era::number(*revision);
                let row = (revision, clock::unix_seconds());
                self.report.zones.insert(zone.clone(), row);
                Event::ZoneEvacuated { zone, revision }.log();
            }
        }
        for id in previous.zones.keys() {
            if !current.contains(*id) {
                let zone = name::zone_name(*id, &self.zones);
                self.report.zones.insert(zone.clone(), (0, 0));
                Event::ZoneRestored { zone }.log();
            }
        }
        Some(current)
    }

    /// Logs the services that have lost their last zone, and those that have one
    /// again. Returns the report for the metrics.
    pub fn report(&mut self, routes: &Routes) -> Report {
        let services = routes.targets.keys().copied();
        let uncovered: BTreeSet<ServiceAddress> = services
            .filter(|service| is_uncovered(routes, *service))
            .collect();
        for service in uncovered.difference(&self.uncovered).copied() {
            Event::ServiceUncovered { service }.log();
        }
        for service in self.uncovered.difference(&uncovered).copied() {
            Event::ServiceCovered { service }.log();
        }
        self.uncovered = uncovered;
        self.report.uncovered = self.uncovered.len();
        self.report.clone()
    }

    /// Returns true if the gateway need not wait for a list any more.
    #[must_use]
    pub fn is_ready(&self, now: Duration) -> bool {
        self.tracker.is_known() || self.wait_until.is_none_or(|until| now >= until)
    }
}

/// Returns true if a service has backend servers, and all of them are in evacuated
/// zones.
fn is_uncovered(routes: &Routes, service: ServiceAddress) -> bool {
    let mut targets = routes.targets_of(service).peekable();
    targets.peek().is_some() && targets.all(|target| routes.evacuated_zones.contains(&target.zone))
}
