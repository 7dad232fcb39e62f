//! Locates the binaries of the workspace.
use std::env;
use std::path::PathBuf;

/// Returns the path of a binary of the workspace, which is built into the
/// folder of this program or, if this is a test or an example, into its parent.
/// Falls back to the bare name.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let this = env::current_exe().unwrap_or_default();
    let folders = this.ancestors().skip(1).take(2);
    let mut paths = folders.map(|folder| folder.join(name));
    let found = paths.find(|path| path.exists());
    found.unwrap_or_else(|| PathBuf::from(name))
}
