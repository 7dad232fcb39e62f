//! Tests of the events for changed services and targets.
use std::net::SocketAddr;

use app::change::Tracker;
use app::event::Event;
use member::Health;
use member::Member;
use wire::Target;
use wire::target::State;

const TARGET: u64 = 7;

fn service() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], 5000))
}

fn member(state: State, health: Health) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 7000));
    let target = Target {
        id: TARGET,
        service: service(),
        address,
        control: address,
        zone: 1,
        incarnation: 1,
        version: 0,
        weight: 1,
        slots: 1,
        state,
    };
    Member { target, health }
}

#[test]
fn each_state_of_a_target_is_reported_once() {
    let mut tracker = Tracker::default();
    let (service, target) = (service(), TARGET);
    for (state, event) in [
        (State::Ready, Event::TargetUp { service, target }),
        (State::Draining, Event::TargetDraining { service, target }),
        (State::Left, Event::TargetLeft { service, target }),
    ] {
        let member = member(state, Health::Up);
        assert_eq!(tracker.update_member(&member), Some(event));
        assert_eq!(tracker.update_member(&member), None);
    }
}

#[test]
fn a_target_marked_down_and_up_again_is_reported_and_a_suspected_one_is_not() {
    let mut tracker = Tracker::default();
    let (service, target) = (service(), TARGET);
    for (health, event) in [
        (Health::Up, Some(Event::TargetUp { service, target })),
        (Health::Doubted, None),
        (Health::Down, Some(Event::TargetDown { service, target })),
        (Health::Up, Some(Event::TargetUp { service, target })),
    ] {
        assert_eq!(tracker.update_member(&member(State::Ready, health)), event);
    }
}

#[test]
fn each_revision_of_a_service_is_reported_once() {
    let mut tracker = Tracker::default();
    let service = service();
    for revision in [3, 4] {
        let event = Event::InForce { service, revision };
        assert_eq!(tracker.update_revision(service, revision), Some(event));
        assert_eq!(tracker.update_revision(service, revision), None);
    }
}
