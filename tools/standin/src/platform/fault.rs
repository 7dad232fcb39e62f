//! Faults that the stand-in injects.
use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;
use thiserror::Error;

/// Availability of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Answers calls.
    #[default]
    Up,
    /// Closes the connection of each call without an answer; applies nothing.
    Down,
    /// Answers each call with status 500; applies nothing.
    Fail,
    /// Never answers; applies nothing.
    Hang,
}

/// Invalid name or value of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// unknown fault; give `mode`, `slow_ms`, `lose_answers`, `drop_events`, `repeat_events` or `stale_reads`
    UnknownName,
    /// invalid value of a fault; give a whole number, or for the mode: up, down, fail or hang
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

/// Faults in force. The name in code font is that of the parameter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// `mode`: up, down, fail or hang.
    pub mode: Mode,
    /// `slow_ms`: delay before each call is handled.
    pub slow: Duration,
    /// `lose_answers`: number of next writes that are applied, but whose answer
    /// is lost.
    pub lose_answers: u32,
    /// `drop_events`: number of next writes that notify no watch.
    pub drop_events: u32,
    /// `repeat_events`: number of next watches that return at once although
    /// nothing changed.
    pub repeat_events: u32,
    /// `stale_reads`: number of next reads that return the state before the
    /// latest write.
    pub stale_reads: u32,
}

impl Faults {
    /// Sets the fault with this name.
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

/// Decrements the count of a fault; returns true if the fault is to happen now.
pub(super) fn consume(count: &mut u32) -> bool {
    let due = *count > 0;
    *count = count.saturating_sub(1);
    due
}
