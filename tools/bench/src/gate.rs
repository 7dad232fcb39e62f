//! Simulates the admission gate of an agent under several queue disciplines,
//! queue limits and loads, and measures the time of its decisions.
use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::time::Duration;

use fastrand::Rng;
use limit::Class;
use limit::Finish;
use limit::Gate;
use limit::Job;
use limit::Release;
use limit::Settings;
use limit::Verdict;
use limit::queue::Discipline;
use serde::Serialize;

use crate::options;
use crate::table;
use crate::timing;

const SLOTS: u16 = 4;

/// Mean service time of a job; single jobs take 0.5 to 1.5 times as long.
const SERVICE_TIME: Duration = Duration::from_millis(50);

/// Simulated time after which no more jobs arrive.
const ARRIVALS_END: Duration = Duration::from_mins(2);

/// Offered loads, as multiples of the capacity of all slots.
const LOADS: [f64; 4] = [0.85, 0.95, 1.2, 2.0];

/// Times from arrival to deadline; each applies to half of the jobs, at random.
const TIME_LIMITS: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(2)];

/// Limits of the expected wait, in service times; a job that would wait longer
/// is refused.
const MAX_WAIT_TIMES: [u32; 5] = [2, 3, 4, 8, 40];

const HEADER: [&str; 9] = [
    "discipline",
    "longest wait",
    "load",
    "in time %",
    "of the hasty %",
    "late %",
    "refused at once %",
    "expired %",
    "expired after ms",
];

/// Results of one discipline with one limit of the wait at one load. The
/// fractional fields are counts of jobs, except as noted.
#[derive(Debug, Default, Serialize)]
struct Row {
    discipline: String,
    max_wait_times: u32,
    /// Offered load, as a multiple of the capacity.
    load: f64,
    offered: f64,
    /// Jobs with the shorter time limit.
    hasty: f64,
    /// Jobs that finished by their deadline.
    in_time: f64,
    /// Jobs with the shorter time limit that finished by their deadline.
    hasty_in_time: f64,
    /// Jobs that finished after their deadline.
    late: f64,
    /// Jobs refused on arrival.
    refused: f64,
    /// Jobs whose deadline passed in the queue.
    expired: f64,
    /// Sum of the times from arrival to expiry, in milliseconds.
    expired_ms: f64,
}

/// Runs all trials, prints their table and writes `gate.json`.
///
/// # Errors
///
/// An invalid option, or the error of the operating system if the file cannot
/// be written.
pub fn run(arguments: &[String]) -> Result<(), Box<dyn Error>> {
    let settings = options::parse(arguments)?;
    let mut rows = Vec::new();
    for discipline in [Discipline::Fifo, Discipline::EarliestDeadline] {
        for max_wait_times in MAX_WAIT_TIMES {
            let gate = Settings {
                slots: SLOTS,
                discipline,
                max_wait_service_times: max_wait_times,
                seed: settings.seeds,
                ..Settings::default()
            };
            rows.extend(LOADS.map(|load| Trial::run(gate, load)));
        }
    }
    println!("4 slots of 50 ms; half of the jobs allow 200 ms, half 2 s\n");
    table::print(&HEADER, &rows.iter().map(cells).collect::<Vec<_>>());
    println!("offer and finish of a job: {:.0} ns", decision_ns());
    fs::create_dir_all(&settings.out)?;
    fs::write(
        settings.out.join("gate.json"),
        serde_json::to_string_pretty(&rows)?,
    )?;
    Ok(())
}

fn cells(row: &Row) -> Vec<String> {
    let percent = |part: f64, all: f64| format!("{:.1}", part / all.max(1.0) * 100.0);
    vec![
        row.discipline.clone(),
        row.max_wait_times.to_string(),
        format!("{:.2}", row.load),
        percent(row.in_time, row.offered),
        percent(row.hasty_in_time, row.hasty),
        percent(row.late, row.offered),
        percent(row.refused, row.offered),
        percent(row.expired, row.offered),
        format!("{:.0}", row.expired_ms / row.expired.max(1.0)),
    ]
}

/// Event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A job arrives.
    Arrive,
    /// The job with this index ends.
    Done(usize),
    /// The deadline of a queued job passes.
    Expire,
}

/// Arrival of one job.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    issued: Duration,
    deadline: Duration,
}

/// Discrete event simulation of one gate at one load.
struct Trial {
    gate: Gate,
    /// Pending events by their time.
    events: BTreeMap<Duration, Event>,
    /// Jobs by id.
    jobs: Vec<Arrival>,
    random: Rng,
    now: Duration,
    /// Time of the earliest scheduled [`Event::Expire`].
    next_expiry: Option<Duration>,
    row: Row,
}

impl Trial {
    fn run(settings: Settings, load: f64) -> Row {
        let mut trial = Self {
            gate: Gate::new(settings, Duration::ZERO),
            events: BTreeMap::new(),
            jobs: Vec::new(),
            random: Rng::with_seed(settings.seed),
            now: Duration::ZERO,
            next_expiry: None,
            row: Row {
                discipline: format!("{:?}", settings.discipline),
                max_wait_times: settings.max_wait_service_times,
                load,
                ..Row::default()
            },
        };
        trial.schedule(Duration::ZERO, Event::Arrive);
        while let Some((now, event)) = trial.events.pop_first() {
            trial.now = now;
            trial.on_event(event);
        }
        trial.row
    }

    fn on_event(&mut self, event: Event) {
        let mut releases = Vec::new();
        match event {
            Event::Arrive if self.now < ARRIVALS_END => self.arrive(),
            Event::Arrive => {}
            Event::Done(job) => {
                self.record_finish(job);
                let id = job as u64;
                self.gate.finish(self.now, id, Finish::Done, &mut releases);
            }
            Event::Expire => {
                self.next_expiry = None;
                self.gate.expire(self.now, &mut releases);
            }
        }
        for release in releases {
            self.apply_release(release);
        }
        match self.gate.next_deadline() {
            Some(deadline)
                if self
                    .next_expiry
                    .is_none_or(|scheduled| deadline < scheduled) =>
            {
                self.next_expiry = Some(deadline);
                self.schedule(deadline.max(self.now), Event::Expire);
            }
            _ => {}
        }
    }

    fn arrive(&mut self) {
        let rate = f64::from(SLOTS) / SERVICE_TIME.as_secs_f64() * self.row.load;
        let pause = -(1.0 - self.random.f64()).ln() / rate;
        self.schedule(self.now + Duration::from_secs_f64(pause), Event::Arrive);
        let hasty = self.random.bool();
        let time_limit = TIME_LIMITS[usize::from(!hasty)];
        let job = self.jobs.len();
        let arrival = Arrival {
            issued: self.now,
            deadline: self.now + time_limit,
        };
        self.jobs.push(arrival);
        self.row.offered += 1.0;
        self.row.hasty += f64::from(u8::from(hasty));
        let offer = Job {
            id: job as u64,
            deadline: arrival.deadline,
            class: Class::Short,
        };
        match self.gate.offer(self.now, offer) {
            Verdict::Start => self.start(job),
            Verdict::Queued => {}
            Verdict::Refuse { .. } => self.row.refused += 1.0,
        }
    }

    fn apply_release(&mut self, release: Release) {
        match release {
            Release::Start(id) => self.start(usize::try_from(id).unwrap_or(usize::MAX)),
            Release::Expire(id) => {
                let job = self.jobs[usize::try_from(id).unwrap_or(usize::MAX)];
                let waited = self.now.saturating_sub(job.issued);
                self.row.expired += 1.0;
                self.row.expired_ms += waited.as_secs_f64() * 1e3;
            }
        }
    }

    fn start(&mut self, job: usize) {
        let time = SERVICE_TIME.mul_f64(0.5 + self.random.f64());
        self.schedule(self.now + time, Event::Done(job));
    }

    fn record_finish(&mut self, job: usize) {
        let Arrival { issued, deadline } = self.jobs[job];
        let hasty = deadline.saturating_sub(issued) == TIME_LIMITS[0];
        let in_time = self.now <= deadline;
        self.row.in_time += f64::from(u8::from(in_time));
        self.row.late += f64::from(u8::from(!in_time));
        self.row.hasty_in_time += f64::from(u8::from(in_time && hasty));
    }

    /// Schedules an event at `time`, or at the next free nanosecond after it,
    /// since the map holds only one event per time.
    fn schedule(&mut self, time: Duration, event: Event) {
        let mut time = time;
        while self.events.contains_key(&time) {
            time += Duration::from_nanos(1);
        }
        self.events.insert(time, event);
    }
}

/// Measures the time to offer and finish one job on an idle gate.
fn decision_ns() -> f64 {
    let mut gate = Gate::new(Settings::default(), Duration::ZERO);
    let mut releases = Vec::new();
    timing::nanos(|call| {
        let now = Duration::from_micros(call);
        let job = Job {
            id: call,
            deadline: now + Duration::from_secs(1),
            class: Class::Short,
        };
        gate.offer(now, job);
        gate.finish(now, call, Finish::Done, &mut releases);
        releases.clear();
    })
}
