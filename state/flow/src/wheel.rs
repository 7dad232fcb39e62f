//! Timers in buckets of equal width: constant time to set, and to fire.
use std::time::Duration;

/// Number of buckets.
const BUCKETS: u64 = 64;

/// Timers of items, fired late by one bucket's width at most.
///
/// A timer beyond the last bucket fires early, at the last bucket; whoever set
/// it checks whether it is due and sets it again.
#[derive(Debug)]
pub struct Wheel {
    width: Duration,
    /// Number of the bucket that fires next, counted from the origin of time.
    next: u64,
    buckets: Vec<Vec<u32>>,
    len: usize,
}

impl Wheel {
    /// Creates a wheel whose buckets are `width` apart.
    #[must_use]
    pub fn new(width: Duration, now: Duration) -> Self {
        let width = width.max(Duration::from_millis(1));
        Self {
            next: number(width, now) + 1,
            buckets: (0..BUCKETS).map(|_| Vec::new()).collect(),
            width,
            len: 0,
        }
    }

    /// Sets a timer.
    pub fn set(&mut self, at: Duration, item: u32) {
        let last = self.next + BUCKETS - 1;
        let number = (number(self.width, at) + 1).clamp(self.next, last);
        self.bucket(number).push(item);
        self.len += 1;
    }

    /// Moves the items whose timers have fired to `due`.
    pub fn fire(&mut self, now: Duration, due: &mut Vec<u32>) {
        let end = number(self.width, now);
        if end < self.next {
            return;
        }
        let passed = (end + 1 - self.next).min(BUCKETS);
        for offset in 0..passed {
            let number = self.next + offset;
            let bucket = self.bucket(number);
            due.append(bucket);
            // A bucket that was once large does not keep its memory.
            bucket.shrink_to(0);
        }
        self.next = end + 1;
        self.len = self.buckets.iter().map(Vec::len).sum();
    }

    /// When the next timer fires.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        if self.len == 0 {
            return None;
        }
        (self.next..self.next + BUCKETS)
            .find(|number| !self.buckets[index(*number)].is_empty())
            .map(|number| self.time(number))
    }

    /// Memory that the wheel holds, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let items: usize = self.buckets.iter().map(Vec::capacity).sum();
        items * size_of::<u32>() + self.buckets.capacity() * size_of::<Vec<u32>>()
    }

    fn bucket(&mut self, number: u64) -> &mut Vec<u32> {
        &mut self.buckets[index(number)]
    }

    fn time(&self, number: u64) -> Duration {
        let width = u64::try_from(self.width.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(width.saturating_mul(number))
    }
}

fn number(width: Duration, at: Duration) -> u64 {
    let width = width.as_millis().max(1);
    u64::try_from(at.as_millis() / width).unwrap_or(u64::MAX / 2)
}

fn index(number: u64) -> usize {
    usize::try_from(number % BUCKETS).unwrap_or(0)
}
