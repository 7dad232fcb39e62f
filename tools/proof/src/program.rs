//! Finds the binaries of the workspace.
use std::env;
use std::path::PathBuf;

/// Path of a binary of the workspace, which is built beside this program or,
/// where this is a test or an example, one folder above it.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let this = env::current_exe().unwrap_or_default();
    let folders = this.ancestors().skip(1).take(2);
    let mut paths = folders.map(|folder| folder.join(name));
    let found = paths.find(|path| path.exists());
    found.unwrap_or_else(|| PathBuf::from(name))
}
