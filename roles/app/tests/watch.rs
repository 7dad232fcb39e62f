//! What is logged of a changed view.
use std::net::SocketAddr;

use app::event::Event;
use app::watch::Watch;
use member::Health;
use member::Service;
use member::View;
use member::view::Member;
use wire::Target;
use wire::target::State;

const TARGET: u64 = 7;

fn service() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], 5000))
}

fn view(state: State, version: u32) -> View {
    let mut view = View::new(service());
    let address = SocketAddr::from(([127, 0, 0, 1], 7000));
    let target = Target {
        id: TARGET,
        service: service(),
        address,
        control: address,
        zone: 1,
        incarnation: 1,
        version,
        weight: 1,
        slots: 1,
        state,
    };
    let health = Health::Up;
    view.put_member(Member { target, health });
    view
}

/// What is told of a target whose health changes.
fn told(watch: &mut Watch, view: &mut View, health: Health) -> Vec<Event> {
    let members: Vec<Member> = view.targets.values().cloned().collect();
    for member in members {
        view.put_member(Member { health, ..member });
    }
    watch.compare(view)
}

#[test]
fn tells_each_change_once() {
    let mut watch = Watch::default();
    let (service, target) = (service(), TARGET);
    let ready = view(State::Ready, 0);
    assert_eq!(watch.compare(&ready), [Event::TargetUp { service, target }]);
    assert_eq!(watch.compare(&ready), []);
    let draining = view(State::Draining, 1);
    assert_eq!(
        watch.compare(&draining),
        [Event::TargetDraining { service, target }]
    );
    let left = view(State::Left, 2);
    assert_eq!(
        watch.compare(&left),
        [Event::TargetLeft { service, target }]
    );
}

#[test]
fn tells_that_a_target_is_down_and_up_again() {
    let mut watch = Watch::default();
    let (service, target) = (service(), TARGET);
    let mut view = view(State::Ready, 0);
    watch.compare(&view);
    assert_eq!(told(&mut watch, &mut view, Health::Doubted), []);
    let down = Event::TargetDown { service, target };
    assert_eq!(told(&mut watch, &mut view, Health::Down), [down]);
    let up = Event::TargetUp { service, target };
    assert_eq!(told(&mut watch, &mut view, Health::Up), [up]);
}

#[test]
fn tells_a_new_revision() {
    let mut watch = Watch::default();
    let service = service();
    let mut view = View::new(service);
    let config = Service {
        address: service,
        revision: 3,
        body: Vec::new().into(),
    };
    view.config = Some(config);
    let event = Event::InForce {
        service,
        revision: 3,
    };
    assert_eq!(watch.compare(&view), [event]);
    assert_eq!(watch.compare(&view), []);
}
