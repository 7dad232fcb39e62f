//! A backend server and the gate of the agent beside it.
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

impl Server {
    /// Creates a cold server.
    pub fn new(index: usize, fleet: Fleet, fault: Fault, seed: u64) -> Self {
        #[allow(clippy::cast_precision_loss)]
        let place = index as f64 / (fleet.targets - 1) as f64;
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
            mean: fast + (slow - fast) * place,
            fault,
            index,
            faulty: index == fleet.faulty_target(),
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
    pub fn draw_service_time(&mut self, now: Duration, random: &mut Rng) -> Duration {
        let factor = if self.is_slow(now) { SLOW_FACTOR } else { 1.0 };
        let time = self.mean * factor * (0.5 + random.f64());
        if now >= WARM_UP_END {
            self.busy += time;
        }
        Duration::from_secs_f64(time)
    }

    /// Replaces the agent's knowledge, as a restart does.
    pub fn restart(&mut self, now: Duration) {
        self.gate = new_gate(self.slots, self.seed, now);
        self.load = Load::new(load::Settings::default(), now);
    }

    /// Notes a request of a held flow that has had another before.
    pub fn record_request(&mut self, now: Duration) {
        self.load.request(now);
    }

    /// Notes that a flow is held here from now on.
    pub fn record_open(&mut self) {
        self.held += 1;
    }

    /// What the load endpoint says.
    pub fn update_report(&mut self) {
        let jobs = self.gate.queued() + usize::from(self.gate.running().total());
        #[allow(clippy::cast_precision_loss)]
        let load = jobs as f64 / f64::from(self.slots);
        let lies = self.fault == Fault::Lies && self.index % 3 == 2;
        self.reported = if lies { 0.0 } else { load };
    }

    /// What the agent bids for an open.
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
        let free = self.gate.free() && matches!(signal, Signal::Slots | Signal::Blend);
        Bid { free, wait, load }
    }

    fn is_slow(&self, now: Duration) -> bool {
        let end = match self.fault {
            Fault::Slow => SLOW_END,
            Fault::Cold => COLD_END,
            Fault::None | Fault::Lies => return false,
        };
        self.faulty && (FAULT_START..end).contains(&now)
    }
}

fn new_gate(slots: u16, seed: u64, now: Duration) -> Gate {
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
