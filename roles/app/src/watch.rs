//! Compares successive views of the services and tells what changed.
use std::collections::HashMap;

use member::Health;
use member::Member;
use member::View;
use wire::Revision;
use wire::ServiceAddress;
use wire::TargetId;
use wire::target::State;

use crate::event::Event;

/// What was last seen of all services.
#[derive(Clone, Debug, Default)]
pub struct Watch {
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

impl Watch {
    /// Takes a view and returns what changed since the last one of its service.
    pub fn view(&mut self, view: &View) -> Vec<Event> {
        let revision = view.config.as_ref().map(|config| config.revision);
        let mut events: Vec<Event> = revision
            .and_then(|revision| self.revision(view.address, revision))
            .into_iter()
            .collect();
        events.extend(
            view.targets
                .values()
                .filter_map(|member| self.member(member)),
        );
        events
    }

    /// Takes the revision of a service and returns what changed.
    pub fn revision(&mut self, service: ServiceAddress, revision: Revision) -> Option<Event> {
        let before = self.revisions.insert(service, revision);
        (before != Some(revision)).then_some(Event::InForce { service, revision })
    }

    /// Takes a target and returns what changed.
    pub fn member(&mut self, member: &Member) -> Option<Event> {
        let phase = phase(member);
        let target = member.target.id;
        let before = self.targets.insert(target, phase);
        (before != Some(phase)).then(|| event(member.target.service, target, phase))
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

const fn event(service: ServiceAddress, target: TargetId, phase: Phase) -> Event {
    match phase {
        Phase::Up => Event::TargetUp { service, target },
        Phase::Draining => Event::TargetDraining { service, target },
        Phase::Down => Event::TargetDown { service, target },
        Phase::Left => Event::TargetLeft { service, target },
    }
}
