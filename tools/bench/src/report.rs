//! Writes figures as data, for the pages and for plots.
use std::fs;
use std::io;
use std::path::Path;

use serde::Serialize;

/// Folder of the figures, below the working directory.
const FOLDER: &str = "out";

/// Writes the figures of one subject as JSON.
///
/// # Errors
///
/// The operating system's error where the file cannot be written.
pub fn write(subject: &str, figures: &impl Serialize) -> io::Result<()> {
    fs::create_dir_all(FOLDER)?;
    let json = serde_json::to_vec_pretty(figures).map_err(io::Error::other)?;
    fs::write(Path::new(FOLDER).join(format!("{subject}.json")), json)
}
