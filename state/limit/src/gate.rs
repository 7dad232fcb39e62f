//! The slots and the queue of one backend server.
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Finish;
use crate::Job;
use crate::JobId;
use crate::Reason;
use crate::Release;
use crate::Verdict;

/// Limits of a [`Gate`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Jobs that the backend server runs at a time.
    pub slots: u16,
    /// Longest expected wait that a job is queued for.
    pub max_wait: Duration,
    /// Service time assumed before any job has finished.
    pub initial_service_time: Duration,
    /// Seed of the jitter of `retry_after`.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 4,
            max_wait: Duration::from_secs(2),
            initial_service_time: Duration::from_millis(50),
            seed: 0,
        }
    }
}

/// The slots and the queue of one backend server.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    running: HashSet<JobId>,
    queue: VecDeque<Job>,
    service_time: Duration,
    random: fastrand::Rng,
}

impl Gate {
    /// Creates a gate with all slots free.
    #[must_use]
    pub fn new(settings: Settings, _now: Duration) -> Self {
        Self {
            service_time: settings.initial_service_time,
            random: fastrand::Rng::with_seed(settings.seed),
            running: HashSet::new(),
            queue: VecDeque::new(),
            settings,
        }
    }

    /// Expected time until a job offered now would start.
    #[must_use]
    pub fn expected_wait(&self, _now: Duration) -> Duration {
        if self.free() {
            return Duration::ZERO;
        }
        let ahead = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.service_time.saturating_mul(ahead.saturating_add(1))
            / u32::from(self.settings.slots.max(1))
    }

    /// Whether a job offered now would start at once.
    #[must_use]
    pub fn free(&self) -> bool {
        self.queue.is_empty() && self.running.len() < usize::from(self.settings.slots)
    }

    /// Offers a job: it starts, waits, or is refused at once.
    pub fn offer(&mut self, now: Duration, job: Job) -> Verdict {
        if self.free() {
            self.running.insert(job.id);
            return Verdict::Start;
        }
        let wait = self.expected_wait(now);
        let reason = match () {
            () if now + wait >= job.deadline => Reason::Deadline,
            () if wait > self.settings.max_wait => Reason::Full,
            () => {
                self.queue.push_back(job);
                return Verdict::Queued;
            }
        };
        let retry_after = wait.mul_f64(1.0 + self.random.f64());
        Verdict::Refuse {
            reason,
            retry_after,
        }
    }

    /// Frees the slot of a job that ended, and starts others.
    pub fn finish(&mut self, now: Duration, id: JobId, _end: Finish, out: &mut Vec<Release>) {
        self.running.remove(&id);
        self.fill(now, out);
    }

    /// Removes a job that its caller cancelled, whether it runs or waits.
    pub fn cancel(&mut self, now: Duration, id: JobId, out: &mut Vec<Release>) {
        self.queue.retain(|job| job.id != id);
        self.finish(now, id, Finish::Cancelled, out);
    }

    /// Drops queued jobs whose deadline has passed.
    pub fn expire(&mut self, now: Duration, out: &mut Vec<Release>) {
        self.queue.retain(|job| {
            let live = job.deadline > now;
            if !live {
                out.push(Release::Expire(job.id));
            }
            live
        });
    }

    /// Learned capacity in jobs a second, in coarse steps; at least 1.
    #[must_use]
    pub fn weight(&self) -> u32 {
        let rate = f64::from(self.settings.slots) / self.service_time.as_secs_f64();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let rate = rate.round() as u32;
        rate.max(1)
    }

    /// When [`Gate::expire`] next has work.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        self.queue.iter().map(|job| job.deadline).min()
    }

    fn fill(&mut self, now: Duration, out: &mut Vec<Release>) {
        self.expire(now, out);
        while self.running.len() < usize::from(self.settings.slots) {
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            self.running.insert(job.id);
            out.push(Release::Start(job.id));
        }
    }
}
