//! The evacuation of the availability zone of a sidecar's backend server.
use std::sync::Arc;
use std::time::Duration;

use config::Evacuations;
use forward::agent::Event;
use member::Announcer;
use member::Health;
use wire::Hop;
use wire::ZoneId;
use wire::target::State;

use crate::evacuation;
use crate::evacuation::Tracker;
use crate::event::Event as LogEvent;

/// Evacuated zones of a sidecar.
pub struct Evacuation {
    tracker: Tracker,
    zone: ZoneId,
    /// What was last passed to the core: the agents of other zones while its own zone
    /// is evacuated.
    published: Option<Arc<Vec<Hop>>>,
}

impl Evacuation {
    /// Creates the state of a sidecar in `zone`.
    #[must_use]
    pub fn new(zone: ZoneId) -> Self {
        Self {
            tracker: Tracker::default(),
            zone,
            published: None,
        }
    }

    /// Records the list in a record that an entry sent.
    pub fn observe(&mut self, now: Duration, record: &member::Service) {
        evacuation::observe(&mut self.tracker, now, Some(record));
    }

    /// Returns the core's event if the evacuation of the zone, or the agents that new
    /// flows are passed on to, have changed since the last call.
    pub fn take_change(&mut self, now: Duration, announcer: Option<&Announcer>) -> Option<Event> {
        self.tracker.advance(now);
        let evacuated = self.tracker.current();
        let own = evacuated.zones.get(&self.zone);
        let others = own.map(|_| Arc::new(alternatives(announcer, evacuated)));
        if others == self.published {
            return None;
        }
        if others.is_some() != self.published.is_some() {
            let state = if own.is_some() {
                "evacuated"
            } else {
                "restored"
            };
            let state = state.to_owned();
            LogEvent::OwnZone { state }.log();
        }
        self.published.clone_from(&others);
        Some(Event::Evacuation(others))
    }
}

/// Returns the agents of the service that accept new flows, without those in
/// evacuated zones.
fn alternatives(announcer: Option<&Announcer>, evacuated: &Evacuations) -> Vec<Hop> {
    let members = announcer
        .into_iter()
        .flat_map(|announcer| announcer.view().targets.values());
    let able = members.filter(|member| {
        member.target.state == State::Ready
            && member.health != Health::Down
            && !evacuated.contains(member.target.zone)
    });
    able.map(|member| member.target.hop()).collect()
}
