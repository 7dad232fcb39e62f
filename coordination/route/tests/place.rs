//! Placement of flows that cannot be moved later, as its load asks for it.
use std::time::Duration;

use route::Place;
use route::place::Settings;
use wire::Target;
use wire::TargetId;
use wire::ZoneId;
use wire::target::State;
use wire::transit::Load;

const HERE: ZoneId = 1;
const THERE: ZoneId = 2;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn target(id: TargetId, zone: ZoneId) -> Target {
    let address = "198.51.100.1:7000".parse().unwrap();
    Target {
        id,
        service: "[fd00::1]:1".parse().unwrap(),
        address,
        control: address,
        zone,
        incarnation: 1,
        version: 1,
        weight: 100,
        slots: 2,
        state: State::Ready,
    }
}

fn load(running: u16, service_ms: u32) -> Load {
    Load {
        running,
        slots: 2,
        service_us: service_ms * 1_000,
        held_us: 0,
        risk_us: 0,
    }
}

fn place() -> Place {
    let settings = Settings {
        spread: Duration::ZERO,
        ..Settings::default()
    };
    Place::new(settings, HERE, 1)
}

fn first(place: &mut Place, now: Duration, targets: &[Target]) -> TargetId {
    place.rank(now, targets.iter(), 1)[0].id
}

#[test]
fn the_own_zone_comes_first() {
    let targets = [target(1, THERE), target(2, HERE)];
    assert_eq!(first(&mut place(), ms(0), &targets), 2);
}

#[test]
fn a_wait_here_longer_than_the_way_sends_flows_there() {
    let targets = [target(1, THERE), target(2, HERE)];
    let mut place = place();
    place.learn(ms(0), 1, load(0, 20));
    place.learn(ms(0), 2, load(6, 20));
    assert_eq!(first(&mut place, ms(0), &targets), 1);
}

#[test]
fn a_faster_server_comes_first() {
    let targets = [target(1, HERE), target(2, HERE)];
    let mut place = place();
    place.learn(ms(0), 1, load(0, 30));
    place.learn(ms(0), 2, load(0, 10));
    assert_eq!(first(&mut place, ms(0), &targets), 2);
}

#[test]
fn what_was_sent_counts_until_the_load_is_told() {
    let targets = [target(1, HERE), target(2, HERE)];
    let mut place = place();
    place.learn(ms(0), 1, load(0, 20));
    place.learn(ms(0), 2, load(1, 20));
    for _ in 0..3 {
        place.sent(1);
    }
    assert_eq!(first(&mut place, ms(0), &targets), 2);
}

#[test]
fn a_queue_that_was_told_long_ago_is_taken_to_be_served() {
    let targets = [target(1, HERE), target(2, HERE)];
    let mut place = place();
    place.learn(ms(0), 1, load(8, 10));
    place.learn(ms(0), 2, load(0, 15));
    assert_eq!(first(&mut place, ms(0), &targets), 2);
    assert_eq!(first(&mut place, ms(200), &targets), 1);
}

#[test]
fn a_server_that_did_not_answer_comes_last_for_a_while() {
    let targets = [target(1, HERE), target(2, THERE)];
    let mut place = place();
    place.distrust(ms(0), 1);
    assert_eq!(first(&mut place, ms(1), &targets), 2);
    assert_eq!(
        first(&mut place, ms(0) + Settings::default().distrust, &targets),
        1
    );
}

/// Several entries that know the same spread their flows.
#[test]
fn equals_share_the_flows() {
    let targets: Vec<Target> = (1..=4).map(|id| target(id, HERE)).collect();
    let mut counts = [0; 4];
    for seed in 0..400 {
        let mut place = Place::new(Settings::default(), HERE, seed);
        let index = usize::try_from(first(&mut place, ms(0), &targets) - 1).unwrap();
        counts[index] += 1;
    }
    assert!(
        counts.iter().all(|count| (60..140).contains(count)),
        "{counts:?}"
    );
}
