//! Properties of admission control that hold for any sequence of events.
mod fixtures;

use std::collections::HashSet;
use std::time::Duration;

use fixtures::gate::*;
use limit::Class;
use limit::Finish;
use limit::Gate;
use limit::JobId;
use limit::Release;
use limit::Settings;
use limit::Verdict;
use limit::queue::Discipline;
use proptest::collection::vec;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Event {
    Offer { class: Class, wait: u64 },
    Finish { index: usize, end: Finish },
    Cancel { index: usize },
    Expire,
}

fn class() -> impl Strategy<Value = Class> {
    prop_oneof![Just(Class::Short), Just(Class::Long)]
}

fn end() -> impl Strategy<Value = Finish> {
    prop_oneof![
        4 => Just(Finish::Done),
        1 => (0_u64..3000).prop_map(|pause| Finish::Shed { retry_after: ms(pause) }),
        1 => Just(Finish::Failed),
        1 => Just(Finish::Cancelled),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (class(), 0_u64..5000).prop_map(|(class, wait)| Event::Offer { class, wait }),
        3 => (any::<usize>(), end()).prop_map(|(index, end)| Event::Finish { index, end }),
        1 => any::<usize>().prop_map(|index| Event::Cancel { index }),
        1 => Just(Event::Expire),
    ]
}

/// The jobs of a gate as its user tracks them.
#[derive(Default)]
struct Tracker {
    running: Vec<JobId>,
    queued: Vec<JobId>,
    ended: HashSet<JobId>,
}

impl Tracker {
    fn apply_releases(&mut self, releases: &mut Vec<Release>) {
        for release in releases.drain(..) {
            let (Release::Start(id) | Release::Expire(id)) = release;
            let index = self.queued.iter().position(|&queued| queued == id);
            self.queued
                .swap_remove(index.expect("only queued jobs are released"));
            match release {
                Release::Start(_) => self.running.push(id),
                Release::Expire(_) => assert!(self.ended.insert(id), "job {id} ended twice"),
            }
        }
    }

    fn apply(&mut self, gate: &mut Gate, now: Duration, id: JobId, event: &Event) {
        let mut out = Vec::new();
        match *event {
            Event::Offer { class, wait } => match gate.offer(now, job(id, class, now + ms(wait))) {
                Verdict::Start => self.running.push(id),
                Verdict::Queued => self.queued.push(id),
                Verdict::Refuse { .. } => assert!(self.ended.insert(id)),
            },
            Event::Finish { index, end } if !self.running.is_empty() => {
                let id = self.running.swap_remove(index % self.running.len());
                assert!(self.ended.insert(id));
                gate.finish(now, id, end, &mut out);
            }
            Event::Cancel { index } if !self.queued.is_empty() => {
                let id = self.queued.swap_remove(index % self.queued.len());
                assert!(self.ended.insert(id));
                gate.cancel(now, id, &mut out);
            }
            Event::Finish { .. } | Event::Cancel { .. } | Event::Expire => {
                gate.expire(now, &mut out);
            }
        }
        self.apply_releases(&mut out);
    }
}

fn discipline() -> impl Strategy<Value = Discipline> {
    prop_oneof![Just(Discipline::Fifo), Just(Discipline::EarliestDeadline)]
}

proptest! {
    /// No more jobs run than there are slots, each job ends exactly once, and
    /// no job stays queued once every deadline has passed.
    #[test]
    fn every_job_ends_exactly_once(
        slots in 1_u16..6,
        discipline in discipline(),
        events in vec((event(), 0_u64..200), 1..300),
    ) {
        let mut gate = Gate::new(Settings { discipline, ..settings(slots) }, Duration::ZERO);
        let mut tracker = Tracker::default();
        let mut now = Duration::ZERO;
        let mut offers = 0;
        for (id, (event, pause)) in (0..).zip(&events) {
            now += ms(*pause);
            tracker.apply(&mut gate, now, id, event);
            offers += usize::from(matches!(event, Event::Offer { .. }));
            prop_assert!(tracker.running.len() <= usize::from(slots));
            prop_assert_eq!(tracker.running.len(), usize::from(gate.running().total()));
            prop_assert_eq!(tracker.queued.len(), gate.queued());
        }
        while let Some(id) = tracker.running.pop() {
            let mut out = Vec::new();
            tracker.ended.insert(id);
            gate.finish(now, id, Finish::Done, &mut out);
            tracker.apply_releases(&mut out);
        }
        gate.expire(now + FAR, &mut Vec::new());
        prop_assert_eq!(gate.queued(), 0);
        prop_assert_eq!(tracker.ended.len() + tracker.queued.len(), offers);
    }

    /// After a call of `expire`, `next_deadline` is in the future, so that an
    /// event loop that waits for it does not spin.
    #[test]
    fn the_next_deadline_after_expire_is_in_the_future(events in vec((event(), 0_u64..200), 1..200)) {
        let mut gate = Gate::new(settings(3), Duration::ZERO);
        let mut tracker = Tracker::default();
        let mut now = Duration::ZERO;
        for (id, (event, pause)) in (0..).zip(&events) {
            now += ms(*pause);
            tracker.apply(&mut gate, now, id, event);
            let mut out = Vec::new();
            gate.expire(now, &mut out);
            tracker.apply_releases(&mut out);
            prop_assert!(gate.next_deadline().is_none_or(|deadline| deadline > now));
        }
    }

    /// Under a flood of jobs of both classes, each class gets its reserved
    /// share.
    #[test]
    fn neither_job_class_starves(slots in 1_u16..8, seed in any::<u64>()) {
        let mut gate = Gate::new(Settings { max_wait: FAR, seed, ..settings(slots) }, Duration::ZERO);
        let mut random = fastrand::Rng::with_seed(seed);
        let mut tracker = Tracker::default();
        let mut now = Duration::ZERO;
        let mut ends = [0, 0];
        for id in 0..2000 {
            now += ms(10);
            let class = if id % 2 == 0 { Class::Short } else { Class::Long };
            tracker.apply(&mut gate, now, id, &Event::Offer { class, wait: 3_600_000 });
            if id % 4 == 0 {
                let index = random.usize(..tracker.running.len());
                ends[usize::from(tracker.running[index] % 2 == 1)] += 1;
                tracker.apply(&mut gate, now, id, &Event::Finish { index, end: Finish::Done });
            }
        }
        // 500 jobs end; the smallest reserve is one of seven slots.
        prop_assert!(ends.iter().all(|&ends| ends > 40), "{ends:?}");
    }
}
