//! Sets up the log: readable lines for people, or JSON lines.
//!
//! Log lines go to the standard error, which leaves the standard output to the
//! results of `operate` and `call`. Compact lines go to the standard output, by a
//! thread of their own, so that nobody waits for whoever reads them. Libraries
//! write warnings and errors only.
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

/// The queue of compact lines, where there is one.
static QUEUE: OnceLock<Queue> = OnceLock::new();

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

/// Waits until the lines so far are written, for a short time at most.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.flush();
    }
}

/// The configuration of the log.
///
/// # Errors
///
/// [`Error::Config`] where its names clash.
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

/// The form of the lines.
#[must_use]
pub fn encoder(format: Format) -> Box<dyn Encode> {
    match format {
        Format::Readable => Box::new(PatternEncoder::new(PATTERN)),
        Format::Json => Box::new(JsonEncoder::new()),
        Format::Compact => Box::new(Compact),
    }
}
