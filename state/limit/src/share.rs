//! Division of the slots between short and long jobs.
//!
//! Each class has a reserved share of the slots. Short jobs may use free slots
//! of the long class, since they release them soon. Long jobs never use the
//! reserve of the short class: a long-lived request would occupy it for hours.
use crate::Class;

/// Reserved shares of the slots; each class gets at least one slot if there are
/// two or more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Slots that long jobs never use, in percent.
    pub short_percent: u32,
    /// Slots that queued long jobs get before short ones, in percent.
    pub long_percent: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            short_percent: 50,
            long_percent: 25,
        }
    }
}

/// Number of running jobs by class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Number of short jobs.
    pub short: u16,
    /// Number of long jobs.
    pub long: u16,
}

impl Count {
    /// Returns the number of jobs of both classes.
    #[must_use]
    pub fn total(self) -> u16 {
        self.short + self.long
    }

    /// Returns a mutable reference to the count of one class.
    pub fn class_mut(&mut self, class: Class) -> &mut u16 {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }
}

/// Whether a queued job may start, by class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Whether a queued short job may start.
    pub short: bool,
    /// Whether a queued long job may start.
    pub long: bool,
}

impl Settings {
    /// Returns the maximum number of concurrent long jobs. With a single slot,
    /// which both classes share, it is one.
    #[must_use]
    pub fn long_limit(&self, slots: u16) -> u16 {
        (slots - reserved_slots(slots, self.short_percent)).max(1)
    }

    /// Returns true if a job of the class may start in addition to the running
    /// ones. The slow-start `limit` applies to short jobs only: it grows when
    /// jobs end, and a long job that used it up would stop that growth. At a
    /// limit of zero (a pause), no job starts.
    #[must_use]
    pub fn admits(&self, class: Class, running: Count, limit: u16, slots: u16) -> bool {
        let below = match class {
            Class::Short => running.short < limit,
            Class::Long => running.long < self.long_limit(slots) && limit > 0,
        };
        below && running.total() < slots
    }

    /// Returns the number of slots reserved for long jobs that they do not use;
    /// queued long jobs get them before short ones.
    #[must_use]
    pub fn unused_long_reserve(&self, running: Count, slots: u16) -> u16 {
        reserved_slots(slots, self.long_percent).saturating_sub(running.long)
    }

    /// Returns the class of the next job to start, among the classes that have
    /// a queued job that may start. With a single slot, the classes alternate.
    #[must_use]
    pub fn next_class(
        &self,
        waiting: Waiting,
        running: Count,
        last: Class,
        slots: u16,
    ) -> Option<Class> {
        let long_first = match slots {
            1 => last == Class::Short,
            _ => self.unused_long_reserve(running, slots) > 0,
        };
        match waiting {
            Waiting { long: true, .. } if long_first => Some(Class::Long),
            Waiting { short: true, .. } => Some(Class::Short),
            Waiting { long: true, .. } => Some(Class::Long),
            Waiting { .. } => None,
        }
    }
}

/// Returns the number of reserved slots: at least one, and at most all but one
/// if there are two or more.
fn reserved_slots(slots: u16, percent: u32) -> u16 {
    let share = u32::from(slots) * percent.min(100) / 100;
    let share = u16::try_from(share).unwrap_or(slots);
    share.clamp(1, slots.saturating_sub(1).max(1))
}
