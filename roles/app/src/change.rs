//! Detects changes between successive views of services, for the log.
use std::collections::HashMap;

use member::Health;
use member::Member;
use member::View;
use wire::Revision;
use wire::ServiceAddress;
use wire::TargetId;
use wire::target::State;

use crate::event::Event;

/// Last seen revision of each service and phase of each target.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    revisions: HashMap<ServiceAddress, Revision>,
    targets: HashMap<TargetId, Phase>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Up,
    Draining,
    Down,
    Left,
}

impl Tracker {
    /// Records a view and returns events for the changes since the last view of the
    /// same service.
    pub fn update(&mut self, view: &View) -> Vec<Event> {
        let revision = view.config.as_ref().map(|config| config.revision);
        let mut events: Vec<Event> = revision
            .and_then(|revision| self.update_revision(view.address, revision))
            .into_iter()
            .collect();
        events.extend(
            view.targets
                .values()
                .filter_map(|member| self.update_member(member)),
        );
        events
    }

    /// Records the revision of a service and returns an event if it changed.
    pub fn update_revision(
        &mut self,
        service: ServiceAddress,
        revision: Revision,
    ) -> Option<Event> {
        let before = self.revisions.insert(service, revision);
        (before != Some(revision)).then_some(Event::InForce { service, revision })
    }

    /// Records a target and returns an event if its phase changed.
    pub fn update_member(&mut self, member: &Member) -> Option<Event> {
        let phase = phase(member);
        let target = member.target.id;
        let before = self.targets.insert(target, phase);
        (before != Some(phase)).then(|| event_for(member.target.service, target, phase))
    }
}

const fn phase(member: &Member) -> Phase {
    match (member.target.state, member.health) {
        (State::Left, _) => Phase::Left,
        (_, Health::Down) => Phase::Down,
        (State::Draining, _) => Phase::Draining,
        (State::Ready, _) => Phase::Up,
    }
}

const fn event_for(service: ServiceAddress, target: TargetId, phase: Phase) -> Event {
    match phase {
        Phase::Up => Event::TargetUp { service, target },
        Phase::Draining => Event::TargetDraining { service, target },
        Phase::Down => Event::TargetDown { service, target },
        Phase::Left => Event::TargetLeft { service, target },
    }
}
