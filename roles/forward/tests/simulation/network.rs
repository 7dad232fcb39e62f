//! Loss, delay and cuts of the simulated network.
use std::collections::HashSet;
use std::time::Duration;

use fastrand::Rng;
use wire::TargetId;

/// Process on the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Place {
    Entry(usize),
    Agent(TargetId),
}

/// Faults of the network between processes.
#[derive(Default)]
pub struct Network {
    /// Share of the frames that are lost.
    pub loss: f64,
    /// Longest additional delay of a frame; frames overtake each other.
    pub jitter: Duration,
    /// Zones that are cut off from the others.
    pub cut_zones: HashSet<u64>,
}

/// Number of availability zones.
pub const ZONES: u64 = 3;

/// Returns the zone of a process.
fn zone(place: Place) -> u64 {
    match place {
        Place::Entry(number) => u64::try_from(number).unwrap() % ZONES,
        Place::Agent(id) => id % ZONES,
    }
}

impl Network {
    /// Returns true if two processes reach each other.
    pub fn connects(&self, one: Place, other: Place) -> bool {
        let (one, other) = (zone(one), zone(other));
        let is_cut = |zone| self.cut_zones.contains(zone);
        one == other || !is_cut(&one) && !is_cut(&other)
    }

    /// Returns the additional delay of a frame, or `None` if it is lost.
    pub fn delay(&self, from: Place, to: Place, rng: &mut Rng) -> Option<Duration> {
        if !self.connects(from, to) || self.loss > 0.0 && rng.f64() < self.loss {
            return None;
        }
        let jitter = u64::try_from(self.jitter.as_micros()).unwrap();
        Some(Duration::from_micros(rng.u64(0..=jitter)))
    }
}
