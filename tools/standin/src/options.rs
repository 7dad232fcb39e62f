//! Reads the flags of a stand-in.
use std::process::ExitCode;
use std::str::FromStr;

use displaydoc::Display;
use getopts::Matches;
use getopts::Options;
use thiserror::Error;

/// Exit code for flags that cannot be used.
pub const EXIT_USAGE: u8 = 2;

/// Exit code for a stand-in that failed while it ran.
pub const EXIT_FAILED: u8 = 1;

/// Why the flags were not accepted.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// {0}; run with --help for the flags
    Unparsable(#[from] getopts::Fail),
    /// --{0} is missing; give it
    Missing(String),
    /// --{name} does not accept `{value}`; see --help for its form
    Invalid {
        /// Name of the flag.
        name: String,
        /// The text given.
        value: String,
    },
}

/// Parses `args`, or prints the help and returns `None`.
///
/// # Errors
///
/// [`Error::Unreadable`] where a flag is unknown or lacks its value.
pub fn parse(
    options: &mut Options,
    brief: &str,
    args: &[String],
) -> Result<Option<Matches>, Error> {
    options.optflag("", "help", "print this help");
    let matches = options.parse(args)?;
    if matches.opt_present("help") {
        print!("{}", options.usage(brief));
        return Ok(None);
    }
    Ok(Some(matches))
}

/// Reads a flag that must be given.
///
/// # Errors
///
/// [`Error::Missing`] or [`Error::Invalid`].
pub fn required<T: FromStr>(matches: &Matches, name: &str) -> Result<T, Error> {
    let text = matches
        .opt_str(name)
        .ok_or_else(|| Error::Missing(name.into()))?;
    parse_value(name, &text)
}

/// Reads a flag that has a default.
///
/// # Errors
///
/// [`Error::Invalid`].
pub fn optional<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, Error> {
    matches
        .opt_str(name)
        .map_or(Ok(default), |text| parse_value(name, &text))
}

/// Reads a flag that may be given several times.
///
/// # Errors
///
/// [`Error::Invalid`].
pub fn repeated<T: FromStr>(matches: &Matches, name: &str) -> Result<Vec<T>, Error> {
    matches
        .opt_strs(name)
        .iter()
        .map(|text| parse_value(name, text))
        .collect()
}

/// Ends a stand-in: prints the error, if any, and chooses the exit code.
#[must_use]
pub fn exit_code(outcome: Result<(), Box<dyn std::error::Error>>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            let usage = error.is::<Error>();
            ExitCode::from(if usage { EXIT_USAGE } else { EXIT_FAILED })
        }
    }
}

fn parse_value<T: FromStr>(name: &str, text: &str) -> Result<T, Error> {
    text.parse().map_err(|_| Error::Invalid {
        name: name.into(),
        value: text.into(),
    })
}
