//! Model of a backend server, with the real admission gate of its agent.
use std::time::Duration;

use fastrand::Rng;
use limit::Gate;
use limit::Load;
use limit::Settings;
use limit::load;
use limit::queue::Discipline;
use route::hunt::Bid;

use super::policy::Signal;
use super::trial::COLD_END;
use super::trial::DEADLINE;
use super::trial::FASTEST_SERVICE_TIME;
use super::trial::FAULT_START;
use super::trial::Fault;
use super::trial::Fleet;
use super::trial::SLOW_END;
use super::trial::SLOW_FACTOR;
use super::trial::SLOWEST_SERVICE_TIME;
use super::trial::WARM_UP_END;

/// Model of a backend server, with the real admission gate of its agent.
#[derive(Debug)]
pub struct Server {
    /// Admission gate of the agent.
    pub gate: Gate,
    /// Number of flows held.
    pub held: usize,
    /// Load in the latest report: running and queued jobs per slot.
    pub reported: f64,
    /// Weight in the latest report, which the entries use.
    pub weight: u32,
    /// Sum of the service times of the jobs started after the warm-up, in
    /// seconds.
    pub busy: f64,
    /// Load of the held flows, as the agent estimates it.
    load: Load,
    slots: u16,
    /// Mean service time without a fault, in seconds.
    mean: f64,
    fault: Fault,
    index: usize,
    /// Whether a fault that slows one target applies to this one.
    faulty: bool,
    seed: u64,
}

impl Server {
    /// Creates an idle server whose agent has measured nothing yet.
    pub fn new(index: usize, fleet: Fleet, fault: Fault, seed: u64) -> Self {
        #[allow(clippy::cast_precision_loss)]
        let position = index as f64 / (fleet.targets - 1) as f64;
        let (fast, slow) = (
            FASTEST_SERVICE_TIME.as_secs_f64(),
            SLOWEST_SERVICE_TIME.as_secs_f64(),
        );
        let gate = new_gate(fleet.slots, seed, Duration::ZERO);
        Self {
            held: 0,
            reported: 0.0,
            weight: gate.weight(),
            gate,
            busy: 0.0,
            load: Load::new(load::Settings::default(), Duration::ZERO),
            slots: fleet.slots,
            mean: fast + (slow - fast) * position,
            fault,
            index,
            faulty: index == fleet.faulty_target(),
            seed,
        }
    }

    /// Returns the number of jobs per second that the server can run without a
    /// fault.
    pub fn capacity(&self) -> f64 {
        f64::from(self.slots) / self.mean
    }

    /// Returns the share of the time `measured` during which slots were busy, on
    /// average over the slots.
    pub fn utilisation(&self, measured: Duration) -> f64 {
        self.busy / f64::from(self.slots) / measured.as_secs_f64()
    }

    /// Draws the service time of a job that starts now.
    pub fn draw_service_time(&mut self, now: Duration, random: &mut Rng) -> Duration {
        let factor = if self.is_slow(now) { SLOW_FACTOR } else { 1.0 };
        let time = self.mean * factor * (0.5 + random.f64());
        if now >= WARM_UP_END {
            self.busy += time;
        }
        Duration::from_secs_f64(time)
    }

    /// Resets the gate and the load estimate, as a restart of the agent does.
    pub fn restart(&mut self, now: Duration) {
        self.gate = new_gate(self.slots, self.seed, now);
        self.load = Load::new(load::Settings::default(), now);
    }

    /// Adds a request of a held flow to the load estimate. The first request of
    /// a flow must not be counted.
    pub fn record_request(&mut self, now: Duration) {
        self.load.record_request(now);
    }

    /// Counts a flow that is held here from now on.
    pub fn record_open(&mut self) {
        self.held += 1;
    }

    /// Updates the reported load; under [`Fault::Lies`], every third target
    /// reports that it is idle.
    pub fn update_report(&mut self) {
        let jobs = self.gate.queued() + usize::from(self.gate.running().total());
        #[allow(clippy::cast_precision_loss)]
        let load = jobs as f64 / f64::from(self.slots);
        let misreports = self.fault == Fault::Lies && self.index % 3 == 2;
        self.reported = if misreports { 0.0 } else { load };
    }

    /// Returns the agent's bid for a new flow.
    pub fn bid(&self, now: Duration, signal: Signal) -> Bid {
        let weight = self.gate.weight();
        let wait = self.gate.expected_wait(now);
        let load = self.load.bid(now, weight);
        #[allow(clippy::cast_precision_loss)]
        let held = Duration::from_secs_f64(self.held as f64 / f64::from(weight));
        let (wait, load) = match signal {
            Signal::Slots => (wait, Duration::ZERO),
            Signal::Held => (Duration::ZERO, held),
            Signal::Load => (Duration::ZERO, load),
            Signal::Blend => (wait, load),
        };
        let free = self.gate.has_free_slot() && matches!(signal, Signal::Slots | Signal::Blend);
        Bid { free, wait, load }
    }

    /// Returns true if a fault slows this server now.
    fn is_slow(&self, now: Duration) -> bool {
        let end = match self.fault {
            Fault::Slow => SLOW_END,
            Fault::Cold => COLD_END,
            Fault::None | Fault::Lies => return false,
        };
        self.faulty && (FAULT_START..end).contains(&now)
    }
}

/// Creates a gate that queues a job as long as its wait fits its deadline.
fn new_gate(slots: u16, seed: u64, now: Duration) -> Gate {
    let settings = Settings {
        slots,
        max_wait: DEADLINE,
        max_wait_service_times: u32::MAX,
        discipline: Discipline::Fifo,
        max_queue: 100_000,
        seed,
        ..Settings::default()
    };
    Gate::new(settings, now)
}
