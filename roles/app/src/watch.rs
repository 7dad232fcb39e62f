//! Compares successive views of the services and tells what changed.
use std::collections::HashMap;

use member::Health;
use member::View;
use member::view::Member;
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
    pub fn compare(&mut self, view: &View) -> Vec<Event> {
        let service = view.address;
        let mut events = Vec::new();
        if let Some(config) = &view.config {
            let before = self.revisions.insert(service, config.revision);
            if before != Some(config.revision) {
                events.push(Event::InForce {
                    service,
                    revision: config.revision,
                });
            }
        }
        for member in view.targets.values() {
            let target = member.target.id;
            let phase = phase(member);
            let before = self.targets.insert(target, phase);
            if before != Some(phase) {
                events.push(event(service, target, phase));
            }
        }
        events
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
