//! Tests the refusal of classes that no backend server has capacity for.
use std::time::Duration;

use route::Refusal;
use route::refusal::Decision;
use route::refusal::Settings;
use wire::ServiceAddress;
use wire::TargetId;

const TARGETS: TargetId = 44;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn service() -> ServiceAddress {
    "[fd00::1]:1".parse().unwrap()
}

/// Returns a memory in which a number of backend servers refuse classes from 2 on.
fn refused_by(count: TargetId) -> Refusal {
    let mut refusal = Refusal::new(Settings::default());
    for target in 0..count {
        refusal.record_refused(ms(0), target, Some(2));
    }
    refusal
}

fn decide(refusal: &mut Refusal, now: Duration, priority: u64) -> Decision {
    refusal.decide(now, service(), priority, 0..TARGETS)
}

#[test]
fn one_in_sixteen_flows_is_sent_as_a_trial() {
    let mut refusal = refused_by(20);
    let decisions: Vec<Decision> = (0..160).map(|_| decide(&mut refusal, ms(1), 2)).collect();
    let tried = decisions.iter().filter(|one| **one == Decision::Try);
    assert_eq!(tried.count(), 10);
    assert!(!decisions.contains(&Decision::Send));
}

/// A backend server that refuses unimportant flows may admit urgent ones.
#[test]
fn more_urgent_class_is_sent() {
    assert_eq!(decide(&mut refused_by(20), ms(1), 1), Decision::Send);
}

/// A gateway that refused flows by reports that are out of date would do so for ever,
/// since flows that it refuses bring no reports.
#[test]
fn reports_expire() {
    assert_eq!(decide(&mut refused_by(20), ms(300), 2), Decision::Send);
}

#[test]
fn few_reports_refuse_no_class() {
    assert_eq!(decide(&mut refused_by(3), ms(1), 2), Decision::Send);
}

/// The end of an overload is seen by the first flow that is admitted.
#[test]
fn class_is_sent_once_a_backend_server_admits_it() {
    let mut refusal = refused_by(20);
    assert_eq!(decide(&mut refusal, ms(1), 2), Decision::Refuse);
    refusal.record_admitted(ms(2), 7, 2);
    assert_eq!(decide(&mut refusal, ms(3), 2), Decision::Send);
}

/// A backend server that admits urgent flows still refuses others.
#[test]
fn admission_of_an_urgent_flow_shows_nothing_of_others() {
    let mut refusal = refused_by(20);
    refusal.record_admitted(ms(2), 7, 1);
    assert_eq!(decide(&mut refusal, ms(3), 2), Decision::Refuse);
}

/// An agent of an earlier version does not report classes.
#[test]
fn report_without_a_class_counts_as_capacity() {
    let mut refusal = refused_by(20);
    refusal.record_refused(ms(1), 7, None);
    assert_eq!(decide(&mut refusal, ms(2), 2), Decision::Send);
}
