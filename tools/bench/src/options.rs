//! Command line options that the subcommands share.
use std::error::Error;
use std::path::PathBuf;

use getopts::Options;

/// Options of a subcommand.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of runs of each trial, each with its own seed.
    pub seeds: u64,
    /// Folder that the JSON files are written to.
    pub out: PathBuf,
    /// Folder that the plots are written to.
    pub plots: PathBuf,
    /// Text that the names of the trials to run contain; empty for all trials.
    pub only: String,
}

/// Parses the options of a subcommand.
///
/// # Errors
///
/// An option that is unknown, lacks its value or has one of the wrong type.
pub fn parse(arguments: &[String]) -> Result<Settings, Box<dyn Error>> {
    let mut options = Options::new();
    options.optopt(
        "",
        "seeds",
        "runs of each trial, each with its own seed (default 5)",
        "COUNT",
    );
    options.optopt("", "out", "folder for the JSON files (default out)", "DIR");
    options.optopt(
        "",
        "plots",
        "folder for the plots (default docs/plots)",
        "DIR",
    );
    options.optopt(
        "",
        "only",
        "run only the trials whose name contains this text",
        "TEXT",
    );
    let matches = options.parse(arguments).map_err(|error| {
        let usage = options.usage("Usage: measure COMMAND [OPTIONS]");
        format!("{error}\n{usage}")
    })?;
    let text = |name: &str, default: &str| matches.opt_str(name).unwrap_or(default.into());
    Ok(Settings {
        seeds: matches.opt_get_default("seeds", 5)?,
        out: text("out", "out").into(),
        plots: text("plots", "docs/plots").into(),
        only: text("only", ""),
    })
}
