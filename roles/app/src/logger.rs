//! Sets up the log, in a readable, JSON or compact JSON format.
//!
//! Log lines go to the standard error, because the standard output carries the
//! results of `operate` and `call`. Compact lines go to the standard output
//! through a separate thread, so that a slow reader does not block the process.
//! Libraries log warnings and errors only.
mod compact;
mod queue;

use std::sync::OnceLock;

use displaydoc::Display;
use log::LevelFilter;
use log4rs::Handle;
use log4rs::append::Append;
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
use crate::logger::compact::Compact;
use crate::logger::queue::Queue;
use crate::settings::Format;
use crate::settings::Log;

const APPENDER: &str = "log";

/// Queue of compact lines, if that format is used.
static QUEUE: OnceLock<Queue> = OnceLock::new();

/// Pattern of readable lines: time, level, number of the event, text.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:5} {K(event)(-)} {m}{n}";

/// Reason why the log could not be set up.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// the log is already set up; set it up only once in each process
    AlreadyStarted(#[from] log::SetLoggerError),
    /// the log's configuration is invalid ({0}); report this as a bug
    Config(#[from] ConfigErrors),
}

/// Starts logging for the whole process.
///
/// # Errors
///
/// Returns [`Error::AlreadyStarted`] if a log is set up already.
pub fn start(settings: Log) -> Result<Handle, Error> {
    Ok(log4rs::init_config(config(settings)?)?)
}

/// Waits until all queued lines are written, up to the flush timeout of the queue.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.flush();
    }
}

/// Returns the configuration of the log.
///
/// # Errors
///
/// Returns [`Error::Config`] if names in the configuration clash.
pub fn config(settings: Log) -> Result<Config, Error> {
    let encoder = encoder(settings.format);
    let appender: Box<dyn Append> = match settings.format {
        Format::Compact => Box::new(QUEUE.get_or_init(|| Queue::start(encoder)).clone()),
        Format::Readable | Format::Json => {
            let console = ConsoleAppender::builder().target(Target::Stderr);
            Box::new(console.encoder(encoder).build())
        }
    };
    let libraries = settings.level.min(LevelFilter::Warn);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .logger(Logger::builder().build(LOG_TARGET, settings.level))
        .logger(Logger::builder().build(env!("CARGO_CRATE_NAME"), settings.level))
        .build(Root::builder().appender(APPENDER).build(libraries))?;
    Ok(config)
}

/// Returns the encoder of a log format.
#[must_use]
pub fn encoder(format: Format) -> Box<dyn Encode> {
    match format {
        Format::Readable => Box::new(PatternEncoder::new(PATTERN)),
        Format::Json => Box::new(JsonEncoder::new()),
        Format::Compact => Box::new(Compact),
    }
}
