//! A timer wheel: setting and firing a timer take constant time.
use std::time::Duration;

/// Number of buckets; each holds the timers of one tick.
const BUCKETS: u64 = 64;

/// Timers identified by numbers, which fire at most one tick late.
///
/// A timer beyond the last bucket fires early, with the last bucket; the caller
/// must check whether it is due and otherwise set it again.
#[derive(Debug)]
pub struct Wheel {
    /// Duration of a tick.
    width: Duration,
    /// Number of the tick that fires next, counted from the origin of time.
    next_tick: u64,
    buckets: Vec<Vec<u32>>,
    len: usize,
}

impl Wheel {
    /// Creates a wheel whose ticks last for `width`, at least one millisecond.
    #[must_use]
    pub fn new(width: Duration, now: Duration) -> Self {
        let width = width.max(Duration::from_millis(1));
        Self {
            next_tick: tick(width, now) + 1,
            buckets: (0..BUCKETS).map(|_| Vec::new()).collect(),
            width,
            len: 0,
        }
    }

    /// Sets a timer that fires at the given time.
    pub fn set(&mut self, at: Duration, id: u32) {
        let last = self.next_tick + BUCKETS - 1;
        let tick = (tick(self.width, at) + 1).clamp(self.next_tick, last);
        self.bucket(tick).push(id);
        self.len += 1;
    }

    /// Removes the timers that have fired by `now` and appends their ids to
    /// `due`.
    pub fn fire(&mut self, now: Duration, due: &mut Vec<u32>) {
        let end = tick(self.width, now);
        if end < self.next_tick {
            return;
        }
        let passed = (end + 1 - self.next_tick).min(BUCKETS);
        for offset in 0..passed {
            let tick = self.next_tick + offset;
            let bucket = self.bucket(tick);
            due.append(bucket);
            // Frees the memory of a bucket that was large.
            bucket.shrink_to(0);
        }
        self.next_tick = end + 1;
        self.len = self.buckets.iter().map(Vec::len).sum();
    }

    /// Returns the time at which the next timer fires.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        if self.len == 0 {
            return None;
        }
        (self.next_tick..self.next_tick + BUCKETS)
            .find(|tick| !self.buckets[bucket_index(*tick)].is_empty())
            .map(|tick| self.fire_time(tick))
    }

    /// Returns the memory that the wheel uses, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let timers: usize = self.buckets.iter().map(Vec::capacity).sum();
        timers * size_of::<u32>() + self.buckets.capacity() * size_of::<Vec<u32>>()
    }

    fn bucket(&mut self, tick: u64) -> &mut Vec<u32> {
        &mut self.buckets[bucket_index(tick)]
    }

    fn fire_time(&self, tick: u64) -> Duration {
        let width = u64::try_from(self.width.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(width.saturating_mul(tick))
    }
}

fn tick(width: Duration, at: Duration) -> u64 {
    let width = width.as_millis().max(1);
    u64::try_from(at.as_millis() / width).unwrap_or(u64::MAX / 2)
}

fn bucket_index(tick: u64) -> usize {
    usize::try_from(tick % BUCKETS).unwrap_or(0)
}
