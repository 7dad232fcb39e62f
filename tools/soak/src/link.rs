//! Faults of the frames between processes.
use std::time::Duration;

/// Faults of the frames of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Whether all frames to the host are lost.
    pub drops_incoming: bool,
    /// Whether all frames from the host are lost.
    pub drops_outgoing: bool,
    /// Share of the host's frames that are lost, from 0 to 1.
    pub loss: f64,
    /// Extra delay of each frame.
    pub delay: Duration,
}

/// Returns the extra delay of a frame between two hosts; `None` if it is lost.
#[must_use]
pub fn extra_delay(from: &Fault, to: &Fault, random: &mut fastrand::Rng) -> Option<Duration> {
    let is_cut = from.drops_outgoing || to.drops_incoming;
    let is_lost = random.f64() < from.loss || random.f64() < to.loss;
    (!is_cut && !is_lost).then(|| from.delay + to.delay)
}
