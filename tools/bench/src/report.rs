//! Writes the figures of a benchmark as a JSON file.
use std::fs;
use std::io;
use std::path::Path;

use serde::Serialize;

/// Output folder, relative to the working directory.
const FOLDER: &str = "out";

/// Writes the figures of one benchmark to `out/SUBJECT.json`.
///
/// # Errors
///
/// The error of the operating system if the file cannot be written.
pub fn write(subject: &str, figures: &impl Serialize) -> io::Result<()> {
    fs::create_dir_all(FOLDER)?;
    let json = serde_json::to_vec_pretty(figures).map_err(io::Error::other)?;
    fs::write(Path::new(FOLDER).join(format!("{subject}.json")), json)
}
