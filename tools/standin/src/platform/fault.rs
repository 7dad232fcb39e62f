//! Faults on demand.
use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;
use thiserror::Error;

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

/// A control that is not known, or whose value cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// the control is unknown; see the fields of the faults
    UnknownName,
    /// the control's value cannot be read; give a whole number or a mode
    UnknownValue,
}

impl FromStr for Mode {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "up" => Ok(Self::Up),
            "down" => Ok(Self::Down),
            "fail" => Ok(Self::Fail),
            "hang" => Ok(Self::Hang),
            _ => Err(Error::UnknownValue),
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
    /// Any [`Error`]; nothing is changed then.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), Error> {
        if name == "mode" {
            self.mode = value.parse()?;
            return Ok(());
        }
        let number: u32 = value.parse().map_err(|_| Error::UnknownValue)?;
        match name {
            "slow_ms" => self.slow = Duration::from_millis(number.into()),
            "lose_answers" => self.lose_answers = number,
            "drop_events" => self.drop_events = number,
            "repeat_events" => self.repeat_events = number,
            "stale_reads" => self.stale_reads = number,
            _ => return Err(Error::UnknownName),
        }
        Ok(())
    }
}

/// Counts a fault down; true where it was still to happen.
pub(super) fn consume(count: &mut u32) -> bool {
    let due = *count > 0;
    *count = count.saturating_sub(1);
    due
}
