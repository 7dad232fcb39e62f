//! Exit codes of the binary; docs/SETTINGS.md lists them.

/// Failure at run time.
pub const FAILED: u8 = 1;

/// Invalid settings or arguments.
pub const USAGE: u8 = 2;

/// Violated guarantee found by `call`: a wrong or missing answer, or a broken flow.
pub const VIOLATION: u8 = 3;
