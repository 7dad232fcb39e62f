//! A client of services, and the load tool built on it.
//!
//! [`Caller`] is sans-IO: it keeps flows open, retransmits packets that got no
//! reply, assembles answers from their chunks and decides when an operation has
//! ended. The load tool ([`load`]) starts operations at a fixed rate and owns
//! the socket.
//!
//! ```
//! use std::time::Duration;
//!
//! use app::call::Action;
//! use app::call::Caller;
//! use app::call::Settings;
//!
//! let mut caller = Caller::new(Settings::default());
//! let flow = caller.open(Duration::ZERO);
//! caller.start(Duration::ZERO, flow, true);
//! // The open is sent first; the request waits for its reply.
//! assert!(matches!(caller.next_action(), Some(Action::Send(_))));
//! assert_eq!(caller.next_action(), None);
//! assert_eq!(caller.pending(), 1);
//! // Without a reply the open is retransmitted.
//! let due = caller.next_deadline().expect("a retransmission is due");
//! caller.tick(due);
//! assert_eq!(caller.next_action(), Some(Action::Retransmitted));
//! ```
mod answer;
mod backoff;
mod caller;
mod flow;
pub mod load;
mod operation;
pub mod payload;
pub mod plot;
mod report;
pub mod series;

use std::error::Error;
use std::fs;
use std::process::ExitCode;

use crate::exit;
use crate::settings;

pub use answer::Answer;
pub use backoff::Backoff;
pub use caller::Action;
pub use caller::Caller;
pub use caller::Settings;
pub use operation::Ending;
pub use operation::Operation;
pub use report::Report;

/// Runs the load tool, prints its report and writes the files that the settings
/// name.
///
/// Returns [`exit::VIOLATION`] if the report has violations, see
/// [`Report::has_violations`].
#[must_use]
pub fn main(settings: &settings::Call) -> ExitCode {
    let report = match smol::block_on(load::run(settings.clone())) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("greengagelug call: {error}; check --bind and --service");
            return ExitCode::from(exit::FAILED);
        }
    };
    print!("{report}");
    if let Err(error) = write(&report, settings) {
        eprintln!("greengagelug call: {error}; check --output and --plot");
        return ExitCode::from(exit::FAILED);
    }
    if report.has_violations() {
        return ExitCode::from(exit::VIOLATION);
    }
    ExitCode::SUCCESS
}

fn write(report: &Report, settings: &settings::Call) -> Result<(), Box<dyn Error>> {
    if !settings.output.is_empty() {
        fs::write(&settings.output, serde_json::to_vec_pretty(report)?)?;
    }
    if !settings.plot.is_empty() {
        plot::save(report, &settings.plot)?;
    }
    Ok(())
}
