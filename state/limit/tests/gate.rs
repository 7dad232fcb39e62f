//! Admission control: slots, deadlines, job classes, pauses and the capacity
//! estimate.
mod fixtures;

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use fixtures::gate::*;
use limit::Class;
use limit::Finish;
use limit::Gate;
use limit::JobId;
use limit::Reason;
use limit::Release;
use limit::Settings;
use limit::Verdict;
use limit::queue::Discipline;

/// A gate past its slow start, with a mean service time of 50 ms.
struct Warm {
    gate: Gate,
    now: Duration,
    out: Vec<Release>,
}

impl Warm {
    fn new(settings: Settings) -> Self {
        let mut warm = Self {
            gate: Gate::new(settings, Duration::ZERO),
            now: Duration::ZERO,
            out: Vec::new(),
        };
        warm.run(400, ms(50));
        warm
    }

    /// Runs short jobs one after another, each for the given time.
    fn run(&mut self, jobs: u64, time: Duration) {
        for id in 0..jobs {
            let job = job(u64::MAX - id, Class::Short, self.now + FAR);
            assert_eq!(self.gate.offer(self.now, job), Verdict::Start);
            self.now += time;
            self.finish(job.id, Finish::Done);
        }
    }

    fn offer(&mut self, id: JobId, class: Class, wait: Duration) -> Verdict {
        self.gate.offer(self.now, job(id, class, self.now + wait))
    }

    fn finish(&mut self, id: JobId, end: Finish) {
        self.gate.finish(self.now, id, end, &mut self.out);
    }
}

fn refusal(verdict: Verdict) -> Option<Reason> {
    match verdict {
        Verdict::Refuse { reason, .. } => Some(reason),
        Verdict::Start | Verdict::Queued => None,
    }
}

#[derive(Clone, Copy)]
struct Late {
    queued: u64,
    deadline: Duration,
    reason: Option<Reason>,
}

fn late_jobs_are_refused_immediately(case: Late) {
    let settings = Settings {
        max_wait: ms(1990),
        ..settings(1)
    };
    let mut warm = Warm::new(settings);
    for id in 0..=case.queued {
        assert_eq!(refusal(warm.offer(id, Class::Short, FAR)), None);
    }
    let verdict = warm.offer(1000, Class::Short, case.deadline);
    assert_eq!(refusal(verdict), case.reason);
}

cases::cases! { late_jobs_are_refused_immediately;
    a_job_that_can_meet_its_deadline_is_not_refused: Late { queued: 1, deadline: ms(150), reason: None },
    a_job_whose_wait_exceeds_its_deadline_is_refused: Late { queued: 3, deadline: ms(150), reason: Some(Reason::Deadline) },
    a_job_whose_wait_exceeds_the_limit_is_refused: Late { queued: 39, deadline: FAR, reason: Some(Reason::Full) },
    a_job_past_its_deadline_is_refused: Late { queued: 0, deadline: ms(0), reason: Some(Reason::Deadline) },
}

#[test]
fn a_wait_above_the_limit_in_service_times_is_refused() {
    let settings = Settings {
        max_wait_service_times: 3,
        ..settings(1)
    };
    let mut warm = Warm::new(settings);
    for id in 0..3 {
        assert_eq!(refusal(warm.offer(id, Class::Short, FAR)), None);
    }
    warm.offer(3, Class::Short, FAR);
    let verdict = warm.offer(4, Class::Short, FAR);
    assert_eq!(refusal(verdict), Some(Reason::Full));
}

#[test]
fn by_default_a_job_with_an_earlier_deadline_overtakes_queued_jobs() {
    let settings = Settings {
        slots: 1,
        ..Settings::default()
    };
    let mut warm = Warm::new(settings);
    for id in 0..5 {
        assert_eq!(refusal(warm.offer(id, Class::Short, FAR)), None);
    }
    assert_eq!(warm.offer(9, Class::Short, ms(150)), Verdict::Queued);
    warm.now += ms(50);
    warm.finish(0, Finish::Done);
    assert_eq!(warm.out, [Release::Start(9)]);
}

#[test]
fn refused_callers_get_distinct_retry_times() {
    let mut warm = Warm::new(settings(2));
    let mut retry_times = HashSet::new();
    let mut latest = Duration::ZERO;
    for id in 0..300 {
        if let Verdict::Refuse { retry_after, .. } = warm.offer(id, Class::Short, FAR) {
            retry_times.insert(retry_after.as_millis() / 10);
            latest = latest.max(retry_after);
        }
    }
    // 300 jobs of 50 ms on 2 slots take 7.5 s: retries are spread over that
    // time.
    assert!(
        retry_times.len() > 150,
        "{} distinct times",
        retry_times.len()
    );
    assert!(latest > Duration::from_secs(5), "{latest:?}");
    assert!(latest <= Duration::from_secs(30), "{latest:?}");
}

#[test]
fn retries_after_a_flood_are_spread() {
    let mut warm = Warm::new(settings(2));
    let mut retry_times: HashMap<u128, usize> = HashMap::new();
    for id in 0..10_000 {
        if let Verdict::Refuse { retry_after, .. } = warm.offer(id, Class::Short, FAR) {
            assert!(retry_after <= Duration::from_secs(30));
            *retry_times
                .entry(retry_after.as_millis() / 100)
                .or_default() += 1;
        }
    }
    let most = retry_times.values().max().copied().unwrap_or_default();
    // Callers refused at the maximum retry time are spread over 10 s, some 100
    // in each tenth of a second.
    assert!(
        most < 200,
        "{most} callers retry within the same tenth of a second"
    );
}

#[test]
fn long_jobs_do_not_use_the_reserve_of_short_jobs() {
    let mut warm = Warm::new(settings(4));
    let starts = (0..4)
        .filter(|&id| warm.offer(id, Class::Long, FAR) == Verdict::Start)
        .count();
    assert_eq!(starts, 2);
    assert_eq!(warm.offer(10, Class::Short, FAR), Verdict::Start);
    assert_eq!(warm.offer(11, Class::Short, FAR), Verdict::Start);
}

#[test]
fn a_queued_long_job_gets_the_next_slot_of_its_reserve() {
    let mut warm = Warm::new(settings(4));
    for id in 0..20 {
        assert_eq!(refusal(warm.offer(id, Class::Short, FAR)), None);
    }
    assert_eq!(warm.offer(100, Class::Long, FAR), Verdict::Queued);
    warm.now += ms(50);
    warm.finish(0, Finish::Done);
    assert_eq!(warm.out, [Release::Start(100)]);
}

#[test]
fn a_long_job_on_a_cold_target_leaves_a_slot_for_short_jobs() {
    let mut gate = Gate::new(settings(2), Duration::ZERO);
    let offers = [Class::Long, Class::Short]
        .into_iter()
        .zip(0..)
        .map(|(class, id)| gate.offer(ms(0), job(id, class, FAR)));
    assert!(offers.eq([Verdict::Start, Verdict::Start]));
}

#[test]
fn the_earliest_deadline_starts_first() {
    let settings = Settings {
        discipline: Discipline::EarliestDeadline,
        ..settings(1)
    };
    let mut warm = Warm::new(settings);
    assert_eq!(warm.offer(0, Class::Short, FAR), Verdict::Start);
    assert_eq!(warm.offer(1, Class::Short, FAR), Verdict::Queued);
    assert_eq!(warm.offer(2, Class::Short, ms(400)), Verdict::Queued);
    warm.now += ms(50);
    warm.finish(0, Finish::Done);
    assert_eq!(warm.out, [Release::Start(2)]);
}

#[test]
fn a_queued_job_expires_when_its_deadline_can_no_longer_be_met() {
    let mut warm = Warm::new(settings(1));
    assert_eq!(warm.offer(0, Class::Short, FAR), Verdict::Start);
    assert_eq!(warm.offer(1, Class::Short, ms(120)), Verdict::Queued);
    let due = warm.gate.next_deadline().expect("a job is queued");
    assert!(due < warm.now + ms(120));
    warm.gate.expire(due, &mut warm.out);
    assert_eq!(warm.out, [Release::Expire(1)]);
}

#[test]
fn a_cancelled_job_frees_its_slot() {
    let mut warm = Warm::new(settings(1));
    assert_eq!(warm.offer(0, Class::Short, FAR), Verdict::Start);
    assert_eq!(warm.offer(1, Class::Short, FAR), Verdict::Queued);
    assert_eq!(warm.offer(2, Class::Short, FAR), Verdict::Queued);
    warm.gate.cancel(warm.now, 1, &mut warm.out);
    assert_eq!(warm.out, []);
    warm.gate.cancel(warm.now, 0, &mut warm.out);
    assert_eq!(warm.out, [Release::Start(2)]);
}

#[test]
fn a_shed_starts_a_pause_that_ends_with_one_slot() {
    let mut warm = Warm::new(settings(4));
    for id in 0..3 {
        assert_eq!(warm.offer(id, Class::Short, FAR), Verdict::Start);
    }
    let retry_after = Duration::from_secs(1);
    for id in 0..3 {
        warm.finish(id, Finish::Shed { retry_after });
    }
    assert!(!warm.gate.has_free_slot());
    assert!(warm.gate.expected_wait(warm.now) >= retry_after);
    let verdict = warm.offer(10, Class::Short, ms(500));
    assert_eq!(refusal(verdict), Some(Reason::Paused));
    for id in 11..13 {
        assert_eq!(warm.offer(id, Class::Short, FAR), Verdict::Queued);
    }
    warm.now = warm.gate.next_deadline().expect("the pause ends");
    warm.gate.expire(warm.now, &mut warm.out);
    assert_eq!(warm.out, [Release::Start(11)]);
    warm.now += ms(50);
    warm.finish(11, Finish::Done);
    assert_eq!(warm.out[1..], [Release::Start(12)]);
    assert!(warm.gate.has_free_slot(), "a success adds a second slot");
}

#[test]
fn consecutive_failures_start_a_pause() {
    let mut warm = Warm::new(settings(4));
    for id in 0..3 {
        assert_eq!(warm.offer(id, Class::Short, FAR), Verdict::Start);
        warm.now += ms(1);
        warm.finish(id, Finish::Failed);
    }
    assert!(
        !warm.gate.has_free_slot(),
        "fast failures must not attract work"
    );
}

#[test]
fn a_cold_target_starts_with_one_slot_and_a_low_weight() {
    let mut gate = Gate::new(settings(4), Duration::ZERO);
    let warm = Warm::new(settings(4)).gate.weight();
    assert!(gate.weight() * 2 < warm, "{} {warm}", gate.weight());
    let offers = [1, 2].map(|id| gate.offer(ms(0), job(id, Class::Short, FAR)));
    assert_eq!(offers, [Verdict::Start, Verdict::Queued]);
}

/// Number of jobs after which the slow mean is within 1% of a new service time.
const SETTLED_JOBS: u64 = 600;

#[derive(Clone, Copy)]
struct Pace {
    time: Duration,
    least: u32,
    most: u32,
}

fn the_weight_follows_the_service_time(pace: Pace) {
    let mut warm = Warm::new(settings(4));
    warm.run(SETTLED_JOBS, pace.time);
    let weight = warm.gate.weight();
    assert!((pace.least..=pace.most).contains(&weight), "{weight}");
}

// 4 slots at 20, 50 and 80 ms make 200, 80 and 50 jobs a second. The weight
// stays within five quarters of a step, a factor of 2^(5/16).
cases::cases! { the_weight_follows_the_service_time;
    the_weight_of_a_target_that_becomes_faster: Pace { time: ms(20), least: 161, most: 249 },
    the_weight_of_a_target_with_unchanged_speed: Pace { time: ms(50), least: 64, most: 100 },
    the_weight_of_a_target_that_becomes_slower: Pace { time: ms(80), least: 40, most: 63 },
}

#[test]
fn a_stalled_target_loses_weight_within_two_seconds() {
    let mut warm = Warm::new(settings(2));
    let before = warm.gate.weight();
    for id in 0..2 {
        assert_eq!(warm.offer(id, Class::Short, FAR), Verdict::Start);
    }
    for id in 2..6 {
        warm.now += ms(500);
        warm.offer(id, Class::Short, FAR);
    }
    let after = warm.gate.weight();
    assert!(after * 4 <= before, "{before} then {after}");
    assert!(warm.gate.expected_wait(warm.now) > Duration::from_secs(1));
}

#[test]
fn the_weight_is_stable_under_alternating_service_times() {
    let mut warm = Warm::new(settings(4));
    let mut weights = HashSet::new();
    for round in 0..500 {
        warm.run(1, ms(if round % 2 == 0 { 20 } else { 80 }));
        weights.insert(warm.gate.weight());
    }
    assert!(weights.len() <= 2, "{weights:?}");
}

#[test]
fn a_flooded_gate_does_not_affect_another_gate() {
    let mut flooded = Warm::new(settings(2));
    let mut other = Warm::new(settings(2));
    for id in 0..10_000 {
        flooded.offer(id, Class::Short, FAR);
    }
    assert_eq!(other.offer(0, Class::Short, ms(60)), Verdict::Start);
    assert!(flooded.gate.queued() <= 1000);
}
