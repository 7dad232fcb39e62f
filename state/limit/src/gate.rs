//! The slots and the queue of one backend server.
use std::collections::HashMap;
use std::time::Duration;

use crate::Class;
use crate::Finish;
use crate::Job;
use crate::JobId;
use crate::Reason;
use crate::Release;
use crate::Verdict;
use crate::capacity;
use crate::capacity::Capacity;
use crate::capacity::Mean;
use crate::pause;
use crate::pause::Pause;
use crate::queue::Discipline;
use crate::queue::Queue;
use crate::share;
use crate::share::Count;
use crate::share::Waiting;

/// Limits of a [`Gate`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Jobs that the backend server runs at a time.
    pub slots: u16,
    /// Longest expected wait that a job is queued for.
    pub max_wait: Duration,
    /// Longest expected wait that a short job is queued for, in mean service
    /// times; the smaller of the two limits counts.
    pub max_wait_times: u32,
    /// Largest number of queued jobs of each class.
    pub max_queue: usize,
    /// Sequence of the queued jobs.
    pub discipline: Discipline,
    /// Reserved shares of the classes.
    pub share: share::Settings,
    /// How the capacity is learned.
    pub capacity: capacity::Settings,
    /// How a backend server that sheds or fails is spared.
    pub pause: pause::Settings,
    /// Longest time that a refused caller is told to stay away.
    pub max_retry_after: Duration,
    /// Seed of the jitter.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 4,
            max_wait: Duration::from_secs(2),
            max_wait_times: 8,
            max_queue: 1000,
            discipline: Discipline::default(),
            share: share::Settings::default(),
            capacity: capacity::Settings::default(),
            pause: pause::Settings::default(),
            max_retry_after: Duration::from_secs(30),
            seed: 0,
        }
    }
}

/// Largest jitter of `retry_after`, as a share of it.
const RETRY_JITTER: f64 = 0.5;

/// Share of a short job's mean service time that its deadline must leave.
const MARGIN_DIVISOR: u32 = 2;

/// Ratio of the running jobs' age to the mean at which the age counts for the
/// weight.
const STALL_RATIO: u32 = 4;

/// Share of the weight that is left during a pause.
const PAUSED_SHARE: f64 = 0.25;

#[derive(Clone, Copy, Debug)]
struct Run {
    class: Class,
    since: Duration,
}

/// The slots and the queue of one backend server.
///
/// Every offered job gets exactly one end: a refusal, a [`Finish`] that its
/// owner reports, a [`Release::Expire`], or [`Gate::cancel`].
///
/// ```
/// use std::time::Duration;
/// use limit::{Class, Finish, Gate, Job, Release, Settings, Verdict};
///
/// let now = Duration::ZERO;
/// let deadline = Duration::from_secs(1);
/// let mut gate = Gate::new(Settings { slots: 1, ..Settings::default() }, now);
/// let job = |id| Job { id, deadline, class: Class::Short };
/// assert_eq!(gate.offer(now, job(1)), Verdict::Start);
/// assert_eq!(gate.offer(now, job(2)), Verdict::Queued);
///
/// let mut releases = Vec::new();
/// gate.finish(Duration::from_millis(40), 1, Finish::Done, &mut releases);
/// assert_eq!(releases, [Release::Start(2)]);
/// ```
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    runs: HashMap<JobId, Run>,
    running: Count,
    /// Class of the job that started last.
    last: Class,
    short: Queue,
    long: Queue,
    short_time: Mean,
    long_time: Mean,
    pause: Pause,
    capacity: Capacity,
    /// Until when the capacity is promised to refused callers.
    promised: Duration,
    /// Time of the latest event.
    now: Duration,
    random: fastrand::Rng,
}

impl Gate {
    /// Creates the gate of a cold backend server.
    #[must_use]
    pub fn new(settings: Settings, now: Duration) -> Self {
        let slots = settings.slots.max(1);
        let settings = Settings { slots, ..settings };
        Self {
            runs: HashMap::new(),
            running: Count::default(),
            last: Class::Long,
            short: Queue::new(settings.discipline),
            long: Queue::new(settings.discipline),
            short_time: Mean::new(settings.capacity.short_time),
            long_time: Mean::new(settings.capacity.long_time),
            pause: Pause::new(settings.pause, slots, settings.seed),
            capacity: Capacity::new(settings.capacity, slots, now),
            promised: now,
            now,
            random: fastrand::Rng::with_seed(settings.seed),
            settings,
        }
    }

    /// Expected time until a short job offered now would start.
    #[must_use]
    pub fn expected_wait(&self, now: Duration) -> Duration {
        self.wait(now, Class::Short, Duration::MAX)
    }

    /// Whether a short job would start at once, as of the latest event.
    #[must_use]
    pub fn free(&self) -> bool {
        self.free_for(Class::Short)
    }

    /// Whether a job would start at once, as of the latest event.
    #[must_use]
    pub fn free_for(&self, class: Class) -> bool {
        self.admits(class, self.pause.limit(self.now))
    }

    /// Number of jobs that run.
    #[must_use]
    pub fn running(&self) -> Count {
        self.running
    }

    /// Number of jobs that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Offers a job: it starts, waits, or is refused at once.
    pub fn offer(&mut self, now: Duration, job: Job) -> Verdict {
        self.now = now;
        let verdict = self.judge(now, job);
        match verdict {
            Verdict::Start => self.start(now, job),
            Verdict::Queued => self.queue_mut(job.class).push(job),
            Verdict::Refuse { .. } => {}
        }
        self.learn(now);
        verdict
    }

    fn judge(&mut self, now: Duration, job: Job) -> Verdict {
        if self.contains(job.id) {
            return Verdict::Refuse {
                reason: Reason::Duplicate,
                retry_after: Duration::ZERO,
            };
        }
        if job.deadline <= now {
            return self.refuse(now, Reason::Deadline);
        }
        let wait = self.wait(now, job.class, job.deadline);
        let due = now + wait + self.margin(now, job.class);
        if self.free_for(job.class) {
            return Verdict::Start;
        }
        if job.deadline <= now + self.pause.rest(now) {
            return self.refuse(now, Reason::Paused);
        }
        if job.deadline < due {
            return self.refuse(now, Reason::Deadline);
        }
        let is_full = self.queue(job.class).len() >= self.settings.max_queue;
        if is_full || wait > self.max_wait(now, job.class) {
            return self.refuse(now, Reason::Full);
        }
        Verdict::Queued
    }

    /// Frees the slot of a job that ended, and starts others. A job that does
    /// not run is ignored.
    pub fn finish(&mut self, now: Duration, id: JobId, end: Finish, out: &mut Vec<Release>) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        *self.running.of(run.class) -= 1;
        match end {
            Finish::Done => {
                self.time_mut(run.class).add(now.saturating_sub(run.since));
                self.pause.succeed();
            }
            Finish::Shed { retry_after } => self.pause.shed(now, retry_after),
            Finish::Failed => self.pause.fail(now),
            Finish::Cancelled => {}
        }
        self.expire(now, out);
    }

    /// Removes a job that its caller cancelled, whether it runs or waits, and
    /// starts others. The cancelled job is not released.
    pub fn cancel(&mut self, now: Duration, id: JobId, out: &mut Vec<Release>) {
        self.short.remove(id);
        self.long.remove(id);
        self.finish(now, id, Finish::Cancelled, out);
    }

    /// Releases the queued jobs that can no longer meet their deadline, and
    /// those whose turn has come; due at [`Gate::next_deadline`].
    pub fn expire(&mut self, now: Duration, out: &mut Vec<Release>) {
        self.now = now;
        let rest = self.pause.rest(now);
        for class in [Class::Short, Class::Long] {
            let due = now + rest + self.margin(now, class);
            while let Some(job) = self.queue_mut(class).pop_due(due) {
                out.push(Release::Expire(job.id));
            }
        }
        self.fill(now, out);
        self.learn(now);
    }

    /// Learned capacity in jobs a second, in coarse steps; at least 1.
    #[must_use]
    pub fn weight(&self) -> u32 {
        self.capacity.weight()
    }

    /// When [`Gate::expire`] next has work.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        let margin = self.short_time.wait() / MARGIN_DIVISOR;
        let short = self.short.first_deadline();
        let deadlines = [
            short.map(|deadline| deadline.saturating_sub(margin)),
            self.long.first_deadline(),
            self.pause.end(self.now),
        ];
        deadlines.into_iter().flatten().min()
    }

    fn contains(&self, id: JobId) -> bool {
        self.runs.contains_key(&id) || self.short.contains(id) || self.long.contains(id)
    }

    fn admits(&self, class: Class, limit: u16) -> bool {
        let Settings { share, slots, .. } = self.settings;
        self.queue(class).is_empty() && share.admits(class, self.running, limit, slots)
    }

    fn fill(&mut self, now: Duration, out: &mut Vec<Release>) {
        while let Some(job) = self.next(now) {
            self.start(now, job);
            out.push(Release::Start(job.id));
        }
    }

    fn next(&mut self, now: Duration) -> Option<Job> {
        let Settings { share, slots, .. } = self.settings;
        let limit = self.pause.limit(now);
        let running = self.running;
        let ready =
            |class, queue: &Queue| !queue.is_empty() && share.admits(class, running, limit, slots);
        let waiting = Waiting {
            short: ready(Class::Short, &self.short),
            long: ready(Class::Long, &self.long),
        };
        let class = share.turn(waiting, running, self.last, slots)?;
        self.queue_mut(class).pop()
    }

    fn start(&mut self, now: Duration, job: Job) {
        let class = job.class;
        self.last = class;
        *self.running.of(class) += 1;
        self.runs.insert(job.id, Run { class, since: now });
    }

    fn refuse(&mut self, now: Duration, reason: Reason) -> Verdict {
        let turn = self.service_time(now) / u32::from(self.short_slots());
        let start = self.promised.max(now + self.expected_wait(now)) + turn;
        // The limit leaves room for the jitter, which spreads those beyond it.
        let limit = self.settings.max_retry_after.div_f64(1.0 + RETRY_JITTER);
        self.promised = start.min(now + limit);
        let jitter = 1.0 + RETRY_JITTER * self.random.f64();
        let retry_after = self.promised.saturating_sub(now).mul_f64(jitter);
        Verdict::Refuse {
            reason,
            retry_after,
        }
    }

    /// Expected time until a job offered now would start.
    fn wait(&self, now: Duration, class: Class, deadline: Duration) -> Duration {
        let rest = self.pause.rest(now);
        if self.admits(class, self.pause.next_limit()) {
            return rest;
        }
        let ahead = self.queue(class).ahead(deadline);
        let turns = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
        let short_slots = u32::from(self.short_slots());
        let Settings { share, slots, .. } = self.settings;
        let owed = u32::from(share.owed(self.running, slots));
        rest + match class {
            Class::Long if turns > owed => {
                let limit = u32::from(share.long_limit(slots));
                self.long_time.wait().saturating_mul(turns - owed) / limit
            }
            Class::Short | Class::Long => {
                self.service_time(now).saturating_mul(turns) / short_slots
            }
        }
    }

    /// Mean service time of short jobs. Where all running jobs are older than
    /// the mean, the backend server has slowed down: the age of the youngest
    /// counts.
    fn service_time(&self, now: Duration) -> Duration {
        let short = self.runs.values().filter(|run| run.class == Class::Short);
        let youngest = short.map(|run| run.since).max();
        let age = youngest.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        self.short_time.wait().max(age)
    }

    fn max_wait(&self, now: Duration, class: Class) -> Duration {
        let Settings {
            max_wait,
            max_wait_times,
            ..
        } = self.settings;
        match class {
            Class::Short => max_wait.min(self.service_time(now).saturating_mul(max_wait_times)),
            Class::Long => max_wait,
        }
    }

    fn margin(&self, now: Duration, class: Class) -> Duration {
        match class {
            Class::Short => self.service_time(now) / MARGIN_DIVISOR,
            Class::Long => Duration::ZERO,
        }
    }

    /// Slots that short jobs can use once a pause is over.
    fn short_slots(&self) -> u16 {
        let left = self.settings.slots.saturating_sub(self.running.long);
        left.min(self.pause.next_limit()).max(1)
    }

    fn learn(&mut self, now: Duration) {
        let mean = self.short_time.weight();
        let time = match self.service_time(now) {
            age if age > mean * STALL_RATIO => age,
            _ => mean,
        };
        let slots = f64::from(self.short_slots());
        let paused = !self.pause.rest(now).is_zero();
        let share = if paused { PAUSED_SHARE } else { 1.0 };
        self.capacity
            .update(now, share * slots / time.as_secs_f64());
    }

    fn queue(&self, class: Class) -> &Queue {
        match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        }
    }

    fn queue_mut(&mut self, class: Class) -> &mut Queue {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }

    fn time_mut(&mut self, class: Class) -> &mut Mean {
        match class {
            Class::Short => &mut self.short_time,
            Class::Long => &mut self.long_time,
        }
    }
}
