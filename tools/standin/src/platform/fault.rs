//! Faults on demand.
use std::str::FromStr;
use std::time::Duration;

/// Whether the service answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Answers.
    #[default]
    Up,
    /// Closes each connection without an answer; nothing is applied.
    Down,
    /// Answers status 500; nothing is applied.
    Fail,
    /// Never answers; nothing is applied.
    Hang,
}

impl FromStr for Mode {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "up" => Ok(Self::Up),
            "down" => Ok(Self::Down),
            "fail" => Ok(Self::Fail),
            "hang" => Ok(Self::Hang),
            _ => Err(()),
        }
    }
}

/// The faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// `mode`: up, down, fail or hang.
    pub mode: Mode,
    /// `slow_ms`: delay of each answer.
    pub slow: Duration,
    /// `lose_answers`: number of writes to come that are applied, but whose
    /// answer is lost.
    pub lose_answers: u32,
    /// `drop_events`: number of writes to come that wake no watch.
    pub drop_events: u32,
    /// `repeat_events`: number of watches to come that answer at once although
    /// nothing changed.
    pub repeat_events: u32,
    /// `stale_reads`: number of reads to come that answer what was there
    /// before the latest write.
    pub stale_reads: u32,
}

impl Faults {
    /// Applies one control.
    ///
    /// # Errors
    ///
    /// Unit where the name is unknown or the value cannot be read.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), ()> {
        if name == "mode" {
            self.mode = value.parse()?;
            return Ok(());
        }
        let number: u32 = value.parse().map_err(|_| ())?;
        match name {
            "slow_ms" => self.slow = Duration::from_millis(number.into()),
            "lose_answers" => self.lose_answers = number,
            "drop_events" => self.drop_events = number,
            "repeat_events" => self.repeat_events = number,
            "stale_reads" => self.stale_reads = number,
            _ => return Err(()),
        }
        Ok(())
    }
}

/// Counts a fault down; true where it was still to happen.
pub(super) fn take(count: &mut u32) -> bool {
    let due = *count > 0;
    *count = count.saturating_sub(1);
    due
}
