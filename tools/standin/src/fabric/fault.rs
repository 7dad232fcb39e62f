//! What the fabric does wrong to datagrams.
use std::time::Duration;

/// What the fabric does wrong to datagrams.
#[derive(Clone, Debug, Default)]
pub struct Fault {
    /// Share of datagrams that are lost, in percent.
    pub loss: u32,
    /// Share of datagrams that are sent twice, in percent.
    pub duplicate: u32,
    /// Largest random delay of a datagram.
    pub delay: Duration,
    /// Source of all choices.
    pub random: fastrand::Rng,
}

impl Fault {
    /// The delays of the copies to send of one datagram: none where it is lost.
    pub fn copies(&mut self) -> Vec<Duration> {
        if self.occurs(self.loss) {
            return Vec::new();
        }
        let count = if self.occurs(self.duplicate) { 2 } else { 1 };
        (0..count)
            .map(|_| self.delay.mul_f64(self.random.f64()))
            .collect()
    }

    fn occurs(&mut self, percent: u32) -> bool {
        self.random.u32(0..100) < percent
    }
}
