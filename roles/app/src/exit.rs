//! Exit codes of the binary; docs/SETTINGS.md lists them.

/// Failed while running.
pub const FAILED: u8 = 1;

/// Settings or arguments were not accepted.
pub const USAGE: u8 = 2;

/// `call` found a broken promise.
pub const BROKEN: u8 = 3;
