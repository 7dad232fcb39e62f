//! Runs requests in a limited number of slots, and reports health and load.
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use smol::Timer;
use smol::lock::Semaphore;

use super::Ledger;
use super::Settings;
use super::model;

/// Time between checks whether the worker is idle.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State of one backend server.
pub struct Worker {
    /// Behaviour of the server.
    pub settings: Settings,
    started: Instant,
    slots: Semaphore,
    /// Current load.
    load: Cell<Load>,
    /// Latest loads with their times, oldest first.
    samples: RefCell<VecDeque<Sample>>,
    draining: Cell<bool>,
    ledger: RefCell<Ledger>,
}

/// Load of a backend server, as served by the load endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Number of running requests.
    pub active: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
    /// Whether new requests are refused.
    pub draining: bool,
}

/// Request to run.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's name of the request.
    pub name: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time after its arrival by which it must have started.
    pub deadline: Duration,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran to its end.
    Finished,
    /// It did not run: the queue is full or the server is draining.
    Shed,
    /// It did not run: its deadline passed in the queue.
    Expired,
}

/// Load from `time` until the next sample.
struct Sample {
    time: Instant,
    load: Load,
}

impl Worker {
    /// Creates an idle backend server.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let slots = settings.slots;
        Self {
            started: Instant::now(),
            slots: Semaphore::new(slots as usize),
            load: Cell::new(Load {
                slots,
                ..Load::default()
            }),
            samples: RefCell::default(),
            draining: Cell::new(false),
            ledger: RefCell::new(Ledger::new(settings.service.clone(), slots)),
            settings,
        }
    }

    /// Starts draining: new requests are refused from now on.
    pub fn drain(&self) {
        self.draining.set(true);
        self.update_load(|load| load.draining = true);
    }

    /// Waits until no request runs or is queued, at most for `limit`.
    pub async fn wait_idle(&self, limit: Duration) {
        let end = Instant::now() + limit;
        while Instant::now() < end && self.load.get().active + self.load.get().queued > 0 {
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Returns a copy of the ledger.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.ledger.borrow().clone()
    }

    /// Returns the load that the health and load endpoints report: that of
    /// `report_age` ago, or always an idle server with `mislead`.
    #[must_use]
    pub fn reported_load(&self) -> Load {
        if self.settings.mislead {
            return Load {
                slots: self.settings.slots,
                ..Load::default()
            };
        }
        let cutoff = Instant::now().checked_sub(self.settings.report_age);
        let samples = self.samples.borrow();
        let sample = samples
            .iter()
            .rev()
            .find(|sample| cutoff.is_some_and(|cutoff| sample.time <= cutoff));
        sample.map_or(
            Load {
                slots: self.settings.slots,
                ..Load::default()
            },
            |sample| sample.load,
        )
    }

    /// Waits for a slot and runs a request in it. Dropping the future cancels
    /// the request and frees its slot.
    pub async fn run(self: &Rc<Self>, job: Job) -> Outcome {
        let queue_full = self.load.get().queued >= self.settings.queue_limit
            && self.load.get().active >= self.settings.slots;
        if self.draining.get() || queue_full {
            self.ledger.borrow_mut().shed += 1;
            return Outcome::Shed;
        }
        let arrived = Instant::now();
        let queue_guard = QueueGuard::new(self);
        let _slot = self.slots.acquire().await;
        drop(queue_guard);
        if arrived.elapsed() >= job.deadline {
            self.ledger.borrow_mut().shed += 1;
            return Outcome::Expired;
        }
        let mut run_guard = RunGuard::new(self, job);
        let age = self.started.elapsed();
        Timer::after(self.settings.run_time(age, fastrand::f64())).await;
        run_guard.finished = true;
        Outcome::Finished
    }

    /// Returns the answer to a payload.
    #[must_use]
    pub fn answer(&self, payload: &[u8]) -> Vec<u8> {
        model::answer(
            &self.settings.service,
            payload,
            self.settings.min_answer_bytes,
        )
    }

    /// Changes the load and records it for later samples.
    fn update_load(&self, change: impl FnOnce(&mut Load)) {
        let mut load = self.load.get();
        change(&mut load);
        self.load.set(load);
        let time = Instant::now();
        let mut samples = self.samples.borrow_mut();
        samples.push_back(Sample { time, load });
        let oldest = time.checked_sub(self.settings.report_age);
        // The latest sample that is older than the report age is kept, since it
        // is the one that is reported now.
        while samples.len() > 1 && oldest.is_some_and(|oldest| samples[1].time <= oldest) {
            samples.pop_front();
        }
    }
}

/// Counts a request as queued until dropped.
struct QueueGuard<'a>(&'a Worker);

impl<'a> QueueGuard<'a> {
    fn new(worker: &'a Worker) -> Self {
        worker.update_load(|load| load.queued += 1);
        Self(worker)
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.0.update_load(|load| load.queued -= 1);
    }
}

/// Counts a request as running until dropped, then records its end.
struct RunGuard<'a> {
    worker: &'a Worker,
    job: Job,
    started: Instant,
    finished: bool,
}

impl<'a> RunGuard<'a> {
    fn new(worker: &'a Worker, job: Job) -> Self {
        worker.update_load(|load| load.active += 1);
        worker.ledger.borrow_mut().begin(&job.name, job.idempotent);
        Self {
            worker,
            job,
            started: Instant::now(),
            finished: false,
        }
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.worker.update_load(|load| load.active -= 1);
        let mut ledger = self.worker.ledger.borrow_mut();
        let busy = self.started.elapsed().as_millis();
        ledger.busy_ms += u64::try_from(busy).unwrap_or(u64::MAX);
        if self.finished {
            ledger.finish(&self.job.name);
        } else {
            ledger.cancel(&self.job.name);
        }
    }
}
