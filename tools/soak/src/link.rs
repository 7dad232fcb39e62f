//! Carries the frames of all processes, and harms them.
use std::time::Duration;

/// What happens to the frames of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing arrives.
    pub drops_incoming: bool,
    /// Nothing leaves.
    pub drops_outgoing: bool,
    /// Share of the frames that are lost.
    pub loss: f64,
    /// Time that each frame takes longer.
    pub delay: Duration,
}

/// How long a frame between two hosts takes longer; `None` where it is lost.
#[must_use]
pub fn extra_delay(from: &Fault, to: &Fault, random: &mut fastrand::Rng) -> Option<Duration> {
    let is_cut = from.drops_outgoing || to.drops_incoming;
    let is_lost = random.f64() < from.loss || random.f64() < to.loss;
    (!is_cut && !is_lost).then(|| from.delay + to.delay)
}
