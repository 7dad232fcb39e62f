//! Network faults that the fabric injects.
use std::time::Duration;

/// Network faults that the fabric injects.
#[derive(Clone, Debug, Default)]
pub struct Fault {
    /// Share of datagrams that are lost, in percent.
    pub loss: u32,
    /// Share of datagrams that are sent twice, in percent.
    pub duplicate: u32,
    /// Upper limit of the random delay of a datagram.
    pub delay: Duration,
    /// Generator of all random choices.
    pub random: fastrand::Rng,
}

impl Fault {
    /// Returns the delay of each copy of a datagram to send; no copy if it is
    /// lost.
    pub fn copies(&mut self) -> Vec<Duration> {
        if self.occurs(self.loss) {
            return Vec::new();
        }
        let count = if self.occurs(self.duplicate) { 2 } else { 1 };
        (0..count)
            .map(|_| self.delay.mul_f64(self.random.f64()))
            .collect()
    }

    /// Returns true at random with a probability of `percent`.
    fn occurs(&mut self, percent: u32) -> bool {
        self.random.u32(0..100) < percent
    }
}
