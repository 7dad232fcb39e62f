//! Sets up the log: readable lines for people, or JSON lines.
//!
//! Log lines go to the standard error, which leaves the standard output to the
//! results of `operate` and `call`. Libraries write warnings and errors only.
use displaydoc::Display;
use log::LevelFilter;
use log4rs::Handle;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::console::Target;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Logger;
use log4rs::config::Root;
use log4rs::config::runtime::ConfigErrors;
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use thiserror::Error;

use crate::event::LOG_TARGET;
use crate::settings::Format;
use crate::settings::Log;

const APPENDER: &str = "stderr";

/// Time, level, number of the event, text.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:5} {K(event)(-)} {m}{n}";

/// Why the log could not be set up.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// the log is set up already; set it up once in each process
    Twice(#[from] log::SetLoggerError),
    /// the log's configuration is wrong; report it as a fault
    Config(#[from] ConfigErrors),
}

/// Starts logging for the whole process.
///
/// # Errors
///
/// [`Error::Twice`] where a log is set up already.
pub fn start(settings: Log) -> Result<Handle, Error> {
    Ok(log4rs::init_config(config(settings)?)?)
}

/// The configuration of the log.
///
/// # Errors
///
/// [`Error::Config`] where its names clash.
pub fn config(settings: Log) -> Result<Config, Error> {
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder(settings.format))
        .build();
    let libraries = settings.level.min(LevelFilter::Warn);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .logger(Logger::builder().build(LOG_TARGET, settings.level))
        .logger(Logger::builder().build(env!("CARGO_CRATE_NAME"), settings.level))
        .build(Root::builder().appender(APPENDER).build(libraries))?;
    Ok(config)
}

/// The form of the lines.
#[must_use]
pub fn encoder(format: Format) -> Box<dyn Encode> {
    match format {
        Format::Readable => Box::new(PatternEncoder::new(PATTERN)),
        Format::Json => Box::new(JsonEncoder::new()),
    }
}
