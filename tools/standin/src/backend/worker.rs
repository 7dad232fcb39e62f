//! Runs requests in slots, and reports health and load.
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

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// One backend server's state.
pub struct Worker {
    /// Behaviour.
    pub settings: Settings,
    started: Instant,
    slots: Semaphore,
    load: Cell<Load>,
    samples: RefCell<VecDeque<Sample>>,
    draining: Cell<bool>,
    ledger: RefCell<Ledger>,
}

/// What the load endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Requests that run.
    pub active: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests that can run at a time.
    pub slots: u32,
    /// Whether new requests are refused.
    pub draining: bool,
}

/// One request to run.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's name of the request.
    pub name: String,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// How long the caller still waits.
    pub deadline: Duration,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran to its end.
    Finished,
    /// It did not run: the queue is full or the server is draining.
    Shed,
    /// It did not run: its deadline passed in the queue.
    Expired,
}

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

    /// Refuses new requests from now on.
    pub fn drain(&self) {
        self.draining.set(true);
        self.update_load(|load| load.draining = true);
    }

    /// Waits until nothing runs, for `limit` at most.
    pub async fn wait_idle(&self, limit: Duration) {
        let end = Instant::now() + limit;
        while Instant::now() < end && self.load.get().active + self.load.get().queued > 0 {
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Copy of the ledger.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.ledger.borrow().clone()
    }

    /// What the health and load endpoints say, which may be old or untrue.
    #[must_use]
    pub fn reported_load(&self) -> Load {
        if self.settings.mislead {
            return Load {
                slots: self.settings.slots,
                ..Load::default()
            };
        }
        let seen = Instant::now().checked_sub(self.settings.report_age);
        let reports = self.samples.borrow();
        let report = reports
            .iter()
            .rev()
            .find(|report| seen.is_some_and(|seen| report.time <= seen));
        report.map_or(
            Load {
                slots: self.settings.slots,
                ..Load::default()
            },
            |report| report.load,
        )
    }

    /// Runs a request in a slot, after waiting for one. Dropping the future
    /// cancels the request and frees its slot.
    pub async fn run(self: &Rc<Self>, work: Job) -> Outcome {
        let queue_full = self.load.get().queued >= self.settings.queue_limit
            && self.load.get().active >= self.settings.slots;
        if self.draining.get() || queue_full {
            self.ledger.borrow_mut().shed += 1;
            return Outcome::Shed;
        }
        let arrived = Instant::now();
        let waiting = QueueGuard::new(self);
        let _slot = self.slots.acquire().await;
        drop(waiting);
        if arrived.elapsed() >= work.deadline {
            self.ledger.borrow_mut().shed += 1;
            return Outcome::Expired;
        }
        let mut running = RunGuard::new(self, work);
        let age = self.started.elapsed();
        Timer::after(self.settings.run_time(age, fastrand::f64())).await;
        running.finished = true;
        Outcome::Finished
    }

    /// Builds the answer to a payload.
    #[must_use]
    pub fn answer(&self, payload: &[u8]) -> Vec<u8> {
        model::answer(
            &self.settings.service,
            payload,
            self.settings.min_answer_bytes,
        )
    }

    fn update_load(&self, change: impl FnOnce(&mut Load)) {
        let mut load = self.load.get();
        change(&mut load);
        self.load.set(load);
        let time = Instant::now();
        let mut reports = self.samples.borrow_mut();
        reports.push_back(Sample { time, load });
        let oldest = time.checked_sub(self.settings.report_age);
        // One report older than the lag is kept: it is what is reported now.
        while reports.len() > 1 && oldest.is_some_and(|oldest| reports[1].time <= oldest) {
            reports.pop_front();
        }
    }
}

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

struct RunGuard<'a> {
    worker: &'a Worker,
    work: Job,
    started: Instant,
    finished: bool,
}

impl<'a> RunGuard<'a> {
    fn new(worker: &'a Worker, work: Job) -> Self {
        worker.update_load(|load| load.active += 1);
        worker
            .ledger
            .borrow_mut()
            .begin(&work.name, work.idempotent);
        Self {
            worker,
            work,
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
            ledger.finish(&self.work.name);
        } else {
            ledger.cancel(&self.work.name);
        }
    }
}
