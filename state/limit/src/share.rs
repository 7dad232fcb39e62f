//! Divides the slots between short and long jobs.
//!
//! Each class has a reserved share. Short jobs borrow free slots of the long
//! class, since they give them back soon. Long jobs never borrow the reserve of
//! the short class: a feed would keep it for hours.
use crate::Class;

/// Reserved shares of the slots, in percent; each class gets at least one slot
/// where there are two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Slots that long jobs never take.
    pub short_percent: u32,
    /// Slots that go to waiting long jobs before short ones.
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

/// Running jobs by class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Short jobs.
    pub short: u16,
    /// Long jobs.
    pub long: u16,
}

impl Count {
    /// All jobs.
    #[must_use]
    pub fn total(self) -> u16 {
        self.short + self.long
    }

    /// The count of one class.
    pub fn of(&mut self, class: Class) -> &mut u16 {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }
}

/// Whether a job waits that may start, by class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Short jobs.
    pub short: bool,
    /// Long jobs.
    pub long: bool,
}

impl Settings {
    /// Largest number of long jobs at a time. With a single slot, classes
    /// cannot be kept apart and it is one.
    #[must_use]
    pub fn long_limit(&self, slots: u16) -> u16 {
        (slots - reserve(slots, self.short_percent)).max(1)
    }

    /// Whether a job of the class may start beside the running ones. The limit
    /// of a slow start counts short jobs only: it grows as they end, which a
    /// long job that filled it would prevent.
    #[must_use]
    pub fn admits(&self, class: Class, running: Count, limit: u16, slots: u16) -> bool {
        let below = match class {
            Class::Short => running.short < limit,
            Class::Long => running.long < self.long_limit(slots) && limit > 0,
        };
        below && running.total() < slots
    }

    /// Slots that go to waiting long jobs before short ones.
    #[must_use]
    pub fn owed(&self, running: Count, slots: u16) -> u16 {
        reserve(slots, self.long_percent).saturating_sub(running.long)
    }

    /// The class whose turn it is, of those that wait and may start. With a
    /// single slot the classes alternate.
    #[must_use]
    pub fn turn(&self, waiting: Waiting, running: Count, last: Class, slots: u16) -> Option<Class> {
        let long_first = match slots {
            1 => last == Class::Short,
            _ => self.owed(running, slots) > 0,
        };
        match waiting {
            Waiting { long: true, .. } if long_first => Some(Class::Long),
            Waiting { short: true, .. } => Some(Class::Short),
            Waiting { long: true, .. } => Some(Class::Long),
            Waiting { .. } => None,
        }
    }
}

fn reserve(slots: u16, percent: u32) -> u16 {
    let share = u32::from(slots) * percent.min(100) / 100;
    let share = u16::try_from(share).unwrap_or(slots);
    share.clamp(1, slots.saturating_sub(1).max(1))
}
