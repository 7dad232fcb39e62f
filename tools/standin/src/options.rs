//! Parses the command line flags of a stand-in.
use std::process::ExitCode;
use std::str::FromStr;

use displaydoc::Display;
use getopts::Matches;
use getopts::Options;
use thiserror::Error;

/// Exit code for invalid flags.
pub const EXIT_USAGE: u8 = 2;

/// Exit code for a stand-in that failed while it ran.
pub const EXIT_FAILED: u8 = 1;

/// Invalid command line flag.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// {0}; run with --help to list the flags
    Unparsable(#[from] getopts::Fail),
    /// --{0} is required but was not given
    Missing(String),
    /// --{name} does not accept `{value}`; run with --help for the expected value
    Invalid {
        /// Name of the flag.
        name: String,
        /// Text that was given.
        value: String,
    },
}

/// Parses `args`; with `--help`, prints the flags and returns `None` instead.
///
/// # Errors
///
/// [`Error::Unparsable`] if a flag is unknown or lacks its value.
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

/// Parses the value of a required flag.
///
/// # Errors
///
/// [`Error::Missing`] if the flag was not given, [`Error::Invalid`] if its value
/// does not parse.
pub fn required<T: FromStr>(matches: &Matches, name: &str) -> Result<T, Error> {
    let text = matches
        .opt_str(name)
        .ok_or_else(|| Error::Missing(name.into()))?;
    parse_value(name, &text)
}

/// Parses the value of an optional flag, or returns its default.
///
/// # Errors
///
/// [`Error::Invalid`] if the value does not parse.
pub fn optional<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, Error> {
    matches
        .opt_str(name)
        .map_or(Ok(default), |text| parse_value(name, &text))
}

/// Parses all values of a flag that may be repeated.
///
/// # Errors
///
/// [`Error::Invalid`] if a value does not parse.
pub fn repeated<T: FromStr>(matches: &Matches, name: &str) -> Result<Vec<T>, Error> {
    matches
        .opt_strs(name)
        .iter()
        .map(|text| parse_value(name, text))
        .collect()
}

/// Prints the error, if any, and returns the exit code.
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
