//! A backend server and the gate of the agent beside it.
use std::time::Duration;

use fastrand::Rng;
use limit::Gate;
use limit::Settings;
use limit::queue::Discipline;
use route::hunt::Bid;

use super::policy::Signal;
use super::trial::COLD_END;
use super::trial::DEADLINE;
use super::trial::FASTEST;
use super::trial::FAULT_START;
use super::trial::Fault;
use super::trial::Fleet;
use super::trial::SLOW_END;
use super::trial::SLOW_FACTOR;
use super::trial::SLOWEST;
use super::trial::WARM;

/// A backend server and the gate of the agent beside it.
#[derive(Debug)]
pub struct Server {
    /// The real gate.
    pub gate: Gate,
    /// Flows held.
    pub held: usize,
    /// Load that the agent reported last: running and queued jobs a slot.
    pub reported: f64,
    /// Weight that the entries know.
    pub weight: u32,
    /// Time that slots were busy, in seconds, during the measurement.
    pub busy: f64,
    load: Load,
    slots: u16,
    mean: f64,
    fault: Fault,
    index: usize,
    faulty: bool,
    seed: u64,
}

/// Requests a second of the held flows, smoothed.
#[derive(Debug, Default)]
struct Load {
    rate: f64,
    updated: Duration,
    /// Flows opened lately, whose requests the rate does not yet show.
    fresh: f64,
}

/// Wait that a target at its capacity adds to a blended bid.
const LOAD_COST: Duration = Duration::from_millis(100);

/// Time over which the load is smoothed.
const SMOOTHING: Duration = Duration::from_secs(5);

impl Load {
    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let keep = (-age / SMOOTHING.as_secs_f64()).exp();
        self.rate *= keep;
        self.fresh *= keep;
        self.updated = now;
    }
}

impl Server {
    /// Creates a cold server.
    pub fn new(index: usize, fleet: Fleet, fault: Fault, seed: u64) -> Self {
        #[allow(clippy::cast_precision_loss)]
        let place = index as f64 / (fleet.targets - 1) as f64;
        let (fast, slow) = (FASTEST.as_secs_f64(), SLOWEST.as_secs_f64());
        let gate = gate(fleet.slots, seed, Duration::ZERO);
        Self {
            held: 0,
            reported: 0.0,
            weight: gate.weight(),
            gate,
            busy: 0.0,
            load: Load::default(),
            slots: fleet.slots,
            mean: fast + (slow - fast) * place,
            fault,
            index,
            faulty: index == fleet.faulty(),
            seed,
        }
    }

    /// Jobs a second without a fault.
    pub fn capacity(&self) -> f64 {
        f64::from(self.slots) / self.mean
    }

    /// Share of the slots' time that was busy.
    pub fn utilisation(&self, measured: Duration) -> f64 {
        self.busy / f64::from(self.slots) / measured.as_secs_f64()
    }

    /// Draws the service time of a job that starts now.
    pub fn draw(&mut self, now: Duration, random: &mut Rng) -> Duration {
        let factor = if self.slow(now) { SLOW_FACTOR } else { 1.0 };
        let time = self.mean * factor * (0.5 + random.f64());
        if now >= WARM {
            self.busy += time;
        }
        Duration::from_secs_f64(time)
    }

    /// Replaces the agent's knowledge, as a restart does.
    pub fn restart(&mut self, now: Duration) {
        self.gate = gate(self.slots, self.seed, now);
        self.load = Load::default();
    }

    /// Notes a request of a held flow.
    pub fn note_request(&mut self, now: Duration) {
        self.load.decay(now);
        self.load.rate += 1.0 / SMOOTHING.as_secs_f64();
    }

    /// Notes that a flow is held here from now on.
    pub fn note_open(&mut self, now: Duration) {
        self.held += 1;
        self.load.decay(now);
        self.load.fresh += 1.0;
    }

    /// What the load endpoint says.
    pub fn report(&mut self) {
        let jobs = self.gate.queued() + usize::from(self.gate.running().total());
        #[allow(clippy::cast_precision_loss)]
        let load = jobs as f64 / f64::from(self.slots);
        let lies = self.fault == Fault::Lies && self.index % 3 == 2;
        self.reported = if lies { 0.0 } else { load };
    }

    /// What the agent bids for an open.
    pub fn bid(&mut self, now: Duration, signal: Signal) -> Bid {
        self.load.decay(now);
        let weight = f64::from(self.gate.weight());
        #[allow(clippy::cast_precision_loss)]
        let held = self.held as f64;
        let flow = if held > 0.0 {
            self.load.rate / held
        } else {
            0.0
        };
        let score = match signal {
            Signal::Slots => {
                return Bid {
                    free: self.gate.free(),
                    wait: self.gate.expected_wait(now),
                };
            }
            Signal::Held => held / weight,
            Signal::Load => self.load.rate / weight,
            Signal::Forecast => (self.load.rate + self.load.fresh * flow) / weight,
            Signal::Blend => {
                let wait = self.gate.expected_wait(now).as_secs_f64();
                wait + self.load.rate / weight * LOAD_COST.as_secs_f64()
            }
        };
        Bid {
            free: false,
            wait: Duration::from_secs_f64(score),
        }
    }

    fn slow(&self, now: Duration) -> bool {
        let end = match self.fault {
            Fault::Slow => SLOW_END,
            Fault::Cold => COLD_END,
            Fault::None | Fault::Lies => return false,
        };
        self.faulty && (FAULT_START..end).contains(&now)
    }
}

fn gate(slots: u16, seed: u64, now: Duration) -> Gate {
    let settings = Settings {
        slots,
        max_wait: DEADLINE,
        max_wait_times: u32::MAX,
        discipline: Discipline::Fifo,
        max_queue: 100_000,
        seed,
        ..Settings::default()
    };
    Gate::new(settings, now)
}
