//! What is logged of changes.
use std::net::SocketAddr;

use app::event::Event;
use app::watch::Watch;
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
fn tells_each_state_once() {
    let mut watch = Watch::default();
    let (service, target) = (service(), TARGET);
    for (state, event) in [
        (State::Ready, Event::TargetUp { service, target }),
        (State::Draining, Event::TargetDraining { service, target }),
        (State::Left, Event::TargetLeft { service, target }),
    ] {
        let member = member(state, Health::Up);
        assert_eq!(watch.member(&member), Some(event));
        assert_eq!(watch.member(&member), None);
    }
}

#[test]
fn tells_that_a_target_is_down_and_up_again() {
    let mut watch = Watch::default();
    let (service, target) = (service(), TARGET);
    for (health, event) in [
        (Health::Up, Some(Event::TargetUp { service, target })),
        (Health::Doubted, None),
        (Health::Down, Some(Event::TargetDown { service, target })),
        (Health::Up, Some(Event::TargetUp { service, target })),
    ] {
        assert_eq!(watch.member(&member(State::Ready, health)), event);
    }
}

#[test]
fn tells_each_revision_once() {
    let mut watch = Watch::default();
    let service = service();
    for revision in [3, 4] {
        let event = Event::InForce { service, revision };
        assert_eq!(watch.revision(service, revision), Some(event));
        assert_eq!(watch.revision(service, revision), None);
    }
}
