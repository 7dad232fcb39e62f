//! Options that the subcommands share.
use std::error::Error;
use std::path::PathBuf;

use getopts::Options;

/// Where results go and how much is run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Runs of each trial, each with its own seed.
    pub seeds: u64,
    /// Folder for data.
    pub out: PathBuf,
    /// Folder for plots.
    pub plots: PathBuf,
    /// Only trials whose name contains this.
    pub only: String,
}

/// Reads the options of a subcommand.
pub fn parse(arguments: &[String]) -> Result<Settings, Box<dyn Error>> {
    let mut options = Options::new();
    options.optopt("", "seeds", "runs of each trial (default 5)", "COUNT");
    options.optopt("", "out", "folder for data (default out)", "DIR");
    options.optopt("", "plots", "folder for plots (default docs/plots)", "DIR");
    options.optopt(
        "",
        "only",
        "run the trials whose name contains this",
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
