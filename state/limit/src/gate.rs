//! Admission control for one backend server: its slots and its queue.
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

/// Parameters of a [`Gate`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Number of jobs that the backend server runs concurrently.
    pub slots: u16,
    /// Maximum expected wait of a queued job.
    pub max_wait: Duration,
    /// Maximum expected wait of a queued short job, in multiples of the mean
    /// service time; the smaller of the two limits applies.
    pub max_wait_service_times: u32,
    /// Maximum number of queued jobs of each class.
    pub max_queue: usize,
    /// Order in which queued jobs start.
    pub discipline: Discipline,
    /// Shares of the slots reserved for each class.
    pub share: share::Settings,
    /// Parameters of the capacity estimate.
    pub capacity: capacity::Settings,
    /// Parameters of the pauses after sheds and failures.
    pub pause: pause::Settings,
    /// Maximum `retry_after` of a refusal.
    pub max_retry_after: Duration,
    /// Seed of the jitter.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 4,
            max_wait: Duration::from_secs(2),
            max_wait_service_times: 8,
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

/// Maximum jitter added to `retry_after`, as a share of it.
const RETRY_JITTER: f64 = 0.5;

/// Divisor for the deadline margin: a queued short job must start at least the
/// mean service time divided by this number before its deadline.
const DEADLINE_MARGIN_DIVISOR: u32 = 2;

/// Ratio of the youngest running short job's age to the slow mean above which
/// that age determines the weight: the backend server has stalled.
const STALL_RATIO: u32 = 4;

/// Share of the weight that a backend server keeps during a pause.
const PAUSED_WEIGHT_SHARE: f64 = 0.25;

/// A running job.
#[derive(Clone, Copy, Debug)]
struct Run {
    class: Class,
    started: Duration,
}

/// The slots and the queue of one backend server.
///
/// Every offered job ends exactly once: by a refusal, a [`Finish`] that the
/// user of the gate reports, a [`Release::Expire`], or [`Gate::cancel`].
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
    /// Class of the most recently started job.
    last_class: Class,
    short: Queue,
    long: Queue,
    short_time: Mean,
    long_time: Mean,
    pause: Pause,
    capacity: Capacity,
    /// Time until which the capacity is taken by the retries of refused
    /// callers.
    reserved_until: Duration,
    /// Time of the latest event.
    now: Duration,
    random: fastrand::Rng,
}

impl Gate {
    /// Creates the gate of a backend server that starts now, cold.
    #[must_use]
    pub fn new(settings: Settings, now: Duration) -> Self {
        let slots = settings.slots.max(1);
        let settings = Settings { slots, ..settings };
        Self {
            runs: HashMap::new(),
            running: Count::default(),
            last_class: Class::Long,
            short: Queue::new(settings.discipline),
            long: Queue::new(settings.discipline),
            short_time: Mean::new(settings.capacity.short_time),
            long_time: Mean::new(settings.capacity.long_time),
            pause: Pause::new(settings.pause, slots, settings.seed),
            capacity: Capacity::new(settings.capacity, slots, now),
            reserved_until: now,
            now,
            random: fastrand::Rng::with_seed(settings.seed),
            settings,
        }
    }

    /// Returns the expected time until a short job offered now would start.
    #[must_use]
    pub fn expected_wait(&self, now: Duration) -> Duration {
        self.expected_wait_for(now, Class::Short, Duration::MAX)
    }

    /// Returns true if a short job would start immediately, as of the latest
    /// event.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        self.has_free_slot_for(Class::Short)
    }

    /// Returns true if a job of the given class would start immediately, as of
    /// the latest event.
    #[must_use]
    pub fn has_free_slot_for(&self, class: Class) -> bool {
        self.admits(class, self.pause.limit(self.now))
    }

    /// Returns the number of running jobs of each class.
    #[must_use]
    pub fn running(&self) -> Count {
        self.running
    }

    /// Returns the number of queued jobs.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Offers a job, which starts, is queued, or is refused immediately.
    pub fn offer(&mut self, now: Duration, job: Job) -> Verdict {
        self.now = now;
        let verdict = self.decide(now, job);
        match verdict {
            Verdict::Start => self.start(now, job),
            Verdict::Queued => self.queue_mut(job.class).push(job),
            Verdict::Refuse { .. } => {}
        }
        self.update_capacity(now);
        verdict
    }

    fn decide(&mut self, now: Duration, job: Job) -> Verdict {
        if self.contains(job.id) {
            return Verdict::Refuse {
                reason: Reason::Duplicate,
                retry_after: Duration::ZERO,
            };
        }
        if job.deadline <= now {
            return self.refuse(now, Reason::Deadline);
        }
        let wait = self.expected_wait_for(now, job.class, job.deadline);
        let due = now + wait + self.deadline_margin(now, job.class);
        if self.has_free_slot_for(job.class) {
            return Verdict::Start;
        }
        if job.deadline <= now + self.pause.remaining(now) {
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

    /// Frees the slot of a job that ended, and starts queued jobs. Does nothing
    /// if the job is not running.
    pub fn finish(
        &mut self,
        now: Duration,
        id: JobId,
        outcome: Finish,
        releases: &mut Vec<Release>,
    ) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        *self.running.class_mut(run.class) -= 1;
        match outcome {
            Finish::Done => {
                self.service_time_mut(run.class)
                    .add(now.saturating_sub(run.started));
                self.pause.record_success();
            }
            Finish::Shed { retry_after } => self.pause.record_shed(now, retry_after),
            Finish::Failed => self.pause.record_failure(now),
            Finish::Cancelled => {}
        }
        self.expire(now, releases);
    }

    /// Removes a running or queued job that its caller cancelled, and starts
    /// queued jobs. Emits no [`Release`] for the cancelled job.
    pub fn cancel(&mut self, now: Duration, id: JobId, releases: &mut Vec<Release>) {
        self.short.remove(id);
        self.long.remove(id);
        self.finish(now, id, Finish::Cancelled, releases);
    }

    /// Expires the queued jobs that can no longer meet their deadline, and
    /// starts jobs for which there is a slot. Must be called at
    /// [`Gate::next_deadline`].
    pub fn expire(&mut self, now: Duration, releases: &mut Vec<Release>) {
        self.now = now;
        let pause = self.pause.remaining(now);
        for class in [Class::Short, Class::Long] {
            let due = now + pause + self.deadline_margin(now, class);
            while let Some(job) = self.queue_mut(class).pop_due(due) {
                releases.push(Release::Expire(job.id));
            }
        }
        self.start_queued(now, releases);
        self.update_capacity(now);
    }

    /// Returns the estimated capacity in jobs a second, in coarse steps; at
    /// least 1.
    #[must_use]
    pub fn weight(&self) -> u32 {
        self.capacity.weight()
    }

    /// Returns the time at which [`Gate::expire`] has to be called next.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        let margin = self.short_time.fast() / DEADLINE_MARGIN_DIVISOR;
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

    fn start_queued(&mut self, now: Duration, releases: &mut Vec<Release>) {
        while let Some(job) = self.pop_next(now) {
            self.start(now, job);
            releases.push(Release::Start(job.id));
        }
    }

    fn pop_next(&mut self, now: Duration) -> Option<Job> {
        let Settings { share, slots, .. } = self.settings;
        let limit = self.pause.limit(now);
        let running = self.running;
        let ready =
            |class, queue: &Queue| !queue.is_empty() && share.admits(class, running, limit, slots);
        let waiting = Waiting {
            short: ready(Class::Short, &self.short),
            long: ready(Class::Long, &self.long),
        };
        let class = share.next_class(waiting, running, self.last_class, slots)?;
        self.queue_mut(class).pop()
    }

    fn start(&mut self, now: Duration, job: Job) {
        let class = job.class;
        self.last_class = class;
        *self.running.class_mut(class) += 1;
        self.runs.insert(
            job.id,
            Run {
                class,
                started: now,
            },
        );
    }

    /// Refuses a job and computes its `retry_after`: each refused caller
    /// reserves the time of one job after those refused before it, so that the
    /// callers return at different times.
    fn refuse(&mut self, now: Duration, reason: Reason) -> Verdict {
        let time_per_job = self.service_time(now) / u32::from(self.short_slots());
        let start = self.reserved_until.max(now + self.expected_wait(now)) + time_per_job;
        // Leaves room for the jitter below the maximum, so that it also spreads
        // the callers that reach the maximum.
        let limit = self.settings.max_retry_after.div_f64(1.0 + RETRY_JITTER);
        self.reserved_until = start.min(now + limit);
        let jitter = 1.0 + RETRY_JITTER * self.random.f64();
        let retry_after = self.reserved_until.saturating_sub(now).mul_f64(jitter);
        Verdict::Refuse {
            reason,
            retry_after,
        }
    }

    /// Returns the expected time until a job offered now would start.
    fn expected_wait_for(&self, now: Duration, class: Class, deadline: Duration) -> Duration {
        let pause = self.pause.remaining(now);
        if self.admits(class, self.pause.limit_after_pause()) {
            return pause;
        }
        let ahead = self.queue(class).ahead(deadline);
        let jobs = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
        let short_slots = u32::from(self.short_slots());
        let Settings { share, slots, .. } = self.settings;
        let reserved = u32::from(share.unused_long_reserve(self.running, slots));
        pause
            + match class {
                Class::Long if jobs > reserved => {
                    let limit = u32::from(share.long_limit(slots));
                    self.long_time.fast().saturating_mul(jobs - reserved) / limit
                }
                Class::Short | Class::Long => {
                    self.service_time(now).saturating_mul(jobs) / short_slots
                }
            }
    }

    /// Returns the mean service time of short jobs, or the age of the youngest
    /// running short job if that is larger: all of them then have run for
    /// longer than the mean, so the backend server has slowed down.
    fn service_time(&self, now: Duration) -> Duration {
        let short = self.runs.values().filter(|run| run.class == Class::Short);
        let youngest = short.map(|run| run.started).max();
        let age = youngest.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        self.short_time.fast().max(age)
    }

    fn max_wait(&self, now: Duration, class: Class) -> Duration {
        let Settings {
            max_wait,
            max_wait_service_times: max_wait_times,
            ..
        } = self.settings;
        match class {
            Class::Short => max_wait.min(self.service_time(now).saturating_mul(max_wait_times)),
            Class::Long => max_wait,
        }
    }

    /// Returns the least time that has to remain before a queued job's deadline
    /// when it starts.
    fn deadline_margin(&self, now: Duration, class: Class) -> Duration {
        match class {
            Class::Short => self.service_time(now) / DEADLINE_MARGIN_DIVISOR,
            Class::Long => Duration::ZERO,
        }
    }

    /// Returns the number of slots that short jobs can use once a pause is
    /// over, at least 1.
    fn short_slots(&self) -> u16 {
        let left = self.settings.slots.saturating_sub(self.running.long);
        left.min(self.pause.limit_after_pause()).max(1)
    }

    /// Updates the weight from the service time, the usable slots and the
    /// pause.
    fn update_capacity(&mut self, now: Duration) {
        let mean = self.short_time.slow();
        let time = match self.service_time(now) {
            age if age > mean * STALL_RATIO => age,
            _ => mean,
        };
        let slots = f64::from(self.short_slots());
        let paused = !self.pause.remaining(now).is_zero();
        let share = if paused { PAUSED_WEIGHT_SHARE } else { 1.0 };
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

    fn service_time_mut(&mut self, class: Class) -> &mut Mean {
        match class {
            Class::Short => &mut self.short_time,
            Class::Long => &mut self.long_time,
        }
    }
}
